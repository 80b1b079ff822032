package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pumiceline/internal/httpframing"
	"pumiceline/internal/socket"
)

const (
	// lateReadGrace is more than enough for a read of bytes that the kernel holds already.
	lateReadGrace = 50 * time.Millisecond
	// laterHeadExtension is how much longer than the first head on a connection a later one may take.
	laterHeadExtension = 3 * time.Second
	// lingerTimeout is how long a connection whose writing side is closed waits for its client to close the other.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes is how much is read and discarded meanwhile.
	maxLingerBytes = 256 << 10
)

// Phases of a keep-alive connection, by which SetReadDeadline knows which deadline it is given.
const (
	phaseActive   int32 = iota // it has a request, or has not had one yet
	phaseIdle                  // it waits for its next request
	phaseNextHead              // its idle deadline is set, so that the next deadline is for the head of a later request
)

// clientConn is a client connection that observes how the requests on it are delimited and closes without loss: a
// connection that the proxy ends between two requests is ended without a request being read from it, and a close does
// not destroy the response before it.
type clientConn struct {
	net.Conn

	mu              sync.Mutex // guards the fields up to handledRequests
	scanner         httpframing.Scanner
	readInProgress  bool
	endedByProxy    bool  // what a read returns from then on is discarded
	handledRequests int32 // requests that have reached the handler

	readAborted atomic.Bool  // net/http has stopped its own background read
	phase       atomic.Int32 // one of the phases above
	lingering   atomic.Bool  // it is closed for writing and waits for its client
}

// Read reads from the client and scans the request heads that pass. net/http calls it on one goroutine at a time, which
// need not be the handler's.
//
// A read whose deadline has passed first takes what has arrived: a proxy that is short of CPU gets to a request late,
// and a request whose last byte the kernel holds counts as received. It would be lost if its connection were closed for
// being slow.
func (c *clientConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.readInProgress = true
	c.mu.Unlock()
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.readAborted.Load() && !socket.IsOpenAndEmpty(c.Conn) {
			if err = c.Conn.SetReadDeadline(time.Now().Add(lateReadGrace)); err == nil {
				n, err = c.Conn.Read(b)
			}
		}
		if ended := c.recordRead(b[:n], err); !ended {
			return n, err
		} else if err != nil {
			return 0, err
		}
	}
}

// recordRead records the result of a read and reports whether the proxy had ended the connection before. A request that
// arrived meanwhile is not read, so that its client may safely send it again.
func (c *clientConn) recordRead(b []byte, err error) (ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readInProgress = c.endedByProxy && err == nil
	if !c.endedByProxy && c.scanner.TransferEncodingHead == 0 {
		c.scanner.Scan(b)
	}
	return c.endedByProxy
}

// endIfIdle ends a connection that is between two requests and reports whether it did. It does not where any part of a
// request has arrived, read or not, unless force is set. The check and the decision are one step under the lock, as a
// request may arrive between them.
func (c *clientConn) endIfIdle(force bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasRequest := !c.scanner.AtMessageBoundary() || c.scanner.Heads != c.handledRequests
	if c.endedByProxy || !c.readInProgress || !force && (hasRequest || !socket.IsOpenAndEmpty(c.Conn)) {
		return false
	}
	c.endedByProxy = true
	return true
}

// closeGracefully ends a connection between two requests: it closes the writing side first, and discards what crosses
// that on the way until the client closes too, or lingerUntil. To close a connection with unread bytes would reset it.
func (c *clientConn) closeGracefully(lingerUntil time.Time, force bool) {
	if !c.endIfIdle(force) {
		return
	}
	c.lingering.Store(true)
	// The read in progress goes on until the client's end.
	if !c.closeWrite() || c.Conn.SetReadDeadline(lingerUntil) != nil {
		c.Conn.Close()
	}
}

// closeWrite closes the writing side and reports whether it could.
func (c *clientConn) closeWrite() bool {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// Close is called by net/http after the last response, or where no request came in time. It lingers: bytes that are
// unread, or that arrive before the client knows of the end, would have the kernel reset the connection and drop what
// it still holds of the response.
func (c *clientConn) Close() error {
	c.mu.Lock()
	ended := c.endedByProxy
	c.endedByProxy = true
	c.mu.Unlock()
	if ended || socket.HasPeerClosed(c.Conn) || !c.closeWrite() {
		return c.Conn.Close()
	}
	c.lingering.Store(true)
	if err := c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)); err == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	}
	return c.Conn.Close()
}

// SetReadDeadline is called by net/http. A deadline long past stops its own background read, which then must not be
// extended. A first head's deadline is kept: its client is owed an error or a close soon. The head of a later request
// gets laterHeadExtension more, as one that is cut off in the middle may be complete by then, and lost.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.readAborted.Store(!t.IsZero() && time.Since(t) > time.Hour)
	switch {
	case c.readAborted.Load() || t.IsZero():
	case c.phase.CompareAndSwap(phaseIdle, phaseNextHead): // t is the idle deadline
	case c.phase.Load() == phaseNextHead:
		t = t.Add(laterHeadExtension)
	}
	return c.Conn.SetReadDeadline(t)
}

// connContextKey is the context key of a request's *clientConn.
type connContextKey struct{}

// contextWithConn is the HTTP server's ConnContext hook.
func contextWithConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, nc)
}

// clientDisconnected reports whether a request's client has closed its connection, or its half of it. net/http watches
// for that by a read of one byte, which notices it too late for a request that arrives together with the end, and never
// behind bytes that follow the request.
func clientDisconnected(r *http.Request) bool {
	c, ok := r.Context().Value(connContextKey{}).(*clientConn)
	return ok && socket.HasPeerClosed(c.Conn)
}

// bodyFraming says how the client delimited a request's body. net/http hides both from the handler.
type bodyFraming struct {
	hasTransferEncoding bool
	hasContentLengthToo bool
}

// recordRequest counts a request that has reached the handler and returns how its body is delimited. The scanner does
// not follow a transfer encoding, so a request with one must be its connection's last.
func recordRequest(r *http.Request) bodyFraming {
	c, ok := r.Context().Value(connContextKey{}).(*clientConn)
	if !ok {
		return bodyFraming{}
	}
	c.phase.Store(phaseActive)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handledRequests++
	hasEncoding := c.scanner.TransferEncodingHead == c.handledRequests
	return bodyFraming{
		hasTransferEncoding: hasEncoding,
		hasContentLengthToo: hasEncoding && c.scanner.HasLengthAndEncoding,
	}
}
