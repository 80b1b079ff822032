// Package concurrency adapts a concurrency limit: the most attempts that one balancer has in flight, while other
// requests are queued or rejected before they cost anything. It is pure arithmetic on the limit.
//
// A limit is not a whole number and may be less than one. Where hundreds of balancers share servers that work on a few
// requests at a time, one attempt of each is more than the servers can take together: under such a limit attempts go
// one by one, with pauses in which none is in flight, so that on average as many are in flight as the limit says.
package concurrency

// MinLimit is the least limit: one attempt for a tenth of the time still finds out that a congestion is over.
const MinLimit = 0.1

// ToleratedCongestion is the share of congestion signals among responses that leaves a limit of ordinary size as it is.
const ToleratedCongestion = 0.25

const (
	maxDecrease  = 0.4 // of a small limit, in one step: a step of 1 would bring it to the least on a single response
	maxIncrease  = 0.5 // of it, in one step, so that one ambiguous response does not undo several
	baseIncrease = 0.5 // the step of a large limit, in units of ToleratedCongestion
	smallBonus   = 5.0 // small limits grow faster by this over the limit, so that balancers come to share servers evenly
	fastIncrease = 0.5 // the least step without congestion: after a start, or when another balancer's clients come
)

// Admits reports whether one more attempt is allowed. sinceLast is the time since an attempt ended last, and
// attemptTime the time of one, both in one unit.
func Admits(limit float64, inFlight int, sinceLast, attemptTime float64) bool {
	if limit >= 1 {
		return float64(inFlight) < limit
	}
	return inFlight == 0 && sinceLast >= attemptTime*(1/limit-1)
}

// Decrease returns the limit after a congestion signal: one step for each, as several tell of one queue.
func Decrease(limit float64) float64 {
	return max(MinLimit, limit-(1-ToleratedCongestion), limit*(1-maxDecrease))
}

// Increase returns a limit that is in use after a response without a congestion signal. uncongested means that there
// have hardly been signals of late.
func Increase(limit float64, uncongested bool) float64 {
	step := ToleratedCongestion * min(baseIncrease+smallBonus/limit, limit)
	if uncongested {
		step = max(step, min(fastIncrease, maxIncrease*limit))
	}
	return limit + step
}

// A limit is kept near the attempts in flight, so that it takes effect soon once there is a queue.
const (
	usageFactor  = 1.5  // times the attempts in flight
	maxHeadroom  = 10.0 // more than that, for requests that come at once,
	maxPerServer = 4.0  // but for each server no more than this over all balancers, which must not flood it at the start
)

// LimitToUsage returns the limit with inFlight attempts, of one of groupSize balancers that share servers.
func LimitToUsage(limit float64, inFlight, servers, groupSize int) float64 {
	headroom := min(maxHeadroom, maxPerServer*float64(servers)/float64(max(1, groupSize)))
	return min(limit, usageFactor*float64(inFlight)+max(1, headroom))
}
