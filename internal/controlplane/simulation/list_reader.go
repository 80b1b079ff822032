package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

// The simulated platform's list of backends is represented by the time at which it was read. Coordinators read it, and
// pass it on to each other and to proxies, by the rules of the production code: the same budget and the same order of
// standbys. The draws for the list come from a generator of their own.
const (
	// drainBound is the time after which no request may go to a backend that the list shows as draining.
	drainBound   = 4 * time.Second
	listTick     = 100 * time.Millisecond
	listStream   = 0x6c697374 // stream of the generator
	minReadTime  = 10 * time.Millisecond
	readSpread   = 300 * time.Millisecond
	unreadList   = -1 * time.Second // observedAt of a coordinator or proxy that has no list
	minCutGap    = 2 * time.Second  // between two cuts of a machine from the platform
	cutGapSpread = 6 * time.Second
	minCutTime   = time.Second
	cutSpread    = 11 * time.Second
)

// lists is the state of the platform's list in a run.
type lists struct {
	cluster *Cluster
	random  *rand.Rand
	budget  discovery.Budget
	cutOff  int // slot of the machine that is cut off from the platform; -1: none
	proxies []*listProxy

	unsettledUntil time.Duration // ages are not checked before
}

func newLists(c *Cluster) *lists {
	l := &lists{
		cluster: c, random: rand.New(rand.NewPCG(c.options.Seed, listStream)), budget: discovery.NewBudget(drainBound), cutOff: -1,
		unsettledUntil: settledTime,
	}
	for i := range proxyCount {
		l.proxies = append(l.proxies, newListProxy(l, i))
	}
	if c.options.Members > 1 { // a cut of the only machine is one of the platform itself, which no rule covers
		c.after(l.below(cutGapSpread), l.cut)
	}
	c.after(listTick, l.tick)
	return l
}

func (l *lists) below(limit time.Duration) time.Duration {
	return time.Duration(l.random.Int64N(int64(limit)))
}

// cut cuts one machine off from the platform for a time: the lease holder, or any.
func (l *lists) cut() {
	l.cutOff = l.random.IntN(len(l.cluster.slots))
	for slot, n := range l.cluster.slots {
		if n.holdsLease() && l.random.IntN(2) == 0 {
			l.cutOff = slot
		}
	}
	l.cluster.after(minCutTime+l.below(cutSpread), func() {
		l.cutOff = -1
		l.cluster.after(minCutGap+l.below(cutGapSpread), l.cut)
	})
}

// tick lets each coordinator read the platform or pull a list from another one, and checks the proxies' lists.
func (l *lists) tick() {
	for _, n := range l.cluster.slots {
		if n.replica != nil && !n.frozen && n.replica.IsMember() {
			l.updateList(n)
		}
	}
	l.checkAges()
	l.cluster.after(listTick, l.tick)
}

// updateList does what a member's controller and subscribers do with a tick.
func (l *lists) updateList(n *node) {
	now := l.cluster.now
	age := now - n.list.observedAt
	holder, _ := n.replica.LeaseHolderAddress()
	order := lo.Without(lo.Map(n.replica.View().Members, func(m message.Member, _ int) string { return m.Address }), holder)
	standbyAge := l.budget.StandbyAge(max(0, lo.IndexOf(order, n.address)), l.cluster.options.Tolerance)
	if n.holdsLease() || n.list.observedAt == unreadList || age >= standbyAge {
		l.read(n)
	}
	if holder != n.address {
		l.pull(n, holder)
	}
	if age < l.budget.StandbyAge(0, 0) || l.cluster.options.Defect == KeepOldList {
		return
	}
	if peers := lo.Without(order, n.address); len(peers) > 0 {
		n.list.peer++
		l.pull(n, peers[n.list.peer%len(peers)])
	}
}

// read starts a read of the platform's list, unless one runs or was started shortly before.
func (l *lists) read(n *node) {
	c, began, generation := l.cluster, l.cluster.now, n.generation
	if began < n.list.nextRead {
		return
	}
	n.list.nextRead = began + l.budget.ReadInterval
	if c.slots[n.slot] == n && l.cutOff == n.slot {
		return // the read times out
	}
	c.after(minReadTime+l.below(readSpread), func() {
		if n.generation == generation && !n.frozen {
			n.list.observedAt = max(n.list.observedAt, began)
		}
	})
}

// pull takes a newer list from a coordinator that answers.
func (l *lists) pull(n *node, address string) {
	c := l.cluster
	source := c.nodeAt(address)
	if source == nil || c.network.blocked[link{n.index, source.index}] > 0 || c.network.blocked[link{source.index, n.index}] > 0 {
		return
	}
	if source.suppliesList() {
		n.list.observedAt = max(n.list.observedAt, source.list.observedAt)
	}
}

// listState is a coordinator's list of backends.
type listState struct {
	observedAt time.Duration // when it was read from the platform; unreadList: never
	nextRead   time.Duration // before this the process starts no read
	peer       int           // counts polls of peers
}

func (n *node) holdsLease() bool {
	if n.replica == nil {
		return false
	}
	_, holds := n.replica.Lease(n.clock())
	return holds
}

// suppliesList reports whether the process answers polls with a list. It does so also while it does not serve proxies.
func (n *node) suppliesList() bool {
	return n.replica != nil && !n.frozen && n.list.observedAt != unreadList
}
