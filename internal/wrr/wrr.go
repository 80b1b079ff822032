// Package wrr provides the formulas of weighted round robin that both proxies share: the weight of gRFC A58, the slow
// start of gRFC A100, and the exponential decay of measurements. The package is pure: times are numbers of any unit,
// and all times that are passed to a formula must have the same unit.
package wrr

import "math"

// Weight is the weight of an endpoint by gRFC A58:
//
//	rate / (utilization + errorRatio*penalty)
//
// rate is requests per time (A58: qps). utilization is normally between 0 and 1, and above 1 for an overloaded
// endpoint. errorRatio is errors over requests (A58: eps/qps). penalty is A58's error_utilization_penalty. The caller
// must ensure that the denominator is positive.
func Weight(rate, utilization, errorRatio, penalty float64) float64 {
	return rate / (utilization + errorRatio*penalty)
}

// SlowStart holds the parameters of gRFC A100.
type SlowStart struct {
	Window     float64 // slow_start_window: the time from an endpoint's readiness to its full weight
	MinAge     float64 // a younger endpoint counts as this old; a second in A100
	Floor      float64 // min_weight_percent, as a share of the full weight
	Aggression float64 // aggression: 1 is a linear rise, a higher value is steeper at the beginning
}

// Factor is the share of its full weight that an endpoint has at an age, which is the time since it became ready:
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

// Decay is the factor by which an exponentially decaying sum shrinks during elapsed:
//
//	exp(-elapsed / timeConstant)
func Decay(elapsed, timeConstant float64) float64 { return math.Exp(-elapsed / timeConstant) }

// Validity is whether a weight can be used.
type Validity int

// The states of a weight.
const (
	Usable     Validity = iota
	InBlackout          // too few measurements within Periods.Blackout of the first update: the mean weight is used
	Expired             // no update for Periods.Expiration: the mean weight is used, and a new blackout period follows
)

// Periods are A58's weight_expiration_period and blackout_period.
type Periods struct{ Expiration, Blackout float64 }

// Check returns the state of a weight. sinceUpdate is the time since its last update. sinceNonEmpty is the time since
// its first update after it was empty or expired; the weight must have had one. Expiration is checked first, as in
// A58: an expired weight begins a new blackout period.
func (p Periods) Check(sinceUpdate, sinceNonEmpty float64) Validity {
	switch {
	case sinceUpdate >= p.Expiration:
		return Expired
	case sinceNonEmpty < p.Blackout:
		return InBlackout
	}
	return Usable
}
