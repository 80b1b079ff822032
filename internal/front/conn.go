package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"pumiceline/internal/framing"
)

// clientConn is a front socket that watches how the requests coming in on it are delimited.
type clientConn struct {
	net.Conn
	scanner framing.Scanner

	waiting atomic.Bool  // a Read is under way
	handled atomic.Int32 // requests that came to the handler
	coded   atomic.Int32 // the number of the request with a Transfer-Encoding, from 1; 0: none yet
	both    atomic.Bool  // which has a Content-Length too
}

// Read notes the heads that pass. net/http reads on one goroutine at a time, which need not be the handler's.
func (c *clientConn) Read(b []byte) (int, error) {
	c.waiting.Store(true)
	n, err := c.Conn.Read(b)
	c.waiting.Store(false)
	if c.coded.Load() == 0 {
		c.scanner.Scan(b[:n])
		c.both.Store(c.scanner.Both)
		c.coded.Store(c.scanner.Coded)
	}
	return n, err
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// delimited counts a request that came to the handler, and returns whether its body has a Transfer-Encoding and whether
// a length as well. Behind such a request the scanner is lost, which is why it is its connection's last.
func delimited(r *http.Request) (coded, both bool) {
	c, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return false, false
	}
	coded = c.coded.Load() == c.handled.Add(1)
	return coded, coded && c.both.Load()
}
