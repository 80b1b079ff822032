package hotrestart

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// openSharedSocket returns a listening socket and a function that inherits it; each call acts as another process.
func openSharedSocket(t *testing.T) (file *os.File, inherit func() net.Listener) {
	t.Helper()
	original, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer original.Close() // the file has a descriptor of its own
	if file, err = original.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return file, func() net.Listener {
		t.Helper()
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

// The socket keeps listening when one of the processes that inherited it closes its listener. A descriptor that is not
// a listening socket is an error.
func TestInheritedListener_LeavesSocketListening(t *testing.T) {
	_, inherit := openSharedSocket(t)
	first, second := inherit(), inherit()
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
		t.Error("a pipe was accepted as a listening socket")
	}
}

// Another process may make the shared socket blocking, as Go does when it passes a socket on. Accept must still return
// the next connection, and Close must still end a pending Accept.
func TestInheritedListener_ClosesWhileSocketIsBlocking(t *testing.T) {
	file, inherit := openSharedSocket(t)
	ln := inherit()
	accepted, ended := make(chan net.Conn, 1), make(chan error, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			accepted <- c
			_, err = ln.Accept()
		}
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond) // until Accept waits, which cannot be observed from outside
	if err := syscall.SetNonblock(int(file.Fd()), false); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	(<-accepted).Close()
	time.Sleep(50 * time.Millisecond) // until the second Accept waits
	closed := make(chan struct{})
	go func() { ln.Close(); close(closed) }()
	select {
	case <-closed:
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("Close did not return")
	}
}
