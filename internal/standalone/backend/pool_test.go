package backend

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/standalone/policy"
)

// A backend that sends only malformed reports must not fill the log.
func TestPool_WarningsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		pool := NewPool(Options{}, slog.New(slog.NewTextHandler(&log, nil)))
		time.Sleep(time.Second)
		for range 300 {
			pool.warnMalformed("garbage", &backendState{}, io.EOF)
			time.Sleep(10 * time.Millisecond)
		}
		if lines := strings.Count(log.String(), "\n"); lines != 3 || !strings.Contains(log.String(), "suppressed=99") {
			t.Errorf("%d lines: %s", lines, log.String())
		}
	})
}

// A drain takes effect at once, also for an attempt that already holds a connection.
func TestPool_DrainingBackendGetsNoRequests(t *testing.T) {
	addr, _, requests := serveBackend(t, func(_ int, c net.Conn) bool { io.WriteString(c, okResponse); return true })
	pool := newTestPool(addr, 9)
	c, _ := pool.acquire(t.Context(), 1)
	pool.SetBackend(1, addr, false)
	if res, _ := pool.exchange(t.Context(), c, &Attempt{Request: newPost()}); res.Outcome != policy.NotSent {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
	pool.release(c, true)
	if res := exchangePost(t, pool); res.Outcome != policy.NotSent {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
	pool.SetBackend(1, "", false)
	if requests.Load() != 0 || pool.openConns != 0 || len(pool.byID) != 0 {
		t.Errorf("%d requests, %d open, %d backends", requests.Load(), pool.openConns, len(pool.byID))
	}
}

// The limit applies to all backends together. At the limit an idle connection is evicted; a connection in use is not.
func TestPool_MaxConnections(t *testing.T) {
	addr, _, _ := serveBackend(t, func(_ int, c net.Conn) bool { io.WriteString(c, okResponse); return true })
	pool := newTestPool(addr, 1)
	pool.SetBackend(2, addr, true)
	exchangePost(t, pool)
	c, err := pool.acquire(t.Context(), 2)
	if err != nil || pool.openConns != 1 {
		t.Fatalf("no connection (%v), or %d open", err, pool.openConns)
	}
	if res := exchangePost(t, pool); res.Outcome != policy.NotSent {
		t.Errorf("over the limit: outcome %d", res.Outcome)
	}
	pool.release(c, true)
	if pool.openConns != 1 || len(pool.byID[1].idle) != 0 || len(pool.byID[2].idle) != 1 {
		t.Errorf("%d connections open at the end", pool.openConns)
	}
}
