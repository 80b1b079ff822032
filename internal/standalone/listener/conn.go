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
	// lateReadGrace bounds a read whose bytes are in the kernel's buffer already. It is far longer than such a read.
	lateReadGrace = 50 * time.Millisecond
	// laterHeadExtension is how much longer a later head on a connection may take than the first one.
	laterHeadExtension = 3 * time.Second
	// lingerTimeout is how long a connection whose writing side is closed stays open for its client to close it too.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes is how many bytes are read and discarded during that time.
	maxLingerBytes = 256 << 10
	// minAbortAge is how far in the past a read deadline must be to be the one by which net/http aborts its background
	// read (its aLongTimeAgo, one second after the Unix epoch). Any other deadline is at most seconds old.
	minAbortAge = time.Hour
)

// Phases of a keep-alive connection. net/http sets the idle deadline and the deadline of the next head by the same
// call; SetReadDeadline distinguishes them by the phase.
const (
	phaseActive   int32 = iota // it has a request, or has not had any yet
	phaseIdle                  // it waits for its next request; the next deadline set is the idle deadline
	phaseNextHead              // its idle deadline is set; the next deadline set is that of a later request's head
)

// clientConn is a client connection that the proxy can close without losing a request or a response. If the proxy
// closes it between two requests, no later request has been read from it, so its client may safely send that request
// again. A close does not discard the response written before it. A clientConn also records how the requests on it are
// delimited, which net/http hides from the handler.
type clientConn struct {
	net.Conn

	mu              sync.Mutex // guards the fields up to handledRequests
	scanner         httpframing.Scanner
	readInProgress  bool
	endedByProxy    bool  // bytes read from then on are discarded
	handledRequests int32 // requests that have reached the handler

	readAborted atomic.Bool  // net/http has aborted its background read with a deadline in the past
	phase       atomic.Int32 // one of the phases above
	lingering   atomic.Bool  // it is closed for writing and waits for its client to close
}

// Read reads from the client and scans the bytes for request heads. net/http calls it on one goroutine at a time, which
// need not be the handler's.
//
// A read whose deadline has passed still returns bytes that are in the kernel's buffer. A proxy that is short of CPU
// reads late. Without this it would close a connection as too slow although the request has arrived in time.
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

// recordRead records the result of a read and reports whether the proxy had ended the connection before. If so, the
// bytes are discarded: a request that arrived after the end must not be handled, as its client may send it again.
func (c *clientConn) recordRead(b []byte, err error) (ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readInProgress = c.endedByProxy && err == nil
	if !c.endedByProxy && c.scanner.TransferEncodingHead == 0 {
		c.scanner.Scan(b)
	}
	return c.endedByProxy
}

// endIfIdle marks a connection in state http.StateNew or http.StateIdle as ended, unless any part of a request has
// arrived, whether it has been read or not. It reports whether it did. The check and the mark are one step under the
// lock: otherwise Read could pass a request to net/http between them, and the response would find the connection
// closed. The caller closes the connection.
func (c *clientConn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasRequest := !c.scanner.AtMessageBoundary() || c.scanner.Heads != c.handledRequests
	if !c.canEnd() || hasRequest || !socket.IsOpenAndEmpty(c.Conn) {
		return false
	}
	c.endedByProxy = true
	return true
}

// end marks a connection in state http.StateNew or http.StateIdle as ended, even if a part of a request has arrived,
// and reports whether it did. The caller closes the connection.
func (c *clientConn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.canEnd() {
		return false
	}
	c.endedByProxy = true
	return true
}

// canEnd reports whether the connection is not ended yet and a read is in progress. That read then returns the end of
// the connection to net/http. Called with mu held.
func (c *clientConn) canEnd() bool { return !c.endedByProxy && c.readInProgress }

// closeGracefully closes a connection that endIfIdle or end has marked as ended: first its writing side, and the whole
// connection when the client has closed too, or at lingerUntil. Bytes that arrive meanwhile are read and discarded,
// because the kernel resets a connection that is closed with unread bytes.
func (c *clientConn) closeGracefully(lingerUntil time.Time) {
	c.lingering.Store(true)
	// net/http's read in progress continues until the client closes, and its error makes net/http close the connection.
	if !c.closeWrite() || c.Conn.SetReadDeadline(lingerUntil) != nil {
		c.Conn.Close()
	}
}

// closeWrite closes the writing side and reports whether that succeeded.
func (c *clientConn) closeWrite() bool {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// Close is called by net/http after the last response, or if no request arrived in time. It lingers: it closes the
// writing side, then reads and discards until the client closes too, for lingerTimeout at most. Otherwise bytes that
// are unread, or that arrive before the client sees the close, would make the kernel reset the connection and drop the
// part of the response that is still in its send buffer.
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

// SetReadDeadline is called by net/http. A deadline that is long past aborts net/http's background read; Read
// must not extend such a deadline. The deadline of a connection's first head stays as it is, so that a client that
// sends half a head gets an error soon. The head of a later request gets laterHeadExtension more: if the connection
// were closed while the last bytes of the head are on the way, a request that its client has sent completely would be
// lost.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.readAborted.Store(!t.IsZero() && time.Since(t) > minAbortAge)
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

// clientDisconnected reports whether a request's client has closed its connection, or its sending half. net/http
// detects that by a background read of one byte. That is too late if the close arrives together with the request, and
// detects nothing if further bytes follow the request, since the read returns one of those.
func clientDisconnected(r *http.Request) bool {
	c, ok := r.Context().Value(connContextKey{}).(*clientConn)
	return ok && socket.HasPeerClosed(c.Conn)
}

// bodyFraming tells how the client delimited a request's body. net/http hides both fields from the handler.
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
