package coordinationsim

import (
	"time"

	"pumiceline/internal/message"
)

// Delays and losses of messages. Each ...OneIn constant says that one in so many messages is lost, repeated or delayed.
const (
	minDelay    = 500 * time.Microsecond
	delaySpread = 1500 * time.Microsecond
	localDelay  = 10 * time.Microsecond // of a message to the sender itself

	lostOneIn      = 300 // models broken connections
	duplicateOneIn = 500 // except calls and responses: each sending by a relay arrives at most once
	queuedOneIn    = 150
	queuedSpread   = 400 * time.Millisecond
	staleOneIn     = 2000
	staleSpread    = 5 * time.Second
)

// link is a direction between two machines, by their indexes.
type link struct{ from, to int }

// network holds which links are cut or slow.
type network struct {
	cuts      map[link]int           // number of faults that cut the link
	held      map[link]time.Duration // the link holds up messages until then and delivers them late
	slowUntil map[link]time.Duration
	slowDelay time.Duration // the longest additional delay of the slow links
}

func newNetwork() network {
	return network{cuts: map[link]int{}, held: map[link]time.Duration{}, slowUntil: map[link]time.Duration{}}
}

// sendAll sends messages in order.
func (n *node) sendAll(messages []message.Message) {
	for i := range messages {
		n.send(messages[i])
	}
}

// send sends a message to the machine with its address. The message may be lost, delayed or duplicated.
func (n *node) send(m message.Message) {
	c := n.cluster
	m.FromAddress = n.address
	if m.ToAddress == n.address || m.ToAddress == "" && m.To == n.identity {
		n.receiveAfter(m, localDelay)
		return
	}
	target := c.nodeAt(m.ToAddress)
	if target == nil {
		return
	}
	delay, arrives := c.transit(link{n.index, target.index})
	if !arrives {
		return
	}
	m = detached(m)
	target.receiveAfter(m, delay)
	if m.CallRequest == nil && m.CallResponse == nil && c.random.IntN(duplicateOneIn) == 0 {
		target.receiveAfter(m, delay+c.randomDuration(queuedSpread))
	}
}

// transit draws how long a message takes on a link, and whether it arrives.
func (c *Cluster) transit(l link) (delay time.Duration, arrives bool) {
	delay = minDelay + c.randomDuration(delaySpread)
	if c.network.cuts[l] > 0 {
		heldUntil := c.network.held[l]
		return heldUntil - c.now + delay, heldUntil > c.now
	}
	if c.now < c.network.slowUntil[l] {
		delay += c.randomDuration(c.network.slowDelay)
	}
	switch {
	case c.random.IntN(lostOneIn) == 0:
		return 0, false
	case c.random.IntN(queuedOneIn) == 0:
		delay += c.randomDuration(queuedSpread)
	case c.random.IntN(staleOneIn) == 0:
		delay += c.randomDuration(staleSpread)
	}
	return delay, true
}

// detached returns the message as its receiver decodes it: a state in it shares no memory with the sender's.
func detached(m message.Message) message.Message {
	switch {
	case m.StateWrite != nil && m.StateWrite.State != nil:
		write := *m.StateWrite
		state := copyState(write.State)
		write.State = &state
		m.StateWrite = &write
	case m.StateResponse != nil:
		response := *m.StateResponse
		response.State = copyState(&response.State)
		m.StateResponse = &response
	}
	return m
}

func (n *node) receiveAfter(m message.Message, delay time.Duration) {
	n.cluster.after(delay, func() { n.run(func() { n.receive(m) }) })
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

// cutMode says what happens to messages that are sent while a link is cut.
type cutMode bool

const (
	loseBytes cutMode = false
	holdBytes cutMode = true // they are delivered when the cut ends
)

// cut cuts the links from each machine of senders to each of receivers.
func (c *Cluster) cut(senders, receivers []*node, duration time.Duration, mode cutMode) {
	var links []link
	for _, sender := range senders {
		for _, receiver := range receivers {
			if sender != receiver {
				links = append(links, link{sender.index, receiver.index})
			}
		}
	}
	cuts := c.network.cuts // heal replaces the map; the end of this cut must not change the new one
	for _, l := range links {
		cuts[l]++
		if mode == holdBytes {
			c.network.held[l] = max(c.network.held[l], c.now+duration)
		}
	}
	c.after(duration, func() {
		for _, l := range links {
			cuts[l]--
		}
	})
}

// cutBothWays cuts the links between each machine of a and each of b.
func (c *Cluster) cutBothWays(a, b []*node, duration time.Duration, mode cutMode) {
	c.cut(a, b, duration, mode)
	c.cut(b, a, duration, mode)
}

// slowDown delays what a machine sends and receives.
func (c *Cluster) slowDown(n *node, duration, delay time.Duration) {
	c.network.slowDelay = delay
	for _, other := range c.nodes {
		c.network.slowUntil[link{n.index, other.index}] = c.now + duration
		c.network.slowUntil[link{other.index, n.index}] = c.now + duration
	}
}
