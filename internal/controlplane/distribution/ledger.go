package distribution

import (
	"time"

	"pumiceline/internal/message"
)

// entryLifetime is how long the load that a source told counts without a word from it: longer than most streams take,
// shorter than what a proxy that has died should weigh on the choice.
const entryLifetime = 4 * time.Second

// Ledger keeps what each proxy carries at each backend, by its latest word. It is soft state: it may be lost at any time
// and fills again as proxies tell of changes. Entries are present values, so one that is told twice counts once.
type Ledger struct {
	entries map[message.BackendID]map[string]ledgerEntry // by backend and source
}

type ledgerEntry struct {
	running, queued int
	at              time.Time
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[message.BackendID]map[string]ledgerEntry{}} }

// Put takes what a source carries now; whole says that it carries nothing elsewhere.
func (l *Ledger) Put(source string, loads []message.BackendLoad, whole bool, now time.Time) {
	if whole {
		for backend := range l.entries {
			l.remove(backend, source)
		}
	}
	for _, load := range loads {
		if load.Running <= 0 && load.Queued <= 0 {
			l.remove(load.Backend, source)
			continue
		}
		sources := l.entries[load.Backend]
		if sources == nil {
			sources = map[string]ledgerEntry{}
			l.entries[load.Backend] = sources
		}
		sources[source] = ledgerEntry{running: load.Running, queued: load.Queued, at: now}
	}
}

func (l *Ledger) remove(backend message.BackendID, source string) {
	sources := l.entries[backend]
	delete(sources, source)
	if len(sources) == 0 {
		delete(l.entries, backend)
	}
}

// Others is what all sources but one carry at a backend.
func (l *Ledger) Others(backend message.BackendID, source string, now time.Time) message.BackendLoad {
	sum := message.BackendLoad{Backend: backend}
	for name, entry := range l.entries[backend] {
		switch {
		case now.Sub(entry.at) > entryLifetime:
			l.remove(backend, name)
		case name != source:
			sum.Running += entry.running
			sum.Queued += entry.queued
		}
	}
	return sum
}
