package placement

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLoadsOfTwoHoldersKeepToTheRule lets one holder after the other begin as many loads as each may, at any moment, and
// counts every sliding window.
func TestLoadsOfTwoHoldersKeepToTheRule(t *testing.T) {
	const window, excess = 5 * time.Second, 1.1
	for _, perS := range []float64{0.2, 2.1, 2.8, 12, 24, 40} {
		for _, handover := range []time.Duration{0, 700 * time.Millisecond, 2300 * time.Millisecond, 6 * time.Second} {
			var starts []time.Time
			run := func(a *LoadAllowance, from, until time.Duration) {
				for at := from; at < until; at += 100 * time.Millisecond {
					now := start.Add(at)
					for range max(0, a.Left(now, perS, excess, window, 0)) {
						a.Start(now)
						starts = append(starts, now)
					}
				}
			}
			run(NewLoadAllowance(start.Add(-time.Hour)), 0, handover)
			run(NewLoadAllowance(start.Add(handover)), handover, handover+20*time.Second)
			for i, first := range starts {
				count := 0
				for _, other := range starts[i:] {
					if other.Sub(first) < window {
						count++
					}
				}
				assert.LessOrEqual(t, float64(count), perS*window.Seconds()*excess+3, "%v loads a second, handover after %v", perS, handover)
			}
			assert.GreaterOrEqual(t, float64(len(starts)), math.Floor(perS*20*0.8), "the allowance is used")
		}
	}
}

func TestASuccessorMayLoadBeforeAWholeWindowHasPassed(t *testing.T) {
	a := NewLoadAllowance(start)
	left := func(after time.Duration) int { return a.Left(start.Add(after), 24, 1.1, 5*time.Second, 0) }
	assert.LessOrEqual(t, left(time.Second), 0)
	assert.Positive(t, left(3500*time.Millisecond))
	assert.Greater(t, left(4500*time.Millisecond), left(3500*time.Millisecond))
	assert.Equal(t, 54, left(6*time.Second), "the bound on a second")
	assert.Equal(t, 50, a.Left(start.Add(6*time.Second), 24, 1.1, 5*time.Second, 4))
}
