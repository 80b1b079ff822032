// Package headbudget bounds the memory that the heads of HTTP requests take in a process, whatever the number of
// connections. The head of each is bounded by the server; many that are unfinished or in flight could still take more
// memory than the machine has.
package headbudget

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// uncountedBytes of each head are not counted, so that requests with heads of an ordinary size are served while others
// take the whole budget.
const uncountedBytes = 4 << 10

// rejectTimeout bounds the time that the response to a rejected head takes to be written.
const rejectTimeout = 100 * time.Millisecond

// rejection is the response to a head that arrives while all heads together are at the limit.
const rejection = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// errExhausted is the error of a connection whose head is rejected.
var errExhausted = errors.New("too many large request heads at the same time")

// Budget bounds the bytes of heads. It is safe for concurrent use.
type Budget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// New returns a budget with a limit in bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Listener returns a listener whose connections count the heads that they read. The server has to call ConnContext and
// ConnState, and its handler has to be one that Handler has returned.
func (b *Budget) Listener(next net.Listener) net.Listener {
	return &listener{Listener: next, budget: b}
}

// Handler returns a handler that passes requests on. The head of a request counts until next returns.
func (b *Budget) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.endHead()
			defer c.release()
		}
		next.ServeHTTP(w, r)
	})
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// ConnContext is for the field of http.Server with that name.
func (b *Budget) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnState is for the field of http.Server with that name. The head of the next request begins when a connection
// becomes idle.
func (b *Budget) ConnState(c net.Conn, state http.ConnState) {
	if counted, ok := c.(*conn); ok && state == http.StateIdle {
		counted.beginHead()
	}
}

type listener struct {
	net.Listener
	budget *Budget
}

// Accept returns the next connection. Its first head begins with it.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, budget: l.budget, isReadingHead: true}, nil
}

// conn counts what is read of the head of a request.
type conn struct {
	net.Conn
	budget *Budget

	mutex         sync.Mutex
	isReadingHead bool
	headBytes     int64 // read of the head
	counted       int64 // of headBytes, in the budget
}

// Read reads from the connection. A head beyond the limit of the budget is rejected with a response, and the error is
// one that the server takes for a broken connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.count(int64(n)) {
		return n, err
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rejectTimeout)) // a broken connection needs no response
	_, _ = c.Conn.Write([]byte(rejection))
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: errExhausted}
}

// count counts bytes of a head, and reports whether the budget allows them.
func (c *conn) count(read int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.isReadingHead {
		return true
	}
	c.headBytes += read
	added := max(0, c.headBytes-uncountedBytes) - c.counted
	if added == 0 {
		return true
	}
	if c.budget.used.Add(added) > c.budget.limit {
		c.budget.used.Add(-added)
		return false
	}
	c.counted += added
	return true
}

func (c *conn) beginHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isReadingHead, c.headBytes = true, 0
}

// endHead ends the counting. What was counted stays in the budget until release.
func (c *conn) endHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isReadingHead = false
}

// release gives the counted bytes back.
func (c *conn) release() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.budget.used.Add(-c.counted)
	c.counted = 0
}

// Close closes the connection.
func (c *conn) Close() error {
	c.endHead()
	c.release()
	return c.Conn.Close()
}
