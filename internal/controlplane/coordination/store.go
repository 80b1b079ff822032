// Package coordination keeps the state with which applications coordinate: locks with fencing tokens, numbers that
// never repeat, and small keys with revisions and watches. It is a deterministic state machine that uses no network,
// disk or clock. Package epoch replicates its changes.
//
// One member at a time, the issuer, executes calls on its store. The acceptors apply the resulting changes in the same
// order. The result of a call depends on the state and the time. The effect of a change depends on the state alone,
// except for the ends of holds and the ages of events, which each member measures on its own clock from its own receipt
// of the change. A change is never received before the call that caused it was sent, and the holder measures its hold
// from the sending of the call. So no member ends a hold before its holder does.
package coordination

import (
	"time"

	"pumiceline/internal/message"
)

// Statuses of answers.
const (
	StatusOK                 message.CallStatus = 200
	StatusInvalid            message.CallStatus = 400 // out of bounds, or a watch after a revision that no put has yet
	StatusNotFound           message.CallStatus = 404 // the key was never put
	StatusHeld               message.CallStatus = 409 // another owner holds the lock, or the caller's hold has ended
	StatusHistoryGone        message.CallStatus = 410 // events after the watch's revision have been dropped
	StatusRevisionMismatch   message.CallStatus = 412 // the key's revision is not the one that the put expects
	StatusInsufficientMemory message.CallStatus = 507 // the state has reached its maximum size
)

// Options do not change while the process runs.
type Options struct {
	HistoryRetention time.Duration // minimum time for which the events of keys are kept for watches
}

// Store is the state machine. It is not safe for concurrent use. All times are of the member's monotonic clock.
type Store struct {
	options    Options
	limits     limits
	locks      lockTable
	lastNumber uint64 // the last number issued, shared by all names
	groups     map[message.KeyGroup]*keyGroup
	groupBytes int // size of all groups with the current values of their keys
	events     eventLog
}

// Result is the result of a call.
type Result struct {
	Answer  message.Answer
	Changes []message.CoordinationChange // made by the call and already applied to the store
	Waits   bool                         // the call is a watch without an event to report, so there is no answer yet
}

// New returns an empty store.
func New(options Options) *Store { return newStore(options, defaultLimits()) }

func newStore(options Options, limits limits) *Store {
	return &Store{
		options: options, limits: limits, locks: newLockTable(),
		groups: map[message.KeyGroup]*keyGroup{}, events: newEventLog(),
	}
}

// Execute decides a call on the current state, applies its changes and returns its answer with them. The time must have
// been read after the call was received, otherwise a hold would end too early. The answer depends on all changes made
// so far, so it must not be sent before they are committed, even if the call itself changes nothing.
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

// Apply applies a change that another member decided or that was read from disk. The duration of a hold that it grants
// is measured from now. A change of the acceptor group does not concern the store and is ignored.
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

// Maintain drops expired holds and old events. It returns the changes, which are already applied. The issuer calls it
// with each batch of calls.
func (s *Store) Maintain(now time.Duration) []message.CoordinationChange {
	changes := s.locks.releaseExpired(now)
	return append(changes, s.trimHistory(now)...)
}

// answerStatus returns a result without changes whose answer has only a status.
func answerStatus(status message.CallStatus) Result {
	return Result{Answer: message.Answer{Status: status}}
}
