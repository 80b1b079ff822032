// Package coordination holds the state that applications coordinate by: locks with fencing tokens, numbers that never
// repeat, and small keys with revisions and watches. It is a deterministic state machine: it knows no network, disk or clock,
// and package epoch replicates what it decides.
//
// One member at a time, the issuer, executes calls on its store; the acceptors apply the changes that result, in the same
// order. What a call decides depends on the state and on the time; what a change does depends on the state alone, but for
// the ends of holds and the ages of events, which each member counts on its own clock from its own receipt. A receipt is
// never before the call that led to it was sent, so no member ends a hold before its holder does.
package coordination

import (
	"time"

	"pumiceline/internal/message"
)

// Statuses of answers.
const (
	StatusOK                 message.CallStatus = 200
	StatusInvalid            message.CallStatus = 400 // out of bounds, or events after a revision that was never given
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
	options    Options
	limits     limits
	locks      lockTable
	lastNumber uint64 // the newest number of all names
	groups     map[message.KeyGroup]*keyGroup
	groupBytes int // size of all groups with the present values of their keys
	events     eventLog
}

// Result is what a call leads to.
type Result struct {
	Answer  message.Answer
	Changes []message.CoordinationChange // made by the call; they are in force in the store already
	Waits   bool                         // a watch without an event to report: there is no answer yet
}

// New returns an empty store.
func New(options Options) *Store { return newStore(options, defaultLimits()) }

func newStore(options Options, limits limits) *Store {
	return &Store{
		options: options, limits: limits, locks: newLockTable(),
		groups: map[message.KeyGroup]*keyGroup{}, events: newEventLog(),
	}
}

// Execute decides a call on the present state, applies its changes and returns its answer with them. The time must have been
// read after the call was received: a hold would end too early otherwise. The answer rests on all changes made so far, and
// must not be given before they are committed, also where the call itself changes nothing.
func (s *Store) Execute(now time.Duration, call message.Call) Result {
	if !isWithinBounds(&call) {
		return answerStatus(StatusInvalid)
	}
	result := s.decide(now, &call)
	for _, change := range result.Changes {
		s.Apply(now, change)
	}
	return result
}

// decide returns the result of a valid call. It changes nothing.
func (s *Store) decide(now time.Duration, call *message.Call) Result {
	switch call.Kind {
	case message.CallAcquire:
		return s.locks.acquire(now, call, s.limits.holds)
	case message.CallRenew:
		return s.locks.renew(now, call)
	case message.CallRelease:
		return s.locks.release(call)
	case message.CallNumber:
		return s.nextNumber()
	case message.CallPut:
		return s.put(call)
	case message.CallGet:
		return s.get(call.Key)
	case message.CallWatch:
		return s.watch(call)
	}
	return answerStatus(StatusInvalid)
}

// Apply applies a change that another member decided, or that is read from disk. A hold that it grants counts from now. A
// change of the acceptor group is not the store's and does nothing.
func (s *Store) Apply(now time.Duration, change message.CoordinationChange) {
	switch {
	case change.Hold != nil:
		s.locks.applyHold(now, *change.Hold)
	case change.Release != nil:
		s.locks.applyRelease(*change.Release)
	case change.Number != 0:
		s.lastNumber = max(s.lastNumber, change.Number)
	case change.Put != nil:
		s.applyPut(now, *change.Put)
	case change.Trim != nil:
		s.applyTrim(*change.Trim)
	}
}

// Maintain drops expired holds and old events, and returns these changes, which are in force already. The issuer calls it
// with each batch of calls.
func (s *Store) Maintain(now time.Duration) []message.CoordinationChange {
	changes := s.locks.releaseExpired(now)
	return append(changes, s.trimHistory(now)...)
}

// answerStatus returns a result that changes nothing and says nothing but a status.
func answerStatus(status message.CallStatus) Result {
	return Result{Answer: message.Answer{Status: status}}
}
