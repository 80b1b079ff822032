package simulation

import (
	"time"

	"pumiceline/internal/message"
)

// Delays and losses of messages. Each ...OneIn constant says that one in so many messages is lost, or delayed by up to
// the spread.
const (
	minDelay    = 500 * time.Microsecond
	delaySpread = 2 * time.Millisecond
	localDelay  = 10 * time.Microsecond // of a message to the sender itself

	lostOneIn = 200 // models broken connections

	queuedOneIn = 100
	// queuedRequestOneIn applies to clients' requests in addition to queuedOneIn: a request is queued at a busy relay,
	// and its repetition overtakes it.
	queuedRequestOneIn = 6
	queuedSpread       = 400 * time.Millisecond

	// A stale message arrives up to staleSpread late, possibly at a process that was started after it was sent.
	staleOneIn  = 1500
	staleSpread = 5 * time.Second
)

// link is a direction between two machines, by their indexes.
type link struct{ from, to int }

// network holds which links are blocked and which kinds of messages are lost.
type network struct {
	blocked   map[link]int        // number of partitions that block the link
	lostKinds map[messageKind]int // number of faults that lose the kind
}

func newNetwork() network {
	return network{blocked: map[link]int{}, lostKinds: map[messageKind]int{}}
}

// messageKind is a kind of messages that a MessageKindLoss may lose.
type messageKind int

// The kinds that may be lost.
const (
	prepareKind messageKind = iota
	acceptKind
	announcementKind
	heartbeatKind
	committedKind
	joinKind
	leaseGrantKind
	confirmKind
	messageKindCount // also stands for all other kinds, which MessageKindLoss never loses
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
	return messageKindCount
}

// send sends a message to the machine with its address. The message may be lost or delayed.
func (n *node) send(m message.Message) {
	c := n.cluster
	if m.LeaseGrant != nil && m.LeaseGrant.Granted {
		n.lastGrant = grant{holder: m.To, token: m.LeaseGrant.Token}
	}
	if m.ConfigResponse != nil && m.ToAddress == n.address {
		c.deliverResponse(n, m.ConfigResponse)
		return
	}
	if m.ToAddress == n.address {
		n.receiveAfter(m, localDelay)
		return
	}
	target := c.nodeAt(m.ToAddress)
	if target == nil || c.network.blocked[link{n.index, target.index}] > 0 || c.network.lostKinds[kindOf(&m)] > 0 {
		return
	}
	delay := minDelay + c.randomDuration(delaySpread)
	switch {
	case c.random.IntN(lostOneIn) == 0:
		return
	case m.ConfigRequest != nil && c.random.IntN(queuedRequestOneIn) == 0, c.random.IntN(queuedOneIn) == 0:
		delay += c.randomDuration(queuedSpread)
	case c.random.IntN(staleOneIn) == 0:
		delay += c.randomDuration(staleSpread)
	}
	target.receiveAfter(m, delay)
}

func (n *node) receiveAfter(m message.Message, delay time.Duration) {
	n.cluster.after(delay, func() { n.receive(m) })
}

// nodeAt returns the machine with an address, nil where no machine of the run has had it.
func (c *Cluster) nodeAt(address string) *node {
	for _, n := range c.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// partition blocks the links between each machine of a and each of b, both ways.
func (c *Cluster) partition(a, b []*node, duration time.Duration) {
	c.partitionOneWay(a, b, duration)
	c.partitionOneWay(b, a, duration)
}

// partitionOneWay blocks the links from each machine of senders to each of receivers.
func (c *Cluster) partitionOneWay(senders, receivers []*node, duration time.Duration) {
	var links []link
	for _, sender := range senders {
		for _, receiver := range receivers {
			if sender != receiver {
				links = append(links, link{sender.index, receiver.index})
			}
		}
	}
	for _, l := range links {
		c.network.blocked[l]++
	}
	c.after(duration, func() {
		for _, l := range links {
			c.network.blocked[l]--
		}
	})
}
