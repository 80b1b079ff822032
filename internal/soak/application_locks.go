package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Numbers of locks, and of elections, which are locks with long holds.
const (
	lockCount     = 4
	electionCount = 2
	renewals      = 3 // most renewals of a hold
)

// Hold times. The number of a lock selects one of them.
var (
	lockHolds     = []time.Duration{300 * time.Millisecond, 1000 * time.Millisecond, 3000 * time.Millisecond}
	electionHolds = []time.Duration{2 * time.Second, 3 * time.Second}
)

// lockCaller is an application that acquires locks repeatedly. It ends some holds by a release. It abandons others as
// if it had crashed, or pauses beyond the hold time and then tries to renew.
type lockCaller struct {
	*applicationCaller
	owner     Owner
	prefix    string
	count     int
	holds     []time.Duration
	oldTokens map[string]uint64 // token of an earlier hold, by lock
}

func newLockCaller(c *applicationCaller, number int, prefix string, count int, holds []time.Duration) *lockCaller {
	return &lockCaller{applicationCaller: c, owner: Owner(fmt.Sprintf("app-%s%d", prefix, number)), prefix: prefix, count: count,
		holds: holds, oldTokens: map[string]uint64{}}
}

func (c *lockCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		number := c.random.IntN(c.count)
		lock := fmt.Sprintf("%s%d", c.prefix, number)
		hold := c.holds[number%len(c.holds)] // the same for each hold of a lock, so that a repeated call never shortens it
		if index, ok := c.acquire(ctx, lock, hold); ok {
			c.useHold(ctx, lock, hold, index)
		}
		c.pause(ctx, 20*time.Millisecond, 150*time.Millisecond)
	}
}

// acquire makes one call for a lock. If the caller is now the holder, it returns the index of the hold.
func (c *lockCaller) acquire(ctx context.Context, lock string, hold time.Duration) (index int, ok bool) {
	got := c.call(ctx, http.MethodPost, "/locks/"+lock, applicationBody{Owner: c.owner, HoldMs: hold.Milliseconds()})
	c.recordCall(LockCall{Lock: lock, Owner: c.owner, Method: LockAcquire, Token: got.body.FenceNo}, got)
	if got.status != http.StatusOK || got.endedAt >= got.sentAt+hold {
		return 0, false
	}
	c.record(func(h *ApplicationHistory) {
		index = len(h.Holds)
		h.Holds = append(h.Holds, Hold{Lock: lock, Owner: c.owner, Token: got.body.FenceNo, From: got.endedAt, Until: got.sentAt + hold})
	})
	return index, true
}

func (c *lockCaller) recordCall(call LockCall, got answer) {
	call.SentAt, call.EndedAt, call.Status = got.sentAt, got.endedAt, got.status
	c.record(func(h *ApplicationHistory) { h.LockCalls = append(h.LockCalls, call) })
}

// useHold carries out a random one of the behaviors of lockCaller on a hold.
func (c *lockCaller) useHold(ctx context.Context, lock string, hold time.Duration, index int) {
	token := c.tokenOf(index)
	defer func() { c.oldTokens[lock] = token }()
	if old, ok := c.oldTokens[lock]; ok && old != token && c.oneIn(3) {
		c.release(ctx, lock, old) // a late release of an earlier hold
	}
	switch c.random.IntN(5) {
	case 0: // abandons the hold, as after a crash
		return
	case 1: // pauses beyond the hold time
		c.pause(ctx, hold, 2*hold)
		c.renew(ctx, lock, hold, index)
		return
	case 2:
		c.pause(ctx, 0, hold/2)
	default:
		for range 1 + c.random.IntN(renewals) {
			c.pause(ctx, hold/4, hold/2)
			if !c.renew(ctx, lock, hold, index) {
				return
			}
		}
	}
	c.endHolds(lock)
	c.release(ctx, lock, token)
}

func (c *lockCaller) tokenOf(index int) (token uint64) {
	c.record(func(h *ApplicationHistory) { token = h.Holds[index].Token })
	return token
}

// renew makes one call that extends a hold. It reports whether the caller considers itself the holder still.
func (c *lockCaller) renew(ctx context.Context, lock string, hold time.Duration, index int) bool {
	token := c.tokenOf(index)
	got := c.call(ctx, http.MethodPut, "/locks/"+lock, applicationBody{Owner: c.owner, FenceNo: &token, HoldMs: hold.Milliseconds()})
	c.recordCall(LockCall{Lock: lock, Owner: c.owner, Method: LockRenew, Token: token}, got)
	isHolder := false
	c.record(func(h *ApplicationHistory) {
		held := &h.Holds[index]
		isHolder = got.endedAt < held.Until
		if got.status == http.StatusOK && isHolder {
			held.Until = max(held.Until, got.sentAt+hold)
		}
	})
	return isHolder && got.status != http.StatusConflict
}

// endHolds ends all holds of a lock in the caller's view, also those that it abandoned earlier.
func (c *lockCaller) endHolds(lock string) {
	now := c.recorder.now()
	c.record(func(h *ApplicationHistory) {
		for i := range h.Holds {
			if hold := &h.Holds[i]; hold.Owner == c.owner && hold.Lock == lock {
				hold.Until = min(hold.Until, now)
			}
		}
	})
}

// release makes one call that releases a lock.
func (c *lockCaller) release(ctx context.Context, lock string, token uint64) {
	got := c.call(ctx, http.MethodDelete, "/locks/"+lock, applicationBody{Owner: c.owner, FenceNo: &token})
	c.recordCall(LockCall{Lock: lock, Owner: c.owner, Method: LockRelease, Token: token}, got)
}
