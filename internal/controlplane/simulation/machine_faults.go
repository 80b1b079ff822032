package simulation

import "time"

const (
	// restartTime is how long a process that is started again at once is down.
	restartTime = 50 * time.Millisecond
	// shutdownGrace is how long after it was asked to stop a process ends at the latest.
	shutdownGrace = 3500 * time.Millisecond
	// plannedOverlap is how long before the old machine is asked to stop its planned successor starts.
	plannedOverlap = time.Second
)

// diskFate says whether a machine that restarts loses its disk.
type diskFate bool

const (
	keepDisk diskFate = false
	loseDisk diskFate = true
)

// restart stops a machine and starts it again after a time, unless it has been replaced meanwhile.
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

// replace stops a machine for good. After a delay another one starts in its slot, at another address and with an empty disk.
func (c *Cluster) replace(n *node, delay time.Duration) {
	if n.replica != nil {
		n.stop()
	}
	successor := c.addSuccessor(n, delay)
	c.slots[n.slot] = successor
	n.generation++
	c.after(delay, func() {
		if c.slots[n.slot] == successor { // else it was replaced before it started
			successor.start(laterStart)
		}
	})
}

// replaceGracefully starts the successor first, and then asks the machine to stop.
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

// addSuccessor makes the machine that replaces another in its slot. The slot's disk counts as lost until the successor has
// had resyncTime, after the delay, to take over the state.
func (c *Cluster) addSuccessor(n *node, delay time.Duration) *node {
	successor := c.addNode(n.slot)
	successor.diskLostAt = c.now
	successor.countDiskLost(c.now + delay)
	return successor
}

// shutDownGracefully asks a machine to stop, and calls onDone when it may stop or its grace time is over.
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

// resume ends a freeze. The messages that arrived meanwhile are received now.
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
