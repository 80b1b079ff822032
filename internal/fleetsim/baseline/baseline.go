// Package baseline holds the textbook policies that a decider is compared with, and one that sees the truth as the
// upper bound. They keep the rules on answers, effects and drains; cold servers they know nothing of.
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

// NodeFactory is the maker of a policy's nodes; nil: there is none of that name.
func NewFactory(name string) model.NodeFactory {
	var pick func(*node, *request) int32
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
	return func(set policy.Settings, seed uint64, truth *model.Oracle) (model.Node, error) {
		n := &node{settings: set, rng: rand.New(rand.NewPCG(seed, 11)), pick: pick, indexByID: map[uint32]int32{}, open: map[uint64]*request{},
			quotaTokens: make([]float64, len(set.Tenants))}
		if name == PolicyOracle {
			n.oracle = truth
		}
		for _, c := range set.Classes {
			n.maxValue = max(n.maxValue, c.Value)
		}
		return n, nil
	}
}

type server struct {
	policy.Member
	inFlight    int
	readyIndex  int32 // place in node.ready; -1: not there
	bucketIndex int32 // place among those with as many out
}

type attempt struct {
	server   int32
	sentAt   Time
	inFlight bool
	mayRun   bool
}

type request struct {
	id             uint64
	class          *policy.Class
	work           Time
	arrived        Time
	deadline       Time
	attempts       []attempt
	inFlight       int
	ended          bool
	value          float64 // of a unit of its work
	attemptTimeout Time    // of the next attempt; 0: as long as the client waits
}

type node struct {
	settings        policy.Settings
	rng             *rand.Rand
	oracle          *model.Oracle
	pick            func(*node, *request) int32
	now             Time
	actions         []policy.Action
	servers         []server
	indexByID       map[uint32]int32
	ready           []int32
	readyByInFlight [][]int32 // places of ready servers by attempts out
	lastTurn        int
	open            map[uint64]*request
	started         bool

	maxValue      float64
	quotaTokens   []float64 // tokens of each tenant's share
	quotaTokensAt Time
}

// requestValue is what a unit of a request's work is worth: little beyond its tenant's share.
func (n *node) requestValue(ev *policy.Event) float64 {
	dt := float64(n.now-n.quotaTokensAt) / 1e6
	n.quotaTokensAt = n.now
	for i, t := range n.settings.Tenants {
		rate := t.QuotaPerS / float64(max(1, n.settings.GroupSize))
		n.quotaTokens[i] = min(max(1, rate), n.quotaTokens[i]+rate*dt)
	}
	worth := n.settings.Classes[ev.Class].Value
	if int(ev.Tenant) < len(n.quotaTokens) {
		if n.quotaTokens[ev.Tenant] < 1 {
			return worth * n.settings.OverQuotaValue
		}
		n.quotaTokens[ev.Tenant]--
	}
	return worth
}

// Handle is model.Node's.
func (n *node) Handle(now Time, ev *policy.Event, out []policy.Action) []policy.Action {
	n.now, n.actions = now, out
	if !n.started {
		n.started = true
		n.scheduleSubscribe(n.settings.Rules.SubscribeWithin / 4)
	}
	switch ev.Kind {
	case policy.RequestArrived:
		r := &request{id: ev.ID, class: &n.settings.Classes[ev.Class], work: max(1, ev.Work), arrived: now, deadline: now + ev.ClientTimeout, value: n.requestValue(ev)}
		n.open[ev.ID] = r
		n.send(r)
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
		n.scheduleSubscribe(n.settings.Rules.SubscribeWithin / 2)
	case policy.MembershipFull, policy.MembershipCached, policy.MembershipDelta:
		n.updateMembership(ev)
	}
	out, n.actions = n.actions, nil
	return out
}

// scheduleSubscribe plans a call to discovery at a random moment within the given time, so that proxies don't call together.
func (n *node) scheduleSubscribe(within Time) {
	n.actions = append(n.actions, policy.Action{Kind: policy.SetTimer, After: 1 + Time(n.rng.Float64()*float64(within))})
}

func (n *node) updateMembership(ev *policy.Event) {
	if ev.Kind != policy.MembershipDelta {
		for i := range n.servers {
			n.servers[i].Mode = policy.ModeGone
		}
	}
	for i := range ev.Members {
		m := &ev.Members[i]
		at, ok := n.indexByID[m.Server]
		if !ok {
			at = int32(len(n.servers))
			n.indexByID[m.Server] = at
			n.servers = append(n.servers, server{readyIndex: -1})
		}
		n.servers[at].Member = *m
	}
	for i := range n.servers {
		s := &n.servers[i]
		if in := s.Mode == policy.ModeReady; in && s.readyIndex < 0 {
			s.readyIndex = int32(len(n.ready))
			n.ready = append(n.ready, int32(i))
			n.addToBucket(int32(i))
		} else if !in && s.readyIndex >= 0 {
			n.removeFromBucket(int32(i))
			last := n.ready[len(n.ready)-1]
			n.ready[s.readyIndex], n.servers[last].readyIndex = last, s.readyIndex
			n.ready, s.readyIndex = n.ready[:len(n.ready)-1], -1
		}
	}
}

