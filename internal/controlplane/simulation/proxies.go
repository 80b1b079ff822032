package simulation

import (
	"fmt"
	"time"
)

// Times of a proxy's pulls.
const (
	pullEvery  = 400 * time.Millisecond
	staleBound = 2 * time.Second // no configuration handed out is older than what was acknowledged so long before
)

// proxy pulls the configuration from one coordinator after the other, as a data plane's process does. All cuts are
// between coordinators, so it reaches each of them.
type proxy struct {
	cluster  *Cluster
	source   int // slot
	sequence uint64
}

func newProxy(c *Cluster, index int) *proxy {
	p := &proxy{cluster: c, source: index}
	c.after(time.Second+c.spread(pullEvery), p.pull)
	return p
}

// pull asks the present source; one that does not serve sends the proxy on to the next. Now and then the proxy is
// started anew at any machine.
func (p *proxy) pull() {
	c := p.cluster
	c.after(pullEvery, p.pull)
	const restartOneIn = 40
	if c.random.IntN(restartOneIn) == 0 {
		p.source, p.sequence = c.random.IntN(len(c.slots)), 0
	}
	n := c.slots[p.source%len(c.slots)]
	if n.replica == nil || n.frozen || !n.servesProxies() {
		p.source = (p.source + 1) % len(c.slots)
		return
	}
	served := n.replica.CommittedState()
	if served.Sequence == 0 {
		return // there is nothing to hand out
	}
	if bound := c.history.newestAt(c.now - staleBound); served.Version < bound {
		c.violate("STALE", fmt.Sprintf("node %d hands out version %d, %d was acknowledged long before", n.index, served.Version, bound))
	}
	p.sequence = max(p.sequence, served.Sequence)
}

// servesProxies reports whether the coordinator hands out configurations now.
func (n *node) servesProxies() bool {
	if n.cluster.options.Defect == ServeWithoutContact {
		return n.replica.IsMember()
	}
	return n.replica.ServingUntil() > n.clock()
}
