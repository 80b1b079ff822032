package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Counted losses are drawn so that at every moment no more machines are lost than the tolerance, counted as the
// operators' page on deployments counts them:
//
//   - A machine is lost while it is down, frozen, cut off or its disk is stalled, and for resyncTime after that.
//   - A new machine is lost for resyncTime after its start.
//   - A machine that was replaced is not lost once its successor has run for resyncTime, whether it still runs or not.
//   - A machine without a disk does not count. It loses power with all others at the end.
//
// The next loss begins a drawn margin after the earlier ones have stopped counting, which may be none.
const (
	// maxLossMargin bounds the margin between losses, and between the time at which a replaced machine may be removed and
	// its removal.
	maxLossMargin = 3 * time.Second
	// noMarginOneIn says that one in so many margins is 0.
	noMarginOneIn = 3
	// keepReplacedOneIn says that one in so many replaced machines runs until a later removal, so that several machines
	// are removed at the same time.
	keepReplacedOneIn = 3
	// announcedRemovalOneIn says that one in so many removals of a replaced machine is announced by a request to stop.
	announcedRemovalOneIn = 3
	// replacedTargetOneIn says that one in so many losses hits a replaced machine, if one runs.
	replacedTargetOneIn = 3
	// uncountedOneIn says that one in so many runs has up to maxDiskless machines that do not count.
	uncountedOneIn   = 3
	countedLossPhase = 45 * time.Second
	lossStream       = 0x6c6f7373 // stream of the generator
	maxFinalDowntime = time.Second
	// finalAckTimeout is how long a change may take to be acknowledged when no machine is lost.
	finalAckTimeout = maxResponseTime
)

// countedKinds are the kinds of counted losses. A kind that stands twice is drawn twice as often.
var countedKinds = []FaultKind{
	Kill, PowerLoss, Freeze, Freeze, DiskStall, Partition, OneWayPartition, GracefulRestart, DiskLoss, DiskLoss, Replacement,
	OverlappingReplacement, OverlappingReplacement, OverlappingReplacement, OverlappingReplacement,
}

// DrawCountedLosses returns the options of a run with counted losses whose shape the seed draws: members, tolerance and
// zones.
func DrawCountedLosses(seed uint64) Options {
	random := rand.New(rand.NewPCG(seed, shapeStream))
	options := Options{
		Seed: seed, CountedLosses: true, FaultPhase: countedLossPhase,
		Members: minMembers + random.IntN(maxMembers-minMembers+1), Tolerance: 1,
	}
	if options.Members >= minMembersForTwo {
		options.Tolerance += random.IntN(2)
	}
	switch random.IntN(3) {
	case 0:
		options.Zones = NoZones
	case 1:
		options.Zones = options.Members
	}
	if random.IntN(uncountedOneIn) == 0 {
		options.Diskless = 1 + random.IntN(maxDiskless)
		options.Members += options.Diskless
	}
	return options
}

// CountedLossPlan draws the losses of a run, which are injected one after the other. The soak of real processes injects
// the same plans.
func (o Options) CountedLossPlan() []Fault {
	random := rand.New(rand.NewPCG(o.Seed, lossStream))
	below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	var plan []Fault
	for at := firstFaultAt; at < o.FaultPhase; at += below(maxFaultInterval) {
		f := Fault{
			Index: len(plan), At: at, Kind: countedKinds[random.IntN(len(countedKinds))],
			Duration: minFaultTime + below(faultTimeSpread), Slots: o.countedSlots(random),
			Count: 1 + random.IntN(o.Tolerance), Draw: random.Uint64(),
		}
		if random.IntN(noMarginOneIn) > 0 {
			f.Margin = below(maxLossMargin)
		}
		plan = append(plan, f)
	}
	return plan
}

// countedSlots returns the slots of the machines that count, in random order.
func (o Options) countedSlots(random *rand.Rand) []int {
	return lo.Map(random.Perm(o.Members-o.Diskless), func(slot int, _ int) int { return slot + o.Diskless })
}

// FinalSlots returns the slots of all machines in the order of the final losses: those that count, in random order, then
// those that do not.
func (o Options) FinalSlots(random *rand.Rand) []int {
	return append(o.countedSlots(random), lo.Range(o.Diskless)...)
}

