package admin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumiceline/internal/standalone/maintenance"
	"pumiceline/internal/standalone/metrics"
)

// startAPI serves an API until the test ends and returns its address.
func startAPI(t *testing.T, opts Options) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opts.Log = slog.New(slog.DiscardHandler)
	if opts.Metrics == nil {
		opts.Metrics = metrics.New().Handler()
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- New(opts).Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// send sends a request on a connection of its own and returns the response and its body.
func send(t *testing.T, addr, request string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, request)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.40q: %v", request, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("%.40q: %v", request, err)
	}
	return resp, string(body)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: op\r\n\r\n" }

// The API serves readiness and metrics, and rejects unknown paths, wrong methods and incomplete requests.
func TestAPI_ServesReadinessAndMetrics(t *testing.T) {
	var ready atomic.Bool
	registry := metrics.New()
	registry.SetClasses([]string{"quote"})
	registry.RequestEnded("quote", metrics.Rejected)
	addr := startAPI(t, Options{MaxConnections: 3, Metrics: registry.Handler(), Ready: func() error {
		if !ready.Load() {
			return errors.New("no pool config yet")
		}
		return nil
	}})
	if resp, body := send(t, addr, get("/v1/readyz")); resp.StatusCode != 503 || !strings.Contains(body, "no pool config yet") {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	ready.Store(true)
	if resp, _ := send(t, addr, get("/v1/readyz")); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%d, close %v: the connection must not be reused", resp.StatusCode, resp.Close)
	}
	_, body := send(t, addr, get("/v1/metrics"))
	for _, line := range []string{`svc_answered_total{group="quote"} 0`, `svc_deferred_total{group="quote"} 1`, "svc_sends_total 0"} {
		if !strings.Contains(body, line+"\n") {
			t.Errorf("%s is not in\n%s", line, body)
		}
	}
	for request, status := range map[string]int{
		get("/v1/nothing"): 404, get("/ready"): 404,
		"POST /v1/readyz HTTP/1.1\r\nHost: op\r\nContent-Length: 0\r\n\r\n":     405,
		"POST /v1/readyz HTTP/1.1\r\nHost: op\r\nContent-Length: 9000\r\n\r\nx": 400, // incomplete body: no effect, and a response in time
	} {
		resp, _ := send(t, addr, request)
		if resp.StatusCode != status || status == 405 && resp.Header.Get("Allow") == "" {
			t.Errorf("%.40q: %d %v", request, resp.StatusCode, resp.Header)
		}
	}
}

// Connections without a complete request do not delay other requests, even if there are many more of them than
// MaxConnections.
func TestAPI_EvictsIncompleteRequests(t *testing.T) {
	addr := startAPI(t, Options{MaxConnections: 4, Ready: func() error { return nil }})
	for i := range 50 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /v1/rea")
		}
	}
	start := time.Now()
	for range 20 {
		if resp, _ := send(t, addr, get("/v1/readyz")); resp.StatusCode != 200 {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	if took := time.Since(start); took > requestTimeout {
		t.Errorf("20 requests took %v: they waited for incomplete requests to time out", took)
	}
}

// A request names a backend by its escaped ID. Unknown backends, paths and methods get a 4xx, and a change that cannot
// be stored gets a 500.
func TestAPI_DisablesAndEnablesBackends(t *testing.T) {
	var mu sync.Mutex
	disabled := map[string]bool{}
	set := func(to bool) func(string) error {
		return func(backend string) error {
			mu.Lock()
			defer mu.Unlock()
			switch backend {
			case "s/1":
				disabled[backend] = to
				return nil
			case "full":
				return errors.New("no room on the disk")
			}
			return maintenance.ErrUnknownBackend
		}
	}
	addr := startAPI(t, Options{MaxConnections: 4, Ready: func() error { return nil }, Disable: set(true), Enable: set(false)})
	for _, c := range []struct {
		request  string
		status   int
		disabled bool // whether s/1 is disabled afterwards
	}{
		{"POST /v1/backends/s%2F1/suspend", 200, true}, {"POST /v1/backends/s%2F1/suspend", 200, true},
		{"POST /v1/backends/nobody/suspend", 404, true}, {"POST /v1/backends//suspend", 404, true},
		{"GET /v1/backends/s%2F1/resume", 405, true}, {"POST /v1/backends/s%2F1/drop", 404, true},
		{"POST /v1/backends/full/resume", 500, true}, {"POST /v1/backends/s%2F1/resume", 200, false},
	} {
		resp, body := send(t, addr, c.request+" HTTP/1.1\r\nHost: op\r\nContent-Length: 0\r\n\r\n")
		if mu.Lock(); resp.StatusCode != c.status || disabled["s/1"] != c.disabled {
			t.Errorf("%s: %d %s, disabled %v", c.request, resp.StatusCode, body, disabled)
		}
		mu.Unlock()
	}
}
