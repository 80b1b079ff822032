package policy

import "math"

// initialAttemptsPerServer is how many attempts all balancers together may have in flight at each server
// before any of them has had a response. A server that processes tens of requests at a time is not slowed
// down by that.
const initialAttemptsPerServer = 9.0

// setInitialLimit sets the limit of a balancer that starts: its part of the attempts that the servers may be
// sent before their latency is known. From then on the limit adapts to the responses.
func (b *Balancer) setInitialLimit() {
	if math.IsInf(b.concurrencyLimit, 1) && len(b.members) > 0 {
		b.concurrencyLimit = max(1,
			initialAttemptsPerServer*float64(len(b.members))/float64(b.settings.GroupSize))
		b.startedAt = b.now
	}
}

// isStarting reports whether no class's unloaded latency is known yet.
func (b *Balancer) isStarting() bool {
	for i := range b.unloadedLatency {
		if _, known := b.unloadedLatency[i].Baseline(); known {
			return false
		}
	}
	return true
}

// observeUnloadedLatency adds a response's time to the estimate of its class. When the unloaded latency of
// the first class becomes known, the start is over, and the limit is raised at least to the number of
// requests that arrive during that latency (Little's law).
func (b *Balancer) observeUnloadedLatency(class uint8, elapsed float64) {
	estimator := &b.unloadedLatency[class]
	_, wasKnown := estimator.Baseline()
	estimator.Observe(b.now, elapsed)
	latency, isKnown := estimator.Baseline()
	if wasKnown || !isKnown || b.startArrivals == 0 {
		return
	}
	perMicrosecond := b.startArrivals / float64(max(1, b.now-b.startedAt))
	b.concurrencyLimit = max(b.concurrencyLimit, perMicrosecond*latency)
	b.startArrivals = 0
}