// KeepsReplaced reports whether the machine that an overlapping replacement replaces runs until a later removal.
func (f Fault) KeepsReplaced() bool { return f.Draw%keepReplacedOneIn == 0 }

// RemovalMargin is the time from the moment at which a replaced machine may be removed to its removal.
func (f Fault) RemovalMargin() time.Duration {
	if f.Draw%noMarginOneIn == 1 {
		return 0
	}
	return time.Duration(f.Draw % uint64(maxLossMargin))
}

// IsRemovalAnnounced reports whether a replaced machine is asked to stop before it is removed.
func (f Fault) IsRemovalAnnounced() bool { return f.Draw/7%announcedRemovalOneIn == 0 }

// ReplacedTarget returns the index of the replaced machine that the loss hits in place of its first target, if a number
// of replaced machines run. ok is false if it hits none: most losses do, and all that end a process.
func (f Fault) ReplacedTarget(running int) (index int, ok bool) {
	if running == 0 || !f.Kind.isSurvivedWithoutRestart() || f.Draw%replacedTargetOneIn != 0 {
		return 0, false
	}
	return int(f.Draw / replacedTargetOneIn % uint64(running)), true
}

// isSurvivedWithoutRestart reports whether the process of a machine goes on after the loss.
func (k FaultKind) isSurvivedWithoutRestart() bool {
	return slices.Contains([]FaultKind{Freeze, DiskStall, Partition, OneWayPartition}, k)
}

// injectLosses injects the losses of a plan, each when it is due and enough machines have stopped counting as lost.
func (c *Cluster) injectLosses(plan []Fault) {
	if len(plan) == 0 {
		return
	}
	f := plan[0]
	c.after(max(0, f.At-c.now), func() { c.injectLossWhenAllowed(f, func() { c.injectLosses(plan[1:]) }) })
}

func (c *Cluster) injectLossWhenAllowed(f Fault, onDone func()) {
	targets := c.lossTargets(f)
	switch {
	case c.now >= c.options.FaultPhase:
		return
	case !c.isCountAllowed(f.Kind, targets):
		c.after(tickInterval, func() { c.injectLossWhenAllowed(f, onDone) })
		return
	case f.Margin > 0:
		margin := f.Margin
		f.Margin = 0
		c.after(margin, func() { c.injectLossWhenAllowed(f, onDone) })
		return
	}
	f.At = c.now
	c.injected = append(c.injected, f)
	for _, n := range targets {
		if f.Kind == OverlappingReplacement {
			c.replaceWithOverlap(n, f)
			continue
		}
		c.injectAt(n, f)
	}
	onDone()
}

// lossTargets returns the machines that a loss hits: the current ones of its slots. In one of replacedTargetOneIn losses
// that a machine survives without a restart, a replaced machine that still runs takes the place of the first one.
func (c *Cluster) lossTargets(f Fault) []*node {
	targets := lo.Map(f.Slots[:f.Count], func(slot int, _ int) *node { return c.slots[slot] })
	running := lo.Filter(c.replaced, func(n *node, _ int) bool { return n.replica != nil })
	if index, ok := f.ReplacedTarget(len(running)); ok {
		targets[0] = running[index]
	}
	return targets
}

// isCountAllowed reports whether the tolerance allows a loss of the targets. An overlapping replacement adds machines,
// and the replaced ones go on counting if they are lost already.
func (c *Cluster) isCountAllowed(kind FaultKind, targets []*node) bool {
	isLost := func(n *node) bool { return c.now < n.lostUntil }
	return c.toleratesLossOf(targets) && (kind != OverlappingReplacement || lo.NoneBy(targets, isLost))
}

// toleratesLossOf reports whether the number of lost machines stays within the tolerance if some more are lost.
func (c *Cluster) toleratesLossOf(targets []*node) bool {
	lost := lo.Filter(c.machines(), func(n *node, _ int) bool { return c.now < n.lostUntil })
	return len(lo.Union(lost, targets)) <= c.options.Tolerance
}

// replaceWithOverlap starts the successor of a machine, which goes on running and is removed once the successor no
// longer counts as lost.
func (c *Cluster) replaceWithOverlap(n *node, f Fault) {
	if n.replica == nil {
		return
	}
	successor := c.addNode(n.slot)
	successor.start(laterStart)
	successor.countLost(c.now)
	c.slots[n.slot] = successor
	c.replaced = append(c.replaced, n)
	n.removableAt = successor.lostUntil
	if f.KeepsReplaced() {
		return
	}
	c.after(resyncTime+f.RemovalMargin(), func() { c.removeReplaced(f.IsRemovalAnnounced()) })
}

