// Package baseline has textbook policies as baselines for comparisons, and an oracle policy as the upper bound, which
// sees the true state of the servers. All keep the rules on responses, retries and draining servers. The textbook
// policies do not treat cold servers differently from others, so they may violate the rule on cold servers.
package baseline

import (
	"math/rand/v2"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

// Time is in microseconds.
type Time = model.Time

// Names of the policies, from worst to best.
const (
	PolicyRandom        = "random"      // any server
	PolicyRoundRobin    = "round-robin" // each server in turn
	PolicyTwoChoices    = "two-choices" // the less used of two random ones, by this proxy's attempts (Mitzenmacher, 1996)
	PolicyLeastRequests = "least"       // the server with the fewest of this proxy's attempts in flight
	PolicyOracle        = "truth"       // the server with the least true cost, from state that no real proxy can see
)

// Names returns the names of all policies of the package.
func Names() []string {
	return []string{PolicyRandom, PolicyRoundRobin, PolicyTwoChoices, PolicyLeastRequests, PolicyOracle}
}

// picker returns the index of a server in n.ready for a request, or noServer if the request may use none. n.ready must
// not be empty.
type picker func(n *node, r *request) int32

// noServer is returned in place of an index if there is no server.
const noServer = -1

// Divisors of SubscribeWithin: a node calls discovery within that part of it.
const (
	startSubscribePart = 4 // after its start
	retrySubscribePart = 2 // after a call or a watch has failed
)

// randomStream is the PCG stream of the nodes' random numbers.
const randomStream = 11

// NewFactory returns the factory of a policy's nodes, or nil if there is no policy of that name.
func NewFactory(name string) model.NodeFactory {
	var pick picker
	switch name {
	case PolicyRandom:
		pick = (*node).pickRandom
	case PolicyRoundRobin:
		pick = (*node).pickRoundRobin
	case PolicyTwoChoices:
		pick = (*node).pickTwoChoices
	case PolicyLeastRequests:
		pick = (*node).pickLeastRequests
	case PolicyOracle:
		pick = (*node).pickByOracle
	default:
		return nil
	}
	return func(settings policy.Settings, seed uint64, oracle *model.Oracle) (model.Node, error) {
		n := &node{settings: settings, rng: rand.New(rand.NewPCG(seed, randomStream)), pick: pick, oracle: oracle,
			indexByID: map[uint32]int32{}, open: map[uint64]*request{}, quotaTokens: make([]float64, len(settings.Tenants))}
		for _, c := range settings.Classes {
			n.maxValue = max(n.maxValue, c.Value)
		}
		return n, nil
	}
}

// node is one proxy's policy.
type node struct {
	settings policy.Settings
	rng      *rand.Rand
	oracle   *model.Oracle
	pick     picker
	started  bool
	now      Time
	actions  []policy.Action // of the event that is being handled

	servers         []server // all servers that discovery has ever listed
	indexByID       map[uint32]int32
	ready           []int32   // indexes of the servers that get requests
	readyByInFlight [][]int32 // the same, by number of attempts in flight
	lastTurn        int       // position of round robin; 0 before the first request

	open          map[uint64]*request
	maxValue      float64   // of a unit of work, over all classes
	quotaTokens   []float64 // by tenant
	quotaTokensAt Time
}

// Handle implements model.Node.
func (n *node) Handle(now Time, ev *policy.Event, out []policy.Action) []policy.Action {
	n.now, n.actions = now, out
	if !n.started {
		n.started = true
		n.scheduleSubscribe(n.settings.Rules.SubscribeWithin / startSubscribePart)
	}
	switch ev.Kind {
	case policy.RequestArrived:
		n.onRequestArrived(ev)
	case policy.AttemptEnded:
		n.onAttemptEnded(ev)
	case policy.RequestAbandoned:
		if r := n.open[ev.ID]; r != nil {
			r.ended = true
			n.removeIfDone(r)
		}
	case policy.TimerFired:
		n.actions = append(n.actions, policy.Action{Kind: policy.SubscribeDiscovery})
	case policy.DiscoveryFailed:
		n.scheduleSubscribe(n.settings.Rules.SubscribeWithin / retrySubscribePart)
	case policy.MembershipFull, policy.MembershipCached, policy.MembershipDelta:
		n.updateMembership(ev)
	}
	out, n.actions = n.actions, nil
	return out
}

// scheduleSubscribe schedules a call to discovery at a random time within the given period, so that the proxies do not
// all call at once.
func (n *node) scheduleSubscribe(within Time) {
	n.actions = append(n.actions, policy.Action{Kind: policy.SetTimer, After: 1 + Time(n.rng.Float64()*float64(within))})
}
