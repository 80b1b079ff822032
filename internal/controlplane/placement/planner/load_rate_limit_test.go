package planner

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Two lease holders, one after the other, start loads as soon as they may. No sliding window has more loads than the
// deployment's rule allows.
func TestLoadRateLimiter_RespectsLimitOverLeaseHandover(t *testing.T) {
	const window, excess = 5 * time.Second, 1.1
	for _, perSecond := range []float64{0.2, 2.1, 2.8, 12, 24, 40} {
		for _, handover := range []time.Duration{0, 700 * time.Millisecond, 2300 * time.Millisecond, 6 * time.Second} {
			var starts []time.Time
			limit := LoadRateLimit{PerSecond: perSecond, ExcessFactor: excess, Window: window}
			run := func(l *LoadRateLimiter, from, until time.Duration) {
				for at := from; at < until; at += 100 * time.Millisecond {
					now := start.Add(at)
					for range max(0, l.Available(now, limit, 0)) {
						l.RecordStart(now)
						starts = append(starts, now)
					}
				}
			}
			run(NewLoadRateLimiter(start.Add(-time.Hour)), 0, handover)
			run(NewLoadRateLimiter(start.Add(handover)), handover, handover+20*time.Second)
			for i, first := range starts {
				count := 0
				for _, other := range starts[i:] {
					if other.Sub(first) < window {
						count++
					}
				}
				allowed := perSecond*window.Seconds()*excess + 3
				assert.LessOrEqual(t, float64(count), allowed, "%v loads a second, handover after %v", perSecond, handover)
			}
			assert.GreaterOrEqual(t, float64(len(starts)), math.Floor(perSecond*20*0.8), "the limit is used")
		}
	}
}

func TestLoadRateLimiter_SuccessorLoadsBeforeFullWindow(t *testing.T) {
	limit := LoadRateLimit{PerSecond: 24, ExcessFactor: 1.1, Window: 5 * time.Second}
	l := NewLoadRateLimiter(start)
	available := func(after time.Duration) int { return l.Available(start.Add(after), limit, 0) }
	assert.LessOrEqual(t, available(time.Second), 0)
	assert.Positive(t, available(3500*time.Millisecond))
	assert.Greater(t, available(4500*time.Millisecond), available(3500*time.Millisecond))
	assert.Equal(t, 54, available(6*time.Second), "the burst of one second")
	assert.Equal(t, 50, l.Available(start.Add(6*time.Second), limit, 4))
}
