// Package latencybaseline estimates the unloaded latency of responses, that is without queueing, from the latencies of
// all responses. It is pure: the caller's clock is the only one that it knows.
package latencybaseline

// The unloaded latency is a quantile of the latencies: a running quantile follows them, and its minimum of late is the
// estimate. Queues come and go, and while they last they only add.
const (
	quantile        = 0.8
	step            = 0.03      // of its value, by which the running quantile follows one response
	warmupSamples   = 20        // responses before there is an estimate
	fastSamples     = 10        // the first ones move the quantile further, fastSamples/n times a step
	samplePeriod    = 1_000_000 // microseconds between two looks at the running quantile
	growthPerSecond = 0.01      // of the minimum: a latency that has grown for good is the estimate in the end
)

// StepQuantile moves estimate, the value that a share of samples lie under, by a step (a fraction of it) towards where
// the sample indicates that it is.
func StepQuantile(estimate, sample, share, step float64) float64 {
	if sample < estimate {
		return estimate * (1 - (1-share)*step)
	}
	return estimate * (1 + share*step)
}

// Estimator estimates the unloaded latency of one class of responses. The zero Estimator has no estimate. It is not
// safe for concurrent use.
type Estimator struct {
	samples   int
	running   float64 // quantile
	minimum   float64 // of running
	sampledAt int64   // when running was looked at last
}

// Observe takes the latency of a response, in any unit, at now, in microseconds. Values that are not positive are
// ignored.
func (e *Estimator) Observe(now int64, latency float64) {
	if !(latency > 0) {
		return
	}
	if e.samples++; e.samples == 1 {
		e.running = latency
	}
	e.running = StepQuantile(e.running, latency, quantile, step*float64(max(1, fastSamples/e.samples)))
	switch elapsed := now - e.sampledAt; {
	case e.samples == warmupSamples:
		e.minimum, e.sampledAt = e.running, now
	case e.samples > warmupSamples && elapsed >= samplePeriod:
		e.minimum, e.sampledAt = min(e.minimum*(1+growthPerSecond*float64(elapsed)/1e6), e.running), now
	}
}

// Restore returns an Estimator with an estimate that another one has come to, or without one if baseline is not
// positive.
func Restore(baseline float64) Estimator {
	if !(baseline > 0) {
		return Estimator{}
	}
	return Estimator{samples: warmupSamples, running: baseline, minimum: baseline}
}

// Baseline returns the unloaded latency in the unit of Observe; known is false until enough responses have come.
func (e *Estimator) Baseline() (latency float64, known bool) {
	return e.minimum, e.samples >= warmupSamples
}
