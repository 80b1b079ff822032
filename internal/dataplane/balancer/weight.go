package balancer

import (
	"math"
	"time"

	"pumiceline/internal/wrr"
)

// Parameters of the weights (gRFC A58) and of slow start (gRFC A100).
const (
	errorUtilizationPenalty = 1.0
	blackoutPeriod          = 10 * time.Second
	weightExpiration        = 60 * time.Second
	slowStartWindow         = 2 * time.Second
	slowStartAggression     = 1.0
	slowStartFloor          = 0.10
	evidenceMemory          = 15 * time.Second // completions and their durations fade with this time constant
	minEvidence             = 4.0              // faded completions below which the mean weight is used
	minWeight               = 1e-3
)

// evidence is what a proxy has derived of one backend from its own traffic: completions, the time that they kept a
// place busy, and errors, all fading.
type evidence struct {
	completions   float64
	busySeconds   float64
	errors        float64
	updated       time.Time
	lastReport    time.Time
	nonEmptySince time.Time
	readySince    time.Time
}

func (e *evidence) fade(now time.Time) {
	if !e.updated.IsZero() {
		keep := math.Exp(-now.Sub(e.updated).Seconds() / evidenceMemory.Seconds())
		e.completions *= keep
		e.busySeconds *= keep
		e.errors *= keep
	}
	e.updated = now
}

// report adds one finished request that kept a place busy for span.
func (e *evidence) report(now time.Time, span time.Duration, failed bool) {
	e.fade(now)
	if failed {
		e.errors++
	} else {
		e.completions++
		e.busySeconds += span.Seconds()
	}
	e.lastReport = now
	if e.nonEmptySince.IsZero() && e.completions > 0 {
		e.nonEmptySince = now
	}
}

// derived is the A58 weight: rate / (utilization + errors/rate * penalty). Rate and utilization are those of the
// proxy's own traffic over the same time, so that the time cancels out. ok is false during the blackout, after
// expiry, and where the proxy's own traffic does not suffice.
func (e *evidence) derived(now time.Time, slots int) (derived float64, ok bool) {
	if e.nonEmptySince.IsZero() || now.Sub(e.nonEmptySince) < blackoutPeriod {
		return 0, false
	}
	if now.Sub(e.lastReport) > weightExpiration {
		e.nonEmptySince = time.Time{}
		return 0, false
	}
	e.fade(now)
	if e.completions < minEvidence || e.busySeconds <= 0 {
		return 0, false
	}
	utilization := e.busySeconds / evidenceMemory.Seconds() / float64(max(1, slots))
	rate := e.completions / evidenceMemory.Seconds()
	return wrr.A58(rate, utilization, e.errors/e.completions, errorUtilizationPenalty), true
}

// ramp is the A100 factor: max(floor, time_factor^(1/aggression)) within the window since the backend became ready.
func (e *evidence) ramp(now time.Time) float64 { return ramp(e.readySince, now) }

func ramp(readySince, now time.Time) float64 {
	age := now.Sub(readySince)
	if readySince.IsZero() {
		return 1 // it was there when this proxy began
	}
	return wrr.SlowStart(age.Seconds(), 1, slowStartWindow.Seconds(), slowStartFloor, slowStartAggression)
}
