// Package wrr holds the formulas of weighted round robin that both proxies share: the weight of gRFC A58, the slow
// start of gRFC A100, and the decay of what is measured. It is pure: times are numbers, and a formula takes all of its
// times in one unit, which may be any.
package wrr

import "math"

// Weight is the weight of an endpoint by gRFC A58:
//
//	rate / (utilization + errorRatio*penalty)
//
// rate is requests per time (A58: qps), utilization is between 0 and 1 and may be above for an overloaded endpoint,
// errorRatio is errors over requests (A58: eps/qps), and penalty is A58's error_utilization_penalty. The caller sees to
// it that the denominator is positive.
func Weight(rate, utilization, errorRatio, penalty float64) float64 {
	return rate / (utilization + errorRatio*penalty)
}

// SlowStart are the parameters of gRFC A100.
type SlowStart struct {
	Window     float64 // slow_start_window: the time from an endpoint's readiness to its full weight
	MinAge     float64 // the age that a younger endpoint is taken to have; a second in A100
	Floor      float64 // min_weight_percent, as a share of the full weight
	Aggression float64 // aggression: 1 is a linear rise, more is steeper at the beginning
}

// Factor is the share of its weight that an endpoint has at an age, the time since it became ready:
//
//	max(floor, (max(age, minAge) / window) ^ (1/aggression)), at most 1
//
// and 1 from the end of the window. A100 calls max(age, minAge)/window the time factor.
func (s SlowStart) Factor(age float64) float64 {
	if age >= s.Window {
		return 1
	}
	return min(1, max(s.Floor, math.Pow(max(age, s.MinAge)/s.Window, 1/s.Aggression)))
}

// Decay is the factor by which an exponentially decaying sum shrinks in elapsed:
//
//	exp(-elapsed / timeConstant)
func Decay(elapsed, timeConstant float64) float64 { return math.Exp(-elapsed / timeConstant) }

// Validity says whether a weight can be used.
type Validity int

// The states of a weight.
const (
	Usable     Validity = iota
	InBlackout          // too little is known yet: the mean weight is used
	Expired             // nothing was heard for long: the mean weight is used, and another blackout period follows
)

// Periods are A58's weight_expiration_period and blackout_period.
type Periods struct{ Expiration, Blackout float64 }

// Check returns the state of a weight by the time since its last update and since the first one after it was empty, which
// must be known. Expiration goes first, as in A58: a weight that has expired begins another blackout period.
func (p Periods) Check(sinceUpdate, sinceNonEmpty float64) Validity {
	switch {
	case sinceUpdate >= p.Expiration:
		return Expired
	case sinceNonEmpty < p.Blackout:
		return InBlackout
	}
	return Usable
}
