package coordinationsim

import (
	"fmt"
	"time"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

const (
	// finalHoldMs is the hold time of the locks that are acquired at the end.
	finalHoldMs = 1000
	// finalPause is the pause between two attempts of a final call.
	finalPause = 50 * time.Millisecond
)

// finalCall is a call that must be answered at the end.
type finalCall struct {
	name string
	done bool
}

// runFinalCalls calls each lock, number, key and watch after the loss of all power and checks RuleLost.
func (c *Cluster) runFinalCalls() {
	var calls []*finalCall
	begin := func(name string, start func(call *finalCall)) {
		call := &finalCall{name: name}
		calls = append(calls, call)
		start(call)
	}
	for _, lock := range lockNames {
		begin("acquire "+string(lock), func(call *finalCall) { newFinalLockCaller(c, lock).acquireFinally(call) })
	}
	for _, name := range counterNames {
		begin("number "+string(name), func(call *finalCall) {
			c.numbers.send(c.nextCaller(), name, finalBound, func(x *exchange) { call.done = x.isOK() })
		})
	}
	for _, group := range groupNames {
		for i := range keysInGroup {
			key := message.KeyName(fmt.Sprintf("%s%d", group, i))
			begin("get "+string(key), func(call *finalCall) {
				c.readKey(c.nextCaller(), key, finalBound, func(x *exchange) {
					call.done = x.isOK() || x.status == coordination.StatusNotFound
				})
			})
		}
	}
	for _, w := range c.keys.watchers {
		begin("watch "+string(w.group), w.resume)
	}
	c.runUntil(c.now + finalBound)
	for _, call := range calls {
		if !call.done {
			c.report(RuleLost, call.name, "no answer came in time")
		}
	}
}

// newFinalLockCaller returns a caller that acquires a lock for finalHoldMs.
func newFinalLockCaller(c *Cluster, lock message.LockName) *lockCaller {
	l := newLockCaller(c)
	l.lock, l.holdMs = lock, finalHoldMs
	return l
}

// acquireFinally tries to acquire the lock until it is granted.
func (l *lockCaller) acquireFinally(call *finalCall) {
	c := l.cluster
	floors := c.locks.floors(l.lock, l.caller)
	request := message.Call{Kind: message.CallAcquire, Lock: l.lock, Owner: l.owner, HoldMs: l.holdMs}
	c.send(l.caller, request, c.randomSlot(), func(x *exchange) {
		if x.isOK() {
			c.locks.onAcquired(x, floors)
			call.done = true
			return
		}
		l.later(finalPause, func() { l.acquireFinally(call) })
	})
}

// resume watches from the watcher's last revision on until it has received every acknowledged revision.
func (w *watcher) resume(call *finalCall) {
	w.isFinal = true
	c := w.cluster
	floor := c.keys.newest[w.group]
	request := message.Call{Kind: message.CallWatch, Group: w.group, After: w.after}
	c.send(w.caller, request, c.randomSlot(), func(x *exchange) {
		if w.onAnswer(x, floor) && x.isOK() && w.after >= c.keys.newest[w.group] {
			call.done = true
			return
		}
		c.after(finalPause, func() { w.resume(call) })
	})
}
