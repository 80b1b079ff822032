package coordinationsim

import (
	"fmt"
	"time"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// What lock callers do. Each ...OneIn constant says that one in so many does it.
const (
	lockCount         = 3
	maxLockPause      = 250 * time.Millisecond
	minHoldMs         = 500
	holdMsSpread      = 2500
	shortUse          = 200 * time.Millisecond // longest use of a lock that is held for a moment
	longUse           = 6 * time.Second        // and of one that is held long
	longUseOneIn      = 4
	dieOneIn          = 8 // dies while it holds the lock, or while it asks for it
	sleepOneIn        = 8 // sleeps past its time
	maxSleep          = 1500 * time.Millisecond
	maxDeath          = 2 * time.Second
	reacquireOneIn    = 5 // renews by acquiring again
	sameLockOneIn     = 2 // takes the lock again that it had last
	overlapOneIn      = 2 // goes on while its release is not answered
	heldPause         = 200 * time.Millisecond
	maxAcquisitions   = 12
	renewalsInHold    = 3
	releaseRetryTime  = 2 * time.Second
	contentionTimeout = 20 * time.Millisecond
)

// lockCaller takes, renews and gives back locks, one after the other, always under the same owner name.
type lockCaller struct {
	cluster *Cluster
	caller  int
	owner   message.OwnerName
	life    int // counts deaths: what an earlier life waited for is void

	lock     message.LockName
	token    message.FencingToken
	holdMs   int64
	deadline time.Duration // of the hold, as the caller counts it
	wantsTo  time.Duration // until then it uses the lock
	attempts int
}

func newLockCaller(c *Cluster) *lockCaller {
	caller := c.nextCaller()
	return &lockCaller{cluster: c, caller: caller, owner: message.OwnerName(fmt.Sprintf("owner-%d", caller))}
}

// later lets the caller do something, unless it has died meanwhile.
func (l *lockCaller) later(delay time.Duration, step func()) {
	life := l.life
	l.cluster.after(delay, func() {
		if l.life == life {
			step()
		}
	})
}

// send sends a call for the lock to any coordinator. A caller that dies learns no answer.
func (l *lockCaller) send(kind message.CallKind, done func(*exchange, tokenFloors)) {
	c, life := l.cluster, l.life
	call := message.Call{Kind: kind, Lock: l.lock, Owner: l.owner, Token: l.token, HoldMs: l.holdMs}
	if kind == message.CallAcquire {
		call.Token = 0
	}
	floors := c.locks.floors(l.lock, l.caller)
	c.locks.onSent(l.lock, l.caller)
	x := c.send(l.caller, call, c.randomSlot(), func(x *exchange) {
		c.locks.onEnded(x)
		if l.life == life {
			done(x, floors)
		}
	})
	if kind == message.CallAcquire && c.random.IntN(4*dieOneIn) == 0 {
		c.after(c.connectionTime(), func() {
			if x.abandoned = !x.ended; x.abandoned {
				c.locks.onEnded(x)
				l.die()
			}
		})
	}
}

// start begins with a lock after a pause.
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
	if l.attempts++; l.attempts > maxAcquisitions || l.cluster.isStopping {
		l.start()
		return
	}
	l.send(message.CallAcquire, func(x *exchange, floors tokenFloors) {
		switch {
		case x.isOK():
			l.onAcquired(x, floors)
		case x.status == coordination.StatusHeld:
			l.cluster.locks.onHeld(x)
			l.later(l.cluster.randomDuration(heldPause), l.acquire)
		default:
			l.later(contentionTimeout, l.acquire)
		}
	})
}

func (l *lockCaller) onAcquired(x *exchange, floors tokenFloors) {
	c := l.cluster
	l.token = x.answer.Token
	if !c.locks.onAcquired(x, floors) {
		l.release() // the time was over before the answer came
		return
	}
	l.deadline = x.sentAt + holdTime(x)
	use := c.randomDuration(shortUse)
	if c.random.IntN(longUseOneIn) == 0 {
		use = c.randomDuration(longUse)
	}
	l.wantsTo = c.now + use
	switch {
	case c.random.IntN(dieOneIn) == 0:
		l.later(c.randomDuration(use), l.die)
	case c.random.IntN(sleepOneIn) == 0:
		l.later(l.deadline-c.now+c.randomDuration(maxSleep), l.wake)
	default:
		l.use()
	}
}

// use gives the lock back when it is no longer wanted, and renews it in time until then.
func (l *lockCaller) use() {
	c := l.cluster
	switch {
	case c.now >= l.wantsTo || c.isStopping:
		l.release()
	case c.now >= l.deadline:
		l.start()
	default:
		next := min(l.wantsTo-c.now, time.Duration(l.holdMs)*time.Millisecond/renewalsInHold)
		l.later(next, l.renew)
	}
}

func (l *lockCaller) renew() {
	c := l.cluster
	if c.now >= l.wantsTo {
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
			l.start() // it came too late
		case x.status == coordination.StatusHeld:
			if c.now < l.deadline {
				c.log.lostHolds++
				c.note("caller %d lost %s with token %d, its until %.4fs", l.caller, l.lock, l.token, l.deadline.Seconds())
			}
			l.start()
		case c.now >= l.deadline:
			l.start()
		default:
			l.later(contentionTimeout, l.renew)
		}
	})
}

// onReacquired is the answer to an acquisition by the holder.
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
		l.later(contentionTimeout, l.renew)
	}
}

// release gives the lock back. Some callers go on before that is answered: it may come late.
func (l *lockCaller) release() {
	c := l.cluster
	c.locks.onReleaseSent(l.lock, l.caller)
	call := message.Call{Kind: message.CallRelease, Lock: l.lock, Owner: l.owner, Token: l.token}
	goesOn := c.random.IntN(overlapOneIn) == 0
	life := l.life
	c.sendUntilClear(l.caller, call, releaseRetryTime, func(*exchange) {}, func(x *exchange) {
		if x.isOK() {
			c.locks.onFreed(x)
		}
		if !goesOn && l.life == life {
			l.start()
		}
	})
	if goesOn {
		l.start()
	}
}

// wake tries a renewal after the time was over: the answer counts for nothing, and the lock is given up.
func (l *lockCaller) wake() {
	l.send(message.CallRenew, func(*exchange, tokenFloors) { l.release() })
}

// die ends the caller's life. It comes back under the same name.
func (l *lockCaller) die() {
	l.life++
	l.later(l.cluster.randomDuration(maxDeath), l.start)
}
