package latencybaseline

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Baseline is near what four in five answers take without a queue, at any rate and scale: a queue of ten seconds is not taken for it,
// what takes longer for good is in the end, and what is fast again is at once. Nothing is told of few answers, or of nonsense.
func TestLeast(t *testing.T) {
	for _, rate := range []int{30, 300} {
		for _, scale := range []float64{0.25, 1, 4} {
			r := rand.New(rand.NewPCG(uint64(rate), 1))
			most, at := 300_000*scale*math.Exp(0.3*0.8416), int64(0) // the value that 80% of draws lie under
			var c Estimator
			for _, step := range []struct {
				seconds, times int
				least, top     float64
			}{{30, 1, 0.65, 1.05}, {10, 5, 0.65, 1.2}, {10, 1, 0.65, 1.1}, {100, 2, 1.3, 2.1}, {10, 1, 0.6, 1.05}} {
				for range step.seconds * rate {
					at += 1e6 / int64(rate)
					c.Observe(at, float64(step.times)*300_000*scale*math.Exp(0.3*r.NormFloat64()))
				}
				if least, known := c.Baseline(); !known || least < step.least*most || least > step.top*most {
					t.Errorf("rate %d, scale %v, %d s of %d times: %.2f of the truth", rate, scale, step.seconds, step.times, least/most)
				}
			}
		}
	}
	var c Estimator
	for i := range int64(warmup - 1) {
		c.Observe(i*1e6, 1000)
		c.Observe(i*1e6, math.NaN())
		c.Observe(i*1e6, -1)
	}
	if _, known := c.Baseline(); known || c.running < 100 || c.running > 3000 {
		t.Errorf("%v is told after %d answers of 1000", c.running, warmup-1)
	}
}

// What the first answers teach is near the truth, whatever the very first of them took: of work that varies as widely as most does, the mean
// over many draws is right and hardly one is off by half.
func TestFirstAnswers(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 1))
	truth, sum, off := math.Log(5), 0.0, 0 // the value that 80% of the draws lie under
	const draws = 1000
	for range draws {
		var c Estimator
		for i := range int64(20) {
			c.Observe(i*50_000, r.ExpFloat64())
		}
		least, known := c.Baseline()
		if sum += least / truth; !known || least < truth/2 || least > truth*2 {
			off++
		}
	}
	if mean := sum / draws; mean < 0.9 || mean > 1.1 || off > draws/50 {
		t.Errorf("%.2f of the truth on the mean, %d of %d off by half", mean, off, draws)
	}
}
