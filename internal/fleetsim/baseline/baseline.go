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
	Random     = "random"      // any server
	RoundRobin = "round-robin" // each in turn
	TwoChoices = "two-choices" // of two at random the one with fewer of this proxy's attempts (Mitzenmacher, 1996)
	Least      = "least"       // the one with the fewest of this proxy's attempts
	Truth      = "truth"       // the one that truly would be done first, by what no proxy can see
)

// Maker is the maker of a policy's nodes; nil: there is none of that name.
func Maker(name string) model.Maker {
	var pick func(*node, *request) int32
	switch name {
	case Random:
		pick = (*node).random
	case RoundRobin:
		pick = (*node).next
	case TwoChoices:
		pick = (*node).better
	case Least:
		pick = (*node).least
	case Truth:
		pick = (*node).best
	default:
		return nil
	}
	return func(set policy.Settings, seed uint64, truth *model.Truth) (model.Node, error) {
		n := &node{set: set, rng: rand.New(rand.NewPCG(seed, 11)), pick: pick, places: map[uint32]int32{}, open: map[uint64]*request{},
			shares: make([]float64, len(set.Tenants))}
		if name == Truth {
			n.truth = truth
		}
		for _, c := range set.Classes {
			n.mostWorth = max(n.mostWorth, c.Value)
		}
		return n, nil
	}
}

type server struct {
	policy.Member
	out    int
	ready  int32 // place in node.ready; -1: not there
	bucket int32 // place among those with as many out
}

type attempt struct {
	place  int32
	sent   Time
	out    bool
	mayRun bool
}

type request struct {
	id       uint64
	class    *policy.Class
	work     Time
	arrived  Time
	deadline Time
	attempts []attempt
	out      int
	over     bool
	worth    float64 // of a unit of its work
	limit    Time    // of the next attempt; 0: as long as the client waits
}

type node struct {
	set     policy.Settings
	rng     *rand.Rand
	truth   *model.Truth
	pick    func(*node, *request) int32
	now     Time
	out     []policy.Action
	servers []server
	places  map[uint32]int32
	ready   []int32
	byOut   [][]int32 // places of ready servers by attempts out
	turn    int
	open    map[uint64]*request
	begun   bool

	mostWorth float64
	shares    []float64 // tokens of each tenant's share
	sharesAt  Time
}

// worth is what a unit of a request's work is worth: little beyond its tenant's share.
func (n *node) worth(ev *policy.Event) float64 {
	dt := float64(n.now-n.sharesAt) / 1e6
	n.sharesAt = n.now
	for i, t := range n.set.Tenants {
		rate := t.QuotaPerS / float64(max(1, n.set.GroupSize))
		n.shares[i] = min(max(1, rate), n.shares[i]+rate*dt)
	}
	worth := n.set.Classes[ev.Class].Value
	if int(ev.Tenant) < len(n.shares) {
		if n.shares[ev.Tenant] < 1 {
			return worth * n.set.OverQuotaValue
		}
		n.shares[ev.Tenant]--
	}
	return worth
}

// Handle is model.Node's.
func (n *node) Handle(now Time, ev *policy.Event, out []policy.Action) []policy.Action {
	n.now, n.out = now, out
	if !n.begun {
		n.begun = true
		n.ask(n.set.Rules.SubscribeWithin / 4)
	}
	switch ev.Kind {
	case policy.RequestArrived:
		r := &request{id: ev.ID, class: &n.set.Classes[ev.Class], work: max(1, ev.Work), arrived: now, deadline: now + ev.ClientTimeout, worth: n.worth(ev)}
		n.open[ev.ID] = r
		n.send(r)
	case policy.AttemptEnded:
		n.ended(ev)
	case policy.RequestAbandoned:
		if r := n.open[ev.ID]; r != nil {
			r.over = true
			n.forget(r)
		}
	case policy.TimerFired:
		n.out = append(n.out, policy.Action{Kind: policy.SubscribeDiscovery})
	case policy.DiscoveryFailed:
		n.ask(n.set.Rules.SubscribeWithin / 2)
	case policy.MembershipFull, policy.MembershipCached, policy.MembershipDelta:
		n.listed(ev)
	}
	out, n.out = n.out, nil
	return out
}

// ask plans a call to discovery at a random moment within the given time, so that proxies don't call together.
func (n *node) ask(within Time) {
	n.out = append(n.out, policy.Action{Kind: policy.SetTimer, After: 1 + Time(n.rng.Float64()*float64(within))})
}

