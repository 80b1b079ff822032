package hotrestart

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
)

// Stage is how far a process has come.
type Stage byte

// Stages of a process's life.
const (
	Starting Stage = 's'
	Serving  Stage = 'r' // it takes connections
	Ending   Stage = 'e' // it finishes what it has taken
)

// Presence tells other processes of the proxy that this one is there. It ends with the process, however that dies: the kernel
// frees the lock by which the others tell a living process's file from a dead one's.
type Presence struct {
	folder *Folder
	file   *os.File
	path   string
}

// Join makes this process known, as one that is starting.
func (d *Folder) Join() (*Presence, error) {
	mark := fmt.Sprintf("%d-%08x", os.Getpid(), rand.Uint32())
	path, joining := d.prefix+"process-"+mark, d.prefix+"joining-"+mark
	f, err := os.OpenFile(joining, os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	p := &Presence{folder: d, file: f, path: path}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	if err := p.Set(State{Stage: Starting}); err != nil {
		f.Close()
		return nil, err
	}
	// Under its name only once it is locked, or another would take it for a dead one's.
	if err := os.Rename(joining, path); err != nil {
		f.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return p, nil
}

// State is what a process tells of itself.
type State struct {
	Stage       Stage
	Fronts      uint32 // front sockets that it holds
	Connections uint32 // to destinations
}

// stateSize is that of a State in its file: the stage's byte, then both numbers, big-endian.
const stateSize = 9

// Set tells how far this process has come and what it holds.
func (p *Presence) Set(s State) error {
	b := binary.BigEndian.AppendUint32([]byte{byte(s.Stage)}, s.Fronts)
	if _, err := p.file.WriteAt(binary.BigEndian.AppendUint32(b, s.Connections), 0); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Leave makes this process unknown again.
func (p *Presence) Leave() {
	os.Remove(p.path)
	p.file.Close()
}

// Others are the states of the other living processes of the proxy. Files of dead ones are removed.
func (p *Presence) Others() (states []State) {
	paths, _ := filepath.Glob(p.folder.prefix + "process-*") // its only error is a bad pattern
	for _, path := range paths {
		if path == p.path {
			continue
		}
		f, err := os.Open(path)
		if err != nil {
			continue // it has just left
		}
		if err := syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); errors.Is(err, syscall.EWOULDBLOCK) {
			var b [stateSize]byte
			if n, _ := f.ReadAt(b[:], 0); n == stateSize {
				states = append(states, State{Stage(b[0]), binary.BigEndian.Uint32(b[1:]), binary.BigEndian.Uint32(b[5:])})
			}
		} else if err == nil {
			os.Remove(path)
		}
		f.Close()
	}
	return states
}

// Listen takes up the listening socket that was inherited as a descriptor. The descriptor's socket stays open and listening for
// whoever else holds it, also when the listener is closed.
func Listen(fd int) (net.Listener, error) {
	if err := syscall.SetNonblock(fd, true); err != nil { // else the file would not know how to wait
		return nil, fmt.Errorf("ROUTER_FD: %d is no descriptor: %w", fd, err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("ROUTER_FD: %d is no descriptor", fd)
	}
	ln, err := net.FileListener(f)
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("ROUTER_FD: %d is no listening socket: %w", fd, err)
	}
	defer ln.Close() // it was asked for what it knows
	raw, err := f.SyscallConn()
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("ROUTER_FD: %d: %w", fd, err)
	}
	return &lent{file: f, raw: raw, addr: ln.Addr()}, nil
}

// lent is a listening socket that other processes hold too. Whether it blocks is one flag for all of them, and whoever hands it to a further process
// may make it block: Go's os.File.Fd does. An accept that then finds that another process has taken the connection would sleep in the kernel
// till the next one comes, and Close would wait for it: a process told to stop would not end. So the flag is set anew before each accept.
type lent struct {
	file   *os.File
	raw    syscall.RawConn
	addr   net.Addr
	closed atomic.Bool
}

// Accept implements net.Listener.
func (l *lent) Accept() (net.Conn, error) {
	var fd int
	var failed error
	if err := l.raw.Read(func(own uintptr) bool {
		for {
			if failed = syscall.SetNonblock(int(own), true); failed != nil {
				return true
			}
			fd, _, failed = syscall.Accept4(int(own), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if failed != syscall.EINTR && failed != syscall.ECONNABORTED {
				return failed != syscall.EAGAIN // if so: wait for the next
			}
		}
	}); err != nil {
		if l.closed.Load() { // the file's own error for that is no public one
			err = net.ErrClosed
		}
		return nil, &net.OpError{Op: "accept", Net: l.addr.Network(), Addr: l.addr, Err: err}
	}
	if failed != nil {
		return nil, &net.OpError{Op: "accept", Net: l.addr.Network(), Addr: l.addr, Err: os.NewSyscallError("accept4", failed)}
	}
	// The connection gets a descriptor of its own. Where there is none left for that moment it is closed unread, and its client may send again.
	f := os.NewFile(uintptr(fd), "client")
	defer f.Close()
	return net.FileConn(f)
}

// Close ends Accept here. The socket goes on listening for others.
func (l *lent) Close() error {
	l.closed.Store(true)
	return l.file.Close()
}

// Addr implements net.Listener.
func (l *lent) Addr() net.Addr { return l.addr }
