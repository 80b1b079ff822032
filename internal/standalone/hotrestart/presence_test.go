package hotrestart

import (
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Processes see one another's stages, and the file of one that died is not taken for one that lives.
func TestPresence(t *testing.T) {
	dir := t.TempDir()
	join := func(identity string) *Presence {
		p, err := NewSharedFolder(dir, identity).Join()
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	a, b, stranger := join("n0"), join("n0"), join("n1")
	defer stranger.Leave()
	if err := b.Set(ProcessState{Serving, 7, 300}); err != nil {
		t.Fatal(err)
	}
	if got := a.Peers(); !slices.Equal(got, []ProcessState{{Serving, 7, 300}}) {
		t.Errorf("a sees %v", got)
	}
	if got := b.Peers(); !slices.Equal(got, []ProcessState{{Stage: Starting}}) {
		t.Errorf("b sees %v", got)
	}
	b.file.Close() // as its death does: the file stays, the lock goes
	if got := a.Peers(); len(got) != 0 {
		t.Errorf("a sees %v, but the other is dead", got)
	}
	if _, err := os.Stat(b.path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the dead one's file: %v", err)
	}
	a.Leave()
	if got := stranger.Peers(); len(got) != 0 {
		t.Errorf("another proxy sees %v", got)
	}
}

// Updates of several processes follow one another, none is lost, and a reader sees whole texts alone.
func TestUpdatesAreWhole(t *testing.T) {
	dir := t.TempDir()
	const writers, each = 4, 50
	var all sync.WaitGroup
	for range writers {
		all.Go(func() {
			d := NewSharedFolder(dir, "n0")
			for range each {
				before := d.Version("count")
				err := d.Update("count", func(old []byte) ([]byte, error) {
					n, err := strconv.Atoi(string(old) + map[bool]string{true: "0"}[len(old) == 0])
					return []byte(strconv.Itoa(n + 1)), err
				})
				if err != nil || d.Version("count") == before {
					t.Errorf("%v, or the stamp is the same", err)
				}
			}
		})
	}
	all.Wait()
	d := NewSharedFolder(dir, "n0")
	if text, err := d.Read("count"); err != nil || string(text) != strconv.Itoa(writers*each) {
		t.Errorf("%s, %v", text, err)
	}
	fault := errors.New("no")
	if err := d.Update("count", func([]byte) ([]byte, error) { return nil, fault }); !errors.Is(err, fault) {
		t.Error(err)
	}
	if text, err := d.Read("other"); text != nil || err != nil {
		t.Errorf("no file: %q, %v", text, err)
	}
}

// lending is a listening socket and a way to lend it to one process after another.
func lending(t *testing.T) (file *os.File, lend func() net.Listener) {
	own, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close() // the file has a descriptor of its own
	if file, err = own.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return file, func() net.Listener {
		fd, err := syscall.Dup(int(file.Fd()))
		if err != nil {
			t.Fatal(err)
		}
		ln, err := InheritListener(fd)
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
}

// The lent socket goes on listening when a process that took it up closes its listener.
func TestLentSocket(t *testing.T) {
	_, lend := lending(t)
	first, second := lend(), lend()
	first.Close()
	c, err := net.DialTimeout("tcp", second.Addr().String(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := second.Accept(); err != nil {
		t.Error(err)
	} else {
		got.Close()
	}
	second.Close()
	pipe, _, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Dup(int(pipe.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := InheritListener(fd); err == nil {
		t.Error("a pipe was taken for a listening socket")
	}
}

// A lent socket that somebody has made block, as Go does where it hands one to a further process, must not hold up a listener that is closed
// while it sleeps in accept, nor lose a connection.
func TestLentSocketThatBlocks(t *testing.T) {
	file, lend := lending(t)
	ln := lend()
	accepted, ended := make(chan net.Conn, 1), make(chan error, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			accepted <- c
			_, err = ln.Accept()
		}
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond) // it waits
	if err := syscall.SetNonblock(int(file.Fd()), false); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	(<-accepted).Close()
	time.Sleep(50 * time.Millisecond) // it is in the next Accept
	closed := make(chan struct{})
	go func() { ln.Close(); close(closed) }()
	select {
	case <-closed:
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the listener can't be closed")
	}
}
