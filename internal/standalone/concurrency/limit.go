// Package concurrency adapts a concurrency limit: the maximum number of attempts that one balancer has in flight.
// Requests beyond it are queued or rejected before they cost anything. The package is pure arithmetic on the limit,
// which increases in steps after responses without congestion and decreases after congestion signals, as in TCP's
// congestion control (AIMD).
//
// A limit is not a whole number and may be less than one. Where hundreds of balancers share servers that process a few
// requests at a time, one attempt in flight from each balancer is more than the servers can take together. Under a
// limit below one, attempts are sent one at a time, with pauses in which none is in flight, so that the average number
// in flight is the limit.
package concurrency

// MinLimit is the lowest limit: with one attempt in flight for a tenth of the time, the balancer still notices the end
// of a congestion.
const MinLimit = 0.1

// ToleratedCongestion is the share T of congestion signals among responses at which a limit of 10 stays constant on
// average: the limit decreases by 1-T after a signal and increases by T after any other response. A larger limit
// tolerates a smaller share of signals, a smaller limit a larger one.
const ToleratedCongestion = 0.25

const (
	// maxDecrease is the largest fraction of the limit that one step subtracts. Without it a single signal would bring
	// a small limit down to MinLimit.
	maxDecrease = 0.4
	// maxIncrease is the largest fraction of the limit that one step of IncreaseFast adds, so that one response does
	// not undo several signals.
	maxIncrease = 0.5
	// baseIncrease and smallBonus determine the step of an increase: baseIncrease + smallBonus/limit, in units of
	// ToleratedCongestion. The bonus lets small limits catch up, so that balancers converge to equal shares of the
	// servers.
	baseIncrease = 0.5
	smallBonus   = 5.0
	// fastIncrease is the minimum step of IncreaseFast, unless maxIncrease bounds it.
	fastIncrease = 0.5
)

// Admits reports whether one more attempt is allowed. sinceLast is the time since the last attempt ended, and
// attemptTime the duration of an attempt, both in the same unit. Under a limit below 1, each attempt is followed by a
// pause of attemptTime*(1/limit - 1), so that an attempt is in flight for the fraction limit of the time.
func Admits(limit float64, inFlight int, sinceLast, attemptTime float64) bool {
	if limit >= 1 {
		return float64(inFlight) < limit
	}
	return inFlight == 0 && sinceLast >= attemptTime*(1/limit-1)
}

// Decrease returns the limit after a congestion signal. The step has an upper bound of 1-ToleratedCongestion, since
// with a large limit one queue delays many attempts, each of which signals the same congestion.
func Decrease(limit float64) float64 {
	return max(MinLimit, limit-(1-ToleratedCongestion), limit*(1-maxDecrease))
}

// Increase returns the limit after a response without a congestion signal. It must be called only while the limit is in
// use.
func Increase(limit float64) float64 { return limit + increaseStep(limit) }

// IncreaseFast is Increase for a time with hardly any congestion signals, such as after a start or when the clients of
// another balancer move to this one: the limit must reach the new load within seconds.
func IncreaseFast(limit float64) float64 {
	return limit + max(increaseStep(limit), min(fastIncrease, maxIncrease*limit))
}

func increaseStep(limit float64) float64 {
	return ToleratedCongestion * min(baseIncrease+smallBonus/limit, limit)
}

// A limit is kept near the number of attempts in flight: a limit far above it would need many congestion signals before
// it has an effect.
const (
	usageFactor  = 1.5  // of the attempts in flight
	maxHeadroom  = 10.0 // attempts beyond that, for requests that arrive at the same time
	maxPerServer = 4.0  // headroom of all balancers together per server: more could flood servers at a start
)

// LimitToUsage returns the limit of a balancer with inFlight attempts in flight, bounded by its usage. servers is the
// number of servers and balancers the number of balancers that share them:
//
//	min(limit, usageFactor*inFlight + headroom)
func LimitToUsage(limit float64, inFlight, servers, balancers int) float64 {
	headroom := min(maxHeadroom, maxPerServer*float64(servers)/float64(max(1, balancers)))
	return min(limit, usageFactor*float64(inFlight)+max(1, headroom))
}
