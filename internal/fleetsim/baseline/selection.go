package baseline

import (
	"math"
	"slices"
)

const looks = 8

func (n *node) random(r *request) int32 {
	for range looks {
		if at := n.ready[n.rng.IntN(len(n.ready))]; n.permits(r, at) {
			return at
		}
	}
	return n.any(r)
}

func (n *node) any(r *request) int32 {
	start := n.rng.IntN(len(n.ready))
	for i := range n.ready {
		if at := n.ready[(start+i)%len(n.ready)]; n.permits(r, at) {
			return at
		}
	}
	return -1
}

func (n *node) next(r *request) int32 {
	if n.turn == 0 {
		n.turn = 1 + n.rng.IntN(len(n.ready)) // proxies don't march in step
	}
	for range n.ready {
		n.turn++
		if at := n.ready[n.turn%len(n.ready)]; n.permits(r, at) {
			return at
		}
	}
	return -1
}

func (n *node) better(r *request) int32 {
	a, b := n.random(r), n.random(r)
	if a < 0 || b >= 0 && n.servers[b].out < n.servers[a].out {
		return b
	}
	return a
}

func (n *node) least(r *request) int32 {
	for _, bucket := range n.byOut {
		if len(bucket) == 0 {
			continue
		}
		start := n.rng.IntN(len(bucket))
		for i := range bucket {
			if at := bucket[(start+i)%len(bucket)]; n.permits(r, at) {
				return at
			}
		}
	}
	return -1
}

// best is the server that would be done first, with what it costs the others there. Where work piles up everywhere,
// requests of little worth are refused before others.
func (n *node) best(r *request) int32 {
	chosen, least, took, crowd := int32(-1), math.Inf(1), 0.0, 0.0
	look := func(at int32) {
		s := &n.servers[at]
		if !n.permits(r, at) {
			return
		}
		place := n.truth.Place(s.Server)
		if place < 0 || n.truth.Room(place) < 2*float64(r.work) {
			return
		}
		expected, held := n.truth.Expected(place, r.work)
		cost := expected + crowdCost*math.Max(0, held-0.7)
		if int(s.Zone) != n.set.Zone {
			cost += crossCost
		}
		if cost < least {
			chosen, least, took, crowd = at, cost, expected, held
		}
	}
	if len(n.ready) <= truthLooks {
		for _, at := range n.ready {
			look(at)
		}
	} else {
		for range truthLooks {
			look(n.ready[n.rng.IntN(len(n.ready))])
		}
	}
	if chosen < 0 {
		return n.any(r) // better a guess than none
	}
	if bears := 1.1 + 1.4*(r.worth/max(1e-9, n.mostWorth)-0.2); crowd > bears &&
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayRun }) {
		return -1
	}
	r.limit = Time(patience*took) + spare
	return chosen
}
