package admission

import "math"

const (
	// latencyTolerance is how many times the baseline the latency may be before the limit shrinks.
	latencyTolerance = 1.4
	// minLimitSamples is how many measurements a change of the limit needs at least.
	minLimitSamples = 16
	// limitInUse is the part of the limit in flight from which the limit counts as in use.
	limitInUse = 0.7
	// samplesDivisor: a change of the limit needs a sample for every so many requests of the limit, if that is more than
	// minLimitSamples.
	samplesDivisor = 4
	// maxShrinkFactor bounds how far one change lowers the limit.
	maxShrinkFactor = 0.5
	// growthDivisor: a limit in use grows by its square root divided by this.
	growthDivisor = 2
)

// Divisors of the step by which the baseline approaches a sample.
const (
	baselineFallDivisor      = 4    // a lower sample
	baselineRiseDivisor      = 128  // a higher one, while the limit is not in use
	baselineRiseInUseDivisor = 8192 // a higher one, while it is
)

// concurrencyLimit is a limit on the work in flight, in requests of mean work, that adapts by the gradient between
// the latency where nothing queues and the recent one (as in Netflix's concurrency-limits, 2018): where the two
// differ, requests queue at the backends. The limit grows by a part of its root while it is in use, to find out
// whether there is more capacity. Latencies are per unit of work, so that requests of different work can be compared.
// Means of some tens of requests are compared, as single ones vary too much.
type concurrencyLimit struct {
	value    float64
	min, max float64

	baseline float64 // latency per unit of work where nothing queues; 0: nothing is measured yet
	recent   float64 // smoothed latency per unit of work
	sum      float64 // of the samples since the limit was last changed
	count    int     // number of these samples
}

// setBounds sets the bounds and brings the limit within them.
func (l *concurrencyLimit) setBounds(lower, upper float64) {
	l.min, l.max = lower, upper
	l.value = math.Min(math.Max(l.value, lower), upper)
}

// observe adds a sample: a request's latency per unit of its work.
func (l *concurrencyLimit) observe(latency float64, isInUse bool) {
	l.sum += latency
	l.count++
	if float64(l.count) < math.Max(minLimitSamples, l.value/samplesDivisor) {
		return
	}
	mean := l.sum / float64(l.count)
	l.sum, l.count = 0, 0
	if l.baseline == 0 {
		l.baseline, l.recent = mean, mean
	}
	l.recent += (mean - l.recent) / 2
	l.updateBaseline(mean, isInUse)
	next := l.value * math.Min(1, math.Max(maxShrinkFactor, latencyTolerance*l.baseline/l.recent))
	if isInUse {
		next += math.Sqrt(l.value) / growthDivisor
	}
	l.value = math.Min(math.Max((l.value+next)/2, l.min), l.max)
}

// updateBaseline moves the baseline quickly down and slowly up, most slowly while the limit is in use: latency that
// comes from queueing must not become the baseline.
func (l *concurrencyLimit) updateBaseline(mean float64, isInUse bool) {
	switch {
	case mean < l.baseline:
		l.baseline += (mean - l.baseline) / baselineFallDivisor
	case isInUse:
		l.baseline += (mean - l.baseline) / baselineRiseInUseDivisor
	default:
		l.baseline += (mean - l.baseline) / baselineRiseDivisor
	}
}

// adaptLimit adapts the limit to the latency of a request that was served, per unit of its work.
func (c *Controller) adaptLimit(latency float64) {
	isInUse := c.queued > 0 || c.inFlightWork > limitInUse*c.limit.value*c.meanWork
	c.limit.observe(latency, isInUse)
}

// expectedLatency returns how long a request of this work is expected to be in flight. Before anything is measured that
// is the work itself.
func (c *Controller) expectedLatency(work float64) float64 {
	if c.limit.recent == 0 {
		return work
	}
	return c.limit.recent * work
}
