// Package socket looks at sockets: without taking anything from them, and without waiting for whoever reads from them.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// withDescriptor has at see the descriptor of a connection or listener. It is not known where c has none, as pipes in tests; an error
// means that it is closed.
func withDescriptor(c any, at func(fd int)) (known bool, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true, err
	}
	// Control and not Read: Read would wait for a reader that is at work on it.
	return true, raw.Control(func(fd uintptr) { at(int(fd)) })
}

// pollNow is what of these events holds for a descriptor now.
func pollNow(fd int, events int16) int16 {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if n, err := unix.Poll(fds, 0); err != nil || n <= 0 {
		return 0
	}
	return fds[0].Revents
}

// IsOpenAndEmpty says whether a connection is still open with nothing to read. One that the other side has closed, or that has died, has an
// end or a reset to read.
func IsOpenAndEmpty(nc net.Conn) bool {
	quiet := false
	known, err := withDescriptor(nc, func(fd int) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return !known || err == nil && quiet
}

// HasPeerClosed says whether the other side has closed a connection, or its half of it, also where bytes that came before lie unread.
func HasPeerClosed(nc net.Conn) bool {
	left := false
	known, err := withDescriptor(nc, func(fd int) {
		left = pollNow(fd, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return known && (err != nil || left)
}

// HasPendingConnection says whether a connection waits at a listener to be accepted.
func HasPendingConnection(ln net.Listener) bool {
	waits := false
	known, err := withDescriptor(ln, func(fd int) { waits = pollNow(fd, unix.POLLIN)&unix.POLLIN != 0 })
	return known && err == nil && waits
}
