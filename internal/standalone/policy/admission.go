package policy

import "pumiceline/internal/standalone/concurrency"

// Admission: when more work arrives than can be done in time, the queues at the servers grow until hardly a response is
// in time, whichever server is picked. An adaptive concurrency limit bounds this balancer's attempts in flight. Other
// requests wait in its own queue, where the one with the highest priority goes first and a rejection is still harmless.
const (
	// A response signals congestion if it takes longer than this share of the latency target
	congestedTargetShare = 0.5
	// and than this many times the unloaded latency of its class,
	congestedUnloadedFactor = 2
	// or than this share of the target while the unloaded latency is not known yet.
	congestedShareUnknown = 0.75

	congestionGain  = 0.05 // weight of the latest response in Balancer.congestion
	lowCongestion   = 0.1  // share of congestion signals that comes without congestion
	limitUsageShare = 0.8  // share of the limit that must be in use for it to grow
)

// hasCapacity reports whether the concurrency limit allows another attempt.
func (b *Balancer) hasCapacity() bool {
	return concurrency.Admits(b.concurrencyLimit, b.inFlight, float64(b.now-b.lastAttemptEnd), b.medianAttemptTime)
}

// adjustLimit adapts the concurrency limit to the outcome of attempt a of r.
func (b *Balancer) adjustLimit(r *request, a *attempt, ev *Event) {
	if a.server.relativeLatency >= slowFactor || a.server.warmingUp {
		return // slow by itself, not because of congestion
	}
	congested, known := b.signalsCongestion(r, a, ev)
	if !known {
		return
	}
	signal := 0.0
	if congested {
		signal = 1
	}
	b.congestion += (signal - b.congestion) * congestionGain
	if congested {
		b.concurrencyLimit = concurrency.Decrease(b.concurrencyLimit)
	} else if float64(b.inFlight)+1 > limitUsageShare*b.concurrencyLimit {
		b.concurrencyLimit = concurrency.Increase(b.concurrencyLimit, b.congestion < lowCongestion)
	}
}

// signalsCongestion reports whether an outcome is a sign of congested servers. known is false where it says nothing:
// failures, and time-outs of clients that had little time.
func (b *Balancer) signalsCongestion(r *request, a *attempt, ev *Event) (congested, known bool) {
	switch ev.Outcome {
	case Rejected:
		return true, true
	case OK:
		b.unloadedLatency[r.classIndex].Observe(b.now, 2*float64(ev.Elapsed)/(1+a.cost))
		return b.isCongested(r, ev.Elapsed), true
	case TimedOut:
		congested = b.isCongested(r, ev.Elapsed)
		return congested, congested
	}
	return false, false
}

// isCongested reports whether a response to r after elapsed is a sign of congestion. Where work, or waiting for other
// services, fills much of the latency target, half of the target passes without any queue. A response past the target
// is a sign in any case.
func (b *Balancer) isCongested(r *request, elapsed Time) bool {
	target, threshold := float64(r.class.LatencyTarget), congestedShareUnknown
	if unloaded, known := b.unloadedLatency[r.classIndex].Baseline(); known {
		threshold = max(congestedTargetShare, min(congestedUnloadedFactor*unloaded/target, 1))
	}
	return float64(elapsed) > threshold*target
}
