package latencybaseline

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The baseline is near what four in five responses take without a queue, at any rate and scale: a queue of ten seconds
// is not taken for it, a latency that has grown for good is in the end, and one that has fallen is at once.
func TestBaselineFollowsUnloadedLatency(t *testing.T) {
	for _, rate := range []int{30, 300} {
		for _, scale := range []float64{0.25, 1, 4} {
			r := rand.New(rand.NewPCG(uint64(rate), 1))
			truth, now := 300_000*scale*math.Exp(0.3*0.8416), int64(0) // the value that 80% of the draws lie under
			var e Estimator
			for _, phase := range []struct {
				seconds, factor          int     // of the latency
				minBaseline, maxBaseline float64 // relative to the truth
			}{{30, 1, 0.65, 1.05}, {10, 5, 0.65, 1.2}, {10, 1, 0.65, 1.1}, {100, 2, 1.3, 2.1}, {10, 1, 0.6, 1.05}} {
				for range phase.seconds * rate {
					now += 1e6 / int64(rate)
					e.Observe(now, float64(phase.factor)*300_000*scale*math.Exp(0.3*r.NormFloat64()))
				}
				baseline, known := e.Baseline()
				if !known || baseline < phase.minBaseline*truth || baseline > phase.maxBaseline*truth {
					t.Errorf("rate %d, scale %v, %d s of %d times the latency: %.2f of the truth", rate, scale, phase.seconds,
						phase.factor, baseline/truth)
				}
			}
		}
	}
}

// Few responses give no baseline, and impossible values are ignored.
func TestBaselineUnknownAfterFewResponses(t *testing.T) {
	var e Estimator
	for i := range int64(warmupSamples - 1) {
		e.Observe(i*1e6, 1000)
		e.Observe(i*1e6, math.NaN())
		e.Observe(i*1e6, -1)
	}
	if _, known := e.Baseline(); known || e.running < 100 || e.running > 3000 {
		t.Errorf("%v is known after %d responses of 1000", e.running, warmupSamples-1)
	}
}

// The baseline from the first responses is near the truth, whatever the very first of them took: of work that varies as
// widely as most does, the mean over many draws is right and hardly one is off by half.
func TestBaselineFromFirstResponses(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 1))
	truth, sum, off := math.Log(5), 0.0, 0 // the value that 80% of the draws lie under
	const draws = 1000
	for range draws {
		var e Estimator
		for i := range int64(20) {
			e.Observe(i*50_000, r.ExpFloat64())
		}
		baseline, known := e.Baseline()
		if sum += baseline / truth; !known || baseline < truth/2 || baseline > truth*2 {
			off++
		}
	}
	if mean := sum / draws; mean < 0.9 || mean > 1.1 || off > draws/50 {
		t.Errorf("%.2f of the truth on the mean, %d of %d off by half", mean, off, draws)
	}
}
