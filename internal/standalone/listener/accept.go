package listener

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pumiceline/internal/socket"
)

const (
	// drainAcceptInterval is how often a draining listener checks for connections that are queued in the kernel.
	drainAcceptInterval = 10 * time.Millisecond
	// descriptorRetryDelay is how long Accept waits for a file descriptor when no client socket can be evicted.
	descriptorRetryDelay = 5 * time.Millisecond
)

// limitListener accepts client connections up to the limit of a connTracker. At the limit it evicts an open connection
// for the new one; where none can be evicted, it closes the new one. Without the limit the process would run out of
// file descriptors, and net/http would then stop accepting for up to a second while regular clients wait in the queue.
type limitListener struct {
	net.Listener
	tracker   *connTracker
	closeOnce sync.Once
	draining  atomic.Bool
}

// deadlineListener is a listener whose Accept can be given a time limit.
type deadlineListener interface {
	SetDeadline(t time.Time) error
}

// Accept returns the next client connection as a *clientConn.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		switch {
		case l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			if !l.extendDrain() {
				l.Close()
				return nil, net.ErrClosed
			}
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			if !l.tracker.evict() {
				time.Sleep(descriptorRetryDelay)
			}
		case err != nil:
			return nil, err
		case l.tracker.count() < l.tracker.limit() || l.tracker.evict():
			return &clientConn{Conn: nc}, nil
		default: // nothing has been read from nc, so its client may safely send its request again
			nc.Close()
		}
	}
}

// Close ends Accept at once. The HTTP server closes its listener too, so only the first call counts.
func (l *limitListener) Close() (err error) {
	l.closeOnce.Do(func() { err = l.Listener.Close() })
	return err
}

// closeWhenDrained ends Accept once no connection is queued any more. If the listener were closed earlier, the kernel
// would reset the queued connections, and the requests on them would be lost. A listener without deadlines is closed at
// once.
func (l *limitListener) closeWhenDrained() {
	l.draining.Store(true)
	if d, ok := l.Listener.(deadlineListener); !ok || d.SetDeadline(time.Now().Add(drainAcceptInterval)) != nil {
		l.Close()
	}
}

// extendDrain is called when the deadline of a draining Accept has passed. It reports whether a connection is still
// queued, and extends the deadline if so.
func (l *limitListener) extendDrain() bool {
	d, ok := l.Listener.(deadlineListener)
	return ok && socket.HasPendingConnection(l.Listener) && d.SetDeadline(time.Now().Add(drainAcceptInterval)) == nil
}
