package simulation

import "time"

// Times between and of faults.
const (
	faultEvery   = 2500 * time.Millisecond
	faultRecover = 4 * time.Second // after its return a machine still counts as lost for so long
)

// nextFault strikes, and plans the next strike.
func (c *Cluster) nextFault() {
	if c.now >= c.options.Length {
		return
	}
	c.after(300*time.Millisecond+c.spread(faultEvery), c.nextFault)
	if !c.options.Wild && c.now < c.busyUntil {
		return
	}
	c.faults++
	victims := 1
	if c.options.Wild {
		victims = 1 + c.random.IntN(max(1, len(c.nodes)/2))
	} else if c.options.Tolerance > 1 {
		victims = 1 + c.random.IntN(c.options.Tolerance)
	}
	span := 200*time.Millisecond + c.spread(4*time.Second)
	if !c.options.Wild {
		c.busyUntil = c.now + span + faultRecover
	}
	if c.random.IntN(12) == 0 && !c.options.Wild {
		c.powerOffAll()
		return
	}
	for _, index := range c.random.Perm(len(c.nodes))[:victims] {
		c.strike(c.nodes[index], span)
	}
}

// afterAcknowledgement strikes, now and then, in the moment in which something was acknowledged.
func (c *Cluster) afterAcknowledgement(relay *node) {
	if c.now >= c.options.Length || c.random.IntN(strikeAfterAck) > 0 || !c.options.Wild && c.now < c.busyUntil {
		return
	}
	c.faults++
	if c.options.Wild {
		c.strike(relay, time.Second)
		return
	}
	if c.random.IntN(2) == 0 {
		c.powerOffAll()
		return
	}
	c.busyUntil = c.now + time.Second + faultRecover
	c.restart(relay, time.Second, c.random.IntN(2) == 0)
}

// strikeAfterAck is how many acknowledgements there are to one such strike.
const strikeAfterAck = 25

// ackStrikeDelay is how long after an acknowledgement it strikes at the most.
const ackStrikeDelay = 2 * time.Millisecond

// strike does one kind of harm to a machine, for a span.
func (c *Cluster) strike(n *node, span time.Duration) {
	kinds := 6
	if c.options.Wild {
		kinds = 5 // no lost disks
	}
	switch c.random.IntN(kinds) {
	case 0:
		c.restart(n, span, false)
	case 1:
		c.restart(n, 50*time.Millisecond, false)
	case 2:
		n.frozen = true
		life := n.life
		c.after(span, func() { n.thaw(life) })
	case 3:
		n.stalledUntil = max(n.stalledUntil, c.now+span)
	case 4:
		c.isolate(n, span)
	case 5:
		c.restart(n, span, true)
	}
}

func (c *Cluster) restart(n *node, span time.Duration, wipe bool) {
	if n.replica == nil {
		return
	}
	n.stop()
	if wipe {
		n.wipe()
	}
	life := n.life
	c.after(span, func() {
		if n.life == life {
			n.start(false)
		}
	})
}

func (n *node) thaw(life int) {
	if life != n.life || n.replica == nil || !n.frozen {
		return
	}
	n.frozen = false
	queued := n.queued
	n.queued = nil
	for _, m := range queued {
		if n.life == life {
			n.receive(m)
		}
	}
}

func (c *Cluster) isolate(n *node, span time.Duration) {
	for _, other := range c.nodes {
		if other != n {
			c.cut[[2]int{n.index, other.index}] = true
		}
	}
	c.after(span, func() {
		for _, other := range c.nodes {
			delete(c.cut, [2]int{n.index, other.index})
		}
	})
}

// powerOffAll takes every machine down at once; as many as the tolerance allows lose their disks too.
func (c *Cluster) powerOffAll() {
	span := 500*time.Millisecond + c.spread(time.Second)
	c.busyUntil = c.now + span + 2*faultRecover
	wiped := c.random.IntN(c.options.Tolerance + 1)
	order := c.random.Perm(len(c.nodes))
	for i, index := range order {
		c.restart(c.nodes[index], span+c.spread(startSpread), i < wiped)
	}
}

// heal ends all harm.
func (c *Cluster) heal() {
	clear(c.cut)
	for _, n := range c.nodes {
		n.stalledUntil = 0
		if n.frozen {
			n.thaw(n.life)
		}
	}
}
