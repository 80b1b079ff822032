package baseline

import (
	"math"
	"slices"
)

const randomTries = 8

func (n *node) pickRandom(r *request) int32 {
	for range randomTries {
		if at := n.ready[n.rng.IntN(len(n.ready))]; n.maySendTo(r, at) {
			return at
		}
	}
	return n.pickAnyPermitted(r)
}

func (n *node) pickAnyPermitted(r *request) int32 {
	start := n.rng.IntN(len(n.ready))
	for i := range n.ready {
		if at := n.ready[(start+i)%len(n.ready)]; n.maySendTo(r, at) {
			return at
		}
	}
	return -1
}

func (n *node) pickRoundRobin(r *request) int32 {
	if n.lastTurn == 0 {
		n.lastTurn = 1 + n.rng.IntN(len(n.ready)) // proxies don't march in step
	}
	for range n.ready {
		n.lastTurn++
		if at := n.ready[n.lastTurn%len(n.ready)]; n.maySendTo(r, at) {
			return at
		}
	}
	return -1
}

func (n *node) pickTwoChoices(r *request) int32 {
	a, b := n.pickRandom(r), n.pickRandom(r)
	if a < 0 || b >= 0 && n.servers[b].inFlight < n.servers[a].inFlight {
		return b
	}
	return a
}

func (n *node) pickLeastRequests(r *request) int32 {
	for _, bucket := range n.readyByInFlight {
		if len(bucket) == 0 {
			continue
		}
		start := n.rng.IntN(len(bucket))
		for i := range bucket {
			if at := bucket[(start+i)%len(bucket)]; n.maySendTo(r, at) {
				return at
			}
		}
	}
	return -1
}

// pickByOracle is the server that would be done first, with what it costs the others there. Where work piles up everywhere,
// requests of little worth are refused before others.
func (n *node) pickByOracle(r *request) int32 {
	chosen, least, took, crowd := int32(-1), math.Inf(1), 0.0, 0.0
	look := func(at int32) {
		s := &n.servers[at]
		if !n.maySendTo(r, at) {
			return
		}
		place := n.oracle.Index(s.Server)
		if place < 0 || n.oracle.WarmupHeadroom(place) < 2*float64(r.work) {
			return
		}
		expected, held := n.oracle.Expected(place, r.work)
		cost := expected + crowdingCost*math.Max(0, held-0.7)
		if int(s.Zone) != n.settings.Zone {
			cost += crossZoneCost
		}
		if cost < least {
			chosen, least, took, crowd = at, cost, expected, held
		}
	}
	if len(n.ready) <= oracleCandidates {
		for _, at := range n.ready {
			look(at)
		}
	} else {
		for range oracleCandidates {
			look(n.ready[n.rng.IntN(len(n.ready))])
		}
	}
	if chosen < 0 {
		return n.pickAnyPermitted(r) // better a guess than none
	}
	if bears := 1.1 + 1.4*(r.value/max(1e-9, n.maxValue)-0.2); crowd > bears &&
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayRun }) {
		return -1
	}
	r.attemptTimeout = Time(timeoutFactor*took) + timeoutSlack
	return chosen
}