// addToBucket and leave keep readyByInFlight.
func (n *node) addToBucket(at int32) {
	s := &n.servers[at]
	for len(n.readyByInFlight) <= s.inFlight {
		n.readyByInFlight = append(n.readyByInFlight, nil)
	}
	s.bucketIndex = int32(len(n.readyByInFlight[s.inFlight]))
	n.readyByInFlight[s.inFlight] = append(n.readyByInFlight[s.inFlight], at)
}

func (n *node) removeFromBucket(at int32) {
	s := &n.servers[at]
	b := n.readyByInFlight[s.inFlight]
	last := b[len(b)-1]
	b[s.bucketIndex], n.servers[last].bucketIndex = last, s.bucketIndex
	n.readyByInFlight[s.inFlight] = b[:len(b)-1]
}

func (n *node) changeInFlight(at int32, d int) {
	s := &n.servers[at]
	if s.readyIndex >= 0 {
		n.removeFromBucket(at)
	}
	s.inFlight += d
	if s.readyIndex >= 0 {
		n.addToBucket(at)
	}
}

// maySendTo says whether r may go to the server: by its effect, and not where it was before.
func (n *node) maySendTo(r *request, at int32) bool {
	s := &n.servers[at]
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == at {
			return false
		}
		if !a.mayRun || r.class.Semantics != policy.Deduplicated {
			continue
		}
		was := &n.servers[a.server]
		if r.class.DedupScope == policy.DedupPerZone && was.Zone != s.Zone || r.class.DedupScope == policy.DedupPerCell && was.Cell != s.Cell {
			return false
		}
	}
	return true
}

// mayAttempt says whether r may have a further attempt at all.
func (n *node) mayAttempt(r *request) bool {
	if len(r.attempts) >= n.settings.Limits.MaxAttempts || n.now >= r.deadline || r.inFlight > 0 {
		return false
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayRun && (r.class.Semantics == policy.NonIdempotent ||
			r.class.Semantics == policy.Deduplicated && n.now-a.sentAt >= r.class.DedupWindow*7/8) {
			return false
		}
	}
	return true
}

func (n *node) send(r *request) {
	r.attemptTimeout = 0
	if !n.mayAttempt(r) {
		n.rejectOrFail(r)
		return
	}
	at := int32(-1)
	if len(n.ready) > 0 {
		at = n.pick(n, r)
	}
	if at < 0 {
		n.rejectOrFail(r)
		return
	}
	r.attempts = append(r.attempts, attempt{server: at, sentAt: n.now, inFlight: true, mayRun: true})
	r.inFlight++
	n.changeInFlight(at, 1)
	n.actions = append(n.actions, policy.Action{Kind: policy.SendAttempt, ID: r.id, Server: n.servers[at].Server, After: r.attemptTimeout})
}

func (n *node) onAttemptEnded(ev *policy.Event) {
	r := n.open[ev.ID]
	if r == nil || int(ev.Attempt) >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.inFlight = false
	r.inFlight--
	n.changeInFlight(a.server, -1)
	switch ev.Outcome {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent:
		a.mayRun = false
	}
	if ev.Final {
		r.ended = true
	}
	if !r.ended {
		n.send(r)
	}
	n.forgetIfDone(r)
}

func (n *node) rejectOrFail(r *request) {
	if r.ended || r.inFlight > 0 {
		return
	}
	kind := policy.RejectRequest
	for i := range r.attempts {
		if r.attempts[i].mayRun && (r.class.Semantics == policy.NonIdempotent ||
			r.class.Semantics == policy.Deduplicated && r.class.DedupScope != policy.DedupEverywhere) {
			kind = policy.FailRequest
		}
	}
	n.actions = append(n.actions, policy.Action{Kind: kind, ID: r.id})
	r.ended = true
	n.forgetIfDone(r)
}

func (n *node) forgetIfDone(r *request) {
	if r.ended && r.inFlight == 0 {
		delete(n.open, r.id)
	}
}

// The policies. Each looks at a bounded number of servers, then at all in turn for one that r may use.

// Of the truth.
const (
	oracleCandidates = 48    // servers looked at; in a larger fleet, as many at random
	crossZoneCost    = 15e3  // microseconds of gain that a crossing of zones must bring
	crowdingCost     = 150e3 // what a request more for each core costs those that are there, in microseconds
	timeoutFactor    = 8     // times the expected that an attempt is given before another is made
	timeoutSlack     = 500_000
)
