package policy

import "math"

// subscription is the state of this balancer's subscription, where discovery sends the membership only to
// subscribers.
type subscription struct {
	pending       bool // a call is in flight
	nextCallAt    Time // timers that fire before it belong to plans that were replaced
	active        bool // discovery has answered, and the subscription has not broken since
	started       bool // discovery has answered once
	changesMissed bool // the subscription timed out, so that changes may have been missed
	failures      int  // calls that failed in a row
}

// Calls to discovery are delayed at random so that they do not come together after a start or a failure
// common to all balancers. The spread of the delay is
//
//	SubscribeWithin/firstCallDivisor * groupFactor * 2^failures, at most maxCallSpread*SubscribeWithin
//
// with groupFactor = GroupSize/baseGroupSize from 1 to maxGroupSpread. At the start it is the spread after
// one failure. A subscription that broke counts as none: it may have broken in place of sending a change,
// which then counts as known about 2 s after it was made, whether or not this balancer has called by then.
const (
	firstCallDivisor      = 8
	baseGroupSize         = 100
	maxGroupSpread        = 2
	maxCallSpread         = 2           // after failures the rules allow four times SubscribeWithin
	maxSpreadAfterTimeout = 2_000_000.0 // microseconds: the most spread where changes may have been missed
)

// scheduleSubscribe plans a call to discovery at a random time within a spread, which doubles with each
// further failure and grows with the group, as discovery's capacity does not. There is one plan at a time: if
// a failed call left two behind, an outage would multiply the calls.
func (b *Balancer) scheduleSubscribe() {
	if !b.settings.SubscribeDiscovery {
		return
	}
	allowed := float64(b.settings.Rules.SubscribeWithin)
	groups := float64(b.settings.GroupSize) / baseGroupSize
	spread := allowed / firstCallDivisor * max(1, min(maxGroupSpread, groups))
	failures := b.discovery.failures
	if !b.discovery.started {
		failures = max(1, failures)
	}
	spread = min(spread*math.Exp2(float64(failures)), maxCallSpread*allowed)
	if b.discovery.changesMissed {
		spread = min(spread, maxSpreadAfterTimeout)
	}
	b.subscribeAfter(Time(b.rng.Float64() * spread))
}

// subscribeAfter replaces the plan for the next call.
func (b *Balancer) subscribeAfter(wait Time) {
	b.discovery.nextCallAt = b.now + max(1, wait)
	b.setTimer(timerSubscribe, wait)
}

// subscribe calls discovery if the planned time has come, and plans another call in case it is not answered.
func (b *Balancer) subscribe() {
	if b.discovery.active || b.now < b.discovery.nextCallAt || !b.settings.SubscribeDiscovery {
		return
	}
	b.discovery.pending = true
	b.emit(Action{Kind: SubscribeDiscovery})
	b.subscribeAfter(b.jitter(b.settings.Rules.SubscribeWithin * 2 / 3))
}

// onSubscribed notes that discovery has answered.
func (b *Balancer) onSubscribed() {
	if b.discovery.pending {
		b.discovery.pending, b.discovery.active, b.discovery.failures = false, true, 0
		b.discovery.started = true
	}
}

// onDiscoveryFailed plans the next call after one that failed, or after a subscription broke. The failure of
// an earlier call leaves the plan alone: failures could put the next call off for ever.
func (b *Balancer) onDiscoveryFailed(ev *Event) {
	if !b.discovery.pending && !b.discovery.active {
		return
	}
	if b.discovery.pending {
		b.discovery.failures++
	}
	b.discovery.active, b.discovery.pending = false, false
	b.discovery.changesMissed = ev.Kind == DiscoveryTimedOut
	b.scheduleSubscribe()
}