func (n *node) listed(ev *policy.Event) {
	if ev.Kind != policy.MembershipDelta {
		for i := range n.servers {
			n.servers[i].Mode = policy.ModeGone
		}
	}
	for i := range ev.Members {
		m := &ev.Members[i]
		at, ok := n.places[m.Server]
		if !ok {
			at = int32(len(n.servers))
			n.places[m.Server] = at
			n.servers = append(n.servers, server{ready: -1})
		}
		n.servers[at].Member = *m
	}
	for i := range n.servers {
		s := &n.servers[i]
		if in := s.Mode == policy.ModeReady; in && s.ready < 0 {
			s.ready = int32(len(n.ready))
			n.ready = append(n.ready, int32(i))
			n.enter(int32(i))
		} else if !in && s.ready >= 0 {
			n.leave(int32(i))
			last := n.ready[len(n.ready)-1]
			n.ready[s.ready], n.servers[last].ready = last, s.ready
			n.ready, s.ready = n.ready[:len(n.ready)-1], -1
		}
	}
}

// enter and leave keep byOut.
func (n *node) enter(at int32) {
	s := &n.servers[at]
	for len(n.byOut) <= s.out {
		n.byOut = append(n.byOut, nil)
	}
	s.bucket = int32(len(n.byOut[s.out]))
	n.byOut[s.out] = append(n.byOut[s.out], at)
}

func (n *node) leave(at int32) {
	s := &n.servers[at]
	b := n.byOut[s.out]
	last := b[len(b)-1]
	b[s.bucket], n.servers[last].bucket = last, s.bucket
	n.byOut[s.out] = b[:len(b)-1]
}

func (n *node) count(at int32, d int) {
	s := &n.servers[at]
	if s.ready >= 0 {
		n.leave(at)
	}
	s.out += d
	if s.ready >= 0 {
		n.enter(at)
	}
}

// permits says whether r may go to the server: by its effect, and not where it was before.
func (n *node) permits(r *request, at int32) bool {
	s := &n.servers[at]
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.place == at {
			return false
		}
		if !a.mayRun || r.class.Semantics != policy.Deduplicated {
			continue
		}
		was := &n.servers[a.place]
		if r.class.DedupScope == policy.DedupPerZone && was.Zone != s.Zone || r.class.DedupScope == policy.DedupPerCell && was.Cell != s.Cell {
			return false
		}
	}
	return true
}

// another says whether r may have a further attempt at all.
func (n *node) another(r *request) bool {
	if len(r.attempts) >= n.set.Limits.MaxAttempts || n.now >= r.deadline || r.out > 0 {
		return false
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayRun && (r.class.Semantics == policy.NonIdempotent ||
			r.class.Semantics == policy.Deduplicated && n.now-a.sent >= r.class.DedupWindow*7/8) {
			return false
		}
	}
	return true
}

func (n *node) send(r *request) {
	r.limit = 0
	if !n.another(r) {
		n.settle(r)
		return
	}
	at := int32(-1)
	if len(n.ready) > 0 {
		at = n.pick(n, r)
	}
	if at < 0 {
		n.settle(r)
		return
	}
	r.attempts = append(r.attempts, attempt{place: at, sent: n.now, out: true, mayRun: true})
	r.out++
	n.count(at, 1)
	n.out = append(n.out, policy.Action{Kind: policy.SendAttempt, ID: r.id, Server: n.servers[at].Server, After: r.limit})
}

func (n *node) ended(ev *policy.Event) {
	r := n.open[ev.ID]
	if r == nil || int(ev.Attempt) >= len(r.attempts) || !r.attempts[ev.Attempt].out {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.out = false
	r.out--
	n.count(a.place, -1)
	switch ev.Outcome {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent:
		a.mayRun = false
	}
	if ev.Final {
		r.over = true
	}
	if !r.over {
		n.send(r)
	}
	n.forget(r)
}

func (n *node) settle(r *request) {
	if r.over || r.out > 0 {
		return
	}
	kind := policy.RejectRequest
	for i := range r.attempts {
		if r.attempts[i].mayRun && (r.class.Semantics == policy.NonIdempotent ||
			r.class.Semantics == policy.Deduplicated && r.class.DedupScope != policy.DedupEverywhere) {
			kind = policy.FailRequest
		}
	}
	n.out = append(n.out, policy.Action{Kind: kind, ID: r.id})
	r.over = true
	n.forget(r)
}

func (n *node) forget(r *request) {
	if r.over && r.out == 0 {
		delete(n.open, r.id)
	}
}

// The policies. Each looks at a bounded number of servers, then at all in turn for one that r may use.

// Of the truth.
const (
	truthLooks = 48    // servers looked at; in a larger fleet, as many at random
	crossCost  = 15e3  // microseconds of gain that a crossing of zones must bring
	crowdCost  = 150e3 // what a request more for each core costs those that are there, in microseconds
	patience   = 8     // times the expected that an attempt is given before another is made
	spare      = 500_000
)
