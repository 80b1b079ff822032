// Package latencybaseline estimates the unloaded latency of responses, that is without queueing, from the latencies of
// all responses. It is pure: the caller's clock is the only one that it knows.
package latencybaseline

import "slices"

// A running quantile follows the latencies, and its recent minimum is the estimate: queues come and go, and while they
// last they only add to latencies.
const (
	quantile        = 0.8
	step            = 0.03      // share of its value by which the running quantile follows one response
	warmupSamples   = 20        // responses before there is an estimate: the running quantile begins with theirs
	samplePeriod    = 1_000_000 // microseconds between two samples of the running quantile for the minimum
	growthPerSecond = 0.01      // by which the minimum grows: so a latency that rose and stays is the estimate in the end
)

// Quantile is the rule by which an estimate of a quantile follows samples, one at a time (stochastic approximation).
// After each sample the estimate moves by a fraction of itself: up by Share*Step if the sample is not below it, else
// down by (1-Share)*Step. Both balance where Share of the samples are below.
type Quantile struct {
	Share float64 // of the samples that are below the quantile: 0.5 is the median
	Step  float64
}

// Next returns the estimate after one more sample.
func (q Quantile) Next(estimate, sample float64) float64 {
	if sample < estimate {
		return estimate * (1 - (1-q.Share)*q.Step)
	}
	return estimate * (1 + q.Share*q.Step)
}

// Estimator estimates the unloaded latency of one class of responses. The zero Estimator has no estimate. It is not
// safe for concurrent use.
type Estimator struct {
	samples   int
	first     [warmupSamples]float64 // the first latencies
	running   float64                // quantile of the latencies; the latest one until the first ones are there
	minimum   float64                // recent minimum of running: the estimate
	sampledAt int64                  // when running was sampled last for the minimum, in microseconds
}

// Observe takes the latency of a response, in any unit, at now, in microseconds. Values that are not positive are
// ignored.
func (e *Estimator) Observe(now int64, latency float64) {
	if !(latency > 0) {
		return
	}
	if e.samples < warmupSamples {
		e.warmUp(now, latency)
		return
	}
	e.running = Quantile{Share: quantile, Step: step}.Next(e.running, latency)
	if elapsed := now - e.sampledAt; elapsed >= samplePeriod {
		e.minimum, e.sampledAt = min(e.minimum*(1+growthPerSecond*float64(elapsed)/1e6), e.running), now
	}
}

// warmUp takes one of the first latencies. The estimate begins with their quantile as a whole: a running one that began
// with the very first of them would leave it only step by step.
func (e *Estimator) warmUp(now int64, latency float64) {
	e.first[e.samples], e.running = latency, latency
	e.samples++
	if e.samples < warmupSamples {
		return
	}
	sorted := e.first
	slices.Sort(sorted[:])
	e.running = sorted[int(quantile*warmupSamples)]
	e.minimum, e.sampledAt = e.running, now
}

// Restore returns an Estimator with an estimate that another one has come to, or without one if baseline is not
// positive.
func Restore(baseline float64) Estimator {
	if !(baseline > 0) {
		return Estimator{}
	}
	return Estimator{samples: warmupSamples, running: baseline, minimum: baseline}
}

// Baseline returns the unloaded latency in the unit of Observe; known is false before warmupSamples responses.
func (e *Estimator) Baseline() (latency float64, known bool) {
	return e.minimum, e.samples >= warmupSamples
}
