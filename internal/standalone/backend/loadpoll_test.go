package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"pumiceline/internal/standalone/policy"
)

// A load poll returns a report, or the outcome and error that say why there is none. Its connection can be reused for
// a request, unless the response was not read completely or more bytes followed it. A backend that does not respond
// holds the connection no longer than the context. A draining backend is not polled.
func TestPool_PollLoad(t *testing.T) {
	response := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	report := "TEXT util=0.5, qps=12"
	for name, c := range map[string]struct {
		response string
		outcome  policy.Outcome
		report   []float32
		reusable bool // the connection can be used again
	}{
		"report":            {response(200, report), policy.OK, []float32{0.5, 12}, true},
		"nothing to report": {response(200, "TEXT "), policy.OK, nil, true},
		"error status":      {response(503, report), policy.ErrorResponse, nil, true},
		"too large": {"HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n" + strings.Repeat("x", 2*MaxBufferedBody),
			policy.ErrorResponse, nil, false},
		"bytes after the response": {response(200, report) + "HTTP", policy.OK, []float32{0.5, 12}, false},
		"no response":              {"", policy.TimedOut, nil, false},
		"draining":                 {"", policy.NotSent, nil, false},
	} {
		addr, conns, requests := serveBackend(t, func(n int, conn net.Conn) bool {
			if n > 0 {
				io.WriteString(conn, okResponse)
				return true
			}
			io.WriteString(conn, c.response)
			if name == "no response" {
				_, _ = conn.Read(make([]byte, 1)) // until the pool closes the connection
			}
			return c.reusable
		})
		pool := newTestPool(addr, 9)
		pool.SetBackend(1, addr, name != "draining")
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		result := pool.PollLoad(ctx, 1)
		cancel()
		if result.Outcome != c.outcome || !slices.Equal(result.Report, c.report) || (result.Err == nil) != (result.Outcome == policy.OK) ||
			name == "draining" && requests.Load() > 0 {
			t.Errorf("%s: outcome %d, %v, %v", name, result.Outcome, result.Report, result.Err)
		}
		if c.reusable {
			ageIdleConnections(pool)
			if res := exchangePost(t, pool); res.Outcome != policy.OK || conns.Load() != 1 {
				t.Errorf("%s: then a request has outcome %d on %d connections: %v", name, res.Outcome, conns.Load(), res.Err)
			}
		} else if open := pool.OpenConnections(); open != 0 {
			t.Errorf("%s: %d connections are open", name, open)
		}
	}
}
