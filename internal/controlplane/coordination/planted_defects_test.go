package coordination

import (
	"maps"
	"slices"
	"time"

	"pumiceline/internal/message"
)

// machine is the interface of a Store. A defectiveStore implements it too.
type machine interface {
	Execute(now time.Duration, call message.Call) Result
	Apply(now time.Duration, change message.CoordinationChange)
	Maintain(now time.Duration) []message.CoordinationChange
	Snapshot(now time.Duration) message.CoordinationState
	Restore(now time.Duration, state message.CoordinationState, restarted bool)
	HasEvents(call message.Call) bool
}

// defect is a fault of the store. Each one is planted to show that the checks find it.
type defect int

const (
	noDefect                 defect = iota
	measureFromBeforeReceipt        // a hold is measured from one second before its receipt
	ignoreRenewals                  // an acceptor does not apply renewals
	renewExpiredHolds               // an expired hold is renewed if no other owner has acquired the lock
	releaseAnyToken                 // a release ends a hold regardless of the token
	releaseAnyOwner                 // a release ends a hold regardless of the owner
	keepToken                       // the holder acquires the lock again with the same token
	loseTokens                      // a restored store loses the tokens of free locks
	loseNumbers                     // an acceptor does not apply numbers
	endHoldsOnRestore               // a restored hold has ended
	keepTimeOnRestart               // after a restart a hold lasts for its remaining time only
	roundTimeLeftDown               // a snapshot reports less remaining time than there is
	rejectRepeatedPuts              // a repeated put is answered 412
	ignoreIfRevision                // a put takes effect at any revision of the key
	reportGroupRevision             // a 412 reports the revision of the group
	loseRepeatedPuts                // a restored store recognises only the newest put of each key as a repeat
	skipTruncatedEvents             // a truncated answer to a watch reports the group's revision
	reportBeyondHorizon             // a watch gets the remaining events instead of a 410
	dropRecentEvents                // events are dropped regardless of their age
	neverResumeWatches              // a waiting watch is never executed again
	defectCount
)

var defectNames = map[defect]string{
	measureFromBeforeReceipt: "measure a hold from before its receipt", ignoreRenewals: "ignore renewals",
	renewExpiredHolds: "renew expired holds", releaseAnyToken: "release regardless of the token",
	releaseAnyOwner: "release regardless of the owner", keepToken: "keep the token", loseTokens: "lose tokens",
	loseNumbers: "lose numbers", endHoldsOnRestore: "end holds on restore",
	keepTimeOnRestart: "keep the remaining time on restart", roundTimeLeftDown: "round the remaining time down",
	rejectRepeatedPuts: "reject repeated puts", ignoreIfRevision: "ignore the expected revision of a put",
	reportGroupRevision: "report the group's revision", loseRepeatedPuts: "lose repeated puts",
	skipTruncatedEvents: "skip truncated events", reportBeyondHorizon: "report beyond the horizon",
	dropRecentEvents: "drop recent events", neverResumeWatches: "never resume watches",
}

// String returns the name of the defect.
func (d defect) String() string { return defectNames[d] }

// defectiveStore is a store with a planted defect.
type defectiveStore struct {
	*Store
	defect defect
}

// newMachine returns a store with the defect, if any.
func newMachine(defect defect, limits limits) machine {
	store := newStore(Options{HistoryRetention: testRetention}, limits)
	if defect == dropRecentEvents {
		store.options.HistoryRetention = -1
	}
	if defect == noDefect {
		return store
	}
	return &defectiveStore{Store: store, defect: defect}
}

func (s *defectiveStore) Execute(now time.Duration, call message.Call) Result {
	held := s.locks.holds[call.Lock]
	switch {
	case s.defect == releaseAnyToken && call.Kind == message.CallRelease && held != nil:
		call.Token = held.grant.Token
	case s.defect == releaseAnyOwner && call.Kind == message.CallRelease && held != nil:
		call.Token, call.Owner = held.grant.Token, held.grant.Owner
	case s.defect == renewExpiredHolds && call.Kind == message.CallRenew && held != nil:
		held.endsAt = max(held.endsAt, now+1)
	case s.defect == keepToken && call.Kind == message.CallAcquire && held != nil && held.grant.Owner == call.Owner:
		call.Kind, call.Token = message.CallRenew, held.grant.Token
	case s.defect == ignoreIfRevision && call.Kind == message.CallPut:
		call.IfRevision = s.group(GroupOf(call.Key)).keys[call.Key].revision
	case s.defect == rejectRepeatedPuts && call.Kind == message.CallPut:
		if group := s.group(GroupOf(call.Key)); isRepeatedPut(s.Store, call) {
			return Result{Answer: atRevision(StatusRevisionMismatch, group.keys[call.Key].revision)}
		}
	}
	result := s.Store.Execute(now, call)
	s.applyResultDefect(now, &call, &result)
	return result
}

