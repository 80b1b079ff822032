package loadpolling

import (
	"math/rand/v2"
	"testing"
)

// What probes cost a server and the deployment is bounded at any size, a usual fleet is probed each second, and turns keep to it: the
// first within a second, spread out, later ones a tenth early or late.
func TestProbesAreBoundedAndSpread(t *testing.T) {
	for _, balancers := range []int{1, 3, 300} {
		for _, servers := range []int{1, 12, 200, 10_000} {
			for _, rate := range []float64{0, 2, 140, 5000} {
				each := 1e6 / float64(Interval(servers, balancers, rate)) // a second, of one server by one balancer
				if each > 1 || each*float64(balancers) > 2.001 || each*float64(servers) > perRequest*max(1, rate)*1.001 {
					t.Errorf("%d balancers, %d servers, rate %v: %.3f a second", balancers, servers, rate, each)
				}
			}
		}
	}
	r, every := rand.New(rand.NewPCG(3, 4)), Interval(12, 4, 300)
	first := map[int64]int{}
	for range 200 {
		var turn Schedule
		for now, last := int64(100_000), int64(0); now < 30_000_000; now += 100_000 {
			if !turn.Due(now, every, r.Float64()) {
				continue
			}
			if gap := now - last; last == 0 {
				first[now/100_000]++
			} else if gap < every*9/10 || gap > every*11/10+100_000 {
				t.Fatalf("%d between two probes, for %d", gap, every)
			}
			last = now
		}
	}
	if n := len(first); n < 9 || n > 12 {
		t.Errorf("first probes come at %v, in tenths of a second", first)
	}
}
