package probing

import (
	"math/rand/v2"
	"testing"
)

// The price of probes is bounded for a server and for the deployment, at any size.
func TestBounds(t *testing.T) {
	for _, balancers := range []int{1, 3, 300} {
		for _, servers := range []int{1, 12, 200, 10_000} {
			for _, rate := range []float64{0, 2, 140, 5000} {
				each := 1e6 / float64(Every(servers, balancers, rate)) // probes a second of one server by one balancer
				if each > 1 || each*float64(balancers) > 2.001 {
					t.Errorf("%d balancers, %d servers, rate %v: %.2f a second", balancers, servers, rate, each*float64(balancers))
				}
				if all := each * float64(servers); all > perRequest*max(1, rate)*1.001 {
					t.Errorf("%d balancers, %d servers, rate %v: %.2f probes a second", balancers, servers, rate, all)
				}
			}
		}
	}
	if every := Every(12, 2, 300); every != leastEvery {
		t.Errorf("a usual fleet is probed each %d", every)
	}
}

func TestTurns(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	const every = 2_000_000
	first := map[int64]int{}
	for range 200 {
		var turn Turn
		probes, last := 0, int64(0)
		for now := int64(100_000); now < 60_000_000; now += 100_000 {
			if !turn.Due(now, every, r.Float64()) {
				continue
			}
			if probes++; probes == 1 {
				first[now/100_000]++
			} else if gap := now - last; gap < 1_800_000 || gap > 2_300_000 {
				t.Fatalf("%d between two probes", gap)
			}
			last = now
		}
		if probes < 26 || probes > 33 {
			t.Fatalf("%d probes in a minute", probes)
		}
	}
	for at, n := range first {
		if at > 12 || n > 50 {
			t.Errorf("%d of 200 first probes come at %d00 ms", n, at)
		}
	}
}
