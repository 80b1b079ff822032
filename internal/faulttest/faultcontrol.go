package faulttest

import (
	"sync"
	"time"
)

// Direction is a direction through a relay.
type Direction int

// The directions.
const (
	Upstream   Direction = iota // from the client that connected to the relay's target
	Downstream                  // from the target back to the client
)

// String implements fmt.Stringer. The values appear in the history.
func (d Direction) String() string { return [...]string{"up", "down"}[d] }

// opposite returns the other direction.
func (d Direction) opposite() Direction { return 1 - d }

// Fault is the fault of one direction of a relay. The zero Fault passes everything without delay.
type Fault struct {
	Delay time.Duration // of each chunk or datagram
	Hold  bool          // nothing passes; received data is delivered once the hold ends, as after a partition

	Rate int // of a stream, in bytes a second; 0: unlimited

	Jitter    time.Duration // random extra delay of a datagram, at most this, so that datagrams are reordered
	Drop      float64       // share of datagrams that are lost
	Duplicate float64       // share of datagrams that are delivered twice
}

// faultControl keeps the faults of a relay's two directions and wakes the goroutines that wait for a change. It is safe
// for concurrent use.
type faultControl struct {
	harness *Harness
	name    string // of the relay, in the history

	mu      sync.Mutex
	current [2]Fault
	held    [2]int        // chunks or datagrams that are received and held
	changed chan struct{} // closed at the next change
}

func newFaultControl(h *Harness, name string) *faultControl {
	return &faultControl{harness: h, name: name, changed: make(chan struct{})}
}

// Set changes the fault of a direction, also for chunks and datagrams that already wait there.
func (f *faultControl) Set(d Direction, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current[d] = fault
	close(f.changed)
	f.changed = make(chan struct{})
	f.harness.Record(f.name, "%v: %+v", d, fault)
}

// Partition holds both directions.
func (f *faultControl) Partition() {
	f.Set(Upstream, Fault{Hold: true})
	f.Set(Downstream, Fault{Hold: true})
}

// Heal removes the faults of both directions. Held chunks and datagrams are delivered.
func (f *faultControl) Heal() {
	f.Set(Upstream, Fault{})
	f.Set(Downstream, Fault{})
}

// fault returns the fault of a direction and a channel that is closed at the next change of either direction.
func (f *faultControl) fault(d Direction) (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current[d], f.changed
}

// Held returns how many chunks or datagrams were received and are held. They are delivered once the hold ends, even if
// their sender has closed by then.
func (f *faultControl) Held(d Direction) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held[d]
}

func (f *faultControl) addHeld(d Direction, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held[d] += count
}

// await waits until data that was received at receivedAt may pass in a direction, and returns true. It returns false if
// cancelled is closed first. count is the number of chunks or datagrams that Held includes during a hold: 0 for the
// start or the end of a stream, and for a throttled stream.
func (f *faultControl) await(d Direction, receivedAt time.Time, count int, cancelled <-chan struct{}) bool {
	isHeld := false
	for {
		fault, changed := f.fault(d)
		if fault.Hold && !isHeld {
			isHeld = true
			f.addHeld(d, count)
			defer f.addHeld(d, -count)
		}
		wait := time.Until(receivedAt.Add(fault.Delay))
		if !fault.Hold && wait <= 0 {
			return true
		}
		var due <-chan time.Time
		if !fault.Hold {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			due = timer.C
		}
		select {
		case <-due:
		case <-changed:
		case <-cancelled:
			return false
		}
	}
}
