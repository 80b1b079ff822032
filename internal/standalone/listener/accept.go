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
	// drainAcceptInterval is how often a draining listener looks whether more connections are queued in the kernel.
	drainAcceptInterval = 10 * time.Millisecond
	// descriptorRetryDelay is how long Accept waits for a file descriptor when no client socket can be evicted.
	descriptorRetryDelay = 5 * time.Millisecond
)

// budgetListener accepts client connections within a socketBudget. Where the budget is used up it evicts a connection
// before the server sees the new one; where none can be evicted, the new one is closed, before the process runs out of
// descriptors: net/http would then stop accepting for up to a second, with regular clients in the queue.
type budgetListener struct {
	net.Listener
	budget    *socketBudget
	closeOnce sync.Once
	draining  atomic.Bool
}

// deadlineListener is a listener whose Accept can be given a time limit.
type deadlineListener interface {
	SetDeadline(t time.Time) error
}

// Accept returns the next client connection as a *clientConn.
func (l *budgetListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		switch {
		case l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			if !l.extendDrain() {
				l.Close()
				return nil, net.ErrClosed
			}
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			if !l.budget.evict() {
				time.Sleep(descriptorRetryDelay)
			}
		case err != nil:
			return nil, err
		case l.budget.count() < l.budget.limit() || l.budget.evict():
			return &clientConn{Conn: nc}, nil
		default: // nothing of it has been read, so its client may safely send its request again
			nc.Close()
		}
	}
}

// Close ends Accept at once. The HTTP server closes its listener too, so only the first call counts.
func (l *budgetListener) Close() (err error) {
	l.closeOnce.Do(func() { err = l.Listener.Close() })
	return err
}

// closeWhenDrained ends Accept once no connection is queued any more: the kernel resets those that are queued when the
// listener is closed, with the requests on them. A listener without deadlines is closed at once.
func (l *budgetListener) closeWhenDrained() {
	l.draining.Store(true)
	if d, ok := l.Listener.(deadlineListener); !ok || d.SetDeadline(time.Now().Add(drainAcceptInterval)) != nil {
		l.Close()
	}
}

// extendDrain reports whether a draining Accept whose deadline has passed has a connection left to accept, and gives it
// more time if so.
func (l *budgetListener) extendDrain() bool {
	d, ok := l.Listener.(deadlineListener)
	return ok && socket.HasPendingConnection(l.Listener) && d.SetDeadline(time.Now().Add(drainAcceptInterval)) == nil
}
