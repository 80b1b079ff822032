package admission

import (
	"math"
	"testing"
)

// A start is bounded by what the servers bear of all balancers together until what answers take is known; then comes, once, as much as arrives
// while an answer takes. Where nothing is learnt the bound ends all the same, and one that never began bounds nothing.
func TestStart(t *testing.T) {
	for _, c := range []struct {
		servers, group int
		window         float64
	}{{12, 2, 18}, {26, 74, 78.0 / 74}, {10, 1000, 0.5}, {3, 0, 9}} {
		var s Start
		if !s.Over(1) {
			t.Error("bounded before the start")
		}
		const begun = 7_000_000
		if got := s.Begin(begun, c.servers, c.group); got != c.window || s.Over(begun+1) || s.Over(begun+startMost) {
			t.Errorf("%d servers, %d balancers: begins with %v, or widens at once", c.servers, c.group, got)
		}
		if !s.Over(begun + startMost + 1) {
			t.Error("nothing is learnt, and the bound stays")
		}
		for i := range int64(200) { // 100 a second, each takes 0.3 s; later ones, which met a queue, ten times as long
			s.Arrived(begun + i*10_000)
			took := 300_000.0
			if i >= startFew {
				took *= 10
			}
			s.Answered(took)
		}
		if got := s.Learnt(begun + 2_000_000); math.Abs(got-max(30, c.window)) > 0.01 {
			t.Errorf("a window of %v is needed, not 30", got)
		}
		if got := s.Learnt(begun + 2_000_000); got != 0 || !s.Over(begun+2_000_000) {
			t.Errorf("learnt again: %v", got)
		}
	}
}

// A window is widened only where it may be and is used, and is narrowed in any case.
func TestMove(t *testing.T) {
	var s Signs
	if got := s.Move(3, false, 3, true); got <= 3 {
		t.Errorf("3 that are used become %v", got)
	}
	if got := s.Move(3, false, 3, false); got != 3 {
		t.Errorf("widened to %v, which it may not be", got)
	}
	if got := s.Move(3, false, 1, true); got != 3 {
		t.Errorf("widened to %v with one of 3 out", got)
	}
	if got := s.Move(3, true, 0, false); got != Narrow(3) {
		t.Errorf("narrowed to %v", got)
	}
}

// The rate of a cold server leaves chance times the square root of what it sends under what tips it, and is at most coldLoad times what
// the server can do.
func TestColdRate(t *testing.T) {
	for _, able := range []float64{0.5, 20, 1000} {
		for _, span := range []float64{0, 0.2, 5} {
			rate, span := ColdRate(able, 3, span), max(1e-3, span)
			sent, tips := rate*span, 3*able*span
			if left := tips - sent - chance*math.Sqrt(sent); left < -1e-6*tips || left > 1e-6*tips && math.Abs(rate-coldLoad*able) > 1e-9*able {
				t.Errorf("able %v, span %v: rate %v leaves %v of %v", able, span, rate, left, tips)
			}
		}
	}
}
