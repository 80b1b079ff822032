package coordinationsim

import "time"

const (
	// restartTime is the downtime of a process that is restarted at once.
	restartTime = 50 * time.Millisecond
	// startSpread bounds the random delay of a machine's start where several start at one time.
	startSpread = 300 * time.Millisecond
	// shutdownGrace is the longest time from the request to stop until the process ends.
	shutdownGrace = 3500 * time.Millisecond
)

// diskFate says whether a machine that restarts loses its disk.
type diskFate bool

const (
	keepDisk diskFate = false
	loseDisk diskFate = true
)

// restart stops a machine and starts it after the downtime, unless it has been started or replaced meanwhile.
func (c *Cluster) restart(n *node, downtime time.Duration, fate diskFate) {
	if !n.isUp() && fate == keepDisk {
		return
	}
	n.stop()
	if fate == loseDisk {
		c.loseDiskOf(n)
	}
	generation := n.generation
	c.faultsUntil = max(c.faultsUntil, c.now+downtime)
	c.after(downtime, func() {
		if n.generation == generation && !n.isUp() && c.slots[n.slot] == n {
			n.start(nil)
		}
	})
}

// loseDiskOf empties the disk of a machine that is off. Its vote moves to the identity with which it comes back.
func (c *Cluster) loseDiskOf(n *node) {
	lost, voters := n.identity, n.voters
	n.erase()
	if c.options.Defect == KeepIdentityOnDiskLoss {
		n.identity, n.voters = lost, voters
		return
	}
	c.moveVote(lost, n)
}

// replaceGracefully starts another machine in the slot, moves the vote to it, and then asks the old machine to stop.
func (c *Cluster) replaceGracefully(n *node) {
	if !n.isUp() {
		return
	}
	successor := newNode(c, len(c.nodes), n.slot)
	c.nodes = append(c.nodes, successor)
	c.slots[n.slot] = successor
	successor.start(nil)
	c.moveVote(n.identity, successor)
	var leave func()
	leave = func() {
		if c.membership.pendingVoteMoves > 0 {
			c.after(injectionRetryDelay, leave)
			return
		}
		c.shutDownGracefully(n, n.stop)
	}
	c.faultsUntil = max(c.faultsUntil, c.now+shutdownGrace+minVoteDelay)
	c.after(minVoteDelay, leave)
}

// shutDownGracefully asks a machine to stop and calls onDone when it may stop or shutdownGrace is over.
func (c *Cluster) shutDownGracefully(n *node, onDone func()) {
	if !n.isUp() {
		return
	}
	n.leaving = true
	n.run(n.member.SetLeaving)
	generation, deadline := n.generation, c.now+shutdownGrace
	c.faultsUntil = max(c.faultsUntil, deadline)
	var check func()
	check = func() {
		if n.generation != generation {
			return
		}
		if n.member.CanStop() && !n.frozen || c.now >= deadline {
			onDone()
			return
		}
		c.after(tickInterval, check)
	}
	c.after(tickInterval, check)
}

// freeze pauses a process now, or before it sends its next messages.
func (c *Cluster) freeze(n *node, f Fault) {
	switch {
	case !n.isUp() || n.frozen:
	case f.Kind == FreezeBeforeSend:
		n.freezeBeforeSend = f.Duration
	default:
		n.freeze(f.Duration)
	}
}
