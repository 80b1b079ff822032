package hotrestart

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// inheritedListener is a listening socket that other processes also have open.
//
// All these processes share the socket's O_NONBLOCK flag. A process that passes the socket on may clear it: Go's
// os.File.Fd does. If another process then accepts a pending connection first, accept4 blocks in the kernel until the
// next connection. Close waits for that call, so a process that was asked to stop would not end. The flag is therefore
// set before each accept.
type inheritedListener struct {
	file   *os.File
	raw    syscall.RawConn
	addr   net.Addr
	closed atomic.Bool
}

// InheritListener wraps the listening socket that was inherited as a descriptor (ROUTER_FD). Closing the listener
// leaves the socket open and listening for the other processes that hold it.
func InheritListener(fd int) (net.Listener, error) {
	if err := syscall.SetNonblock(fd, true); err != nil { // os.NewFile registers only non-blocking files with the poller
		return nil, fmt.Errorf("ROUTER_FD: %d is no descriptor: %w", fd, err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	if file == nil {
		return nil, fmt.Errorf("ROUTER_FD: %d is no descriptor", fd)
	}
	probe, err := net.FileListener(file)
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("ROUTER_FD: %d is no listening socket: %w", fd, err)
	}
	defer probe.Close() // used only for its address and to check the descriptor
	raw, err := file.SyscallConn()
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("ROUTER_FD: %d: %w", fd, err)
	}
	return &inheritedListener{file: file, raw: raw, addr: probe.Addr()}, nil
}

// Accept implements net.Listener.
func (l *inheritedListener) Accept() (net.Conn, error) {
	fd, err := l.accept()
	if err != nil {
		return nil, &net.OpError{Op: "accept", Net: l.addr.Network(), Addr: l.addr, Err: err}
	}
	// net.FileConn duplicates the descriptor. If the process has no descriptor left for the copy, the connection is
	// closed before anything is read from it, so its client can safely retry.
	file := os.NewFile(uintptr(fd), "client")
	defer file.Close()
	return net.FileConn(file)
}

// accept waits for a connection and returns its descriptor.
func (l *inheritedListener) accept() (fd int, err error) {
	var acceptErr error
	readErr := l.raw.Read(func(listening uintptr) (done bool) {
		for {
			if acceptErr = syscall.SetNonblock(int(listening), true); acceptErr != nil {
				return true
			}
			fd, _, acceptErr = syscall.Accept4(int(listening), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if acceptErr != syscall.EINTR && acceptErr != syscall.ECONNABORTED {
				return acceptErr != syscall.EAGAIN // on EAGAIN Read waits for the next connection
			}
		}
	})
	switch {
	case readErr != nil && l.closed.Load(): // the error of a closed os.File is not exported
		return 0, net.ErrClosed
	case readErr != nil:
		return 0, readErr
	case acceptErr != nil:
		return 0, os.NewSyscallError("accept4", acceptErr)
	}
	return fd, nil
}

// Close ends Accept in this process. The socket keeps listening for the other processes.
func (l *inheritedListener) Close() error {
	l.closed.Store(true)
	return l.file.Close()
}

// Addr implements net.Listener.
func (l *inheritedListener) Addr() net.Addr { return l.addr }
