// Package socket queries the state of sockets in the kernel. It neither consumes bytes nor waits for a goroutine that
// reads from the socket. A connection that is not a socket, such as a net.Pipe in a test, counts as open and empty.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsOpenAndEmpty reports whether a connection is open and has nothing to read. If the peer has closed or reset it, the
// end of the stream or the error counts as something to read.
func IsOpenAndEmpty(nc net.Conn) bool {
	isEmpty := false
	isSocket, err := withDescriptor(nc, func(fd int) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isEmpty = errors.Is(err, syscall.EAGAIN)
	})
	return !isSocket || err == nil && isEmpty
}

// HasPeerClosed reports whether the peer has closed a connection or its sending half, even if bytes sent before the
// close are still unread.
func HasPeerClosed(nc net.Conn) bool {
	isClosed := false
	isSocket, err := withDescriptor(nc, func(fd int) {
		isClosed = pollNow(fd, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return isSocket && (err != nil || isClosed)
}

// HasPendingConnection reports whether a connection waits in a listener's queue for Accept.
func HasPendingConnection(ln net.Listener) bool {
	isPending := false
	isSocket, err := withDescriptor(ln, func(fd int) { isPending = pollNow(fd, unix.POLLIN)&unix.POLLIN != 0 })
	return isSocket && err == nil && isPending
}

// ReuseLocalPort lets other sockets of the machine listen at the local port of a connection that is about to be opened.
// Without it a connection whose local port the kernel chose keeps a process of the machine from listening there for as
// long as it is open. It has the form of net.Dialer.Control.
func ReuseLocalPort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A kernel that rejects the option opens the connection all the same.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	})
}

// NewDialer returns a dialer without a time-out of its own, whose connections let others listen at their local ports.
func NewDialer() *net.Dialer { return &net.Dialer{Control: ReuseLocalPort} }

// withDescriptor calls f with the file descriptor of a connection or listener, if it has one. An error means that the
// connection or listener is closed.
func withDescriptor(c any, f func(fd int)) (isSocket bool, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true, err
	}
	// Control rather than Read: Read would wait for a goroutine that is reading from the same connection.
	return true, raw.Control(func(fd uintptr) { f(int(fd)) })
}

// pollNow returns the poll events that a descriptor has now, without waiting.
func pollNow(fd int, events int16) int16 {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if n, err := unix.Poll(fds, 0); err != nil || n <= 0 {
		return 0
	}
	return fds[0].Revents
}
