package simulation

import "time"

const (
	// restartTime is the downtime of a process that is restarted at once.
	restartTime = 50 * time.Millisecond
	// shutdownGrace is the longest time from the request to stop until the process ends.
	shutdownGrace = 3500 * time.Millisecond
	// plannedOverlap is the time from the start of a planned successor until the old machine is asked to stop.
	plannedOverlap = time.Second
)

// diskFate says whether a machine that restarts loses its disk.
type diskFate bool

const (
	keepDisk diskFate = false
	loseDisk diskFate = true
)

// restart stops a machine and starts it after the downtime, unless it has been replaced meanwhile.
func (c *Cluster) restart(n *node, downtime time.Duration, disk diskFate) {
	if n.replica == nil {
		return
	}
	n.stop()
	n.countLost(c.now + downtime)
	if disk == loseDisk || c.hasNoDisks() {
		n.loseDisk()
		n.countDiskLost(c.now + downtime)
	}
	generation := n.generation
	c.after(downtime, func() {
		if n.generation == generation && c.slots[n.slot] == n {
			n.start(laterStart)
		}
	})
}

// replace stops a machine permanently. After a delay another one starts in its slot, at another address and with an
// empty disk.
func (c *Cluster) replace(n *node, delay time.Duration) {
	if n.replica != nil {
		n.stop()
	}
	successor := c.addSuccessor(n, delay)
	c.slots[n.slot] = successor
	n.generation++
	c.after(delay, func() {
		if c.slots[n.slot] == successor { // otherwise the successor was replaced before it started
			successor.start(laterStart)
		}
	})
}

// replaceGracefully starts the successor first and then asks the old machine to stop.
func (c *Cluster) replaceGracefully(n *node) {
	if n.replica == nil {
		return
	}
	successor := c.addSuccessor(n, shutdownGrace)
	successor.start(laterStart)
	c.slots[n.slot] = successor
	c.after(plannedOverlap, func() {
		c.shutDownGracefully(n, func() {
			if n.replica != nil {
				n.stop()
			}
		})
	})
}

// addSuccessor makes the machine that replaces another one in its slot. The slot's disk counts as lost until resyncTime
// after the delay, so that the successor has time to take over the state.
func (c *Cluster) addSuccessor(n *node, delay time.Duration) *node {
	successor := c.addNode(n.slot)
	successor.diskLostAt = c.now
	successor.countDiskLost(c.now + delay)
	return successor
}

// shutDownGracefully asks a machine to stop and calls onDone when it may stop or shutdownGrace is over.
func (c *Cluster) shutDownGracefully(n *node, onDone func()) {
	if n.replica == nil {
		return
	}
	n.replica.SetLeaving()
	generation, deadline := n.generation, c.now+shutdownGrace
	n.countLost(deadline)
	var check func()
	check = func() {
		if n.generation != generation {
			return
		}
		if n.replica.CanStop() && !n.frozen || c.now >= deadline {
			onDone()
			return
		}
		c.after(tickInterval, check)
	}
	check()
}

func (c *Cluster) freeze(n *node, duration time.Duration) {
	n.frozen = true
	generation := n.generation
	c.after(duration, func() { n.resume(generation) })
}

// resume ends a freeze. The process receives the messages that arrived meanwhile.
func (n *node) resume(generation int) {
	if generation != n.generation || n.replica == nil || !n.frozen {
		return
	}
	n.frozen = false
	received := n.receivedWhileFrozen
	n.receivedWhileFrozen = nil
	for _, m := range received {
		if n.generation == generation {
			n.receive(m)
		}
	}
}
