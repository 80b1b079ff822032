package distribution

import (
	"math/rand/v2"

	"pumiceline/internal/message"
)

// Changes of a backend's load below these are not told.
const (
	runningStep  = 2    // requests, or
	runningShare = 0.15 // this part of them
	queuedStep   = 60   // milliseconds of prompts
)

// loadsTold is what one source was told of the loads last.
type loadsTold struct {
	version uint64
	loads   map[message.BackendID]message.BackendLoad
}

// next returns what is to be told now to a source that has the given version.
func (t *loadsTold) next(has uint64, totals []message.BackendLoad) (out []message.BackendLoad, whole bool, version uint64) {
	if t.version == 0 || has != t.version {
		t.loads = map[message.BackendID]message.BackendLoad{}
		whole = true
	}
	present := map[message.BackendID]bool{}
	for _, load := range totals {
		present[load.Backend] = true
		if old, ok := t.loads[load.Backend]; !ok || differs(old, load) {
			t.loads[load.Backend] = load
			out = append(out, load)
		}
	}
	for backend := range t.loads {
		if !present[backend] {
			delete(t.loads, backend)
			out = append(out, message.BackendLoad{Backend: backend})
		}
	}
	if whole || len(out) > 0 {
		t.version = rand.Uint64() | 1 // never that of another hub, and never 0
	}
	return out, whole, t.version
}

func differs(old, now message.BackendLoad) bool {
	running := abs(old.Running - now.Running)
	if now.Running == 0 && old.Running > 0 || running >= runningStep && float64(running) >= runningShare*float64(old.Running) {
		return true
	}
	return abs(old.Queued-now.Queued) >= queuedStep
}

func abs(x int) int { return max(x, -x) }

// Loads follows the sums of loads as a hub tells them.
type Loads struct {
	version uint64
	loads   map[message.BackendID]message.BackendLoad
}

// Version returns what has been followed so far.
func (l *Loads) Version() uint64 { return l.version }

// Take takes an answer and returns the loads of all backends.
func (l *Loads) Take(reply *message.PollResponse) []message.BackendLoad {
	if reply.LoadsComplete || l.loads == nil {
		l.loads = map[message.BackendID]message.BackendLoad{}
	}
	for _, load := range reply.TotalLoads {
		l.loads[load.Backend] = load
		if load.Running == 0 && load.Queued == 0 {
			delete(l.loads, load.Backend)
		}
	}
	l.version = reply.LoadVersion
	out := make([]message.BackendLoad, 0, len(l.loads))
	for _, load := range l.loads {
		out = append(out, load)
	}
	return out
}
