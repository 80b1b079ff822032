// Package concurrency adapts a concurrency limit: the most attempts that one balancer has in flight, while other
// requests are queued or rejected before they cost anything. It is pure arithmetic on the limit, which increases by
// steps after responses without congestion and decreases after congestion signals, as in TCP's congestion control
// (AIMD).
//
// A limit is not a whole number and may be less than one. Where hundreds of balancers share servers that work on a few
// requests at a time, one attempt of each is more than the servers can take together: under such a limit attempts go
// one by one, with pauses in which none is in flight, so that on average as many are in flight as the limit says.
package concurrency

// MinLimit is the least limit: with one attempt in flight for a tenth of the time, the end of a congestion is still
// noticed.
const MinLimit = 0.1

// ToleratedCongestion is the share T of congestion signals among responses at which a limit of 10 stays where it is: it
// decreases by 1-T after a signal, and increases by T after another response. A larger limit tolerates fewer signals, a
// smaller one more.
const ToleratedCongestion = 0.25

const (
	// maxDecrease is the largest share of the limit that one step takes. Without it a single signal would bring a small
	// limit down to the least.
	maxDecrease = 0.4
	// maxIncrease is the largest share of the limit that one step adds, so that one response does not undo several
	// signals.
	maxIncrease = 0.5
	// baseIncrease and smallBonus make the step of an increase: baseIncrease + smallBonus/limit, in units of
	// ToleratedCongestion. The bonus lets small limits catch up, so that balancers come to share servers evenly.
	baseIncrease = 0.5
	smallBonus   = 5.0
	// fastIncrease is the least step of IncreaseFast.
	fastIncrease = 0.5
)

// Admits reports whether one more attempt is allowed. sinceLast is the time since an attempt ended last, and
// attemptTime the time of one, both in one unit. Under a limit below 1 an attempt is followed by a pause of
// attemptTime*(1/limit - 1), so that limit is the share of the time in which one is in flight.
func Admits(limit float64, inFlight int, sinceLast, attemptTime float64) bool {
	if limit >= 1 {
		return float64(inFlight) < limit
	}
	return inFlight == 0 && sinceLast >= attemptTime*(1/limit-1)
}

// Decrease returns the limit after a congestion signal. The step does not grow with the limit: the attempts of a large
// limit that are in one queue signal it many times.
func Decrease(limit float64) float64 {
	return max(MinLimit, limit-(1-ToleratedCongestion), limit*(1-maxDecrease))
}

// Increase returns the limit after a response without a congestion signal. It is for limits that are in use.
func Increase(limit float64) float64 { return limit + increaseStep(limit) }

// IncreaseFast is Increase for a time with hardly any congestion signals, as after a start or when clients of another
// balancer come: the limit must reach their load within seconds.
func IncreaseFast(limit float64) float64 {
	return limit + max(increaseStep(limit), min(fastIncrease, maxIncrease*limit))
}

func increaseStep(limit float64) float64 {
	return ToleratedCongestion * min(baseIncrease+smallBonus/limit, limit)
}

// A limit is kept near the attempts in flight: one that is far above would take many signals to have an effect.
const (
	usageFactor  = 1.5  // of the attempts in flight
	maxHeadroom  = 10.0 // attempts beyond that, for requests that come at the same time
	maxPerServer = 4.0  // the most headroom of all balancers together for each server, which they could flood at a start
)

// LimitToUsage returns the limit with inFlight attempts of one of several balancers that share servers:
//
//	min(limit, usageFactor*inFlight + headroom)
func LimitToUsage(limit float64, inFlight, servers, balancers int) float64 {
	headroom := min(maxHeadroom, maxPerServer*float64(servers)/float64(max(1, balancers)))
	return min(limit, usageFactor*float64(inFlight)+max(1, headroom))
}
