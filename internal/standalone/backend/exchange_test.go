package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/standalone/policy"
)

// serveBackend starts a backend that passes each request of a connection to respond, with the number of the request
// on the connection, and closes the connection when respond returns false. It counts connections and requests.
func serveBackend(t *testing.T, respond func(n int, c net.Conn) (keepOpen bool)) (addr string, conns, requests *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns, requests = new(atomic.Int32), new(atomic.Int32)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					requests.Add(1)
					if !respond(n, c) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), conns, requests
}

func newTestPool(addr string, maxConnections int) *Pool {
	pool := NewPool(Options{DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxConnections: maxConnections,
		ReportColumns: []string{"cpu", "rps"}}, slog.New(slog.DiscardHandler))
	pool.SetBackend(1, addr, true)
	return pool
}

func newPost() *http.Request {
	return &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/issue-policy?a=%zz;b"}, Host: "api.internal",
		Header: http.Header{"Idempotency-Key": {"k1"}, "X-Correlation-Id": {"id1"}}}
}

func exchangePost(t *testing.T, pool *Pool) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	return pool.Exchange(ctx, 1, Attempt{Request: newPost(), Body: Body{Buffered: []byte("body")}})
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n42"

func TestPool_ExchangeOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		text string // what the backend sends before it closes the connection
		want policy.Outcome
	}{
		"served":                {okResponse, policy.OK},
		"chunked":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n42\r\n0\r\n\r\n", policy.OK},
		"interim":               {"HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, policy.OK},
		"error":                 {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", policy.ErrorResponse},
		"503, unprocessed":      {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", policy.Rejected},
		"504, unprocessed":      {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", policy.Rejected},
		"503, perhaps executed": {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", policy.ErrorResponse},
		"429":                   {"HTTP/1.1 429 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", policy.ErrorResponse},
		"no response":           {"", policy.ConnectionReset},
		"half a head":           {"HTTP/1.1 200 OK\r\nConte", policy.ConnectionReset},
		"half a body":           {okResponse[:len(okResponse)-1], policy.ConnectionReset},
		"half a chunk":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n42", policy.ConnectionReset},
		"delimited by close":    {"HTTP/1.1 200 OK\r\n\r\n42", policy.OK},
		"protocol switch":       {"HTTP/1.1 101 Switching Protocols\r\n\r\n", policy.ErrorResponse},
		"garbage":               {"\x00\x01\x02 garbage\r\n\r\n", policy.ErrorResponse},
		"body too long": {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", MaxStreamedBody+1) +
			strings.Repeat("x", MaxBufferedBody), policy.ErrorResponse},
		"long error":          {"HTTP/1.1 500 No\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("x", 400_000), policy.ErrorResponse},
		"largest buffered":    {"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 65536), policy.OK},
		"endless head":        {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200<<10) + "\r\n\r\n", policy.ErrorResponse},
		"endless interim":     {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50), policy.ErrorResponse},
		"conflicting lengths": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n42", policy.ErrorResponse},
		"repeated length":     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n42", policy.ErrorResponse},
		"extra bytes":         {okResponse + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", policy.OK},
		"length and encoding": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n42\r\n0\r\n\r\n", policy.ErrorResponse},
		"length of 3 GB":      {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n42", policy.ErrorResponse},
		"malformed report":    {"HTTP/1.1 200 OK\r\nX-Backend-Load: garbage=,=\r\nContent-Length: 0\r\n\r\n", policy.OK},
	} {
		addr, _, requests := serveBackend(t, func(_ int, conn net.Conn) bool {
			io.WriteString(conn, c.text)
			return false
		})
		res := exchangePost(t, newTestPool(addr, 9))
		if res.Outcome != c.want || requests.Load() != 1 || (res.Response != nil) != (c.want == policy.OK) {
			t.Errorf("%s: outcome %d (%v), want %d; %d requests", name, res.Outcome, res.Err, c.want, requests.Load())
		}
	}
}

func TestPool_RefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if res := exchangePost(t, newTestPool(ln.Addr().String(), 9)); res.Outcome != policy.ConnectFailed {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
}

// If a reused connection breaks after the request was written, the outcome is a reset, and the request is not written
// again. http.Transport would write it again, because it has an Idempotency-Key.
func TestPool_ExchangeWritesRequestOnce(t *testing.T) {
	addr, conns, requests := serveBackend(t, func(n int, c net.Conn) bool {
		if n == 0 {
			io.WriteString(c, okResponse)
		}
		return n == 0
	})
	pool := newTestPool(addr, 9)
	first := exchangePost(t, pool)
	ageIdleConnections(pool)
	second := exchangePost(t, pool)
	if first.Outcome != policy.OK || second.Outcome != policy.ConnectionReset {
		t.Errorf("outcomes %d, %d (%v)", first.Outcome, second.Outcome, second.Err)
	}
	if conns.Load() != 1 || requests.Load() != 2 {
		t.Errorf("%d connections and %d requests, want 1 and 2", conns.Load(), requests.Load())
	}
}

// If a connection breaks before the last byte was written, the request was not executed, and the policy may send even a
// request with an idempotency key to any backend.
func TestPool_BreakBeforeLastByteIsConnectFailed(t *testing.T) {
	pool := newTestPool("127.0.0.1:1", 9)
	proxyEnd, backendEnd := net.Pipe() // a pipe has no buffer: bytes count as written only once they are read
	go func() {
		io.ReadFull(backendEnd, make([]byte, 10))
		backendEnd.Close()
	}()
	attempt := &Attempt{Request: newPost(), Body: Body{Buffered: []byte("body")}}
	res, reusable := pool.exchange(t.Context(), &conn{nc: proxyEnd, backend: pool.byID[1]}, attempt)
	if res.Outcome != policy.ConnectFailed || reusable {
		t.Errorf("outcome %d, %v, reusable %v", res.Outcome, res.Err, reusable)
	}
}

func TestPool_CancelClosesConnection(t *testing.T) {
	requested, disconnected := make(chan struct{}), make(chan struct{})
	addr, _, _ := serveBackend(t, func(_ int, c net.Conn) bool {
		requested <- struct{}{}
		c.Read(make([]byte, 1))
		close(disconnected)
		return false
	})
	pool := newTestPool(addr, 9)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-requested
		cancel()
	}()
	if res := pool.Exchange(ctx, 1, Attempt{Request: newPost()}); res.Outcome != policy.Canceled {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
	<-disconnected
	ctx, cancel = context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	if res := pool.Exchange(ctx, 1, Attempt{Request: newPost()}); res.Outcome != policy.NotSent {
		t.Errorf("deadline passed before anything was sent: outcome %d, %v", res.Outcome, res.Err)
	}
	if pool.openConns != 0 {
		t.Errorf("%d connections still count as open", pool.openConns)
	}
}

// WriteBy is enforced during the write, not only before the attempt: it may pass while the connection is being made, or
// while the backend reads the request slowly. The outcome does not count against the backend.
func TestPool_WritesNothingAfterWriteBy(t *testing.T) {
	for name, c := range map[string]struct {
		connecting time.Duration // how long the dial takes
		reads      int           // how many bytes the backend reads
		want       policy.Outcome
	}{
		"in time":                 {250 * time.Millisecond, 1 << 20, policy.OK},
		"passed while connecting": {300 * time.Millisecond, 1 << 20, policy.NotSent},
		"passed while writing":    {0, 20, policy.NotSent},
	} {
		synctest.Test(t, func(t *testing.T) {
			proxyEnd, backendEnd := net.Pipe()
			pool := NewPool(Options{DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxConnections: 9,
				Dial: func(context.Context, string, time.Time) (net.Conn, error) {
					time.Sleep(c.connecting)
					return proxyEnd, nil
				}},
				slog.New(slog.DiscardHandler))
			pool.SetBackend(1, "a", true)
			got := 0
			go func() {
				for b := make([]byte, 1); got < c.reads; got++ {
					if _, err := backendEnd.Read(b); err != nil {
						return
					} else if b[0] == '!' { // the body's last byte
						_, _ = io.WriteString(backendEnd, okResponse)
						return
					}
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			start := time.Now()
			attempt := Attempt{Request: newPost(), Body: Body{Buffered: []byte("body!")}, WriteBy: start.Add(300 * time.Millisecond)}
			res := pool.Exchange(ctx, 1, attempt)
			if res.Outcome != c.want || c.connecting == 300*time.Millisecond && got > 0 || time.Since(start) > 300*time.Millisecond {
				t.Errorf("%s: outcome %d (%v) after %v, %d bytes arrived", name, res.Outcome, res.Err, time.Since(start), got)
			}
			proxyEnd.Close()
			time.Sleep(2 * time.Minute) // until the pool has closed the connection
		})
	}
}

// A backend that rejects a request before it has read it completely, and closes the connection with unread bytes,
// resets the connection. Either the response, which has arrived before the reset, is read, or the last byte of the
// request was not written. Both prove that the request was not executed.
func TestPool_ReadsEarlyRejection(t *testing.T) {
	for name, size := range map[string]int{"short": 100, "largest buffered": MaxBufferedBody, "larger than all buffers": 20 << 20} {
		proceed := make(chan struct{})
		pool, _ := serveOnce(t, func(c net.Conn) error {
			defer close(proceed)
			if _, err := io.WriteString(c, "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 5\r\n\r\nbusy\n"); err != nil {
				return err
			}
			return c.Close()
		})
		pool.opts.Dial = func(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
			nc, err := DialTCP(ctx, addr, by)
			return &delayedConn{nc, proceed}, err
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		res := pool.Exchange(ctx, 1, Attempt{Request: newPost(), Body: Body{Buffered: []byte(strings.Repeat("x", size))}})
		cancel()
		if res.Outcome != policy.Rejected && res.Outcome != policy.ConnectFailed {
			t.Errorf("%s: outcome %d, %v", name, res.Outcome, res.Err)
		}
	}
}
