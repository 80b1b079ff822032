package balancer

import (
	"time"

	"pumiceline/internal/wrr"
)

// endpointStats is what a proxy has measured of one backend by its own traffic, for the backend's weight. Backends send
// no load reports as in gRFC A58: completions take the place of its requests per second, and the time that they kept a
// slot busy that of its utilization. All sums decay with statsTimeConstant.
//
// The standalone proxy has weights of its own (internal/standalone/policy, weights.go), from load reports, with other
// periods and with the mean weight mixed in. The formulas that are the same stand in package wrr.
type endpointStats struct {
	completions   float64   // attempts that succeeded
	busySeconds   float64   // the time that these took
	errors        float64   // attempts that failed
	decayedAt     time.Time // the time that the sums are decayed to
	lastUpdated   time.Time // the last completion or error
	nonEmptySince time.Time // begin of the blackout period; zero: no completion yet, or the weight has expired
	readySince    time.Time // begin of slow start; zero: ready since before this proxy started
}

// addCompletion adds a request that succeeded and kept a slot busy for elapsed.
func (e *endpointStats) addCompletion(now time.Time, elapsed time.Duration) {
	e.decay(now)
	e.completions++
	e.busySeconds += elapsed.Seconds()
	e.noteUpdate(now)
}

// addError adds a request that failed.
func (e *endpointStats) addError(now time.Time) {
	e.decay(now)
	e.errors++
	e.noteUpdate(now)
}

func (e *endpointStats) noteUpdate(now time.Time) {
	e.lastUpdated = now
	if e.nonEmptySince.IsZero() && e.completions > 0 {
		e.nonEmptySince = now
	}
}

// decay brings the sums to now.
func (e *endpointStats) decay(now time.Time) {
	if !e.decayedAt.IsZero() {
		keep := wrr.Decay(now.Sub(e.decayedAt).Seconds(), statsTimeConstant.Seconds())
		e.completions *= keep
		e.busySeconds *= keep
		e.errors *= keep
	}
	e.decayedAt = now
}

// weight is the A58 weight of a backend that runs up to slots requests at once:
//
//	rate / (utilization + errors/completions * errorUtilizationPenalty)
//
// ok is false during the blackout period, after expiration, and while there are too few completions: then the mean
// weight is to be used. It brings the sums up to date; after expiration another blackout period is to come.
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

// weightPeriods has its times in seconds.
var weightPeriods = wrr.Periods{Expiration: weightExpiration.Seconds(), Blackout: blackoutPeriod.Seconds()}

// slowStart has its times in seconds; MinAge is A100's second.
var slowStart = wrr.SlowStart{
	Window: slowStartWindow.Seconds(), MinAge: 1, Floor: slowStartFloor, Aggression: slowStartAggression,
}

// slowStartFactor is the A100 factor of a backend, or of a model there, that has been ready since readySince. The zero
// time is before this proxy started: there is no slow start.
func slowStartFactor(readySince, now time.Time) float64 {
	if readySince.IsZero() {
		return 1
	}
	age := now.Sub(readySince)
	return slowStart.Factor(age.Seconds())
}

// updateWeights brings the weights of a service's backends up to date. They are relative to the mean of the known ones,
// and 1 for a backend whose weight is not known.
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
