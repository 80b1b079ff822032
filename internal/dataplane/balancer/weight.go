package balancer

import (
	"time"

	"pumiceline/internal/wrr"
)

// endpointStats holds the measurements of one backend from this proxy's own traffic, for the backend's weight.
// Backends do not send the load reports of gRFC A58. Completions are used instead of its requests per second, and the
// time for which they kept a slot busy instead of its utilization. All sums decay with statsTimeConstant.
//
// The standalone proxy computes its weights separately (internal/standalone/policy, weights.go): from load reports,
// with other periods, and with the mean weight mixed in. Package wrr has the formulas that both share.
type endpointStats struct {
	completions   float64   // attempts that succeeded
	busySeconds   float64   // total duration of the attempts that succeeded
	errors        float64   // attempts that failed
	decayedAt     time.Time // the time up to which the sums have decayed
	lastUpdated   time.Time // time of the last completion or error
	nonEmptySince time.Time // start of the blackout period; zero: no completion yet, or the weight has expired
	readySince    time.Time // start of slow start; zero: ready since before this proxy started
}

// addCompletion adds an attempt that succeeded and kept a slot busy for elapsed.
func (e *endpointStats) addCompletion(now time.Time, elapsed time.Duration) {
	e.decay(now)
	e.completions++
	e.busySeconds += elapsed.Seconds()
	e.recordUpdate(now)
}

// addError adds an attempt that failed.
func (e *endpointStats) addError(now time.Time) {
	e.decay(now)
	e.errors++
	e.recordUpdate(now)
}

func (e *endpointStats) recordUpdate(now time.Time) {
	e.lastUpdated = now
	if e.nonEmptySince.IsZero() && e.completions > 0 {
		e.nonEmptySince = now
	}
}

// decay decays the sums up to now.
func (e *endpointStats) decay(now time.Time) {
	if !e.decayedAt.IsZero() {
		factor := wrr.Decay(now.Sub(e.decayedAt).Seconds(), statsTimeConstant.Seconds())
		e.completions *= factor
		e.busySeconds *= factor
		e.errors *= factor
	}
	e.decayedAt = now
}

// weight returns the A58 weight of a backend that runs up to slots requests at once:
//
//	rate / (utilization + errors/completions * errorUtilizationPenalty)
//
// ok is false during the blackout period, after expiration, and while there are too few completions: the caller must
// then use the mean weight. weight also decays the sums up to now. After expiration a new blackout period begins with
// the next completion or error.
func (e *endpointStats) weight(now time.Time, slots int) (weight float64, ok bool) {
	if e.nonEmptySince.IsZero() {
		return 0, false
	}
	switch weightPeriods.Check(now.Sub(e.lastUpdated).Seconds(), now.Sub(e.nonEmptySince).Seconds()) {
	case wrr.Expired:
		e.nonEmptySince = time.Time{}
		return 0, false
	case wrr.InBlackout:
		return 0, false
	}
	e.decay(now)
	if e.completions < minCompletions || e.busySeconds <= 0 {
		return 0, false
	}
	utilization := e.busySeconds / statsTimeConstant.Seconds() / float64(max(1, slots))
	rate := e.completions / statsTimeConstant.Seconds()
	return wrr.Weight(rate, utilization, e.errors/e.completions, errorUtilizationPenalty), true
}

// weightPeriods is in seconds.
var weightPeriods = wrr.Periods{Expiration: weightExpiration.Seconds(), Blackout: blackoutPeriod.Seconds()}

// slowStart is in seconds. MinAge is one second, as in A100.
var slowStart = wrr.SlowStart{
	Window: slowStartWindow.Seconds(), MinAge: 1, Floor: slowStartFloor, Aggression: slowStartAggression,
}

// slowStartFactor returns the A100 factor of a backend, or of a model there, that has been ready since readySince.
// The zero time means ready since before this proxy started: there is no slow start.
func slowStartFactor(readySince, now time.Time) float64 {
	if readySince.IsZero() {
		return 1
	}
	age := now.Sub(readySince)
	return slowStart.Factor(age.Seconds())
}

// updateWeights updates the weights of a service's backends. They are relative to the mean of the known weights. A
// backend whose weight is unknown gets 1. All are multiplied by the factor of slow start.
func (b *Balancer) updateWeights(service string, now time.Time) {
	s := b.services[service]
	if s == nil {
		return
	}
	total, count := 0.0, 0
	for _, backend := range s.backends {
		if weight, ok := backend.stats.weight(now, backend.Capacity); ok {
			total += weight
			count++
		}
	}
	for _, backend := range s.backends {
		relative := 1.0
		if count > 0 {
			mean := total / float64(count)
			if weight, ok := backend.stats.weight(now, backend.Capacity); ok {
				relative = weight / mean
			}
		}
		backend.weight = max(minWeight, relative*slowStartFactor(backend.stats.readySince, now))
	}
}
