// Package inflight keeps and transfers the load of backends: how many requests the proxies have in flight at each,
// and how many milliseconds of prefill are queued there (the queued prefill).
//
// It is pure: it takes the time from its caller and does no I/O. Its types are not safe for concurrent use: the hub's
// goroutine owns the table and the encoders, and the owner of a decoder guards it with a mutex.
package inflight

import (
	"time"

	"pumiceline/internal/message"
)

// entryLifetime is how long a load counts after it was last reported. Proxies report all their loads again well
// within this time (package loads), so that loads expire only if their proxy has ended or cannot reach the
// coordinator.
const entryLifetime = 4 * time.Second

// Table holds what each reporter (a proxy) has in flight at each backend, by its latest report. It is soft state: it
// may be lost at any time, and fills again as proxies report. Entries are absolute values, not differences, so a
// report that arrives twice counts once.
type Table struct {
	entries map[message.BackendID]map[string]entry // by backend, then by reporter
}

type entry struct {
	inFlight        int
	queuedPrefillMs int
	reportedAt      time.Time
}

// NewTable makes an empty table.
func NewTable() *Table { return &Table{entries: map[message.BackendID]map[string]entry{}} }

// Replace records what a reporter has in flight now at all backends. It has nothing at backends that loads do not
// name.
func (t *Table) Replace(reporter string, loads []message.BackendLoad, now time.Time) {
	for backend := range t.entries {
		t.remove(backend, reporter)
	}
	t.Update(reporter, loads, now)
}

// Update records what a reporter has in flight now at some backends.
func (t *Table) Update(reporter string, loads []message.BackendLoad, now time.Time) {
	for _, load := range loads {
		if load.InFlight <= 0 && load.QueuedPrefillMs <= 0 {
			t.remove(load.Backend, reporter)
			continue
		}
		reporters := t.entries[load.Backend]
		if reporters == nil {
			reporters = map[string]entry{}
			t.entries[load.Backend] = reporters
		}
		reporters[reporter] = entry{inFlight: load.InFlight, queuedPrefillMs: load.QueuedPrefillMs, reportedAt: now}
	}
}

func (t *Table) remove(backend message.BackendID, reporter string) {
	reporters := t.entries[backend]
	delete(reporters, reporter)
	if len(reporters) == 0 {
		delete(t.entries, backend)
	}
}

// SumOthers returns what all reporters but the named one have in flight at a backend. Expired entries are removed.
func (t *Table) SumOthers(backend message.BackendID, reporter string, now time.Time) message.BackendLoad {
	sum := message.BackendLoad{Backend: backend}
	for other, entry := range t.entries[backend] {
		switch {
		case now.Sub(entry.reportedAt) > entryLifetime:
			t.remove(backend, other)
		case other != reporter:
			sum.InFlight += entry.inFlight
			sum.QueuedPrefillMs += entry.queuedPrefillMs
		}
	}
	return sum
}
