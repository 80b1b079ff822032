// Package faulttest puts real processes on loopback and faults between them: relays that delay, throttle, hold, cut and break what
// passes, processes that are frozen, thawed and killed, and one history of all of it on one time axis. What the laboratory is for
// decisions, the stage is for processes. It ends only what it has started.
package faulttest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Stage holds what was started on it. Close ends all of that. It is safe for concurrent use.
type Stage struct {
	begun time.Time

	mu     sync.Mutex
	closed bool
	ends   []func()
	notes  []Note
}

// Note is one thing that happened, on the stage's time axis.
type Note struct {
	At   time.Duration `json:"At"` // since the stage began
	Who  string        `json:"Who"`
	What string        `json:"What"`
}

// New returns an empty stage, whose time begins now.
func New() *Stage { return &Stage{begun: time.Now()} }

// Say adds to the history.
func (s *Stage) Say(who, what string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, Note{time.Since(s.begun), who, fmt.Sprintf(what, args...)})
}

// History is what has happened, in its order.
func (s *Stage) History() []Note {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.notes)
}

// String is the history as a text, a line each.
func (s *Stage) String() string {
	var text strings.Builder
	for _, n := range s.History() {
		fmt.Fprintf(&text, "%9.3f s  %-16s %s\n", n.At.Seconds(), n.Who, n.What)
	}
	return text.String()
}

// owe keeps what Close has to do. It is false where the stage is closed: then the caller has to do it.
func (s *Stage) owe(end func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.ends = append(s.ends, end)
	return true
}

// Close ends all that was started, the last first.
func (s *Stage) Close() {
	s.mu.Lock()
	ends := s.ends
	s.closed, s.ends = true, nil
	s.mu.Unlock()
	for _, end := range slices.Backward(ends) {
		end()
	}
}

// Direction is a way through a relay.
type Direction int

const (
	Up   Direction = iota // from who came to the relay to its target
	Down                  // and back
)

func (d Direction) String() string { return [...]string{"up", "down"}[d] }

// Fault is what happens to one direction. The zero Fault lets all pass at once.
type Fault struct {
	Delay time.Duration // of each piece or datagram
	Hold  bool          // nothing passes; what has come is delivered once this ends, as after a cut

	Rate int // of a stream, bytes a second; 0: any

	Jitter    time.Duration // of a datagram, at most this on top of Delay, so that they overtake one another
	Drop      float64       // share of datagrams that are lost
	Duplicate float64       // and that come twice
}

// faults are those of a relay's two directions, and wake who waits for a change.
type faults struct {
	stage *Stage
	name  string

	mu      sync.Mutex
	now     [2]Fault
	held    [2]int        // pieces or datagrams that a hold keeps from passing
	changed chan struct{} // closed at the next change
}

func newFaults(s *Stage, name string) *faults {
	return &faults{stage: s, name: name, changed: make(chan struct{})}
}

// Set changes what happens to a direction from now on, to what waits there as well.
func (f *faults) Set(d Direction, to Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now[d] = to
	close(f.changed)
	f.changed = make(chan struct{})
	f.stage.Say(f.name, "%v: %+v", d, to)
}

// Cut holds both directions.
func (f *faults) Cut() { f.Set(Up, Fault{Hold: true}); f.Set(Down, Fault{Hold: true}) }

// Heal lets both pass again. What was held is delivered.
func (f *faults) Heal() { f.Set(Up, Fault{}); f.Set(Down, Fault{}) }

func (f *faults) of(d Direction) (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now[d], f.changed
}

// Held is how many pieces or datagrams have come and are held. They pass once the hold ends, whatever becomes of their sender till then.
func (f *faults) Held(d Direction) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held[d]
}

func (f *faults) hold(d Direction, pieces int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held[d] += pieces
}

// pass waits until what came at may pass in a direction: pieces of a stream or datagrams, 0 for an end or a beginning. It is false if over ends
// first.
func (f *faults) pass(d Direction, at time.Time, pieces int, over <-chan struct{}) bool {
	held := false
	for {
		now, changed := f.of(d)
		if now.Hold && !held {
			held = true
			f.hold(d, pieces)
			defer f.hold(d, -pieces)
		}
		wait := time.Until(at.Add(now.Delay))
		if !now.Hold && wait <= 0 {
			return true
		}
		var due <-chan time.Time
		if !now.Hold {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			due = timer.C
		}
		select {
		case <-due:
		case <-changed:
		case <-over:
			return false
		}
	}
}
