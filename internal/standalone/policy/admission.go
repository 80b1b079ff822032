package policy

import "pumiceline/internal/standalone/concurrency"

// When more work arrives than the servers can do in time, their queues grow until hardly any response is in
// time, whichever server is picked. An adaptive concurrency limit (package concurrency) bounds this
// balancer's attempts in flight. Other requests wait in the balancer's own queue, where the request with the
// highest priority goes first and a rejection is still safe, as the request has not been executed.
const (
	// congestedTargetShare is the minimum time, as a share of the latency target, after which a response may
	// signal congestion, see isCongested.
	congestedTargetShare = 0.5
	// congestedUnloadedFactor is how many times the unloaded latency of its class a response must take to
	// signal congestion.
	congestedUnloadedFactor = 2
	// congestedShareUnknown is the share of the latency target after which a response signals congestion
	// while the unloaded latency of its class is not known.
	congestedShareUnknown = 0.75

	congestionGain  = 0.05 // weight of the latest response in Balancer.congestion
	lowCongestion   = 0.1  // share of congestion signals below which the limit increases fast
	limitUsageShare = 0.8  // share of the limit that must be in use for the limit to grow
)

// hasCapacity reports whether the concurrency limit allows another attempt.
func (b *Balancer) hasCapacity() bool {
	idle := float64(b.now - b.lastAttemptEnd)
	return concurrency.Admits(b.concurrencyLimit, b.inFlight, idle, b.medianAttemptTime)
}

// adjustLimit adapts the concurrency limit to the outcome of attempt a of r. A limit that is hardly in use
// does not grow: responses at low usage do not show how servers would respond to more attempts in flight.
func (b *Balancer) adjustLimit(r *request, a *attempt, ev *Event) {
	if a.server.relativeLatency >= slowFactor || a.server.warmingUp {
		return // the server itself is slow: the outcome does not show congestion
	}
	if a.signalledOverdue {
		return // it was counted as a signal while it was in flight
	}
	if congested, known := b.signalsCongestion(r, a, ev); known {
		b.applySignal(congested)
	}
}

// applySignal moves the concurrency limit by one signal, a congestion signal or a response without
// congestion.
func (b *Balancer) applySignal(congested bool) {
	signal := 0.0
	if congested {
		signal = 1
	}
	b.congestion += (signal - b.congestion) * congestionGain
	isInUse := float64(b.inFlight)+1 > limitUsageShare*b.concurrencyLimit
	switch {
	case congested:
		b.concurrencyLimit = concurrency.Decrease(b.concurrencyLimit)
	case isInUse && b.congestion < lowCongestion:
		b.concurrencyLimit = concurrency.IncreaseFast(b.concurrencyLimit)
	case isInUse:
		b.concurrencyLimit = concurrency.Increase(b.concurrencyLimit)
	}
}

// signalsCongestion reports whether an outcome signals that servers are congested. known is false where the
// outcome shows neither: for failures, and for time-outs of clients that left less time than it takes to
// detect congestion.
func (b *Balancer) signalsCongestion(r *request, a *attempt, ev *Event) (congested, known bool) {
	switch ev.Outcome {
	case Rejected:
		return true, true
	case OK:
		b.observeUnloadedLatency(r.classIndex, float64(ev.Elapsed)/timeFactor(a.cost))
		return b.isCongested(r, ev.Elapsed), true
	case TimedOut:
		congested = b.isCongested(r, ev.Elapsed)
		return congested, congested
	}
	return false, false
}

// isCongested reports whether a response to r after elapsed signals congestion. It does after more than
//
//	max(target*congestedTargetShare, min(unloaded*congestedUnloadedFactor, target))
//
// or congestedShareUnknown of the target while the unloaded latency is not known. A fixed share of the target
// is not enough: where processing, or waiting for other services, takes much of the target, half of the
// target passes without any queueing, and the limit would decrease until most requests are rejected while
// servers are idle. A response past the target always signals congestion.
func (b *Balancer) isCongested(r *request, elapsed Time) bool {
	target, threshold := float64(r.class.LatencyTarget), congestedShareUnknown
	if unloaded, known := b.unloadedLatency[r.classIndex].Baseline(); known {
		threshold = max(congestedTargetShare, min(congestedUnloadedFactor*unloaded/target, 1))
	}
	return float64(elapsed) > threshold*target
}
