package admission

import "math"

const (
	// latencyTolerance is the ratio of the recent latency to the baseline above which the limit decreases.
	latencyTolerance = 1.4
	// minLimitSamples is the minimum number of samples for a change of the limit.
	minLimitSamples = 16
	// limitInUse is the fraction of the limit that must be in flight for the limit to count as in use.
	limitInUse = 0.7
	// samplesDivisor: a change of the limit needs limit/samplesDivisor samples, if that is more than minLimitSamples.
	samplesDivisor = 4
	// maxShrinkFactor is the lower bound of the gradient. As a change goes half of the way, it lowers the limit by a
	// quarter at most.
	maxShrinkFactor = 0.5
	// growthDivisor: the target of a limit in use is raised by the limit's square root divided by growthDivisor; a
	// change goes half of the way to the target.
	growthDivisor = 2
)

// Divisors of the difference between a sample and the baseline by which the baseline moves.
const (
	baselineFallDivisor      = 4    // for a lower sample
	baselineRiseDivisor      = 128  // for a higher sample, while the limit is not in use
	baselineRiseInUseDivisor = 8192 // for a higher sample, while the limit is in use
)

// concurrencyLimit is a limit on the work in flight, in requests of mean work. It adapts by the gradient between the
// latency without queueing and the recent latency (as in Netflix's concurrency-limits, 2018): if the two differ,
// requests queue at the backends. While it is in use, the limit also grows by a part of its square root, to find out
// whether there is more capacity. Latencies are per unit of work, so that requests of different work can be compared.
// Means of some tens of requests are compared, since the latencies of single requests vary too much.
type concurrencyLimit struct {
	value    float64
	min, max float64

	baseline float64 // latency per unit of work without queueing; 0: not measured yet
	recent   float64 // smoothed latency per unit of work
	sum      float64 // sum of the samples since the limit was last changed
	count    int     // number of these samples
}

// setBounds sets the bounds of the limit and clamps its value to them.
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

// updateBaseline moves the baseline quickly down and slowly up, most slowly while the limit is in use: latency caused
// by queueing must not become the baseline.
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

// adaptLimit adapts the limit to the latency per unit of work of a request that was served.
func (c *Controller) adaptLimit(latency float64) {
	isInUse := c.queued > 0 || c.inFlightWork > limitInUse*c.limit.value*c.meanWork
	c.limit.observe(latency, isInUse)
}

// expectedLatency returns how long a request of this work is expected to be in flight. Before the first measurement it
// is the work itself.
func (c *Controller) expectedLatency(work float64) float64 {
	if c.limit.recent == 0 {
		return work
	}
	return c.limit.recent * work
}
