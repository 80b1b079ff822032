package coordination

import (
	"maps"
	"slices"
	"time"

	"pumiceline/internal/message"
)

// machine is what a member does with its state: a Store, or one with a planted defect.
type machine interface {
	Execute(now time.Duration, call message.Call) Result
	Apply(now time.Duration, change message.CoordinationChange)
	Maintain(now time.Duration) []message.CoordinationChange
	Snapshot(now time.Duration) message.CoordinationState
	Restore(now time.Duration, state message.CoordinationState, restarted bool)
	HasEvents(call message.Call) bool
}

// defect is a fault of the store. One is planted to show that a check finds it: a check that cannot fail checks nothing.
type defect int

const (
	noDefect               defect = iota
	countFromBeforeReceipt        // a hold counts from one second before its receipt
	ignoreRenewals                // an acceptor applies no renewal
	renewExpiredHolds             // a hold that is over is renewed where nobody got the lock since
	releaseAnyToken               // a release ends a hold whatever its token
	releaseAnyOwner               // a release ends a hold whoever asks
	keepToken                     // the present holder gets the lock again with the same token
	forgetTokens                  // a restored store has forgotten the tokens of locks that are free
	forgetNumbers                 // an acceptor applies no number
	endHoldsOnRestore             // a restored hold is over
	keepTimeOnRestart             // a hold is not begun anew after a restart
	roundTimeLeftDown             // a snapshot says that less is left than there is
	refuseRepeatedPuts            // a repeated put is answered 412
	ignoreIfRevision              // a put takes effect whatever it builds on
	nameGroupRevision             // a 412 names the revision of the group
	forgetRepeatedPuts            // a restored store knows no put but the newest of each key
	skipCutOffEvents              // a cut-off answer to a watch names the group's revision
	reportBeyondHorizon           // a watch gets the events that are left instead of a 410
	dropYoungEvents               // events are dropped regardless of their age
	neverWakeWatches              // a waiting watch is not executed again
	defectCount
)

var defectNames = map[defect]string{
	countFromBeforeReceipt: "count a hold from before its receipt", ignoreRenewals: "ignore renewals",
	renewExpiredHolds: "renew expired holds", releaseAnyToken: "release whatever the token",
	releaseAnyOwner: "release whoever asks", keepToken: "keep the token", forgetTokens: "forget tokens",
	forgetNumbers: "forget numbers", endHoldsOnRestore: "end holds on restore",
	keepTimeOnRestart: "keep the time left on restart", roundTimeLeftDown: "round the time left down",
	refuseRepeatedPuts: "refuse repeated puts", ignoreIfRevision: "ignore the revision that a put builds on",
	nameGroupRevision: "name the group's revision", forgetRepeatedPuts: "forget repeated puts",
	skipCutOffEvents: "skip cut-off events", reportBeyondHorizon: "report beyond the horizon",
	dropYoungEvents: "drop young events", neverWakeWatches: "never wake watches",
}

// String is the name of the defect.
func (d defect) String() string { return defectNames[d] }

// defectiveStore is a store with a planted defect.
type defectiveStore struct {
	*Store
	defect defect
}

// newMachine returns a store, with the defect where there is one.
func newMachine(defect defect, limits limits) machine {
	store := newStore(Options{HistoryRetention: testRetention}, limits)
	if defect == dropYoungEvents {
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
	case s.defect == refuseRepeatedPuts && call.Kind == message.CallPut:
		if group := s.group(GroupOf(call.Key)); isRepeatedPut(s.Store, call) {
			return Result{Answer: atRevision(StatusRevisionMismatch, group.keys[call.Key].revision)}
		}
	}
	result := s.Store.Execute(now, call)
	s.spoilResult(now, &call, &result)
	return result
}

func isRepeatedPut(store *Store, call message.Call) bool {
	_, isRepeated := store.firstRevision(store.group(GroupOf(call.Key)), call.Key, call.Value)
	return isRepeated
}

// spoilResult plants the defects that show in what a call has led to.
func (s *defectiveStore) spoilResult(now time.Duration, call *message.Call, result *Result) {
	answer := &result.Answer
	switch s.defect {
	case countFromBeforeReceipt:
		for _, change := range result.Changes {
			if change.Hold != nil {
				s.Apply(now, change)
			}
		}
	case nameGroupRevision:
		if answer.Status == StatusRevisionMismatch {
			answer.Revision = s.group(GroupOf(call.Key)).revision
		}
	case skipCutOffEvents:
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
	case s.defect == countFromBeforeReceipt && change.Hold != nil:
		now -= time.Second
	case s.defect == forgetNumbers && change.Number != 0:
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
	case forgetTokens:
		state.LastToken = 0
	}
	s.Store.Restore(now, state, restarted)
	switch s.defect {
	case endHoldsOnRestore:
		for _, held := range s.locks.holds {
			held.endsAt = now
		}
	case forgetRepeatedPuts:
		clear(s.events.revisions)
	}
}

func (s *defectiveStore) HasEvents(call message.Call) bool {
	return s.defect != neverWakeWatches && s.Store.HasEvents(call)
}

// cloneMachine returns an independent copy.
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