// removeReplaced removes all replaced machines that may be removed. If it is announced, they are asked to stop first.
func (c *Cluster) removeReplaced(isAnnounced bool) {
	for _, n := range c.replaced {
		if n.replica == nil || c.now < n.removableAt {
			continue
		}
		switch {
		case !c.hasCertainPredecessor(n) && !c.toleratesLossOf([]*node{n}):
			c.after(tickInterval, func() { c.removeReplaced(isAnnounced) })
			return
		case isAnnounced:
			c.shutDownGracefully(n, n.remove)
			if c.hasCertainPredecessor(n) {
				n.lostUntil = 0
			}
		default:
			n.remove()
		}
	}
}

// remove ends a replaced machine. Where nothing tells which machine its successor replaced, it counts as lost for
// resyncTime more: until then the others cannot know whose vote to move (docs/design/control-state.md, V7).
func (n *node) remove() {
	n.stopIfRunning()
	n.lostUntil = 0
	if !n.cluster.hasCertainPredecessor(n) {
		n.countLost(n.cluster.now)
	}
}

func (n *node) stopIfRunning() {
	if n.replica != nil {
		n.stop()
	}
}

// machines returns the current machines and those that were replaced.
func (c *Cluster) machines() []*node {
	return slices.Concat(c.slots, c.replaced)
}

// hasCertainPredecessor reports whether the zones tell that the machine that now has the slot of n replaced n.
func (c *Cluster) hasCertainPredecessor(n *node) bool {
	sameZone := lo.CountBy(c.slots, func(other *node) bool { return other.zone() == n.zone() })
	return n.zone() != "" && sameZone == 1
}

// endWithLosses waits until no machine is lost. After a drawn margin, and directly after the next acknowledgement, it
// removes all replaced machines, and as many machines as the tolerance allows lose their disks. In half of the runs all
// others lose power at the same time, those that do not count too.
func (c *Cluster) endWithLosses() {
	for !c.isEverythingBack() {
		c.runUntil(c.now + tickInterval)
	}
	if c.random.IntN(noMarginOneIn) > 0 {
		c.runUntil(c.now + c.randomDuration(maxLossMargin))
	}
	acknowledged := len(c.history.ackLatencies)
	for deadline := c.now + finalAckTimeout; len(c.history.ackLatencies) == acknowledged; {
		if c.now >= deadline {
			c.report(RuleResponseTime, "nothing is acknowledged though no machine is lost")
			break
		}
		c.runUntil(c.now + time.Millisecond)
	}
	for _, n := range c.replaced {
		if n.replica != nil && c.hasCertainPredecessor(n) {
			n.remove()
		}
	}
	isPowerLoss := c.random.IntN(2) == 0
	f := Fault{
		Index: -1, At: c.now, Kind: DiskLoss, Duration: maxFinalDowntime, Slots: c.options.FinalSlots(c.random),
		Count: c.options.Tolerance,
	}
	if isPowerLoss {
		f.Kind = ClusterPowerLoss
	}
	c.injected = append(c.injected, f)
	for i, slot := range f.Slots {
		if i < f.Count || isPowerLoss {
			c.restart(c.slots[slot], f.Duration, diskFate(i < f.Count))
		}
	}
	c.runUntil(c.now + f.Duration)
}

// isEverythingBack reports whether no machine counts as lost, and no replaced machine has yet to be removed that counts
// as lost when it is.
func (c *Cluster) isEverythingBack() bool {
	for _, n := range c.replaced {
		if n.replica != nil && !c.hasCertainPredecessor(n) && c.toleratesLossOf([]*node{n}) && c.now >= n.removableAt {
			n.remove()
		}
	}
	isBack := lo.EveryBy(c.replaced, func(n *node) bool {
		return c.now >= n.lostUntil && (n.replica == nil || c.hasCertainPredecessor(n) && c.now >= n.removableAt)
	})
	return isBack && lo.EveryBy(c.slots, func(n *node) bool { return c.now >= n.lostUntil })
}
