package policy

import "math"

// subscription is the state of this balancer's subscription, where discovery sends the membership only to subscribers.
type subscription struct {
	pending       bool // a call is in flight
	nextCallAt    Time // timers that fire before are left over from earlier plans
	active        bool
	changesMissed bool // by a subscription that timed out
	failures      int  // calls that failed in a row
}

// Calls to discovery are delayed at random so that they do not come together after a start or a failure common to all
// balancers.
const (
	firstCallDivisor      = 8           // the first call is spread over this part of the allowed time,
	baseGroupSize         = 100         // in a group of this size
	maxGroupSpread        = 2           // and up to this many times longer in larger ones
	maxCallSpread         = 2           // times the allowed time; after failures the rules allow four times as long
	maxSpreadAfterTimeout = 2_000_000.0 // microseconds
)

// scheduleSubscribe plans a call to discovery within a random time that grows with failures and with the group, as
// discovery's capacity does not. There is one plan at a time: if a failed call left two behind, an outage would
// multiply the calls.
func (b *Balancer) scheduleSubscribe() {
	if !b.settings.SubscribeDiscovery {
		return
	}
	allowed := float64(b.settings.Rules.SubscribeWithin)
	spread := allowed / firstCallDivisor * max(1, min(maxGroupSpread, float64(b.settings.GroupSize)/baseGroupSize))
	spread = min(spread*math.Exp2(float64(max(1, b.discovery.failures))), maxCallSpread*allowed)
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

// subscribe calls discovery if the plan says so, and plans another call in case that no answer comes.
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
	}
}

// onDiscoveryFailed plans the next call after one that failed, or after a subscription broke. The failure of an earlier
// call leaves the plan alone: failures could put the next call off for ever.
func (b *Balancer) onDiscoveryFailed(ev *Event) {
	if !b.discovery.pending && !b.discovery.active {
		return
	}
	b.discovery.active, b.discovery.pending, b.discovery.changesMissed = false, false, ev.Kind == DiscoveryTimedOut
	b.discovery.failures++
	b.scheduleSubscribe()
}
