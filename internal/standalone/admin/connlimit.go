package admin

import (
	"context"
	"net"
	"slices"
	"sync"
)

// connLimiter bounds the number of connections. At the limit, it closes the oldest connection whose request is not
// complete yet, to make room for a new one.
type connLimiter struct {
	limit int

	mu    sync.Mutex
	conns []*conn // in the order of their arrival
}

// newConnLimiter returns a limiter that allows limit connections, but at least one.
func newConnLimiter(limit int) *connLimiter { return &connLimiter{limit: max(1, limit)} }

// conn is one connection.
type conn struct {
	net.Conn
	limiter         *connLimiter
	requestComplete bool // guarded by limiter.mu; if true, the connection is not closed to make room
}

// listener limits the connections of another listener.
type listener struct {
	net.Listener
	limiter *connLimiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, limiter: l.limiter}
		if l.limiter.add(c) {
			return c, nil
		}
		nc.Close()
	}
}

// add adds a connection and reports whether there was room. There is none if all connections up to the limit have
// complete requests; those are answered soon.
func (l *connLimiter) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit {
		oldest := slices.IndexFunc(l.conns, func(c *conn) bool { return !c.requestComplete })
		if oldest < 0 {
			return false
		}
		l.conns[oldest].Conn.Close() // frees the descriptor; net/http's goroutine ends when its read fails
		l.conns = slices.Delete(l.conns, oldest, oldest+1)
	}
	l.conns = append(l.conns, c)
	return true
}

func (l *connLimiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.conns, c); i >= 0 {
		l.conns = slices.Delete(l.conns, i, i+1)
	}
}

// Close implements net.Conn. It also removes the connection from the limiter.
func (c *conn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}

// markRequestComplete records that the request is complete, so that the connection is not closed to make room.
func (c *conn) markRequestComplete() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.requestComplete = true
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFrom returns the connection of the request with context ctx, or nil if the request was not accepted by this
// package's listener.
func connFrom(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
