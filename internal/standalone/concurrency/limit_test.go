package concurrency

import (
	"math"
	"testing"
)

// The average number of attempts in flight is the limit, also below one, where an attempt is in flight for that
// fraction of the time.
func TestAdmits_LimitBelowOneLeavesPauses(t *testing.T) {
	for _, limit := range []float64{0.1, 0.25, 0.5, 1, 3} {
		const attemptTime, end = 100.0, 1_000_000
		var ends []float64 // end times of the attempts in flight
		last, inFlightSum := -1e9, 0.0
		for now := 0.0; now < end; now++ {
			for len(ends) > 0 && ends[0] <= now {
				last, ends = now, ends[1:]
			}
			for Admits(limit, len(ends), now-last, attemptTime) {
				ends = append(ends, now+attemptTime)
			}
			inFlightSum += float64(len(ends))
		}
		if mean := inFlightSum / end; math.Abs(mean-limit) > 0.05*limit+0.01 {
			t.Errorf("limit %v: %.3f in flight on average", limit, mean)
		}
	}
}

// One response changes a limit by at most half, and no limit falls below MinLimit. In equilibrium no limit below one
// tolerates congestion in more than half of its responses: with hundreds of balancers on a few small servers, a higher
// share is the flood that the limit must stop.
func TestStepsAreBounded(t *testing.T) {
	for limit := MinLimit; limit < 1000; limit *= 1.3 {
		decreased, increased, fast := Decrease(limit), Increase(limit), IncreaseFast(limit)
		if decreased < MinLimit || decreased >= limit && limit > MinLimit || decreased < 0.59*limit && decreased > MinLimit ||
			increased <= limit || increased > 1.51*limit || fast < increased || fast > 1.51*limit {
			t.Errorf("%v: decreases to %v, increases to %v or %v", limit, decreased, increased, fast)
		}
		if down, up := limit-limit*0.6, increased-limit; limit < 1 && up/(up+down) > 0.5 {
			t.Errorf("%v: equilibrium at %.2f of the responses with congestion", limit, up/(up+down))
		}
	}
	if limit := IncreaseFast(math.Inf(1)); !math.IsInf(limit, 1) {
		t.Errorf("an infinite limit increases to %v", limit)
	}
}

// The headroom of all balancers of a group at the start is bounded by the number of servers, but each balancer has at
// least 1.
func TestLimitToUsage_BoundsStartOfGroup(t *testing.T) {
	for _, c := range []struct {
		servers, groupSize int
		want               float64
	}{{12, 4, 10}, {200, 300, maxPerServer * 2 / 3}, {25, 79, maxPerServer * 25 / 79}, {70, 375, 1}, {0, 0, 1},
		{5, 1, 10}} {
		if got := LimitToUsage(math.Inf(1), 0, c.servers, c.groupSize); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%d servers for %d balancers: %v, want %v", c.servers, c.groupSize, got, c.want)
		}
		if got := LimitToUsage(math.Inf(1), 20, c.servers, c.groupSize); got != 30+c.want {
			t.Errorf("%d servers for %d balancers, 20 in flight: %v", c.servers, c.groupSize, got)
		}
	}
}
