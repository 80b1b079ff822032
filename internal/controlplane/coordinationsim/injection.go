package coordinationsim

import (
	"slices"
	"time"
)

const (
	// settledTime is how long all machines have to know the newest voters, without a fault, before a disk may be lost.
	settledTime = 3 * time.Second
	// injectionRetryDelay is the pause before a postponed loss of a disk is tried again. After maxInjectionDelay the
	// loss is skipped; the later faults of the plan wait until then.
	injectionRetryDelay = 200 * time.Millisecond
	maxInjectionDelay   = 9 * time.Second
	// ackFaultOneIn says that a fault follows at once on one in so many answers.
	ackFaultOneIn    = 500
	maxAckFaultDelay = 3 * time.Millisecond
	ackFaultTime     = 500 * time.Millisecond
	// viewFaultOneIn says that a fault follows on one in so many views, while the acceptors change.
	viewFaultOneIn    = 2
	maxViewFaultDelay = 1500 * time.Millisecond
)

// scheduleFaults schedules the faults of the plan, one after the other, without the omitted ones.
func (c *Cluster) scheduleFaults() {
	var plan []Fault
	for _, fault := range FaultPlan(c.options) {
		if !slices.Contains(c.options.OmittedFaults, fault.Index) {
			plan = append(plan, fault)
		}
	}
	c.injectNext(plan)
}

// injectNext injects the first fault of the plan at its time, or as soon after it as it is allowed, and then the rest.
func (c *Cluster) injectNext(plan []Fault) {
	if len(plan) == 0 {
		return
	}
	f := plan[0]
	wait := f.At - c.now
	if wait < 0 { // an earlier fault had to wait
		wait = c.randomDuration(maxFaultInterval / 2)
	}
	c.after(wait, func() { c.injectOrWait(f, plan[1:], c.now+maxInjectionDelay) })
}

func (c *Cluster) injectOrWait(f Fault, rest []Fault, latest time.Duration) {
	if c.isHealing {
		return
	}
	if f.losesDisk() && c.options.ScriptedFaults == nil && !c.mayLoseDisk() {
		if c.now < latest {
			c.after(injectionRetryDelay, func() { c.injectOrWait(f, rest, latest) })
			return
		}
		c.injectNext(rest)
		return
	}
	c.inject(f)
	c.injectNext(rest)
}

// mayLoseDisk reports whether no fault was active, and the newest voters were known to all machines, for settledTime.
func (c *Cluster) mayLoseDisk() bool {
	return c.now >= c.faultsUntil+settledTime && c.isSettled(settledTime)
}

// inject injects a fault.
func (c *Cluster) inject(f Fault) {
	f.At = c.now
	f.Slots = slices.Clone(f.Slots)
	if issuer := c.issuer(); f.AtIssuer && issuer != nil {
		i := slices.Index(f.Slots, issuer.slot)
		f.Slots[0], f.Slots[i] = f.Slots[i], f.Slots[0]
	}
	c.injected = append(c.injected, f)
	c.note("fault %v", f)
	c.faultsUntil = max(c.faultsUntil, c.now+f.Duration)
	switch f.Kind {
	case ClusterPowerLoss:
		for i, slot := range f.Slots {
			c.restart(c.slots[slot], f.Duration+c.randomDuration(startSpread), diskFate(i < f.disksLost()))
		}
		return
	case HalfPartition:
		var ordered []*node
		for _, slot := range f.Slots {
			ordered = append(ordered, c.slots[slot])
		}
		c.cutBothWays(ordered[:len(ordered)/2], ordered[len(ordered)/2:], f.Duration, cutMode(f.Draw%2 == 0))
		return
	}
	for _, slot := range f.Slots[:f.Count] {
		c.injectAt(c.slots[slot], f)
	}
}

