package simulation

import (
	"time"

	"pumiceline/internal/message"
)

// Delays and losses of messages.
const (
	leastDelay   = 500 * time.Microsecond
	usualSpread  = 2 * time.Millisecond
	heldUpSpread = 400 * time.Millisecond
	lateSpread   = 5 * time.Second
	localDelay   = 10 * time.Microsecond
	lostOneIn    = 200
	heldUpOneIn  = 100
	lateOneIn    = 1500 // comes seconds late, perhaps to a process that was started meanwhile
	busyOneIn    = 6    // of operators' calls: held up at a busy relay, so that its next copy is there first
)

// network knows which ways are cut and which kind of message is lost.
type network struct {
	cut  map[[2]int]int // from, to: how many cuts lie on the way
	lost map[messageKind]int
}

func newNetwork() network { return network{cut: map[[2]int]int{}, lost: map[messageKind]int{}} }

// messageKind names the kinds of messages of which all may be lost for a time.
type messageKind int

const (
	prepareKind messageKind = iota
	acceptKind
	announcementKind
	heartbeatKind
	committedKind
	joinKind
	leaseGrantKind
	confirmKind
	messageKinds
)

func kindOf(m *message.Message) messageKind {
	switch {
	case m.Prepare != nil:
		return prepareKind
	case m.Accept != nil:
		return acceptKind
	case m.ViewAnnouncement != nil:
		return announcementKind
	case m.Heartbeat != nil:
		return heartbeatKind
	case m.Committed != nil:
		return committedKind
	case m.JoinRequest != nil:
		return joinKind
	case m.LeaseGrant != nil:
		return leaseGrantKind
	case m.ConfirmRequest != nil:
		return confirmKind
	}
	return messageKinds
}

func (n *node) send(m message.Message) {
	c := n.cluster
	if m.LeaseGrant != nil && m.LeaseGrant.Granted {
		n.lastGrant = grantHold{holder: m.To, token: m.LeaseGrant.Token}
	}
	if m.ConfigResponse != nil && m.ToAddress == n.address {
		c.deliverResult(n, m.ConfigResponse)
		return
	}
	if m.ToAddress == n.address {
		n.receiveSoon(m, localDelay)
		return
	}
	target := c.nodeAt(m.ToAddress)
	if target == nil || c.network.cut[[2]int{n.index, target.index}] > 0 || c.network.lost[kindOf(&m)] > 0 {
		return
	}
	delay := leastDelay + c.spread(usualSpread)
	switch {
	case c.random.IntN(lostOneIn) == 0:
		return // lost with its connection
	case m.ConfigRequest != nil && c.random.IntN(busyOneIn) == 0, c.random.IntN(heldUpOneIn) == 0:
		delay += c.spread(heldUpSpread)
	case c.random.IntN(lateOneIn) == 0:
		delay += c.spread(lateSpread)
	}
	target.receiveSoon(m, delay)
}

func (n *node) receiveSoon(m message.Message, delay time.Duration) {
	n.cluster.after(delay, func() { n.receive(m) })
}

func (c *Cluster) nodeAt(address string) *node {
	for _, n := range c.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// cutWays cuts the ways from each node of a to each of b for a span.
func (c *Cluster) cutWays(a, b []*node, span time.Duration) {
	var ways [][2]int
	for _, from := range a {
		for _, to := range b {
			if from != to {
				ways = append(ways, [2]int{from.index, to.index})
			}
		}
	}
	for _, way := range ways {
		c.network.cut[way]++
	}
	c.after(span, func() {
		for _, way := range ways {
			c.network.cut[way]--
		}
	})
}

func (c *Cluster) cutBothWays(a, b []*node, span time.Duration) {
	c.cutWays(a, b, span)
	c.cutWays(b, a, span)
}
