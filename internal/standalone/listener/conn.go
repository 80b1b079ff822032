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

// clientConn is a front socket that watches how the requests coming in on it are delimited, and is closed so that nothing is lost:
// what the proxy ends between two requests it ends without reading one, and an answer is not taken back by the close behind it.
type clientConn struct {
	net.Conn

	mu              sync.Mutex // guards what follows
	scanner         httpframing.Scanner
	readInProgress  bool  // a Read is under way
	endedByProxy    bool  // by the proxy: what a read brings from then on was never read
	handledRequests int32 // requests that came to the handler

	readAborted atomic.Bool  // net/http has stopped its own read
	phase       atomic.Int32 // of a kept connection, between its requests
	lingering   atomic.Bool  // it is closed, and waits for its client to have heard of that
}

// Read notes the heads that pass. net/http reads on one goroutine at a time, which need not be the handler's.
//
// A read whose time is up has first to take what has come: a proxy that is short of CPU gets to a request late, and one
// whose last byte the kernel holds is taken. Closed for being slow, it would be lost.
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
		if over := c.recordRead(b[:n], err); !over {
			return n, err
		} else if err != nil {
			return 0, err
		}
	}
}

// recordRead notes what a read has brought, and says whether the connection had been ended before: a request that came meanwhile is
// not read, so that its client may send it again elsewhere.
func (c *clientConn) recordRead(b []byte, err error) (over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readInProgress = c.endedByProxy && err == nil
	if !c.endedByProxy && c.scanner.TransferEncodingHead == 0 {
		c.scanner.Scan(b)
	}
	return c.endedByProxy
}

// endIfIdle ends a connection that is between two requests and says whether it has: not where something of a request has come, read or
// not, unless always. It looks and decides in one, as a request may come between the two.
func (c *clientConn) endIfIdle(always bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := !c.scanner.AtMessageBoundary() || c.scanner.Heads != c.handledRequests
	if c.endedByProxy || !c.readInProgress || !always && (begun || !socket.IsOpenAndEmpty(c.Conn)) {
		return false
	}
	c.endedByProxy = true
	return true
}

// closeGracefully ends a connection between two requests in order: its client hears of the end first, and what crosses that is read, to
// nowhere, until by at the latest. A close over bytes that nobody has read would reset the connection.
func (c *clientConn) closeGracefully(by time.Time, always bool) {
	if !c.endIfIdle(always) {
		return
	}
	c.lingering.Store(true)
	if !c.closeWrite() || c.Conn.SetReadDeadline(by) != nil { // the read that is under way goes on to the client's end
		c.Conn.Close()
	}
}

func (c *clientConn) closeWrite() bool {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// lingerTimeout is how long a closed connection may wait for its client to close its side, and maxLingerBytes how many bytes are read
// meanwhile.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// Close is net/http's, after a last answer or for want of a request. Bytes that lie unread, or come before the client has heard
// of the end, would have the kernel reset the connection, and drop what it still holds of the answer.
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
		_, _ = io.CopyBuffer(io.Discard, struct{ io.Reader }{io.LimitReader(c.Conn, maxLingerBytes)}, make([]byte, 4<<10))
	}
	return c.Conn.Close()
}

// clientDisconnected says whether a request's client has closed its connection, or its half of it. net/http watches for that by a read of one
// byte, which tells it too late for a request that comes together with the end, and never behind bytes that came after the request.
func clientDisconnected(r *http.Request) bool {
	c, ok := r.Context().Value(connContextKey{}).(*clientConn)
	return ok && socket.HasPeerClosed(c.Conn)
}

// lateReadGrace is more than enough for a read of what is there already.
const lateReadGrace = 50 * time.Millisecond

// SetReadDeadline is net/http's. It sets a moment long past to stop a read of its own, which must not go on then. And it
// gives each head as long as the first on its connection, where a client is owed an error or a close soon: a later request
// that is cut off in the middle may be whole by then, and lost, so it gets more.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.readAborted.Store(!t.IsZero() && time.Since(t) > time.Hour)
	switch {
	case c.readAborted.Load() || t.IsZero():
	case c.phase.CompareAndSwap(phaseIdle, phaseNextHead): // this is the time that it may be idle; the next is the head's
	case c.phase.Load() == phaseNextHead:
		t = t.Add(laterHeadExtension)
	}
	return c.Conn.SetReadDeadline(t)
}

// Stages of a kept connection.
const (
	phaseActive int32 = iota // it has a request, or never had one
	phaseIdle
	phaseNextHead // its time for idling is set, so the next that is set is for a further request's head
)

// laterHeadExtension is how much longer than the first head a later one may take.
const laterHeadExtension = 3 * time.Second

// bufferPool are the pieces in which answers are copied to clients. Without a pool ReverseProxy makes one of 32 KiB for each
// answer: at a thousand a second the collector had little else to do.
type bufferPool struct{ pool sync.Pool }

// copyBufferBytes holds nearly every answer whole.
const copyBufferBytes = 16 << 10

func newBufferPool() *bufferPool {
	return &bufferPool{sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}}
}

// Get and Put are httputil.BufferPool's.
func (b *bufferPool) Get() []byte    { return b.pool.Get().(*[copyBufferBytes]byte)[:] }
func (b *bufferPool) Put(old []byte) { b.pool.Put((*[copyBufferBytes]byte)(old)) }

type connContextKey struct{}

func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// recordRequest counts a request that came to the handler, and returns whether its body has a Transfer-Encoding and whether
// a length as well. Behind such a request the scanner is lost, which is why it is its connection's last.
func recordRequest(r *http.Request) (coded, both bool) {
	c, ok := r.Context().Value(connContextKey{}).(*clientConn)
	if !ok {
		return false, false
	}
	c.phase.Store(phaseActive)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handledRequests++
	coded = c.scanner.TransferEncodingHead == c.handledRequests
	return coded, coded && c.scanner.HasLengthAndEncoding
}
