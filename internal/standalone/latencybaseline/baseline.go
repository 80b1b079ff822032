// Package latencybaseline estimates the unloaded latency of responses, which is their latency without queueing, from
// the latencies of all responses. It is pure: the only time it uses is the one that the caller passes.
package latencybaseline

import "slices"

// The estimate is the recent minimum of a running quantile of the latencies: queueing comes and goes, and while it
// lasts it can only add to latencies.
const (
	quantile        = 0.8
	step            = 0.03      // fraction of its value by which one response moves the running quantile, see Quantile
	warmupSamples   = 20        // responses before there is an estimate: their quantile is the initial running quantile
	samplePeriod    = 1_000_000 // microseconds between two samples of the running quantile for the minimum
	growthPerSecond = 0.01      // growth of the minimum, so that it reaches a permanently higher latency in the end
)

// Quantile updates an estimate of a quantile with one sample at a time (stochastic approximation). Each sample moves
// the estimate by a fraction of itself: up by Share*Step if the sample is not below the estimate, else down by
// (1-Share)*Step. The moves balance where a fraction Share of the samples is below the estimate.
type Quantile struct {
	Share float64 // fraction of the samples below the quantile: 0.5 is the median
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
	first     [warmupSamples]float64 // the first latencies, see warmUp
	running   float64                // running quantile of the latencies; the latest latency during the warm-up
	minimum   float64                // recent minimum of running: the estimate
	sampledAt int64                  // when minimum was last updated from running, in microseconds
}

// Observe adds the latency of a response, in any unit, at the time now, in microseconds. Latencies that are not
// positive are ignored.
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

// warmUp adds one of the first latencies. The running quantile starts at the quantile of all of them: if it started at
// the very first latency, it would move away from it only step by step.
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

// Restore returns an Estimator that starts with the baseline of another one, or without an estimate if baseline is not
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
