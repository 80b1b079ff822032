package fakestandalone

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

func TestLoadGenerator_CountsEachRequestOnce(t *testing.T) {
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
	g := &LoadGenerator{BaseURL: server.URL, RequestsPerSecond: 500, Classes: Classes, Tenants: Tenants}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(200*time.Millisecond))
	defer cancel()
	g.Run(ctx)
	got := g.TakeStats()
	if got.Sent != n || got.Served+got.Rejected+got.Failed != n || n < 5 {
		t.Errorf("%d sent of %d: %+v", got.Sent, n, got)
	}
	if want := (n + 4) / 5; got.Served < 2*(n/5) || got.Failed < n/5 || got.Failed > want {
		t.Errorf("%d sent: %d served, %d rejected, %d failed", n, got.Served, got.Rejected, got.Failed)
	}
	if again := g.TakeStats(); again.Sent != 0 {
		t.Errorf("taken twice: %+v", again)
	}
}
