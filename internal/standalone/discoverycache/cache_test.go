package discoverycache

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/standalone/discovery"
)

// Of twenty caches only the lease holder watches discovery, and a drain reaches all of them soon. Without a holder each falls
// back to discovery, not all at once. A new holder is followed again, and the old one, which still takes itself for the holder,
// is not.
func TestCache_FollowsLeaseHolder(t *testing.T) {
	source := fakestandalone.NewDiscovery(newEntry(1, "SERVING"), newEntry(2, "SERVING"))
	var mu sync.Mutex
	var calls []time.Time
	serve := func(h http.Handler) (addr string) {
		t.Helper()
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: h}
		go server.Serve(ln)
		t.Cleanup(func() { server.Close() })
		return ln.Addr().String()
	}
	discoveryAddress := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls = append(calls, time.Now())
		mu.Unlock()
		source.ServeHTTP(w, r)
	}))
	const n, spread = 20, time.Second
	addrs, caches := make([]string, n), make([]*Cache, n)
	holder, token := 0, uint64(1) // -1: none
	ownBelief := map[int]uint64{} // tokens of instances that take themselves for the holder, right or not
	for i := range n {
		locateHolder := func() Holder {
			mu.Lock()
			defer mu.Unlock()
			if believed := ownBelief[i]; believed > 0 {
				return Holder{Address: addrs[i], Token: believed, IsLocal: true}
			}
			if holder < 0 {
				return Holder{}
			}
			return Holder{Address: addrs[holder], Token: token, IsLocal: holder == i}
		}
		caches[i] = New(Options{Discovery: discoveryAddress, Holder: locateHolder, FallbackSpread: spread,
			Log: slog.New(slog.DiscardHandler)}, time.Now())
		addrs[i] = serve(caches[i])
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, c := range caches {
		go c.Run(ctx)
	}
	lists := func(host, health string) func(i int) bool {
		return func(i int) bool {
			resp, err := http.Get("http://" + addrs[i] + "/v1/endpoints")
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			text, _ := io.ReadAll(resp.Body)
			var u struct{ Hosts []discovery.Entry }
			if resp.StatusCode != 200 || json.Unmarshal(text, &u) != nil {
				return false
			}
			for _, h := range u.Hosts {
				if h.Host == host {
					return h.Health == health
				}
			}
			return health == "DELETED"
		}
	}
	awaitAll := func(what string, condition func(i int) bool) time.Duration {
		t.Helper()
		started := time.Now()
		for i := range n {
			for !condition(i) {
				if time.Since(started) > 20*time.Second {
					t.Fatalf("condition never held: %s, at cache %d", what, i)
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
		return time.Since(started)
	}
	awaitAll("the list", lists("s-1", "SERVING"))
	mu.Lock()
	if len(calls) > 2 {
		t.Errorf("%d watches of discovery for %d caches", len(calls), n)
	}
	mu.Unlock()
	source.Put(newEntry(1, "DRAINING"))
	t.Logf("the drain reached all %d caches after %v", n, awaitAll("the drain", lists("s-1", "DRAINING")))

	mu.Lock()
	holder, calls = -1, nil
	lost := time.Now()
	mu.Unlock()
	awaitAll("fallback to discovery", func(i int) bool { return caches[i].FollowsDiscovery() })
	source.Put(newEntry(2, "DELETED"))
	awaitAll("a change without holder", lists("s-2", "DELETED"))
	mu.Lock()
	latest := calls[len(calls)-1].Sub(lost)
	t.Logf("%d watches of discovery within %v of the loss of the holder", len(calls), latest)
	if len(calls) < n-1 || latest < spread/3 {
		t.Errorf("%d watches of discovery, the latest %v after the loss: not all, or all at once", len(calls), latest)
	}
	holder, token, ownBelief[0], calls = 7, 2, 1, nil // the first holder still takes itself for the holder
	mu.Unlock()
	awaitAll("a new holder", func(i int) bool { return i == 7 || i == 0 || !caches[i].FollowsDiscovery() })
	source.Put(newEntry(3, "SERVING"))
	awaitAll("a change through the new holder", lists("s-3", "SERVING"))
	mu.Lock()
	defer mu.Unlock()
	if len(calls) > 2 {
		t.Errorf("%d watches of discovery with a new holder", len(calls))
	}
}
