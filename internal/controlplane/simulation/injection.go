package simulation

import (
	"time"

	"github.com/samber/lo"
)

const (
	// injectionRetryDelay is the pause before a fault that would exceed the bounds is tried again.
	injectionRetryDelay = 200 * time.Millisecond
	// resyncTime is how long a machine counts as lost after its return, because it has to join and to catch up.
	resyncTime = 4 * time.Second
	// clusterRecoveryTime is how long all machines count as lost after a partition or message loss of the whole
	// cluster.
	clusterRecoveryTime = 12 * time.Second
	// ackFaultOneIn says that a fault follows at once on one in so many acknowledgements.
	ackFaultOneIn = 40
	// maxAckFaultDelay is the longest time between such an acknowledgement and its fault.
	maxAckFaultDelay = 2 * time.Millisecond
	// ackFaultTime is how long such a fault lasts.
	ackFaultTime = time.Second
	// maxExcessLosses is the largest number of machines beyond the tolerance that an ExcessPowerLoss turns off.
	maxExcessLosses = 3
)

// slotsLost returns the slots whose machine counts as lost.
func (c *Cluster) slotsLost() []int {
	return lo.FilterMap(c.slots, func(n *node, slot int) (int, bool) { return slot, c.now < n.lostUntil })
}

// slotsWithoutDisk returns the slots whose disk counts as lost. It counts until the empty disk has had time to take
// over the state. In a run beyond the tolerance it also counts until its machine is synced in the newest view.
func (c *Cluster) slotsWithoutDisk() []int {
	return lo.FilterMap(c.slots, func(n *node, slot int) (int, bool) {
		lacksState := c.options.BeyondTolerance && n.diskLostAt > 0 && !n.isSyncedInNewestView()
		return slot, c.now < n.diskLostUntil || lacksState
	})
}

func (n *node) isSyncedInNewestView() bool {
	return n.replica != nil && n.replica.IsSynced() && n.replica.View().Number >= n.cluster.newestViewSeen
}

// isWithinBounds reports whether a fault may be injected now. No more disks than the tolerance allows may be lost at a
// time. The same holds for machines, unless the run goes beyond the tolerance.
func (c *Cluster) isWithinBounds(f Fault) bool {
	targets := f.Slots[:f.Count]
	losesDisk := f.Kind.losesDisk() || c.hasNoDisks() && f.Kind.endsProcess()
	switch {
	case c.hasNoDisks() && (f.Kind == ExcessPowerLoss || f.Kind == ClusterPowerLoss || f.Kind == PartitionThenDiskLoss):
		return false // the state could be lost
	case f.Kind == MessageKindLoss || f.Kind == HalfPartition || f.Kind == ExcessPowerLoss:
		return true
	case f.Kind.isClusterWide():
		return len(c.slotsLost()) == 0 && len(c.slotsWithoutDisk()) == 0
	case losesDisk && len(c.slotsWithoutDisk())+len(targets) > c.options.Tolerance:
		return false
	case c.options.BeyondTolerance:
		return true
	}
	return len(lo.Union(c.slotsLost(), targets)) <= c.options.Tolerance
}

// injectWhenAllowed injects a fault as soon as it is within the bounds, unless the fault phase ends before.
func (c *Cluster) injectWhenAllowed(f Fault) {
	if c.now >= c.options.FaultPhase {
		return
	}
	if !c.isWithinBounds(f) {
		c.after(injectionRetryDelay, func() { c.injectWhenAllowed(f) })
		return
	}
	f.At = c.now
	c.injected = append(c.injected, f)
	targets := lo.Map(f.Slots[:f.Count], func(slot int, _ int) *node { return c.slots[slot] })
	if f.Kind.isClusterWide() {
		c.injectClusterWide(f)
		return
	}
	for _, n := range targets {
		c.injectAt(n, f)
	}
}

// injectAt injects a fault into one machine.
func (c *Cluster) injectAt(n *node, f Fault) {
	n.countLost(c.now + f.Duration)
	if c.hasNoDisks() && f.Kind == GracefulRestart {
		n.countDiskLost(c.now + shutdownGrace + f.Duration) // its state is lost within shutdownGrace
	}
	switch f.Kind {
	case Kill:
		c.restart(n, restartTime, keepDisk)
	case PowerLoss:
		c.restart(n, f.Duration, keepDisk)
	case Freeze:
		c.freeze(n, f.Duration)
	case DiskStall:
		n.stalledUntil = max(n.stalledUntil, c.now+f.Duration)
	case Partition, LongPartition:
		c.partition([]*node{n}, c.machines(), f.Duration)
	case OneWayPartition:
		if f.Draw%2 == 0 {
			c.partitionOneWay([]*node{n}, c.machines(), f.Duration)
		} else {
			c.partitionOneWay(c.machines(), []*node{n}, f.Duration)
		}
	case DiskLoss:
		c.restart(n, f.Duration, loseDisk)
	case Replacement:
		c.replace(n, f.Duration/4)
	case PlannedReplacement:
		c.replaceGracefully(n)
	case GracefulRestart:
		c.shutDownGracefully(n, func() { c.restart(n, restartTime+f.Duration/4, keepDisk) })
	}
}

