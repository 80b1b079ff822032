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

// A probe tells a report or why there is none. It leaves its connection for a request, unless the answer is of a kind after which
// nothing more can be read; a destination that says nothing holds it no longer than its caller; one that drains is not asked.
func TestProbes(t *testing.T) {
	say := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	report := "TEXT util=0.5, qps=12"
	for name, c := range map[string]struct {
		answer  string
		outcome policy.Outcome
		report  []float32
		keeps   bool
	}{
		"report":            {say(200, report), policy.OK, []float32{0.5, 12}, true},
		"nothing to tell":   {say(200, "TEXT "), policy.OK, nil, true},
		"unwell":            {say(503, report), policy.ErrorResponse, nil, true},
		"longer than any":   {"HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n" + strings.Repeat("x", 2*MaxBufferedBody), policy.ErrorResponse, nil, false},
		"more than belongs": {say(200, report) + "HTTP", policy.OK, []float32{0.5, 12}, false},
		"silence":           {"", policy.TimedOut, nil, false},
		"draining":          {"", policy.NotSent, nil, false},
	} {
		addr, conns, requests := serve(t, func(n int, conn net.Conn) bool {
			if n > 0 {
				io.WriteString(conn, ok)
				return true
			}
			io.WriteString(conn, c.answer)
			if name == "silence" {
				time.Sleep(time.Second)
			}
			return c.keeps
		})
		f := fleet(addr, 9)
		f.SetBackend(1, addr, name != "draining")
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		outcome, report, err := f.PollLoad(ctx, 1)
		cancel()
		if outcome != c.outcome || !slices.Equal(report, c.report) || (err == nil) != (outcome == policy.OK) || name == "draining" && requests.Load() > 0 {
			t.Errorf("%s: outcome %d, %v, %v", name, outcome, report, err)
		}
		if c.keeps {
			letRest(f)
			if res := exchange(t, f); res.Outcome != policy.OK || conns.Load() != 1 {
				t.Errorf("%s: then a request has outcome %d on %d connections: %v", name, res.Outcome, conns.Load(), res.Err)
			}
		} else if open := f.OpenConnections(); open != 0 {
			t.Errorf("%s: %d connections are left", name, open)
		}
	}
}
