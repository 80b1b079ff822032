package baseline

import (
	"math"
	"slices"

	"pumiceline/internal/fleetsim/model"
)

// Figures of the policy that sees the true state. Times are in microseconds.
const (
	oracleCandidates = 48      // servers looked at; in a larger fleet, as many at random
	crossZoneCost    = 15e3    // time that crossing zones must save
	crowdingCost     = 150e3   // time that a request more for each core costs the requests that are there
	freeCrowding     = 0.7     // requests per core up to which it costs them nothing
	timeoutFactor    = 8       // time-out of an attempt, in its expected times
	timeoutSlack     = 500_000 // on top
	headroomFactor   = 2       // headroom that a cold server must have, in the request's work

	// A request of value share v, of the highest value, is sent at up to baseCrowding + crowdingByValue*(v-lowValueShare)
	// requests per core.
	baseCrowding    = 1.1
	crowdingByValue = 1.4
	lowValueShare   = 0.2
)

// candidate is a server as the oracle sees it.
type candidate struct {
	index       int32
	cost        float64
	expectation model.Expectation
}

// pickByOracle returns the server with the least cost: the time until the request would be completed there, and what that
// costs the other requests there. Where all servers are crowded, requests of low value are rejected before others.
func (n *node) pickByOracle(r *request) int32 {
	best := candidate{index: noServer, cost: math.Inf(1)}
	consider := func(index int32) {
		if c, ok := n.assess(r, index); ok && c.cost < best.cost {
			best = c
		}
	}
	if len(n.ready) <= oracleCandidates {
		for _, index := range n.ready {
			consider(index)
		}
	} else {
		for range oracleCandidates {
			consider(n.ready[n.rng.IntN(len(n.ready))])
		}
	}
	if best.index == noServer {
		return n.pickAnyPermitted(r) // the oracle rules out all of them
	}
	mayHaveRun := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayRun })
	if best.expectation.RequestsPerCore > n.maxCrowding(r) && !mayHaveRun {
		return noServer
	}
	r.attemptTimeout = Time(timeoutFactor*best.expectation.Time) + timeoutSlack
	return best.index
}

// assess says what a server would cost the request; false: the request may not use it, or it is cold and has no headroom.
func (n *node) assess(r *request, index int32) (candidate, bool) {
	s := &n.servers[index]
	if !n.maySendTo(r, index) {
		return candidate{}, false
	}
	oracleIndex := n.oracle.Index(s.Server)
	if oracleIndex < 0 || n.oracle.WarmupHeadroom(oracleIndex) < headroomFactor*float64(r.work) {
		return candidate{}, false
	}
	expectation := n.oracle.Expected(oracleIndex, r.work)
	cost := expectation.Time + crowdingCost*math.Max(0, expectation.RequestsPerCore-freeCrowding)
	if int(s.Zone) != n.settings.Zone {
		cost += crossZoneCost
	}
	return candidate{index, cost, expectation}, true
}

// maxCrowding is the number of requests per core up to which a request of its value is sent.
func (n *node) maxCrowding(r *request) float64 {
	return baseCrowding + crowdingByValue*(r.value/max(1e-9, n.maxValue)-lowValueShare)
}
