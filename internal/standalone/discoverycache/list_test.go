package discoverycache

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pumiceline/internal/standalone/discovery"
)

// newEntry is the entry of the n-th backend.
func newEntry(n int, health string) discovery.Entry {
	return discovery.Entry{Host: fmt.Sprint("s-", n), Address: fmt.Sprintf("10.0.0.%d:1", n), Zone: "a", InstanceType: "m",
		Cell: 1, Health: health, Size: 1}
}

// For any sequence of complete and incremental updates, a client that follows the list from any version ends with the
// same list as the source.
func TestList_FollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list, source, version := NewList(100), map[string]string{}, uint64(0)
		follower, followerVersion := map[string]string{}, uint64(0)
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
			version++
			u := discovery.Update{Version: version, Complete: version == 1 || rapid.Bool().Draw(t, "complete")}
			seen := map[int]bool{}
			for range rapid.IntRange(0, 4).Draw(t, "entries") {
				n := rapid.IntRange(0, 5).Draw(t, "host")
				health := rapid.SampledFrom([]string{"SERVING", "DRAINING", "DELETED"}).Draw(t, "health")
				if u.Complete && (health == "DELETED" || seen[n]) {
					continue
				}
				seen[n] = true
				text, err := json.Marshal(newEntry(n, health))
				if err != nil {
					t.Fatal(err)
				}
				u.Entries = append(u.Entries, text)
			}
			apply(u, source)
			if _, err := list.Apply(u, rapid.Bool().Draw(t, "may be stale")); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "follower polls") {
				next := list.Since(followerVersion)
				apply(next, follower)
				followerVersion = next.Version
			}
		}
		apply(list.Since(followerVersion), follower)
		newFollower := map[string]string{}
		apply(list.Since(0), newFollower)
		if fmt.Sprint(follower) != fmt.Sprint(source) || fmt.Sprint(newFollower) != fmt.Sprint(source) {
			t.Fatalf("source has %v, follower %v, new follower %v", source, follower, newFollower)
		}
		if old := list.Since(99); !old.Complete {
			t.Fatal("a version of an earlier process got an incremental update")
		}
		if _, err := list.Apply(discovery.Update{Version: version - 1, Complete: true}, true); !errors.Is(err, ErrStale) {
			t.Fatalf("an older list was applied: %v", err)
		}
	})
}
