package fakestandalone

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"pumiceline/internal/singleton"
	"pumiceline/internal/standalone/config"
	"pumiceline/internal/standalone/discovery"
)

func entry(host, health string) discovery.Entry {
	return discovery.Entry{Host: host, Address: "127.0.0.1:9", Zone: "a", InstanceType: "k", Health: health, Size: 1}
}

// TestRosterWatch follows a watch: the whole list, then each change once and in order, also those that come between two
// lines; a watch that takes up at a version hears what came after it, one with a version from elsewhere the whole list.
func TestRosterWatch(t *testing.T) {
	r := NewDiscovery(entry("x", "SERVING"), entry("y", "SERVING"))
	server := httptest.NewServer(r)
	t.Cleanup(server.Close) // after the watches have ended: it waits for them
	watch := func(index string) *bufio.Reader {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/v1/endpoints?stream=1&index="+index, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { resp.Body.Close() })
		return bufio.NewReader(resp.Body)
	}
	next := func(b *bufio.Reader) string {
		t.Helper()
		for {
			line, err := b.ReadBytes('\n')
			if err != nil {
				t.Fatal(err)
			}
			var l update
			if json.Unmarshal(line, &l) != nil {
				continue // a heartbeat
			}
			words := []string{map[bool]string{true: "whole", false: "delta"}[l.Full]}
			for _, h := range l.Hosts {
				words = append(words, h.Host+":"+h.Health)
			}
			return strings.Join(words, " ")
		}
	}
	want := func(b *bufio.Reader, text string) {
		t.Helper()
		if got := next(b); got != text {
			t.Errorf("%q, want %q", got, text)
		}
	}
	first := watch("0")
	want(first, "whole x:SERVING y:SERVING")
	r.Put(entry("x", "DRAINING"))
	want(first, "delta x:DRAINING")
	r.Put(entry("x", "DELETED"))
	r.Put(entry("z", "SERVING"))
	got := next(first)
	if got != "delta x:DELETED z:SERVING" { // the two may come in one line or in two
		if got != "delta x:DELETED" {
			t.Errorf("%q", got)
		}
		want(first, "delta z:SERVING")
	}
	want(watch("3"), "delta x:DELETED z:SERVING")
	want(watch("99"), "whole y:SERVING z:SERVING")
	resp, err := http.Get(server.URL + "/v1/endpoints")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if !strings.Contains(string(text), `"whole":true`) || strings.Contains(string(text), `"x"`) {
		t.Errorf("list: %s", text)
	}
}

func TestDestinationAnswersAsTheProtocolSays(t *testing.T) {
	d := &Backend{Name: "d", Cores: 1, Serve: func() {}}
	ask := func(id string) *http.Response {
		req := httptest.NewRequest(http.MethodPost, "/c?q", strings.NewReader("body"))
		req.Header.Set("X-Correlation-Id", id)
		w := httptest.NewRecorder()
		d.ServeHTTP(w, req)
		return w.Result()
	}
	if got := ask("").StatusCode; got != http.StatusNotFound {
		t.Errorf("no id: %d", got)
	}
	resp := ask("1")
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), "d answers POST /c?q with 4 bytes") ||
		!strings.HasPrefix(resp.Header.Get("X-Backend-Load"), "TEXT util=") {
		t.Errorf("%d %s %v", resp.StatusCode, body, resp.Header)
	}
	d.SetErrorRatio(1)
	if got := ask("2").StatusCode; got != http.StatusInternalServerError {
		t.Errorf("failing: %d", got)
	}
	d.SetDraining(true)
	if resp := ask("3"); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Unprocessed") != "1" {
		t.Errorf("draining: %d %v", resp.StatusCode, resp.Header)
	}
	if d.Served() != 1 || d.InFlight() != 0 {
		t.Errorf("served %d, holds %d", d.Served(), d.InFlight())
	}
}

func TestClientsCountEachRequestOnce(t *testing.T) {
	var mu sync.Mutex
	n := 0
	status := []int{200, 503, 429, 500, 200}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		w.WriteHeader(status[n%len(status)])
		n++
	}))
	defer server.Close()
	c := &LoadGenerator{BaseURL: server.URL, RequestsPerSecond: 500, Classes: Classes, Tenants: Tenants}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(200*time.Millisecond))
	defer cancel()
	c.Run(ctx)
	got := c.TakeStats()
	if got.Sent != n || got.Served+got.Rejected+got.Failed != n || n < 5 {
		t.Errorf("%d asked of %d: %+v", got.Sent, n, got)
	}
	if want := (n + 4) / 5; got.Served < 2*(n/5) || got.Failed < n/5 || got.Failed > want {
		t.Errorf("%d asked: %d served, %d refused, %d failed", n, got.Served, got.Rejected, got.Failed)
	}
	if again := c.TakeStats(); again.Sent != 0 {
		t.Errorf("taken twice: %+v", again)
	}
}

func TestConfigIsOneThatTheProxyTakes(t *testing.T) {
	text, err := ProxyConfig("127.0.0.1:1", "127.0.0.1:2", []string{"a", "b"})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err != nil || len(cfg.Policy.Classes) != len(Classes) {
		t.Errorf("%v", err)
	}
}

// What a recorder took it still knows after it has started anew: older effects stay refused, and a line that was cut off by its end counts as never
// acknowledged.
func TestRecorderStartsAnew(t *testing.T) {
	file := t.TempDir() + "/effects"
	send := func(r *Recorder, e singleton.Effect) int {
		text, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest("POST", "/effects", bytes.NewReader(text)))
		return w.Code
	}
	first, err := NewRecorder(file)
	if err != nil {
		t.Fatal(err)
	}
	if a, b := send(first, singleton.Effect{Role: "w", Token: 2, Serial: 1}), send(first, singleton.Effect{Role: "w", Token: 1, Serial: 9}); a != 200 || b != 409 {
		t.Errorf("%d, then %d", a, b)
	}
	first.Close()
	whole, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, append(whole, `{"work":"w","token":3,"ser`...), 0o600); err != nil {
		t.Fatal(err)
	}
	again, err := NewRecorder(file)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if late, next := send(again, singleton.Effect{Role: "w", Token: 1, Serial: 10}), send(again, singleton.Effect{Role: "w", Token: 2, Serial: 2}); late != 409 || next != 200 {
		t.Errorf("%d, then %d", late, next)
	}
	if n := len(again.Accepted()); n != 2 {
		t.Errorf("%d effects count", n)
	}
}
