package inflight

import (
	"math/rand/v2"

	"pumiceline/internal/message"
)

// Thresholds: a backend's load is sent again only when it differs by at least this much from what the receiver has.
// Smaller changes are frequent, and hardly ever change which backend is picked.
const (
	// A change of the requests in flight counts when it reaches both minInFlightChange, in requests, and
	// minInFlightChangeShare of the number that was sent last.
	minInFlightChange      = 2
	minInFlightChangeShare = 0.15
	// minQueuedPrefillChangeMs is the smallest change of the queued prefill that counts, in milliseconds.
	minQueuedPrefillChangeMs = 60
)

// Delta is the difference that brings a receiver's copy of the total loads up to date.
type Delta struct {
	Loads    []message.BackendLoad // present values; both counts 0: nothing is in flight there any more
	Complete bool                  // Loads has all loads: the receiver discards its copy first
	Version  uint64                // of the totals after this delta; never 0
}

// DeltaOf returns the delta that a poll response carries.
func DeltaOf(response *message.PollResponse) Delta {
	return Delta{Loads: response.TotalLoads, Complete: response.LoadsComplete, Version: response.LoadVersion}
}

// DeltaEncoder makes the deltas for one receiver. It stores what was last sent to that receiver. The zero value is
// ready.
type DeltaEncoder struct {
	version uint64
	sent    map[message.BackendID]sentLoad
	round   uint64 // number of the present call of Next
}

// sentLoad is a load as it was last sent.
type sentLoad struct {
	message.BackendLoad
	round uint64 // of the last call of Next whose totals had the backend
}

// Next returns the delta from the receiver's version to totals. A receiver whose version is not the one sent last (it
// missed a response, or was served by another hub) gets all of them.
func (e *DeltaEncoder) Next(receiverVersion uint64, totals []message.BackendLoad) Delta {
	delta := Delta{}
	if e.version == 0 || receiverVersion != e.version {
		e.sent = map[message.BackendID]sentLoad{}
		delta.Complete = true
	}
	e.round++
	for _, load := range totals {
		last, ok := e.sent[load.Backend]
		if !ok || isSignificantChange(last.BackendLoad, load) {
			last.BackendLoad = load
			delta.Loads = append(delta.Loads, load)
		}
		last.round = e.round
		e.sent[load.Backend] = last
	}
	for backend, last := range e.sent {
		if last.round != e.round {
			delete(e.sent, backend)
			delta.Loads = append(delta.Loads, message.BackendLoad{Backend: backend})
		}
	}
	if delta.Complete || len(delta.Loads) > 0 {
		// Versions are random: with counters, a receiver that moves to another hub could have the version that was
		// sent last there, and would get a delta to loads that it does not have. A version is never 0.
		e.version = rand.Uint64() | 1
	}
	delta.Version = e.version
	return delta
}

func isSignificantChange(last, current message.BackendLoad) bool {
	if current.InFlight == 0 && last.InFlight > 0 {
		return true
	}
	change := abs(last.InFlight - current.InFlight)
	if change >= minInFlightChange && float64(change) >= minInFlightChangeShare*float64(last.InFlight) {
		return true
	}
	return abs(last.QueuedPrefillMs-current.QueuedPrefillMs) >= minQueuedPrefillChangeMs
}

func abs(x int) int { return max(x, -x) }

// DeltaDecoder is a receiver's copy of the total loads. The zero value is an empty copy.
type DeltaDecoder struct {
	version uint64
	loads   map[message.BackendID]message.BackendLoad
}

// Version returns the version of the copy, to be sent with the next request; 0 before the first delta.
func (d *DeltaDecoder) Version() uint64 { return d.version }

// Apply applies a delta and returns the loads of all backends, in unspecified order.
func (d *DeltaDecoder) Apply(delta Delta) []message.BackendLoad {
	if delta.Complete || d.loads == nil {
		d.loads = map[message.BackendID]message.BackendLoad{}
	}
	for _, load := range delta.Loads {
		d.loads[load.Backend] = load
		if load.InFlight == 0 && load.QueuedPrefillMs == 0 {
			delete(d.loads, load.Backend)
		}
	}
	d.version = delta.Version
	loads := make([]message.BackendLoad, 0, len(d.loads))
	for _, load := range d.loads {
		loads = append(loads, load)
	}
	return loads
}
