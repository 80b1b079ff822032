package coordination

import (
	"slices"
	"time"

	"pumiceline/internal/message"
)

// reference is a second implementation of the rules, as simple as possible: it searches lists and keeps every put ever
// made. It has the state that all members share; the times that a member measures are in referenceMember.
type reference struct {
	limits     limits
	lastToken  message.FencingToken
	lastNumber uint64
	holds      []message.LockHold
	puts       []message.KeyEvent // of all groups, in the order of their execution
	horizons   map[message.KeyGroup]message.Revision
}

// referenceMember is the state that one member measures on its own clock.
type referenceMember struct {
	holdEnds   map[message.LockName]time.Duration
	receivedAt []time.Duration // by index of reference.puts
}

// hold returns the hold of a lock, which may have expired.
func (r *reference) hold(lock message.LockName) (record message.LockHold, exists bool) {
	for _, record := range r.holds {
		if record.Lock == lock {
			return record, true
		}
	}
	return message.LockHold{}, false
}

func (r *reference) setHold(grant message.LockHold) {
	r.endHold(grant.Lock)
	r.holds = append(r.holds, grant)
}

func (r *reference) endHold(lock message.LockName) {
	r.holds = slices.DeleteFunc(r.holds, func(h message.LockHold) bool { return h.Lock == lock })
}

// ofGroup returns all puts of a group ever made.
func (r *reference) ofGroup(group message.KeyGroup) (puts []message.KeyEvent) {
	for _, put := range r.puts {
		if GroupOf(put.Key) == group {
			puts = append(puts, put)
		}
	}
	return puts
}

// newest returns the newest put of a key.
func (r *reference) newest(key message.KeyName) (newest message.KeyEvent, exists bool) {
	for _, put := range r.puts {
		if put.Key == key {
			newest, exists = put, true
		}
	}
	return newest, exists
}

// isKept reports whether a put is still in the history.
func (r *reference) isKept(put message.KeyEvent) bool {
	return put.Revision > r.horizons[GroupOf(put.Key)]
}

// size returns the number of events in the history, their size, and the size of the groups with the current values.
func (r *reference) size() (events, eventBytes, currentBytes int) {
	for _, put := range r.puts {
		if put.Revision == 1 {
			currentBytes += len(GroupOf(put.Key)) + groupOverheadBytes
		}
		size := len(put.Key) + len(put.Value) + eventOverheadBytes
		if r.isKept(put) {
			events++
			eventBytes += size
		}
		if newest, _ := r.newest(put.Key); newest == put {
			currentBytes += size
		}
	}
	return events, eventBytes, currentBytes
}

// execute returns the answer that a member must give to a valid call at a time of its clock, and applies the changes.
// waits is true for a watch that has no answer yet.
func (r *reference) execute(m *referenceMember, now time.Duration, call message.Call) (answer message.Answer, waits bool) {
	switch call.Kind {
	case message.CallAcquire:
		return r.acquire(m, now, call), false
	case message.CallRenew:
		return r.renew(m, now, call), false
	case message.CallRelease:
		if record, exists := r.hold(call.Lock); exists && record.Owner == call.Owner && record.Token == call.Token {
			r.endHold(call.Lock)
		}
		return status(StatusOK), false
	case message.CallNumber:
		r.lastNumber++
		return message.Answer{Status: StatusOK, Number: r.lastNumber}, false
	case message.CallPut:
		return r.put(m, now, call), false
	case message.CallGet:
		if newest, exists := r.newest(call.Key); exists {
			return read(newest.Value, newest.Revision), false
		}
		return status(StatusNotFound), false
	}
	return r.watch(call)
}

func (r *reference) acquire(m *referenceMember, now time.Duration, call message.Call) message.Answer {
	record, exists := r.hold(call.Lock)
	isHeld := exists && now < m.holdEnds[call.Lock]
	if isHeld && record.Owner != call.Owner {
		return status(StatusHeld)
	}
	if !exists && len(r.holds) == r.limits.holds {
		return status(StatusInsufficientMemory)
	}
	r.lastToken++
	first, holdMs := r.lastToken, call.HoldMs
	if isHeld {
		first, holdMs = record.FirstToken, m.prolongedMs(now, call)
	}
	r.setHold(message.LockHold{
		Lock: call.Lock, Owner: call.Owner, FirstToken: first, Token: r.lastToken, HoldMs: holdMs,
	})
	m.holdEnds[call.Lock] = now + time.Duration(holdMs)*time.Millisecond
	return granted(r.lastToken)
}

