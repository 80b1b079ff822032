package backend

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/socket"
	"pumiceline/internal/standalone/policy"
)

// A connection that the backend has closed, or is about to close, is not reused.
func TestPool_DoesNotReuseStaleConnections(t *testing.T) {
	closed := make(chan struct{}, 2)
	addr, conns, _ := serveBackend(t, func(_ int, c net.Conn) bool {
		io.WriteString(c, okResponse)
		c.Close()
		closed <- struct{}{}
		return false
	})
	pool := newTestPool(addr, 9)
	for range 2 {
		if res := exchangePost(t, pool); res.Outcome != policy.OK {
			t.Fatalf("outcome %d, %v", res.Outcome, res.Err)
		}
		<-closed
		for len(pool.byID[1].idle) > 0 && socket.IsOpenAndEmpty(pool.byID[1].idle[0].nc) {
			time.Sleep(time.Millisecond) // the close has not arrived yet
		}
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2", conns.Load())
	}
	addr, conns, _ = serveBackend(t, func(_ int, c net.Conn) bool { io.WriteString(c, okResponse); return true })
	pool = newTestPool(addr, 9)
	exchangePost(t, pool)
	ageIdleConnections(pool)
	exchangePost(t, pool) // on the same connection
	pool.byID[1].idle[0].lastUsed = time.Now().Add(-pool.opts.IdleTimeout * 9 / 10)
	exchangePost(t, pool)
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2: the first was near the backend's idle timeout", conns.Load())
	}
}

// A connection is not reused as long as a close or a second response may still arrive on it. A request does not wait
// for that: it gets a new connection.
func TestPool_ReusesConnectionsAfterMinIdle(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		ago  []time.Duration // since the last use, in units of minIdleBeforeReuse
		want int             // index of the connection to reuse; -1: none
	}{
		{[]time.Duration{0}, -1},
		{[]time.Duration{1}, 0},
		{[]time.Duration{3, 2, 1, 0}, 2},
		{[]time.Duration{0, 0, 0}, -1},
		{[]time.Duration{4, 3}, 1},
	} {
		var idle []*conn
		for _, ago := range c.ago {
			idle = append(idle, &conn{lastUsed: now.Add(-ago * minIdleBeforeReuse)})
		}
		if got := lastReusable(idle, now); got != c.want {
			t.Errorf("last used %v times minIdleBeforeReuse ago: %d, want %d", c.ago, got, c.want)
		}
	}
	addr, conns, _ := serveBackend(t, func(_ int, c net.Conn) bool { io.WriteString(c, okResponse); return true })
	pool := newTestPool(addr, 1) // the first connection is not old enough for reuse, and has to be evicted
	for range 2 {
		if res := exchangePost(t, pool); res.Outcome != policy.OK {
			t.Fatalf("outcome %d, %v", res.Outcome, res.Err)
		}
	}
	if pool.openConns != 1 {
		t.Errorf("%d connections are open after %d were made, want 1", pool.openConns, conns.Load())
	}
}

// ageIdleConnections makes the idle connections of a pool old enough for reuse.
func ageIdleConnections(pool *Pool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, b := range pool.byID {
		for _, c := range b.idle {
			c.lastUsed = c.lastUsed.Add(-minIdleBeforeReuse)
		}
	}
}

// A second response that arrives within minIdleBeforeReuse is not sent to any client. Here it arrives just after the
// next request has been written, too late for the check before reuse, and before the response to that request.
func TestPool_DiscardsSecondResponse(t *testing.T) {
	first, second := make(chan net.Conn, 1), make(chan struct{})
	var begun atomic.Bool
	addr, conns, _ := serveBackend(t, func(n int, c net.Conn) bool {
		if begun.CompareAndSwap(false, true) {
			first <- c
			io.WriteString(c, okResponse)
			return true
		}
		<-second
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
		return true
	})
	pool := newTestPool(addr, 9)
	sent := 0
	pool.opts.OnRequestWritten = func() {
		if sent++; sent == 2 {
			io.WriteString(<-first, okResponse)
			close(second)
		}
	}
	for i, want := range []string{"42", "own", "own"} {
		if res := exchangePost(t, pool); res.Outcome != policy.OK || string(res.Response.Body) != want {
			t.Errorf("request %d: outcome %d, %v, %+v", i, res.Outcome, res.Err, res.Response)
		}
		if i == 1 {
			ageIdleConnections(pool) // now the first connection is checked, and closed because of the bytes on it
		}
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2", conns.Load())
	}
}

// The pool closes a connection that has been idle for too long to be reused, also if the policy does not close it. A
// connection that was used in the meantime stays open.
func TestPool_ClosesExpiredConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(Options{DialTimeout: time.Second, IdleTimeout: 10 * time.Second, MaxConnections: 9,
			Dial: func(context.Context, string, time.Time) (net.Conn, error) {
				proxyEnd, backendEnd := net.Pipe()
				go func() {
					br := bufio.NewReader(backendEnd)
					for {
						r, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						io.Copy(io.Discard, r.Body)
						io.WriteString(backendEnd, okResponse)
					}
				}()
				return proxyEnd, nil
			}}, slog.New(slog.DiscardHandler))
		pool.SetBackend(1, "10.0.0.1:1", true)
		for _, c := range []struct {
			wait time.Duration
			used bool
			open int
		}{{0, true, 1}, {7 * time.Second, true, 1}, {2 * time.Second, false, 1}, {6500 * time.Millisecond, false, 0}} {
			if time.Sleep(c.wait); c.used {
				exchangePost(t, pool)
			}
			if synctest.Wait(); pool.OpenConnections() != c.open {
				t.Errorf("after %v more: %d open, want %d", c.wait, pool.OpenConnections(), c.open)
			}
		}
	})
}
