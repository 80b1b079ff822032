package simulation

import (
	"fmt"
	"time"
)

const (
	pollInterval = 400 * time.Millisecond
	// proxyStartDelay is the shortest delay of a proxy's first poll.
	proxyStartDelay = time.Second
	// proxyMoveOneIn says that the proxy moves to a random coordinator at one in so many polls.
	proxyMoveOneIn = 40
	// maxStaleness bounds the age of a served configuration: its version is at least the newest one that had been
	// acknowledged this long before.
	maxStaleness = 2 * time.Second
)

// proxy polls the configuration from one coordinator, and moves to the next one if that does not serve. Partitions
// separate coordinators only, so a proxy reaches all of them.
type proxy struct {
	cluster *Cluster
	slot    int // of the polled coordinator
}

func newProxy(c *Cluster, index int) *proxy {
	p := &proxy{cluster: c, slot: index}
	c.after(proxyStartDelay+c.randomDuration(pollInterval), p.poll)
	return p
}

// poll polls the coordinator and checks RuleStaleness.
func (p *proxy) poll() {
	c := p.cluster
	c.after(pollInterval, p.poll)
	if c.random.IntN(proxyMoveOneIn) == 0 {
		p.slot = c.random.IntN(len(c.slots))
	}
	n := c.slots[p.slot%len(c.slots)]
	if n.replica == nil || n.frozen || !n.servesProxies() {
		p.slot = (p.slot + 1) % len(c.slots)
		return
	}
	served := n.replica.CommittedState()
	if served.Sequence == 0 {
		return // no change has been committed
	}
	if bound := c.history.newestAt(c.now - maxStaleness); served.Version < bound {
		c.report(RuleStaleness,
			fmt.Sprintf("node %d hands out version %d, %d was acknowledged long before", n.index, served.Version, bound))
	}
}

// servesProxies reports whether the coordinator serves proxies now.
func (n *node) servesProxies() bool {
	if n.cluster.options.Defect == ServeWithoutMajority {
		return n.replica.IsMember()
	}
	return n.replica.ServingUntil() > n.clock()
}
