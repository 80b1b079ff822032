package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"pumiceline/internal/standalone/policy"
)

// checkOpenConnections waits until the pool has want connections, all of them idle. A connection that is about to be
// closed still counts as open, and a connection is released just after the reader has seen the end of its response. The
// wait hides no connection that is kept wrongly: it would stay open for the pool's idle timeout, a minute.
func checkOpenConnections(t *testing.T, pool *Pool, want int) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for pool.OpenConnections() != want || pool.TableSizes().IdleConnections != want {
		if time.Now().After(deadline) {
			t.Errorf("%d connections are open, %d of them idle, want %d", pool.OpenConnections(),
				pool.TableSizes().IdleConnections, want)
			return
		}
		runtime.Gosched()
	}
}

// serveOnce starts a backend that sends one response, and reports the result of writing it.
func serveOnce(t *testing.T, respond func(c net.Conn) error) (pool *Pool, written chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	written = make(chan error, 1)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		var b [1024]byte
		nc.Read(b[:])
		err = respond(nc)
		written <- err
		if err == nil {
			io.Copy(io.Discard, nc) // the connection stays open, so that it does not mark the end of the response
		}
	}()
	pool = NewPool(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConnections: 9}, slog.New(slog.DiscardHandler))
	pool.SetBackend(1, ln.Addr().String(), true)
	return pool, written
}

func exchangeGet(t *testing.T, pool *Pool, within time.Duration) Result {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(within))
	defer cancel()
	req, err := http.NewRequest(http.MethodGet, "http://d/quote", nil)
	if err != nil {
		t.Fatal(err)
	}
	return pool.Exchange(ctx, 1, Attempt{Request: req})
}

var errCloseConn = errors.New("the backend closes the connection")

func writeChunks(c net.Conn, n, size int) error {
	for range n {
		if _, err := fmt.Fprintf(c, "%x;ext=1\r\n%s\r\n", size, strings.Repeat("x", size)); err != nil {
			return err
		}
	}
	return nil
}

// A large response is streamed, whatever its framing. A truncated one ends with an error that is not io.EOF. The
// connection is released if it can be used again, although the attempt has ended.
func TestPool_StreamedResponses(t *testing.T) {
	const long = 300_000
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		response func(c net.Conn) error
		size     int // of the body; -1: reading it must fail
		open     int // connections open at the end
	}{
		"in pieces": {func(c net.Conn) error {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", long)
			for range 10 {
				io.WriteString(c, strings.Repeat("x", long/10))
				time.Sleep(20 * time.Millisecond)
			}
			return nil
		}, long, 1},
		"pause after the first byte": {func(c net.Conn) error {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", long)
			time.Sleep(2 * streamDelay)
			io.WriteString(c, strings.Repeat("x", long-1))
			return nil
		}, long, 1},
		"chunked": {func(c net.Conn) error {
			io.WriteString(c, chunked)
			if err := writeChunks(c, 100, 50_000); err != nil {
				return err
			}
			_, err := io.WriteString(c, "0\r\nX-Trailer: a\r\n\r\n")
			return err
		}, 5_000_000, 1},
		"delimited by close": {func(c net.Conn) error {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("x", long))
			return errCloseConn
		}, long, 0},
		"truncated": {func(c net.Conn) error {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", long, strings.Repeat("x", MaxBufferedBody))
			time.Sleep(20 * time.Millisecond)
			return errCloseConn
		}, -1, 0},
		"last chunk missing": {func(c net.Conn) error {
			io.WriteString(c, chunked)
			writeChunks(c, 3, 50_000)
			time.Sleep(20 * time.Millisecond)
			return errCloseConn
		}, -1, 0},
		"endless": {func(c net.Conn) error {
			io.WriteString(c, chunked)
			return writeChunks(c, MaxStreamedBody/50_000+9, 50_000)
		}, -1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pool, _ := serveOnce(t, c.response)
			res := exchangeGet(t, pool, time.Minute)
			if res.Outcome != policy.OK || res.Response.Stream == nil {
				t.Fatalf("outcome %d, %v", res.Outcome, res.Err)
			}
			n, err := io.Copy(io.Discard, res.Response.Stream)
			if c.size >= 0 && (err != nil || int(n) != c.size) || c.size < 0 && err == nil {
				t.Errorf("%d bytes, %v", n, err)
			}
			res.Response.Stream.Close()
			checkOpenConnections(t, pool, c.open)
		})
	}
}

