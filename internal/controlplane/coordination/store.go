// Package coordination holds the state that applications coordinate by: locks with fencing tokens, numbers that never
// repeat, and small keys with revisions and watches. It is a deterministic state machine: it knows no network, disk or clock,
// and package epoch replicates what it decides.
package coordination

import (
	"time"

	"pumiceline/internal/message"
)

// Statuses of answers.
const (
	StatusOK                 message.CallStatus = 200
	StatusInvalid            message.CallStatus = 400 // a watch asks for events after a revision that was never given
	StatusNotFound           message.CallStatus = 404 // the key was never put
	StatusHeld               message.CallStatus = 409 // another holds the lock, or the caller's hold is over
	StatusHistoryGone        message.CallStatus = 410 // events after the watch's revision have been dropped
	StatusRevisionMismatch   message.CallStatus = 412 // the key has another revision than the put builds on
	StatusInsufficientMemory message.CallStatus = 507 // the state is as large as it may get
)

// Options do not change while the process runs.
type Options struct {
	HistoryRetention time.Duration // how long at least the events of keys are kept for watches
}

// Store is the state. It has one owner and no locks. Times are of the owner's monotonic clock.
type Store struct {
	options Options
}

// Result is what a call leads to.
type Result struct {
	Answer  message.Answer
	Changes []message.CoordinationChange // made by the call; they are in force in the store already
	Waits   bool                         // a watch without an event to report: there is no answer yet
}

// New returns an empty store.
func New(options Options) *Store { return &Store{options: options} }
