package front

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// clientConn is a front socket that watches how the requests coming in on it are delimited. net/http drops a
// Content-Length that stands beside a Transfer-Encoding without a word, so that no handler can tell; but whoever wrote
// such a request may mean its end to be elsewhere, and have hidden another request in its body.
type clientConn struct {
	net.Conn
	framing framing

	handled int32        // requests that came to the handler
	coded   atomic.Int32 // the number of the request with a Transfer-Encoding, from 1; 0: none yet
	both    atomic.Bool  // which has a Content-Length too
}

// Read notes the heads that pass. net/http reads on one goroutine at a time.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.coded.Load() == 0 {
		if c.framing.scan(b[:n]) {
			c.both.Store(c.framing.length)
			c.coded.Store(c.framing.heads)
		}
	}
	return n, err
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// delimited counts a request that came to the handler, and returns whether its body has a Transfer-Encoding and whether
// a length as well.
func delimited(r *http.Request) (coded, both bool) {
	c, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return false, false
	}
	c.handled++
	coded = c.coded.Load() == c.handled
	return coded, coded && c.both.Load()
}

// framing follows a connection's bytes from head to head. It goes by lines and lengths as net/http does; what net/http
// would not take ends the connection there, so that it does not matter what is made of it here. Behind the first
// head with a Transfer-Encoding it is lost, which is why that request is the connection's last.
type framing struct {
	heads  int32 // whole heads seen
	name   []byte
	named  bool // the line's name is complete
	field  byte // which one it is: 'l' a length, 'c' a coding
	value  int64
	length bool
	coding bool
	skip   int64 // bytes of the body to come
}

const longestName = len("transfer-encoding")

// scan takes in the next bytes. It returns true at the end of a head with a Transfer-Encoding.
func (f *framing) scan(b []byte) bool {
	for len(b) > 0 {
		if f.skip > 0 {
			n := min(f.skip, int64(len(b)))
			f.skip -= n
			b = b[n:]
			continue
		}
		if f.named && f.field == 0 { // nothing in the rest of the line counts
			i := bytes.IndexByte(b, '\n')
			if i < 0 {
				return false
			}
			b = b[i:]
		}
		x := b[0]
		b = b[1:]
		switch {
		case x == '\n':
			if f.line() {
				return true
			}
		case f.field == 'l' && x >= '0' && x <= '9' && f.value < 1<<40:
			f.value = f.value*10 + int64(x-'0')
		case f.named || x == '\r':
		case x == ':':
			f.named = true
			switch {
			case bytes.EqualFold(f.name, []byte("content-length")):
				f.field, f.length, f.value = 'l', true, 0
			case bytes.EqualFold(f.name, []byte("transfer-encoding")):
				f.field, f.coding = 'c', true
			}
		case len(f.name) > longestName:
			f.named = true // no name that counts is as long
		default:
			f.name = append(f.name, x)
		}
	}
	return false
}

// line ends a line, and with an empty one the head.
func (f *framing) line() (lost bool) {
	empty := len(f.name) == 0 && !f.named
	f.name, f.named, f.field = f.name[:0], false, 0
	if !empty {
		return false
	}
	f.heads++
	if f.coding {
		return true
	}
	f.skip, f.value, f.length = f.value, 0, false
	return false
}