// injectClusterWide injects a fault that affects the whole cluster.
func (c *Cluster) injectClusterWide(f Fault) {
	ordered := lo.Map(f.Slots, func(slot int, _ int) *node { return c.slots[slot] })
	switch f.Kind {
	case ClusterPowerLoss:
		disksLost := int(f.Draw % uint64(c.options.Tolerance+1))
		for i, n := range ordered {
			c.restart(n, f.Duration+c.randomDuration(startSpread), diskFate(i < disksLost))
		}
	case PartitionThenDiskLoss:
		c.injectPartitionThenDiskLoss(f, ordered)
	case HalfPartition:
		c.partition(ordered[:len(ordered)/2], ordered[len(ordered)/2:], 2*f.Duration)
		c.countAllLost(c.now + 2*f.Duration)
	case ExcessPowerLoss:
		excess := 1 + int(f.Draw%maxExcessLosses)
		for _, n := range ordered[:min(len(ordered), c.options.Tolerance+excess)] {
			c.restart(n, f.Duration, keepDisk)
		}
	case MessageKindLoss:
		kind := messageKind(f.Draw % uint64(messageKindCount))
		c.network.lostKinds[kind]++
		c.after(f.Duration, func() { c.network.lostKinds[kind]-- })
		c.countAllLost(c.now + f.Duration)
	}
}

// injectPartitionThenDiskLoss cuts off a minority, so that it misses changes. When the partition ends, all others
// restart, and one of them loses its disk. The newest state must then be recovered from the rest of the others.
func (c *Cluster) injectPartitionThenDiskLoss(f Fault, ordered []*node) {
	minority := ordered[:min(f.Count, (len(ordered)-1)/2)]
	c.partition(minority, c.slots, 2*f.Duration)
	c.after(2*f.Duration, func() {
		mayLoseDisk := len(c.slotsWithoutDisk()) == 0 && c.options.Tolerance > 0
		for i, slot := range f.Slots[len(minority):] {
			c.restart(c.slots[slot], f.Duration+c.randomDuration(startSpread), diskFate(i == 0 && mayLoseDisk))
		}
		c.countAllLost(c.now + f.Duration)
	})
	c.countAllLost(c.now + 3*f.Duration)
}

// injectAfterAck injects a fault right after some acknowledgements: no acknowledged change may be lost by it.
func (c *Cluster) injectAfterAck(relay *node) {
	if c.now >= c.options.FaultPhase || c.options.ScriptedFaults != nil || c.options.CountedLosses || c.random.IntN(ackFaultOneIn) > 0 {
		return
	}
	f := Fault{Index: -1, At: c.now, Kind: PowerLoss, Duration: ackFaultTime, Slots: []int{relay.slot}, Count: 1}
	if c.random.IntN(2) == 0 {
		f.Kind = DiskLoss
	}
	if c.random.IntN(2) == 0 {
		f.Kind, f.Slots, f.Draw = ClusterPowerLoss, c.random.Perm(len(c.slots)), c.random.Uint64()
	}
	if c.isWithinBounds(f) {
		c.injectWhenAllowed(f)
	}
}

// countLost counts the machine as lost until resyncTime after its return.
func (n *node) countLost(backAt time.Duration) { n.lostUntil = max(n.lostUntil, backAt+resyncTime) }

// countDiskLost counts the machine and its disk as lost until resyncTime after its return.
func (n *node) countDiskLost(backAt time.Duration) {
	n.countLost(backAt)
	n.diskLostUntil = max(n.diskLostUntil, backAt+resyncTime)
}

func (c *Cluster) countAllLost(backAt time.Duration) {
	for _, n := range c.slots {
		n.lostUntil = max(n.lostUntil, backAt+clusterRecoveryTime)
	}
}

// heal ends all faults. Machines that are off still start at their scheduled time.
func (c *Cluster) heal() {
	clear(c.network.blocked)
	clear(c.network.lostKinds)
	for _, n := range c.slots {
		n.stalledUntil = 0
		if n.frozen {
			n.resume(n.generation)
		}
	}
}
