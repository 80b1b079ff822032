package coordinationsim

import (
	"time"

	"pumiceline/internal/message"
)

// freeTime is how long after the end of all holds a lock may still be refused.
const freeTime = 1500 * time.Millisecond

// lockChecker checks RuleOneHolder by the holds that the callers rely on.
type lockChecker struct {
	cluster    *Cluster
	locks      map[message.LockName]*checkedLock
	grants     int
	takeoverAt time.Duration // when a process last became the issuer
}

// checkedLock is what the callers observed of a lock.
type checkedLock struct {
	holds        map[int]*callerHold // the current or last hold of each caller
	tokens       map[message.FencingToken]int
	newest       map[int]message.FencingToken // the highest token of each caller
	pendingCalls map[int]bool                 // callers whose acquire or renew call has no answer yet
	unclearUntil time.Duration                // until then a call without a clear answer may hold the lock
}

// callerHold is a hold that its caller relies on.
type callerHold struct {
	token           message.FencingToken
	until           time.Duration
	released        bool // the release has been sent
	releaseAnswered bool // the release has been answered
}

func newLockChecker(c *Cluster) *lockChecker {
	return &lockChecker{cluster: c, locks: map[message.LockName]*checkedLock{}}
}

func (l *lockChecker) lock(name message.LockName) *checkedLock {
	lock := l.locks[name]
	if lock == nil {
		lock = &checkedLock{
			holds: map[int]*callerHold{}, tokens: map[message.FencingToken]int{}, newest: map[int]message.FencingToken{},
			pendingCalls: map[int]bool{},
		}
		l.locks[name] = lock
	}
	return lock
}

// tokenFloors are the highest tokens that the other callers and the caller itself obtained before a call was sent.
type tokenFloors struct{ others, own message.FencingToken }

func (l *lockChecker) floors(name message.LockName, caller int) (floors tokenFloors) {
	for other, token := range l.lock(name).newest {
		if other == caller {
			floors.own = token
		} else {
			floors.others = max(floors.others, token)
		}
	}
	return floors
}

// onAcquired checks a grant. It reports whether the caller holds the lock now: the grant may have expired on its way.
func (l *lockChecker) onAcquired(x *exchange, floors tokenFloors) bool {
	c, lock, token := l.cluster, l.lock(x.call.Lock), x.answer.Token
	l.grants++
	if token <= floors.others {
		c.report(RuleOneHolder, x.subject(), "caller %d got token %d after another had %d", x.caller, token, floors.others)
	}
	if token < floors.own {
		c.report(RuleOneHolder, x.subject(), "caller %d got token %d after it had %d", x.caller, token, floors.own)
	}
	if other, isGiven := lock.tokens[token]; isGiven && other != x.caller {
		c.report(RuleOneHolder, x.subject(), "callers %d and %d got token %d", other, x.caller, token)
	}
	lock.tokens[token] = x.caller
	lock.newest[x.caller] = max(lock.newest[x.caller], token)
	return l.hold(x, token)
}

// onRenewed records a renewal. It reports whether the answer came before the hold ended, so that the caller still holds
// it.
func (l *lockChecker) onRenewed(x *exchange) bool {
	hold := l.lock(x.call.Lock).holds[x.caller]
	if hold == nil || hold.released || l.cluster.now >= hold.until || hold.token != x.call.Token {
		return false
	}
	return l.hold(x, hold.token)
}

// hold records that the caller holds the lock for the time of its latest successful call, counted from when that was
// sent. It checks that no other caller holds the lock.
func (l *lockChecker) hold(x *exchange, token message.FencingToken) bool {
	c, lock := l.cluster, l.lock(x.call.Lock)
	until := x.sentAt + holdTime(x)
	if until <= c.now {
		return false
	}
	for other := 1; other <= c.callers; other++ {
		hold := lock.holds[other]
		if other != x.caller && hold != nil && !hold.released && c.now < hold.until {
			c.report(RuleOneHolder, x.subject(), "caller %d holds it with token %d while caller %d has it with %d until %.4fs",
				x.caller, token, other, hold.token, hold.until.Seconds())
		}
	}
	lock.holds[x.caller] = &callerHold{token: token, until: until}
	return true
}

// onReleaseSent ends the caller's hold: the caller stops relying on it when it sends the release.
func (l *lockChecker) onReleaseSent(lock message.LockName, caller int) {
	if hold := l.lock(lock).holds[caller]; hold != nil {
		hold.released = true
	}
}

// onSent records a call that may be granted until it is answered.
func (l *lockChecker) onSent(lock message.LockName, caller int) {
	l.lock(lock).pendingCalls[caller] = true
}

// onEnded records that a call has been answered or has ended without an answer.
func (l *lockChecker) onEnded(x *exchange) {
	delete(l.lock(x.call.Lock).pendingCalls, x.caller)
	if !x.isClear() {
		l.onUnclear(x)
	}
}

// onFreed records the answer to a release.
func (l *lockChecker) onFreed(x *exchange) {
	if hold := l.lock(x.call.Lock).holds[x.caller]; hold != nil && hold.token == x.call.Token {
		hold.releaseAnswered = true
	}
}

// onUnclear records how long a call without a clear answer may hold the lock.
func (l *lockChecker) onUnclear(x *exchange) {
	lock := l.lock(x.call.Lock)
	lock.unclearUntil = max(lock.unclearUntil, l.cluster.now+holdTime(x))
}

// onHeld counts a 409 as late if no other caller could have held the lock for freeTime before the call.
func (l *lockChecker) onHeld(x *exchange) {
	lock := l.lock(x.call.Lock)
	busyUntil := max(lock.unclearUntil, l.takeoverAt+holdTime(x))
	for other, hold := range lock.holds {
		if other != x.caller && !hold.releaseAnswered {
			busyUntil = max(busyUntil, hold.until)
		}
	}
	if x.sentAt > busyUntil+freeTime && len(lock.pendingCalls) == 0 {
		l.cluster.log.lateRefusal++
		l.cluster.note("caller %d refused %s, which was free from %.4fs", x.caller, x.call.Lock, busyUntil.Seconds())
	}
}

func holdTime(x *exchange) time.Duration { return time.Duration(x.call.HoldMs) * time.Millisecond }
