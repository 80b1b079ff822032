package coordinationsim

import (
	"fmt"
	"time"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// Behaviour of lock callers. Each ...OneIn constant says that a caller does it in one of so many cases.
const (
	lockCount            = 3
	maxLockPause         = 250 * time.Millisecond
	minHoldMs            = 500
	holdMsSpread         = 2500
	shortUse             = 200 * time.Millisecond // limit of an ordinary use of a lock
	longUse              = 6 * time.Second        // limit of one in longUseOneIn uses
	longUseOneIn         = 4
	crashOneIn           = 8 // crashes while it holds the lock; a quarter as often while it acquires it
	stallOneIn           = 8 // stalls until after its hold has expired
	maxStall             = 1500 * time.Millisecond
	maxCrashDowntime     = 2 * time.Second
	reacquireOneIn       = 5 // renews the hold by acquiring the lock again
	sameLockOneIn        = 2 // acquires its last lock again instead of drawing one
	overlapOneIn         = 2 // continues before its release is answered
	maxHeldRetryPause    = 200 * time.Millisecond
	maxAcquireAttempts   = 12
	renewalsPerHold      = 3
	releaseRetryTime     = 2 * time.Second
	failedCallRetryPause = 20 * time.Millisecond
)

// lockCaller acquires, renews and releases locks, one after the other, always under the same owner name.
type lockCaller struct {
	cluster    *Cluster
	caller     int
	owner      message.OwnerName
	generation int // counts crashes; callbacks of earlier generations are ignored

	lock     message.LockName
	token    message.FencingToken
	holdMs   int64
	deadline time.Duration // end of the hold, counted from when the caller sent its call
	useUntil time.Duration // when it releases the lock
	attempts int
}

func newLockCaller(c *Cluster) *lockCaller {
	caller := c.nextCaller()
	return &lockCaller{cluster: c, caller: caller, owner: message.OwnerName(fmt.Sprintf("owner-%d", caller))}
}

// later schedules a step of the caller, which is skipped if the caller crashes before.
func (l *lockCaller) later(delay time.Duration, step func()) {
	generation := l.generation
	l.cluster.after(delay, func() {
		if l.generation == generation {
			step()
		}
	})
}

// send sends a call for the lock to a random coordinator. A caller that crashes meanwhile does not get the answer.
func (l *lockCaller) send(kind message.CallKind, done func(*exchange, tokenFloors)) {
	c, generation := l.cluster, l.generation
	call := message.Call{Kind: kind, Lock: l.lock, Owner: l.owner, Token: l.token, HoldMs: l.holdMs}
	if kind == message.CallAcquire {
		call.Token = 0
	}
	floors := c.locks.floors(l.lock, l.caller)
	c.locks.onSent(l.lock, l.caller)
	x := c.send(l.caller, call, c.randomSlot(), func(x *exchange) {
		c.locks.onEnded(x)
		if l.generation == generation {
			done(x, floors)
		}
	})
	if kind == message.CallAcquire && c.random.IntN(4*crashOneIn) == 0 {
		c.after(c.connectionTime(), func() {
			if x.abandoned = !x.ended; x.abandoned {
				c.locks.onEnded(x)
				l.crash()
			}
		})
	}
}

// start acquires the next lock after a pause.
func (l *lockCaller) start() {
	l.later(l.cluster.randomDuration(maxLockPause), func() {
		c := l.cluster
		if c.isStopping {
			return
		}
		if l.lock == "" || c.random.IntN(sameLockOneIn) > 0 {
			l.lock = lockNames[c.random.IntN(lockCount)]
		}
		l.holdMs = minHoldMs + c.random.Int64N(holdMsSpread)
		l.attempts = 0
		l.acquire()
	})
}

var lockNames = [lockCount]message.LockName{"lock-1", "lock-2", "lock-3"}

func (l *lockCaller) acquire() {
	if l.attempts++; l.attempts > maxAcquireAttempts || l.cluster.isStopping {
		l.start()
		return
	}
	l.send(message.CallAcquire, func(x *exchange, floors tokenFloors) {
		switch {
		case x.isOK():
			l.onAcquired(x, floors)
		case x.status == coordination.StatusHeld:
			l.cluster.locks.onHeld(x)
			l.later(l.cluster.randomDuration(maxHeldRetryPause), l.acquire)
		default:
			l.later(failedCallRetryPause, l.acquire)
		}
	})
}

func (l *lockCaller) onAcquired(x *exchange, floors tokenFloors) {
	c := l.cluster
	l.token = x.answer.Token
	if !c.locks.onAcquired(x, floors) {
		l.release() // the hold had expired before the answer came
		return
	}
	l.deadline = x.sentAt + holdTime(x)
	use := c.randomDuration(shortUse)
	if c.random.IntN(longUseOneIn) == 0 {
		use = c.randomDuration(longUse)
	}
	l.useUntil = c.now + use
	switch {
	case c.random.IntN(crashOneIn) == 0:
		l.later(c.randomDuration(use), l.crash)
	case c.random.IntN(stallOneIn) == 0:
		l.later(l.deadline-c.now+c.randomDuration(maxStall), l.renewAfterExpiry)
	default:
		l.use()
	}
}

// use releases the lock at useUntil and schedules renewals before that.
func (l *lockCaller) use() {
	c := l.cluster
	switch {
	case c.now >= l.useUntil || c.isStopping:
		l.release()
	case c.now >= l.deadline:
		l.start()
	default:
		next := min(l.useUntil-c.now, time.Duration(l.holdMs)*time.Millisecond/renewalsPerHold)
		l.later(next, l.renew)
	}
}

func (l *lockCaller) renew() {
	c := l.cluster
	if c.now >= l.useUntil {
		l.release()
		return
	}
	if c.random.IntN(reacquireOneIn) == 0 {
		l.send(message.CallAcquire, l.onReacquired)
		return
	}
	l.send(message.CallRenew, func(x *exchange, _ tokenFloors) {
		switch {
		case x.isOK() && c.locks.onRenewed(x):
			l.deadline = x.sentAt + holdTime(x)
			l.use()
		case x.isOK():
			l.start() // the answer came after the hold had expired
		case x.status == coordination.StatusHeld:
			if c.now < l.deadline {
				c.log.lostHolds++
				c.note("caller %d lost %s with token %d, its until %.4fs", l.caller, l.lock, l.token, l.deadline.Seconds())
			}
			l.start()
		case c.now >= l.deadline:
			l.start()
		default:
			l.later(failedCallRetryPause, l.renew)
		}
	})
}

// onReacquired handles the answer to an acquire call by the holder.
func (l *lockCaller) onReacquired(x *exchange, floors tokenFloors) {
	c := l.cluster
	switch {
	case x.isOK():
		l.token = x.answer.Token
		if !c.locks.onAcquired(x, floors) {
			l.start()
			return
		}
		l.deadline = x.sentAt + holdTime(x)
		l.use()
	case x.status == coordination.StatusHeld && c.now < l.deadline:
		c.log.lostHolds++
		l.start()
	case c.now >= l.deadline:
		l.start()
	default:
		l.later(failedCallRetryPause, l.renew)
	}
}

// release releases the lock. Some callers continue before the answer, so their release may take effect late.
func (l *lockCaller) release() {
	c := l.cluster
	c.locks.onReleaseSent(l.lock, l.caller)
	call := message.Call{Kind: message.CallRelease, Lock: l.lock, Owner: l.owner, Token: l.token}
	overlaps := c.random.IntN(overlapOneIn) == 0
	generation := l.generation
	c.sendUntilClear(l.caller, call, releaseRetryTime, func(*exchange) {}, func(x *exchange) {
		if x.isOK() {
			c.locks.onFreed(x)
		}
		if !overlaps && l.generation == generation {
			l.start()
		}
	})
	if overlaps {
		l.start()
	}
}

// renewAfterExpiry sends a renewal after the hold has expired. Whatever the answer, the caller then releases the lock.
func (l *lockCaller) renewAfterExpiry() {
	l.send(message.CallRenew, func(*exchange, tokenFloors) { l.release() })
}

// crash discards all scheduled steps and pending answers. The caller restarts under the same owner name.
func (l *lockCaller) crash() {
	l.generation++
	l.later(l.cluster.randomDuration(maxCrashDowntime), l.start)
}
