package loadpolling

import (
	"math/rand/v2"
	"testing"
)

// The rate of polls per server, over all balancers, and per request of a balancer is bounded at any size of the
// deployment.
func TestInterval_BoundsPolls(t *testing.T) {
	for _, balancers := range []int{1, 3, 300} {
		for _, servers := range []int{1, 12, 200, 10_000} {
			for _, rate := range []float64{0, 2, 140, 5000} {
				perS := 1e6 / float64(Interval(servers, balancers, rate)) // polls of one server by one balancer
				if perS > 1 || perS*float64(balancers) > 2.001 ||
					perS*float64(servers) > pollsPerRequest*max(1, rate)*1.001 {
					t.Errorf("%d balancers, %d servers, rate %v: %.3f per second", balancers, servers, rate, perS)
				}
			}
		}
	}
}

// First polls come within a second and are spread over it; later polls are at most a tenth of the interval early or
// late.
func TestSchedule_SpreadsPolls(t *testing.T) {
	r, interval := rand.New(rand.NewPCG(3, 4)), Interval(12, 4, 300)
	firstPolls := map[int64]int{} // number of first polls by tenth of a second
	for range 200 {
		var schedule Schedule
		for now, last := int64(100_000), int64(0); now < 30_000_000; now += 100_000 {
			if !schedule.Due(now, interval, r.Float64()) {
				continue
			}
			if gap := now - last; last == 0 {
				firstPolls[now/100_000]++
			} else if gap < interval*9/10 || gap > interval*11/10+100_000 {
				t.Fatalf("%d us between two polls, want the interval of %d us within a tenth", gap, interval)
			}
			last = now
		}
	}
	if n := len(firstPolls); n < 9 || n > 12 {
		t.Errorf("first polls come at %v, in tenths of a second", firstPolls)
	}
}