func (r *reference) renew(m *referenceMember, now time.Duration, call message.Call) message.Answer {
	record, exists := r.hold(call.Lock)
	isOwn := exists && record.Owner == call.Owner && record.FirstToken <= call.Token && call.Token <= record.Token
	if !isOwn || now >= m.holdEnds[call.Lock] {
		return status(StatusHeld)
	}
	record.HoldMs = m.prolongedMs(now, call)
	r.setHold(record)
	m.holdEnds[call.Lock] = now + time.Duration(record.HoldMs)*time.Millisecond
	return granted(record.Token)
}

// prolongedMs returns how long a hold lasts from now on when its owner asks for it again. A call never shortens a hold.
func (m *referenceMember) prolongedMs(now time.Duration, call message.Call) int64 {
	left := m.holdEnds[call.Lock] - now
	leftMs := left.Milliseconds()
	if left > time.Duration(leftMs)*time.Millisecond {
		leftMs++
	}
	return max(call.HoldMs, leftMs)
}

func (r *reference) put(m *referenceMember, now time.Duration, call message.Call) message.Answer {
	newest, exists := r.newest(call.Key)
	for _, put := range r.puts {
		if put.Key == call.Key && put.Value == call.Value && (put == newest || r.isKept(put)) {
			return atRevision(StatusOK, put.Revision)
		}
	}
	if !call.IfAny && newest.Revision != call.IfRevision {
		return atRevision(StatusRevisionMismatch, newest.Revision)
	}
	events, eventBytes, currentBytes := r.size()
	size := len(call.Key) + len(call.Value) + eventOverheadBytes
	revision := message.Revision(len(r.ofGroup(GroupOf(call.Key))) + 1)
	if revision == 1 {
		currentBytes += len(GroupOf(call.Key)) + groupOverheadBytes
	}
	if exists {
		currentBytes -= len(newest.Key) + len(newest.Value) + eventOverheadBytes
	}
	if events == r.limits.events || eventBytes+currentBytes+2*size > r.limits.stateBytes {
		return status(StatusInsufficientMemory)
	}
	r.puts = append(r.puts, message.KeyEvent{Key: call.Key, Value: call.Value, Revision: revision})
	m.receivedAt = append(m.receivedAt, now)
	return atRevision(StatusOK, revision)
}

func (r *reference) watch(call message.Call) (answer message.Answer, waits bool) {
	puts := r.ofGroup(call.Group)
	current := message.Revision(len(puts))
	switch {
	case call.After == 0:
		return atRevision(StatusOK, current), false
	case call.After > current:
		return status(StatusInvalid), false
	case call.After < r.horizons[call.Group]:
		return status(StatusHistoryGone), false
	case call.After == current:
		return atRevision(StatusOK, current), call.WaitMs > 0
	}
	events := puts[call.After:]
	events = events[:min(len(events), r.limits.answerEvents)]
	return message.Answer{Status: StatusOK, Events: events, Revision: events[len(events)-1].Revision}, false
}

// snapshot returns the snapshot that a member must return.
func (r *reference) snapshot(m *referenceMember, now time.Duration) message.CoordinationState {
	state := message.CoordinationState{
		LastToken: r.lastToken, LastNumber: r.lastNumber,
		Holds: []message.LockHold{}, KeyGroups: []message.KeyGroupState{},
	}
	for _, record := range r.holds {
		left := max(0, m.holdEnds[record.Lock]-now)
		record.LeftMs = int64(left / time.Millisecond)
		if left%time.Millisecond != 0 {
			record.LeftMs++
		}
		state.Holds = append(state.Holds, record)
	}
	slices.SortFunc(state.Holds, func(a, b message.LockHold) int { return compareNames(a.Lock, b.Lock) })
	isListed := map[message.KeyGroup]bool{}
	for _, put := range r.puts {
		if name := GroupOf(put.Key); !isListed[name] {
			isListed[name] = true
			state.KeyGroups = append(state.KeyGroups, r.snapshotGroup(name))
		}
	}
	slices.SortFunc(state.KeyGroups, func(a, b message.KeyGroupState) int { return compareNames(a.Name, b.Name) })
	return state
}

func (r *reference) snapshotGroup(name message.KeyGroup) message.KeyGroupState {
	puts := r.ofGroup(name)
	state := message.KeyGroupState{
		Name: name, Revision: message.Revision(len(puts)), Horizon: r.horizons[name],
		History: append([]message.KeyEvent{}, puts[r.horizons[name]:]...),
	}
	for _, put := range puts {
		if newest, _ := r.newest(put.Key); newest == put {
			state.Keys = append(state.Keys, put)
		}
	}
	slices.SortFunc(state.Keys, func(a, b message.KeyEvent) int { return compareNames(a.Key, b.Key) })
	return state
}
