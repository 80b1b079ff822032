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

// open starts a door on a free address.
func open(t *testing.T, opts Options) string {
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

// call says text on a connection of its own and returns the answer.
func call(t *testing.T, addr, text string) (*http.Response, string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
	return resp, string(body)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: op\r\n\r\n" }

func TestCalls(t *testing.T) {
	var ready atomic.Bool
	figures := metrics.New()
	figures.SetClasses([]string{"quote"})
	figures.RequestEnded("quote", metrics.Rejected)
	addr := open(t, Options{MaxConnections: 3, Metrics: figures.Handler(), Ready: func() error {
		if !ready.Load() {
			return errors.New("no pool config yet")
		}
		return nil
	}})
	if resp, body := call(t, addr, get("/v1/readyz")); resp.StatusCode != 503 || !strings.Contains(body, "no pool config yet") {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	ready.Store(true)
	if resp, _ := call(t, addr, get("/v1/readyz")); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%d, close %v: one call to a connection", resp.StatusCode, resp.Close)
	}
	_, body := call(t, addr, get("/v1/metrics"))
	for _, line := range []string{`svc_answered_total{group="quote"} 0`, `svc_deferred_total{group="quote"} 1`, "svc_sends_total 0"} {
		if !strings.Contains(body, line+"\n") {
			t.Errorf("%s is not in\n%s", line, body)
		}
	}
	for text, status := range map[string]int{
		get("/v1/nothing"): 404, get("/ready"): 404,
		"POST /v1/readyz HTTP/1.1\r\nHost: op\r\nContent-Length: 0\r\n\r\n":     405,
		"POST /v1/readyz HTTP/1.1\r\nHost: op\r\nContent-Length: 9000\r\n\r\nx": 400, // half a body: no effect, and an answer in time
	} {
		resp, _ := call(t, addr, text)
		if resp.StatusCode != status || status == 405 && resp.Header.Get("Allow") == "" {
			t.Errorf("%.40q: %d %v", text, resp.StatusCode, resp.Header)
		}
	}
}

// Callers that send nothing, or half a call, cost no other its answer, however many they are.
func TestHalfCallsMakeWay(t *testing.T) {
	addr := open(t, Options{MaxConnections: 4, Ready: func() error { return nil }})
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
	begin := time.Now()
	for range 20 {
		if resp, _ := call(t, addr, get("/v1/readyz")); resp.StatusCode != 200 {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	if took := time.Since(begin); took > requestTimeout {
		t.Errorf("20 calls took %v: they waited for the silent ones", took)
	}
}

// A call names a host by its id, unescaped; what is refused is a 4xx.
func TestHands(t *testing.T) {
	var mu sync.Mutex
	out := map[string]bool{}
	say := func(to bool) func(string) error {
		return func(host string) error {
			mu.Lock()
			defer mu.Unlock()
			switch host {
			case "s/1":
				out[host] = to
				return nil
			case "full":
				return errors.New("no room on the disk")
			}
			return maintenance.ErrUnknownBackend
		}
	}
	addr := open(t, Options{MaxConnections: 4, Ready: func() error { return nil }, Disable: say(true), Enable: say(false)})
	for _, c := range []struct {
		call   string
		status int
		out    bool
	}{
		{"POST /v1/backends/s%2F1/suspend", 200, true}, {"POST /v1/backends/s%2F1/suspend", 200, true},
		{"POST /v1/backends/nobody/suspend", 404, true}, {"POST /v1/backends//suspend", 404, true},
		{"GET /v1/backends/s%2F1/resume", 405, true}, {"POST /v1/backends/s%2F1/drop", 404, true},
		{"POST /v1/backends/full/resume", 500, true}, {"POST /v1/backends/s%2F1/resume", 200, false},
	} {
		resp, body := call(t, addr, c.call+" HTTP/1.1\r\nHost: op\r\nContent-Length: 0\r\n\r\n")
		if mu.Lock(); resp.StatusCode != c.status || out["s/1"] != c.out {
			t.Errorf("%s: %d %s, out %v", c.call, resp.StatusCode, body, out)
		}
		mu.Unlock()
	}
}
