package concurrency

import (
	"math"
	"testing"
)

// A window under one leaves one attempt out for that part of the time on the mean.
func TestANarrowWindowLeavesPauses(t *testing.T) {
	for _, window := range []float64{0.1, 0.25, 0.5, 1, 3} {
		const usual, end = 100.0, 1_000_000
		var ends []float64 // of attempts out
		last, busy := -1e9, 0.0
		for now := 0.0; now < end; now++ {
			for len(ends) > 0 && ends[0] <= now {
				last, ends = now, ends[1:]
			}
			for Admits(window, len(ends), now-last, usual) {
				ends = append(ends, now+usual)
			}
			busy += float64(len(ends))
		}
		if mean := busy / end; math.Abs(mean-window) > 0.05*window+0.01 {
			t.Errorf("window %v: %.3f out on the mean", window, mean)
		}
	}
}

// One answer moves no window by more than half, none leaves the bounds, and at the balance no window bears more than half of its
// answers with a queue: where hundreds of balancers share a few small servers, that is the flood that the window is to stop.
func TestSteps(t *testing.T) {
	for w := MinLimit; w < 1000; w *= 1.3 {
		narrow, wide := Decrease(w), Increase(w, false)
		if narrow < MinLimit || narrow >= w && w > MinLimit || narrow < 0.59*w && narrow > MinLimit || wide <= w || wide > 1.51*w || Increase(w, true) < wide || Increase(w, true) > 1.51*w {
			t.Errorf("%v: narrows to %v, widens to %v or %v", w, narrow, wide, Increase(w, true))
		}
		if down, up := w-w*0.6, wide-w; w < 1 && up/(up+down) > 0.5 {
			t.Errorf("%v: balance at %.2f of the answers with a queue", w, up/(up+down))
		}
	}
	if w := Increase(math.Inf(1), true); !math.IsInf(w, 1) {
		t.Errorf("a window that nobody bounded yet widens to %v", w)
	}
}

// What a group may have out at the start is bounded by what its servers bear, however many balancers there are.
func TestAGroupStartsWithWhatItsServersBear(t *testing.T) {
	for _, c := range []struct {
		servers, group int
		want           float64
	}{{12, 4, 10}, {200, 300, perServer * 2 / 3}, {25, 79, perServer * 25 / 79}, {70, 375, 1}, {0, 0, 1}, {5, 1, 10}} {
		if got := LimitToUsage(math.Inf(1), 0, c.servers, c.group); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%d servers for %d: %v, want %v", c.servers, c.group, got, c.want)
		}
		if got := LimitToUsage(math.Inf(1), 20, c.servers, c.group); got != 30+c.want {
			t.Errorf("%d servers for %d, 20 out: %v", c.servers, c.group, got)
		}
	}
}
