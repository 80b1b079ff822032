package admin

import (
	"context"
	"net"
	"slices"
	"sync"
)

// connLimiter bounds the number of connections. At the limit, the oldest one whose request is not complete yet is closed for
// the next one.
type connLimiter struct {
	limit int

	mu    sync.Mutex
	conns []*conn // in the order of their arrival
}

// newConnLimiter returns a limiter of at least one connection.
func newConnLimiter(limit int) *connLimiter { return &connLimiter{limit: max(1, limit)} }

// conn is one connection.
type conn struct {
	net.Conn
	limiter         *connLimiter
	requestComplete bool // guarded by limiter.mu; such a connection is not closed in favour of others
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

// add adds a connection. It returns false at the limit if all connections have complete requests, which are answered soon.
func (l *connLimiter) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit {
		oldest := slices.IndexFunc(l.conns, func(c *conn) bool { return !c.requestComplete })
		if oldest < 0 {
			return false
		}
		l.conns[oldest].Conn.Close() // frees the descriptor; the connection's server goroutine ends by itself
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

// Close implements net.Conn. The connection does not count against the limit any more.
func (c *conn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}

// markRequestComplete notes that the request is complete, so that the connection is not closed in favour of others.
func (c *conn) markRequestComplete() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.requestComplete = true
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFrom returns the connection of a request, nil in a request that did not come through this package's listener.
func connFrom(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
