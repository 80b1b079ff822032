package coordination

import (
	"time"

	"pumiceline/internal/edf"
	"pumiceline/internal/message"
)

// lockTable keeps the holds of locks. A lock without a hold is free and has no record. Its fencing tokens still
// increase from hold to hold, because all locks share one counter.
type lockTable struct {
	lastToken message.FencingToken
	holds     map[message.LockName]*hold
	byEnd     edf.Queue[hold]
}

// hold is the grant of a lock to an owner until a time. It may have expired.
type hold struct {
	edf.Item[hold]
	grant  message.LockHold
	endsAt time.Duration // on this member's clock
}

func newLockTable() lockTable { return lockTable{holds: map[message.LockName]*hold{}} }

// isExpired reports whether the hold has ended.
func (h *hold) isExpired(now time.Duration) bool { return now >= h.endsAt }

// current returns the unexpired hold of a lock, or nil if the lock is free.
func (t *lockTable) current(now time.Duration, lock message.LockName) *hold {
	if held := t.holds[lock]; held != nil && !held.isExpired(now) {
		return held
	}
	return nil
}

// acquire grants a lock that is free or that the caller holds already. Each grant has its own token, so that a late
// release with an earlier token cannot end a later grant of the same owner.
func (t *lockTable) acquire(now time.Duration, call *message.Call, maxHolds int) Result {
	held := t.current(now, call.Lock)
	if held != nil && held.grant.Owner != call.Owner {
		return answerStatus(StatusHeld)
	}
	if _, hasRecord := t.holds[call.Lock]; !hasRecord && len(t.holds) >= maxHolds {
		return answerStatus(StatusInsufficientMemory)
	}
	token := t.lastToken + 1
	grant := message.LockHold{
		Lock: call.Lock, Owner: call.Owner, FirstToken: token, Token: token, HoldMs: call.HoldMs,
	}
	if held != nil {
		grant.FirstToken = held.grant.FirstToken
		grant.HoldMs = held.prolongedMs(now, call.HoldMs)
	}
	grant.LeftMs = grant.HoldMs
	return grantResult(grant)
}

// prolongedMs returns how long a hold lasts from now on when its owner asks for holdMs: at least as long as it would
// last anyway. Otherwise a delayed call that arrives after a call for a longer time would shorten the hold, although
// its owner relies on the longer time.
func (h *hold) prolongedMs(now time.Duration, holdMs int64) int64 {
	return max(holdMs, remainingMs(h.endsAt-now))
}

// renew extends the caller's hold to HoldMs from now. An expired hold is not renewed, even if no other owner has
// acquired the lock since.
func (t *lockTable) renew(now time.Duration, call *message.Call) Result {
	held := t.current(now, call.Lock)
	if held == nil || held.grant.Owner != call.Owner {
		return answerStatus(StatusHeld)
	}
	if call.Token < held.grant.FirstToken || call.Token > held.grant.Token {
		return answerStatus(StatusHeld)
	}
	renewed := held.grant
	renewed.HoldMs = held.prolongedMs(now, call.HoldMs)
	renewed.LeftMs = renewed.HoldMs
	return grantResult(renewed)
}

// release ends the caller's hold. It requires the newest token: a release that arrives late must not end a hold that
// its owner has acquired since. A release without a matching hold is answered with StatusOK and changes nothing.
func (t *lockTable) release(call *message.Call) Result {
	held := t.holds[call.Lock]
	if held == nil || held.grant.Owner != call.Owner || held.grant.Token != call.Token {
		return answerStatus(StatusOK)
	}
	return Result{
		Answer:  message.Answer{Status: StatusOK},
		Changes: []message.CoordinationChange{releaseChange(held)},
	}
}

// releaseExpired removes the expired holds.
func (t *lockTable) releaseExpired(now time.Duration) (changes []message.CoordinationChange) {
	for t.byEnd.Len() > 0 && t.byEnd.Peek().isExpired(now) {
		change := releaseChange(t.byEnd.Peek())
		t.applyRelease(*change.Release)
		changes = append(changes, change)
	}
	return changes
}

// applyHold grants or renews a hold, whose duration is measured from now.
func (t *lockTable) applyHold(now time.Duration, grant message.LockHold) {
	t.setHold(grant, now+milliseconds(grant.HoldMs))
}

// setHold replaces the hold on a lock.
func (t *lockTable) setHold(grant message.LockHold, endsAt time.Duration) {
	t.lastToken = max(t.lastToken, grant.Token)
	held := t.holds[grant.Lock]
	if held == nil {
		held = &hold{}
		held.Value = held
		t.holds[grant.Lock] = held
	}
	held.grant, held.endsAt = grant, endsAt
	held.Deadline, held.TieBreaker = float64(endsAt), uint32(grant.Token)
	if held.IsQueued() {
		t.byEnd.Fix(&held.Item)
	} else {
		t.byEnd.Push(&held.Item)
	}
}

// applyRelease ends a hold, unless a hold with a newer token has replaced it.
func (t *lockTable) applyRelease(release message.LockRelease) {
	held := t.holds[release.Lock]
	if held == nil || held.grant.Token != release.Token {
		return
	}
	t.byEnd.Remove(&held.Item)
	delete(t.holds, release.Lock)
}

// grantResult returns the result of a call that is granted a hold or a renewal.
func grantResult(grant message.LockHold) Result {
	return Result{
		Answer:  message.Answer{Status: StatusOK, Token: grant.Token},
		Changes: []message.CoordinationChange{{Hold: &grant}},
	}
}

func releaseChange(held *hold) message.CoordinationChange {
	return message.CoordinationChange{
		Release: &message.LockRelease{Lock: held.grant.Lock, Token: held.grant.Token},
	}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
