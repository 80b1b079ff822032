package discoverycache

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/standalone/discovery"
)

const (
	fleetCaches         = 20
	fleetFallbackSpread = time.Second
)

// cacheFleet is a fake discovery and the caches of a fleet, connected over loopback.
type cacheFleet struct {
	t         *testing.T
	discovery *fakestandalone.Discovery
	addrs     []string // of the caches
	caches    []*Cache

	mu         sync.Mutex
	watches    []time.Time    // when each watch of discovery began
	holder     int            // the cache that has the lease; -1: none
	token      uint64         // fencing token of its lease
	selfTokens map[int]uint64 // by cache that considers itself the holder, even if it no longer is: its fencing token
}

// startCacheFleet runs caches until the test ends. Cache 0 has the lease.
func startCacheFleet(t *testing.T, hosts ...discovery.Entry) *cacheFleet {
	t.Helper()
	f := &cacheFleet{t: t, discovery: fakestandalone.NewDiscovery(hosts...), addrs: make([]string, fleetCaches), token: 1,
		selfTokens: map[int]uint64{}}
	discoveryAddress := f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.watches = append(f.watches, time.Now())
		f.mu.Unlock()
		f.discovery.ServeHTTP(w, r)
	}))
	for i := range fleetCaches {
		cache := New(Options{Discovery: discoveryAddress, Holder: func() Holder { return f.holderAt(i) },
			FallbackSpread: fleetFallbackSpread, Log: slog.New(slog.DiscardHandler)}, time.Now())
		f.addrs[i] = f.serve(cache)
		f.caches = append(f.caches, cache)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, cache := range f.caches {
		go cache.Run(ctx)
	}
	return f
}

// serve serves a handler on a free port until the test ends.
func (f *cacheFleet) serve(h http.Handler) (addr string) {
	f.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(ln)
	f.t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

// holderAt returns the holder of the lease as cache i sees it.
func (f *cacheFleet) holderAt(i int) Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token := f.selfTokens[i]; token > 0 {
		return Holder{Address: f.addrs[i], Token: token, IsLocal: true}
	}
	if f.holder < 0 {
		return Holder{}
	}
	return Holder{Address: f.addrs[f.holder], Token: f.token, IsLocal: f.holder == i}
}

// changeLease runs a change of the lease with the lock held and clears the recorded watches.
func (f *cacheFleet) changeLease(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.watches = nil
}

// watchTimes returns when each watch of discovery since the last change of the lease began.
func (f *cacheFleet) watchTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.watches)
}

// lists returns a condition: cache i lists a host with this health, or does not list the host if health is DELETED.
func (f *cacheFleet) lists(host, health string) func(i int) bool {
	return func(i int) bool {
		resp, err := http.Get("http://" + f.addrs[i] + "/v1/endpoints")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		var update struct{ Hosts []discovery.Entry }
		if resp.StatusCode != 200 || json.Unmarshal(text, &update) != nil {
			return false
		}
		for _, h := range update.Hosts {
			if h.Host == host {
				return h.Health == health
			}
		}
		return health == discovery.HealthDeleted
	}
}

// awaitAll waits until a condition holds for each cache, and returns how long that took.
func (f *cacheFleet) awaitAll(description string, condition func(i int) bool) time.Duration {
	f.t.Helper()
	started := time.Now()
	for i := range fleetCaches {
		for !condition(i) {
			if time.Since(started) > 20*time.Second {
				f.t.Fatalf("condition never held: %s, at cache %d", description, i)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(started)
}

// Of twenty caches only the lease holder watches discovery, and a drain reaches all of them. Without a holder each
// cache falls back to discovery, and their watches are spread over time. A new holder is followed again. The old
// holder, which still considers itself the holder, is not.
func TestCache_FollowsLeaseHolder(t *testing.T) {
	f := startCacheFleet(t, newEntry(1, discovery.HealthServing), newEntry(2, discovery.HealthServing))
	f.awaitAll("the list", f.lists("s-1", discovery.HealthServing))
	if n := len(f.watchTimes()); n > 2 {
		t.Errorf("%d watches of discovery for %d caches", n, fleetCaches)
	}
	f.discovery.Put(newEntry(1, discovery.HealthDraining))
	took := f.awaitAll("the drain", f.lists("s-1", discovery.HealthDraining))
	t.Logf("the drain reached all %d caches after %v", fleetCaches, took)

	var lostAt time.Time
	f.changeLease(func() { f.holder, lostAt = -1, time.Now() })
	f.awaitAll("fallback to discovery", func(i int) bool { return f.caches[i].FollowsDiscovery() })
	f.discovery.Put(newEntry(2, discovery.HealthDeleted))
	f.awaitAll("a change without holder", f.lists("s-2", discovery.HealthDeleted))
	watches := f.watchTimes()
	latest := watches[len(watches)-1].Sub(lostAt)
	t.Logf("%d watches of discovery within %v of the loss of the holder", len(watches), latest)
	if len(watches) < fleetCaches-1 || latest < fleetFallbackSpread/3 {
		t.Errorf("%d watches of discovery, the latest %v after the loss: want one of each cache, spread over time",
			len(watches), latest)
	}

	const oldHolder, newHolder = 0, 7
	f.changeLease(func() { f.holder, f.token, f.selfTokens[oldHolder] = newHolder, 2, 1 })
	f.awaitAll("a new holder", func(i int) bool {
		return i == newHolder || i == oldHolder || !f.caches[i].FollowsDiscovery()
	})
	f.discovery.Put(newEntry(3, discovery.HealthServing))
	f.awaitAll("a change through the new holder", f.lists("s-3", discovery.HealthServing))
	if n := len(f.watchTimes()); n > 2 {
		t.Errorf("%d watches of discovery with a new holder", n)
	}
}
