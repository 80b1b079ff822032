// Package baseline has the textbook policies that a policy is compared with, and one that sees the true state of the
// servers as the upper bound. They keep the rules on responses, retries and draining servers; of cold servers they know
// nothing.
package baseline

import (
	"math/rand/v2"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

// Time is in microseconds.
type Time = model.Time

// Names of the policies, worst first.
const (
	PolicyRandom        = "random"      // any server
	PolicyRoundRobin    = "round-robin" // each in turn
	PolicyTwoChoices    = "two-choices" // of two at random the one with fewer of this proxy's attempts (Mitzenmacher, 1996)
	PolicyLeastRequests = "least"       // the one with the fewest of this proxy's attempts
	PolicyOracle        = "truth"       // the one that truly would be done first, by what no proxy can see
)

// Names are all policies of the package.
func Names() []string {
	return []string{PolicyRandom, PolicyRoundRobin, PolicyTwoChoices, PolicyLeastRequests, PolicyOracle}
}

// picker chooses a server for a request among n.ready, which is not empty; noServer: none that it may use.
type picker func(n *node, r *request) int32

// noServer is the index that stands for no server.
const noServer = -1

// Parts of SubscribeWithin within which a node calls discovery.
const (
	startSubscribePart = 4 // after its start
	retrySubscribePart = 2 // after a call or a watch has failed
)

// randomStream is the number of the nodes' stream of random numbers.
const randomStream = 11

// NewFactory returns the factory of a policy's nodes; nil: there is none of that name.
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
	actions  []policy.Action // of the present event

	servers         []server // all that were ever listed
	indexByID       map[uint32]int32
	ready           []int32   // indexes of the servers that get requests
	readyByInFlight [][]int32 // the same by their attempts in flight
	lastTurn        int       // of round robin

	open          map[uint64]*request
	maxValue      float64   // of a unit of work of any class
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
			n.forgetIfDone(r)
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

// scheduleSubscribe schedules a call to discovery at a random moment within the given time, so that proxies do not call
// together.
func (n *node) scheduleSubscribe(within Time) {
	n.actions = append(n.actions, policy.Action{Kind: policy.SetTimer, After: 1 + Time(n.rng.Float64()*float64(within))})
}