// injectAt injects a fault into one machine.
func (c *Cluster) injectAt(n *node, f Fault) {
	switch f.Kind {
	case Kill:
		c.restart(n, restartTime, keepDisk)
	case PowerLoss:
		c.restart(n, f.Duration, keepDisk)
	case DiskLoss:
		c.restart(n, f.Duration, loseDisk)
	case Freeze, FreezeBeforeSend:
		c.freeze(n, f)
	case DiskStall:
		n.stalledUntil = max(n.stalledUntil, c.now+f.Duration)
	case DiskFull:
		n.fullUntil = max(n.fullUntil, c.now+f.Duration)
	case Partition, HoldingPartition:
		c.cutBothWays([]*node{n}, c.slots, f.Duration, cutMode(f.Kind == HoldingPartition))
	case OneWayPartition:
		if senders, receivers := []*node{n}, c.slots; f.Draw%2 == 0 {
			c.cut(senders, receivers, f.Duration, cutMode(f.Draw%4 == 0))
		} else {
			c.cut(receivers, senders, f.Duration, cutMode(f.Draw%4 == 1))
		}
	case SlowLinks:
		c.slowDown(n, f.Duration, f.Duration)
	case GracefulRestart:
		c.shutDownGracefully(n, func() { c.restart(n, restartTime+f.Duration/4, keepDisk) })
	case PlannedReplacement:
		c.replaceGracefully(n)
	}
}

// injectAfterView injects a fault into the issuer, or a loss of all power, while the acceptors change to new voters.
func (c *Cluster) injectAfterView() {
	if !c.mayInjectMore() || c.random.IntN(viewFaultOneIn) > 0 {
		return
	}
	kinds := []FaultKind{Kill, PowerLoss, Freeze, FreezeBeforeSend, Partition, HoldingPartition, ClusterPowerLoss}
	f := Fault{
		Index: -1, Kind: kinds[c.random.IntN(len(kinds))], Duration: minFaultTime + c.randomDuration(shortFaultTime),
		Slots: c.random.Perm(len(c.slots)), Count: 1, AtIssuer: true, Draw: 0, // no disk is lost
	}
	c.after(c.randomDuration(maxViewFaultDelay), func() {
		if !c.isHealing {
			c.inject(f)
		}
	})
}

// mayInjectMore reports whether unplanned faults may be injected.
func (c *Cluster) mayInjectMore() bool {
	return !c.isHealing && c.options.ScriptedFaults == nil && !c.options.WithoutAnswerFaults && c.now >= firstFaultAt
}

// injectAfterAnswer injects a power loss or a kill right after some answers: no acknowledged change may be lost by it.
func (c *Cluster) injectAfterAnswer(relay *node) {
	if !c.mayInjectMore() || c.random.IntN(ackFaultOneIn) > 0 {
		return
	}
	f := Fault{Index: -1, Kind: PowerLoss, Duration: ackFaultTime, Slots: c.random.Perm(len(c.slots)), Count: 1, Draw: c.random.Uint64()}
	f.AtIssuer = c.random.IntN(2) == 0
	switch c.random.IntN(3) {
	case 0:
		f.Kind = ClusterPowerLoss
		f.Count = max(1, c.options.Tolerance)
	case 1:
		f.Kind = Kill
	}
	c.after(c.randomDuration(maxAckFaultDelay), func() {
		if !c.isHealing && (!f.losesDisk() || c.mayLoseDisk()) {
			c.inject(f)
		}
	})
}

// heal ends all faults. Machines that are off start at once, those that were asked to stop restart, and all receive the
// newest voters within maxViewDelay.
func (c *Cluster) heal() {
	c.isHealing = true
	c.network = newNetwork()
	for _, n := range c.slots {
		n.stalledUntil, n.fullUntil, n.freezeBeforeSend = 0, 0, 0
		n.resume(n.generation)
		if n.leaving {
			n.stop()
		}
		if !n.isUp() {
			n.start(nil)
		}
		n.receiveViewLater(c.membership.newest)
	}
}
