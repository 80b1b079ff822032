package simulation

import (
	"fmt"
	"time"
)

const (
	failoverPause = 80 * time.Millisecond
	// unavailablePause is how long a coordinator that does not serve delays its answer.
	unavailablePause = 200 * time.Millisecond
	// settledTime is how long no more machines than the tolerance must have been lost before ages are checked.
	settledTime = 8 * time.Second
)

// listProxy polls coordinators for the list of backends, as a proxy does. Partitions separate coordinators only, so it
// reaches all of them. It does not read the platform itself: in a large deployment a proxy may do so too seldom.
type listProxy struct {
	lists      *lists
	slot       int // of the polled coordinator
	observedAt time.Duration
}

func newListProxy(l *lists, slot int) *listProxy {
	p := &listProxy{lists: l, slot: slot, observedAt: unreadList}
	l.cluster.after(listTick, p.poll)
	return p
}

// poll makes one long poll. The next one follows when it has ended.
func (p *listProxy) poll() {
	c := p.lists.cluster
	wait, timeout := p.lists.budget.PollTimes(c.now - p.observedAt)
	n := c.slots[p.slot%len(c.slots)]
	switch {
	case n.replica == nil || n.frozen:
		p.failOver(timeout)
		return
	case !n.servesProxies():
		if n.suppliesList() {
			p.observedAt = max(p.observedAt, n.list.observedAt)
		}
		p.failOver(unavailablePause)
		return
	}
	p.await(n, c.now+wait)
}

// await ends the poll once the coordinator has a newer list, or at a time.
func (p *listProxy) await(n *node, until time.Duration) {
	c := p.lists.cluster
	if n.suppliesList() && n.list.observedAt > p.observedAt {
		p.observedAt = n.list.observedAt
	} else if c.now < until {
		c.after(tickInterval, func() { p.await(n, until) })
		return
	}
	if p.isStale() && c.options.Defect != KeepOldList {
		p.failOver(0)
		return
	}
	c.after(tickInterval, p.poll)
}

func (p *listProxy) failOver(after time.Duration) {
	p.slot++
	p.lists.cluster.after(after+failoverPause, p.poll)
}

func (p *listProxy) isStale() bool {
	return p.observedAt != unreadList && p.lists.cluster.now-p.observedAt >= p.lists.budget.FailoverAge
}

// checkAges checks RuleDrain: while no more machines than the tolerance are lost, and have been for a while, no proxy uses
// a list older than drainBound.
func (l *lists) checkAges() {
	c := l.cluster
	if c.options.BeyondTolerance || len(c.slotsLost()) > c.options.Tolerance {
		l.unsettledUntil = c.now + settledTime
	}
	if c.now < l.unsettledUntil {
		return
	}
	for _, p := range l.proxies {
		if age := c.now - p.observedAt; p.observedAt != unreadList && age > drainBound {
			c.report(RuleDrain, fmt.Sprintf("a proxy's list of backends is %v old", age))
			p.observedAt = c.now // reported once
		}
	}
}
