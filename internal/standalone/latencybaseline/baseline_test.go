package latencybaseline

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The baseline stays near the 80% quantile of the latency without a queue, at any rate and scale. A queue of ten
// seconds does not become the baseline, a permanently higher latency does in the end, and a lower one at once.
func TestBaselineFollowsUnloadedLatency(t *testing.T) {
	for _, rate := range []int{30, 300} {
		for _, scale := range []float64{0.25, 1, 4} {
			r := rand.New(rand.NewPCG(uint64(rate), 1))
			truth, now := 300_000*scale*math.Exp(0.3*0.8416), int64(0) // truth: 80% quantile
			var e Estimator
			for _, phase := range []struct {
				seconds, factor          int     // of the latency
				minBaseline, maxBaseline float64 // relative to truth
			}{{30, 1, 0.65, 1.05}, {10, 5, 0.65, 1.2}, {10, 1, 0.65, 1.1}, {100, 2, 1.3, 2.1}, {10, 1, 0.6, 1.05}} {
				for range phase.seconds * rate {
					now += 1e6 / int64(rate)
					e.Observe(now, float64(phase.factor)*300_000*scale*math.Exp(0.3*r.NormFloat64()))
				}
				baseline, known := e.Baseline()
				if !known || baseline < phase.minBaseline*truth || baseline > phase.maxBaseline*truth {
					t.Errorf("rate %d, scale %v, %d s of %d times the latency: %.2f of the true baseline", rate, scale, phase.seconds,
						phase.factor, baseline/truth)
				}
			}
		}
	}
}

// Fewer than warmupSamples responses give no baseline, and impossible latencies are ignored.
func TestBaselineUnknownAfterFewResponses(t *testing.T) {
	var e Estimator
	for i := range int64(warmupSamples - 1) {
		e.Observe(i*1e6, 1000)
		e.Observe(i*1e6, math.NaN())
		e.Observe(i*1e6, -1)
	}
	if _, known := e.Baseline(); known || e.running < 100 || e.running > 3000 {
		t.Errorf("baseline known or running quantile %v out of range after %d responses of 1000", e.running, warmupSamples-1)
	}
}

// The baseline after the first responses is near the true quantile, whatever the very first response took. With
// exponentially distributed latencies, which vary as widely as most work does, the mean over many estimators is right
// and at most 2% of them are off by a factor of two.
func TestBaselineFromFirstResponses(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 1))
	truth, sum, off := math.Log(5), 0.0, 0 // the 80% quantile of the draws
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
		t.Errorf("mean baseline %.2f of the true one, %d of %d off by a factor of two", mean, off, draws)
	}
}
