package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Locks and elections, which are locks that are held long.
const (
	lockCount     = 4
	electionCount = 2
	renewals      = 3 // of a hold that is renewed, at most
)

// Times that locks are held for, in turn.
var (
	lockHolds     = []time.Duration{300 * time.Millisecond, 1000 * time.Millisecond, 3000 * time.Millisecond}
	electionHolds = []time.Duration{2 * time.Second, 3 * time.Second}
)

// lockCaller is an application that takes locks, over and over. Some of its holds end with a release; at others it dies
// while holding, or sleeps past its time and goes on as if it had not.
type lockCaller struct {
	*applicationCaller
	owner  Owner
	prefix string
	count  int
	holds  []time.Duration
	old    map[string]uint64 // token of an earlier hold, by lock
}

func newLockCaller(c *applicationCaller, number int, prefix string, count int, holds []time.Duration) *lockCaller {
	return &lockCaller{applicationCaller: c, owner: Owner(fmt.Sprintf("app-%s%d", prefix, number)), prefix: prefix, count: count,
		holds: holds, old: map[string]uint64{}}
}

func (c *lockCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		number := c.random.IntN(c.count)
		lock := fmt.Sprintf("%s%d", c.prefix, number)
		hold := c.holds[number%len(c.holds)] // that of a lock is always the same, so that another call only adds time
		if index, ok := c.acquire(ctx, lock, hold); ok {
			c.use(ctx, lock, hold, index)
		}
		c.pause(ctx, 20*time.Millisecond, 150*time.Millisecond)
	}
}

// acquire makes one call for a lock. It returns the index of the hold where the caller is holder.
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

// use does with a hold what the caller has drawn.
func (c *lockCaller) use(ctx context.Context, lock string, hold time.Duration, index int) {
	token := c.tokenOf(index)
	defer func() { c.old[lock] = token }()
	if old, ok := c.old[lock]; ok && old != token && c.chance(3) {
		c.release(ctx, lock, old) // late, of an earlier hold
	}
	switch c.random.IntN(5) {
	case 0: // it dies
		return
	case 1: // it sleeps past its time
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
	c.end(lock)
	c.release(ctx, lock, token)
}

func (c *lockCaller) tokenOf(index int) (token uint64) {
	c.record(func(h *ApplicationHistory) { token = h.Holds[index].Token })
	return token
}

// renew makes one call for more time. It says whether the caller is still the holder, as it counts itself.
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

// end has the caller no longer count itself holder of a lock, also by holds at which it died before.
func (c *lockCaller) end(lock string) {
	now := c.recorder.now()
	c.record(func(h *ApplicationHistory) {
		for i := range h.Holds {
			if hold := &h.Holds[i]; hold.Owner == c.owner && hold.Lock == lock {
				hold.Until = min(hold.Until, now)
			}
		}
	})
}

// release makes one call that gives the lock back.
func (c *lockCaller) release(ctx context.Context, lock string, token uint64) {
	got := c.call(ctx, http.MethodDelete, "/locks/"+lock, applicationBody{Owner: c.owner, FenceNo: &token})
	c.recordCall(LockCall{Lock: lock, Owner: c.owner, Method: LockRelease, Token: token}, got)
}
