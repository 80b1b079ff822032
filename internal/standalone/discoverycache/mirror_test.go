package discoverycache

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/standalone/discovery"
)

func entryJSON(n int, health string) discovery.Entry {
	return discovery.Entry{Host: fmt.Sprint("s-", n), Address: fmt.Sprintf("10.0.0.%d:1", n), Zone: "a", InstanceType: "m", Cell: 1, Health: health, Size: 1}
}

// Whatever a source says, whole or in parts, whoever follows the copy from whichever version of it holds the same list in the end.
func TestCopyTellsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, truth, seq := NewList(100), map[string]string{}, uint64(0)
		follower, at := map[string]string{}, uint64(0)
		apply := func(u discovery.Update, to map[string]string) {
			if u.Complete {
				clear(to)
			}
			for _, text := range u.Entries {
				var e discovery.Entry
				if err := json.Unmarshal(text, &e); err != nil {
					t.Fatal(err)
				}
				if to[e.Host] = string(text); e.Health == "DELETED" {
					delete(to, e.Host)
				}
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			seq++
			u := discovery.Update{Version: seq, Complete: seq == 1 || rapid.Bool().Draw(t, "whole")}
			seen := map[int]bool{}
			for range rapid.IntRange(0, 4).Draw(t, "hosts") {
				n := rapid.IntRange(0, 5).Draw(t, "host")
				health := rapid.SampledFrom([]string{"SERVING", "DRAINING", "DELETED"}).Draw(t, "health")
				if u.Complete && (health == "DELETED" || seen[n]) {
					continue
				}
				seen[n] = true
				text, err := json.Marshal(entryJSON(n, health))
				if err != nil {
					t.Fatal(err)
				}
				u.Entries = append(u.Entries, text)
			}
			apply(u, truth)
			if _, err := c.Apply(u, rapid.Bool().Draw(t, "first")); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "looks") {
				news := c.Since(at)
				apply(news, follower)
				at = news.Version
			}
		}
		apply(c.Since(at), follower)
		fresh := map[string]string{}
		apply(c.Since(0), fresh)
		if fmt.Sprint(follower) != fmt.Sprint(truth) || fmt.Sprint(fresh) != fmt.Sprint(truth) {
			t.Fatalf("the source says %v, a follower holds %v, a new one %v", truth, follower, fresh)
		}
		if old := c.Since(99); !old.Complete {
			t.Fatal("a version of an earlier life brings a part")
		}
		if _, err := c.Apply(discovery.Update{Version: seq - 1, Complete: true}, true); !errors.Is(err, ErrStale) {
			t.Fatalf("an older list is taken: %v", err)
		}
	})
}

// Of twenty mirrors one calls discovery; a drain is at all of them soon; without an owner each calls for itself, not all at once; a new owner has
// them back; and the old one, which still believes, is not followed.
func TestMirrorsFollowOneOwner(t *testing.T) {
	roster := fakestandalone.NewRoster(entryJSON(1, "SERVING"), entryJSON(2, "SERVING"))
	var mu sync.Mutex
	var calls []time.Time
	serve := func(h http.Handler) (addr string) {
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
		roster.ServeHTTP(w, r)
	}))
	const n, spread = 20, time.Second
	addrs, mirrors := make([]string, n), make([]*Cache, n)
	owner, token := 0, uint64(1)
	believes := map[int]uint64{} // who takes itself for the owner, whatever is so
	for i := range n {
		mirrors[i] = New(Options{Discovery: discoveryAddress, FallbackSpread: spread, Log: slog.New(slog.DiscardHandler), Owner: func() (string, uint64, bool) {
			mu.Lock()
			defer mu.Unlock()
			if old := believes[i]; old > 0 {
				return addrs[i], old, true
			}
			if owner < 0 {
				return "", 0, false
			}
			return addrs[owner], token, owner == i
		}}, time.Now())
		addrs[i] = serve(mirrors[i])
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range mirrors {
		go m.Run(ctx)
	}
	holds := func(host, health string) func(i int) bool {
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
	all := func(what string, yes func(i int) bool) time.Duration {
		t.Helper()
		begun := time.Now()
		for i := range n {
			for !yes(i) {
				if time.Since(begun) > 20*time.Second {
					t.Fatalf("in vain: %s, at mirror %d", what, i)
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
		return time.Since(begun)
	}
	all("the list", holds("s-1", "SERVING"))
	mu.Lock()
	if len(calls) > 2 {
		t.Errorf("%d calls to discovery for %d mirrors", len(calls), n)
	}
	mu.Unlock()
	roster.Put(entryJSON(1, "DRAINING"))
	t.Logf("a drain is at all %d mirrors after %v", n, all("the drain", holds("s-1", "DRAINING")))

	mu.Lock()
	owner, calls = -1, nil
	lost := time.Now()
	mu.Unlock()
	all("alone", func(i int) bool { return mirrors[i].FollowsDiscovery() })
	roster.Put(entryJSON(2, "DELETED"))
	all("a change while alone", holds("s-2", "DELETED"))
	mu.Lock()
	latest := calls[len(calls)-1].Sub(lost)
	t.Logf("%d calls within %v of the loss of the owner", len(calls), latest)
	if len(calls) < n-1 || latest < spread/3 {
		t.Errorf("%d calls, the latest %v after the loss: not all, or all at once", len(calls), latest)
	}
	owner, token, believes[0], calls = 7, 2, 1, nil // the first owner wakes up and still believes
	mu.Unlock()
	all("a new owner", func(i int) bool { return i == 7 || i == 0 || !mirrors[i].FollowsDiscovery() })
	roster.Put(entryJSON(3, "SERVING"))
	all("a change through the new owner", holds("s-3", "SERVING"))
	mu.Lock()
	defer mu.Unlock()
	if len(calls) > 2 {
		t.Errorf("%d calls to discovery with a new owner", len(calls))
	}
}