// A small response without a length is served only when it is complete, even if it is slow. A response that does not
// end before the deadline times out.
func TestPool_SmallResponsesAreBuffered(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	pool, _ := serveOnce(t, func(c net.Conn) error {
		io.WriteString(c, chunked+"1\r\nx\r\n")
		time.Sleep(2 * streamDelay)
		io.WriteString(c, "1\r\ny\r\n0\r\n\r\n")
		return nil
	})
	res := exchangeGet(t, pool, time.Minute)
	if res.Outcome != policy.OK || res.Response.Stream != nil || string(res.Response.Body) != "xy" {
		t.Errorf("%+v", res)
	}
	pool, _ = serveOnce(t, func(c net.Conn) error {
		_, err := io.WriteString(c, chunked)
		return err
	})
	if res := exchangeGet(t, pool, 200*time.Millisecond); res.Outcome != policy.TimedOut || pool.OpenConnections() != 0 {
		t.Errorf("no byte of the body arrived: outcome %d, %v, %d connections", res.Outcome, res.Err, pool.OpenConnections())
	}
}

// If the client reads more slowly than the backend writes, the backend is blocked: the buffer does not grow with the
// response. Close disconnects the backend.
func TestStream_SlowReadersBlockBackend(t *testing.T) {
	pool, written := serveOnce(t, func(c net.Conn) error {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", MaxStreamedBody)
		_, err := io.WriteString(c, strings.Repeat("x", MaxStreamedBody))
		return err
	})
	res := exchangeGet(t, pool, 300*time.Millisecond)
	if res.Outcome != policy.OK || res.Response.Stream == nil {
		t.Fatalf("outcome %d, %v", res.Outcome, res.Err)
	}
	s := res.Response.Stream.(*stream)
	time.Sleep(500 * time.Millisecond) // past the attempt's end, which must not end the response
	s.mu.Lock()
	buffered, err := len(s.buffered), s.err
	s.mu.Unlock()
	if buffered > MaxBufferedBody+copyBufferBytes || err != nil {
		t.Errorf("%d bytes are buffered, %v", buffered, err)
	}
	if len(written) > 0 {
		t.Error("the backend wrote 32 MiB although the client read nothing")
	}
	if _, err := io.CopyN(io.Discard, s, MaxStreamedBody/2); err != nil {
		t.Errorf("reading half of the body: %v", err)
	}
	s.Close()
	if err := <-written; err == nil {
		t.Error("the backend wrote all of a response that was closed")
	}
	if pool.OpenConnections() != 0 {
		t.Errorf("%d connections are open", pool.OpenConnections())
	}
}

// delayedConn is a connection whose reads wait until proceed is closed.
type delayedConn struct {
	net.Conn
	proceed <-chan struct{}
}

func (h *delayedConn) Read(b []byte) (int, error) {
	<-h.proceed
	return h.Conn.Read(b)
}

// A response without a length is complete if its connection is closed without a reset. After a reset it is incomplete,
// whether the reset arrives together with the last bytes or after bytes have been forwarded, and whether the response
// is small or large.
func TestPool_ResetMakesResponseIncomplete(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	sizes := map[string]int{
		"empty":            0,
		"short":            100,
		"a copy buffer":    copyBufferBytes,
		"largest buffered": MaxBufferedBody,
		"long":             300_000,
	}
	for name, size := range sizes {
		for _, reset := range []bool{true, false} {
			proceed := make(chan struct{})
			pool, written := serveOnce(t, func(c net.Conn) error {
				if _, err := io.WriteString(c, head+strings.Repeat("x", size)); err != nil {
					return err
				}
				if reset {
					if err := c.(*net.TCPConn).SetLinger(0); err != nil {
						return err
					}
				}
				c.Close()
				if size < 300_000 { // all bytes and the end have arrived before the first is read
					close(proceed)
				}
				return errCloseConn
			})
			if size == 300_000 {
				close(proceed)
			}
			pool.opts.Dial = func(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
				nc, err := DialTCP(ctx, addr, by)
				return &delayedConn{nc, proceed}, err
			}
			res := exchangeGet(t, pool, 20*time.Second)
			<-written
			isComplete := res.Outcome == policy.OK
			if isComplete && res.Response.Stream != nil {
				n, err := io.Copy(io.Discard, res.Response.Stream)
				isComplete = err == nil && int(n) == size
				res.Response.Stream.Close()
			} else if isComplete {
				isComplete = len(res.Response.Body) == size
			}
			if isComplete == reset {
				t.Errorf("%s, reset %v: complete %v; outcome %d, %v", name, reset, isComplete, res.Outcome, res.Err)
			}
			checkOpenConnections(t, pool, 0)
		}
	}
}
