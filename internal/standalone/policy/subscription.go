package policy

import "math"

// subscription is the state of this balancer's subscription, where discovery sends the membership only to
// subscribers.
type subscription struct {
	pending       bool // a call is in flight
	nextCallAt    Time // a timer that fires before it belongs to a plan that was replaced
	active        bool // discovery has answered, and the subscription has not broken since
	started       bool // discovery has answered at least once
	changesMissed bool // the latest failure was a time-out, so changes may have been missed
	failures      int  // calls that failed in a row
}

// Calls to discovery are delayed at random so that they do not come at the same time after a start or a
// failure common to all balancers. The spread of the delay is
//
//	SubscribeWithin/firstCallDivisor * groupFactor * 2^failures, at most maxCallSpread*SubscribeWithin
//
// with groupFactor = GroupSize/baseGroupSize from 1 to maxGroupSpread. At the start the spread is that after
// one failure. A broken subscription does not count as a failure and so gets the shortest spread: it may have
// broken when a change was to be sent, and this balancer counts as knowing a change about 2 s after it was
// made, whether or not it has called discovery by then.
const (
	firstCallDivisor      = 8
	baseGroupSize         = 100
	maxGroupSpread        = 2
	maxCallSpread         = 2           // after failures the service rules allow four times SubscribeWithin
	maxSpreadAfterTimeout = 2_000_000.0 // microseconds: maximum spread if changes may have been missed
)

// scheduleSubscribe plans a call to discovery at a random time within a spread. The spread doubles with each
// further failure, and grows with the group, as discovery's capacity does not. Only one plan exists at a
// time: if a failed call left two plans, an outage would multiply the calls.
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

// subscribe calls discovery if the planned time has come, and plans another call in case this one is not
// answered.
func (b *Balancer) subscribe() {
	if b.discovery.active || b.now < b.discovery.nextCallAt || !b.settings.SubscribeDiscovery {
		return
	}
	b.discovery.pending = true
	b.emit(Action{Kind: SubscribeDiscovery})
	b.subscribeAfter(b.jitter(b.settings.Rules.SubscribeWithin * 2 / 3))
}

// onSubscribed records that discovery has answered a call.
func (b *Balancer) onSubscribed() {
	if b.discovery.pending {
		b.discovery.pending, b.discovery.active, b.discovery.failures = false, true, 0
		b.discovery.started = true
	}
}

// onDiscoveryFailed plans the next call after a call failed or a subscription broke. The failure of an
// earlier call does not change the plan: otherwise repeated failures could postpone the next call
// indefinitely.
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
