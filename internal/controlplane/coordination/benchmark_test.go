package coordination

import (
	"fmt"
	"testing"
	"time"

	"pumiceline/internal/message"
)

// newBusyStore returns a store with many locks, keys and events.
func newBusyStore(b *testing.B) *Store {
	b.Helper()
	store := newTestStore()
	for i := range MaxHolds / 2 {
		store.Execute(0, acquire(message.LockName(fmt.Sprint("held", i)), "one", int64(300_000+i)))
	}
	for i := range 2 * eventBudget {
		now := time.Duration(i) * testRetention / eventBudget
		key := message.KeyName(fmt.Sprintf("g%d.k%d", i%30, i%300))
		current := store.Execute(now, get(key)).Answer.Revision
		if answer := store.Execute(now, put(key, fmt.Sprintf("%016x", i), current)).Answer; answer.Status != StatusOK {
			b.Fatal(answer)
		}
		store.Maintain(now)
	}
	return store
}

// BenchmarkExecute measures one call of each kind, including one call of Maintain.
func BenchmarkExecute(b *testing.B) {
	const start, interval = time.Minute, 2 * time.Millisecond // between two calls
	var locks [64]message.LockName
	for i := range locks {
		locks[i] = message.LockName(fmt.Sprint("l", i))
	}
	calls := map[string]func(store *Store, i int) message.Call{
		"Acquire": func(_ *Store, i int) message.Call { return acquire(locks[i%len(locks)], "one", 50) },
		"Renew": func(store *Store, _ int) message.Call {
			return renew("renewed", "one", store.locks.holds["renewed"].grant.Token, 300_000)
		},
		"Number": func(*Store, int) message.Call { return number() },
		"Put": func(store *Store, i int) message.Call {
			return put("g1.k1", fmt.Sprintf("v%015x", i), store.groups["g1."].keys["g1.k1"].revision)
		},
		"Get":   func(*Store, int) message.Call { return get("g1.k1") },
		"Watch": func(store *Store, _ int) message.Call { return watch("g1.", store.groups["g1."].revision-1, 9000) },
	}
	for name, call := range calls {
		b.Run(name, func(b *testing.B) {
			store := newBusyStore(b)
			store.Execute(start, acquire("renewed", "one", 300_000))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start + time.Duration(i)*interval
				store.Maintain(now)
				if result := store.Execute(now, call(store, i)); result.Answer.Status != StatusOK {
					b.Fatal(result)
				}
			}
		})
	}
}

// BenchmarkApply measures the work of an acceptor for one put and one trim.
func BenchmarkApply(b *testing.B) {
	store := newBusyStore(b)
	revision := store.groups["g1."].revision
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		revision++
		event := message.KeyEvent{Key: "g1.k1", Value: fmt.Sprint("v", i), Revision: revision}
		store.Apply(time.Minute, message.CoordinationChange{Put: &event})
		trim := message.HistoryTrim{Group: "g1.", Horizon: revision - 200}
		store.Apply(time.Minute, message.CoordinationChange{Trim: &trim})
	}
}

// BenchmarkSnapshot measures a snapshot of a large state.
func BenchmarkSnapshot(b *testing.B) {
	store := newBusyStore(b)
	b.ReportAllocs()
	for b.Loop() {
		store.Snapshot(time.Minute)
	}
}
