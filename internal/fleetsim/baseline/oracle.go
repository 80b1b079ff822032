package baseline

import (
	"math"
	"slices"

	"pumiceline/internal/fleetsim/model"
)

// Parameters of the oracle policy. Times are in microseconds.
const (
	oracleCandidates = 48      // servers assessed per request; in a larger fleet, drawn at random
	crossZoneCost    = 15e3    // time that an attempt to another zone must save
	crowdingCost     = 150e3   // cost, for the other requests at a server, of one more request per core
	freeCrowding     = 0.7     // requests per core up to which that cost is zero
	timeoutFactor    = 8       // timeout of an attempt, as a multiple of its expected time
	timeoutSlack     = 500_000 // added to that timeout
	headroomFactor   = 2       // headroom that a cold server must have, as a multiple of the request's work

	// A request whose value is the share v of the highest value is sent to servers with up to
	// baseCrowding + crowdingByValue*(v-lowValueShare) requests per core.
	baseCrowding    = 1.1
	crowdingByValue = 1.4
	lowValueShare   = 0.2
)

// candidate is a server that the oracle has assessed for a request.
type candidate struct {
	index       int32
	cost        float64
	expectation model.Expectation
}

// pickByOracle returns the server with the least cost: the time until the server would complete the request, plus the
// cost for the other requests there. If that server is too crowded for the request's value, it returns noServer, so
// that requests of low value are rejected first. A request that may have been executed is sent nevertheless.
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
		return n.pickAnyPermitted(r) // no assessed server was suitable
	}
	mayHaveRun := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayRun })
	if best.expectation.RequestsPerCore > n.maxCrowding(r) && !mayHaveRun {
		return noServer
	}
	r.attemptTimeout = Time(timeoutFactor*best.expectation.Time) + timeoutSlack
	return best.index
}

// assess returns a server as a candidate with its cost. It returns false if the request may not use the server, or if
// the server is cold and has too little headroom.
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

// maxCrowding returns the number of requests per core up to which a request of this value is sent to a server.
func (n *node) maxCrowding(r *request) float64 {
	return baseCrowding + crowdingByValue*(r.value/max(1e-9, n.maxValue)-lowValueShare)
}