func isRepeatedPut(store *Store, call message.Call) bool {
	_, isRepeated := store.firstRevision(store.group(GroupOf(call.Key)), call.Key, call.Value)
	return isRepeated
}

// applyResultDefect applies the defects that affect the result of a call.
func (s *defectiveStore) applyResultDefect(now time.Duration, call *message.Call, result *Result) {
	answer := &result.Answer
	switch s.defect {
	case measureFromBeforeReceipt:
		for _, change := range result.Changes {
			if change.Hold != nil {
				s.Apply(now, change)
			}
		}
	case reportGroupRevision:
		if answer.Status == StatusRevisionMismatch {
			answer.Revision = s.group(GroupOf(call.Key)).revision
		}
	case skipTruncatedEvents:
		if len(answer.Events) > 0 {
			answer.Revision = s.group(call.Group).revision
		}
	case reportBeyondHorizon:
		if answer.Status == StatusHistoryGone {
			group := s.group(call.Group)
			*answer = message.Answer{Status: StatusOK, Events: slices.Clone(group.history), Revision: group.revision}
		}
	}
}

func (s *defectiveStore) Apply(now time.Duration, change message.CoordinationChange) {
	switch {
	case s.defect == measureFromBeforeReceipt && change.Hold != nil:
		now -= time.Second
	case s.defect == loseNumbers && change.Number != 0:
		return
	case s.defect == ignoreRenewals && change.Hold != nil && s.locks.holds[change.Hold.Lock] != nil:
		if s.locks.holds[change.Hold.Lock].grant.Token == change.Hold.Token {
			return
		}
	}
	s.Store.Apply(now, change)
}

func (s *defectiveStore) Snapshot(now time.Duration) message.CoordinationState {
	state := s.Store.Snapshot(now)
	if s.defect == roundTimeLeftDown {
		for i := range state.Holds {
			state.Holds[i].LeftMs = max(0, state.Holds[i].LeftMs-1)
		}
	}
	return state
}

func (s *defectiveStore) Restore(now time.Duration, state message.CoordinationState, restarted bool) {
	switch s.defect {
	case keepTimeOnRestart:
		restarted = false
	case loseTokens:
		state.LastToken = 0
	}
	s.Store.Restore(now, state, restarted)
	switch s.defect {
	case endHoldsOnRestore:
		for _, held := range s.locks.holds {
			held.endsAt = now
		}
	case loseRepeatedPuts:
		clear(s.events.revisions)
	}
}

func (s *defectiveStore) HasEvents(call message.Call) bool {
	return s.defect != neverResumeWatches && s.Store.HasEvents(call)
}

// cloneMachine returns a deep copy.
func cloneMachine(m machine) machine {
	if defective, ok := m.(*defectiveStore); ok {
		return &defectiveStore{Store: cloneStore(defective.Store), defect: defective.defect}
	}
	return cloneStore(m.(*Store))
}

func cloneStore(s *Store) *Store {
	clone := newStore(s.options, s.limits)
	for _, held := range s.locks.holds {
		clone.locks.setHold(held.grant, held.endsAt)
	}
	clone.locks.lastToken, clone.lastNumber, clone.groupBytes = s.locks.lastToken, s.lastNumber, s.groupBytes
	for name, group := range s.groups {
		copied := *group
		copied.keys, copied.history = maps.Clone(group.keys), slices.Clone(group.history)
		clone.groups[name] = &copied
	}
	clone.events = s.events
	clone.events.byAge, clone.events.revisions = slices.Clone(s.events.byAge), maps.Clone(s.events.revisions)
	for i := range clone.events.byAge {
		clone.events.byAge[i].group = clone.groups[s.events.byAge[i].group.name]
	}
	return clone
}
