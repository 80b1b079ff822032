package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
)

// FaultKind is a kind of harm.
type FaultKind int

// The kinds. Those from CutBehind on go beyond the tolerance for some seconds, yet lose no more disks than it allows;
// the machines count as lost until the system must have recovered.
const (
	Kill               FaultKind = iota // the process ends and is started again at once
	PowerLoss                           // the machine is dark for the span
	Freeze                              // it stands still for the span
	DiskStall                           // its disk answers nothing for the span
	Cut                                 // it is cut off from the other machines for the span
	LongCut                             // the same, for some twenty seconds
	OneWayCut                           // only what it sends, or only what it is sent, is lost
	Wipe                                // the machine is dark for the span and comes back with an empty disk
	Replacement                         // it is gone for good; another comes at another address with an empty disk
	PlannedReplacement                  // the other comes first; then the machine is told to stop
	Leave                               // it is told to stop and started again
	PowerOffAll                         // all machines are dark; as many as the tolerance allows lose their disks
	CutBehind                           // some miss changes; one of the others loses its disk, the rest are dark, the cut heals
	Halves                              // half of the machines are cut off from the other half
	Darkness                            // more machines than the tolerance allows are dark
	KindLoss                            // every message of one kind is lost for the span
	faultKinds
)

var faultNames = map[FaultKind]string{
	Kill: "kill", PowerLoss: "power loss", Freeze: "freeze", DiskStall: "disk stall", Cut: "cut", LongCut: "long cut",
	OneWayCut: "one-way cut", Wipe: "lost disk", Replacement: "replacement", PlannedReplacement: "planned replacement",
	Leave: "leave", PowerOffAll: "power off all", CutBehind: "cut behind", Halves: "halves", Darkness: "darkness",
	KindLoss: "messages of one kind lost",
}

func (k FaultKind) String() string { return faultNames[k] }

// losesDisk reports whether a machine's disk is lost by it.
func (k FaultKind) losesDisk() bool {
	return slices.Contains([]FaultKind{Wipe, Replacement, PlannedReplacement, PowerOffAll, CutBehind}, k)
}

// isWide reports whether it goes beyond the tolerance.
func (k FaultKind) isWide() bool {
	return slices.Contains([]FaultKind{PowerOffAll, CutBehind, Halves, Darkness, KindLoss}, k)
}

// Fault is a planned harm.
type Fault struct {
	Place int // in the plan
	At    time.Duration
	Kind  FaultKind
	Span  time.Duration
	Slots []int // whom it strikes first, then next, and so on
	Count int   // how many of them
	Draw  uint64
}

func (f Fault) String() string {
	return fmt.Sprintf("%2d. %6.2fs %s for %.2fs, places %v", f.Place, f.At.Seconds(), f.Kind, f.Span.Seconds(), f.Slots[:f.Count])
}

// Times between and of faults.
const (
	firstFault  = 4 * time.Second
	faultEvery  = 2500 * time.Millisecond
	leastSpan   = 200 * time.Millisecond
	usualSpan   = 4 * time.Second
	longSpan    = 14 * time.Second
	syncTime    = 4 * time.Second // after its return a machine still counts as lost for so long
	restartTime = 50 * time.Millisecond
	waitTurn    = 200 * time.Millisecond
	graceTime   = 3500 * time.Millisecond // a machine that was told to stop ends after so long at the latest
	recoverTime = 12 * time.Second
)

// Plan draws the faults of the run.
func (c *Cluster) Plan() []Fault {
	if c.options.Script != nil {
		return c.options.Script
	}
	random := rand.New(rand.NewPCG(c.options.Seed, planStream))
	spread := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	var plan []Fault
	for at := firstFault; at < c.options.Length; at += spread(faultEvery) {
		kind := FaultKind(random.IntN(int(faultKinds)))
		if !c.options.Wild && (kind == Halves || kind == Darkness || kind == KindLoss) {
			kind = Replacement
		}
		span := leastSpan + spread(usualSpan)
		if kind == LongCut {
			span = longSpan + spread(2*usualSpan)
		}
		count := 1 + random.IntN(max(1, c.options.Tolerance))
		plan = append(plan, Fault{
			Place: len(plan), At: at, Kind: kind, Span: span, Slots: random.Perm(c.options.Members),
			Count: min(count, c.options.Members), Draw: random.Uint64(),
		})
	}
	return plan
}

// lostNow are the places whose machine counts as lost.
func (c *Cluster) lostNow() []int {
	return lo.FilterMap(c.slots, func(n *node, slot int) (int, bool) { return slot, c.now < n.lostUntil })
}

// withoutDisk are the places whose disk counts as lost: until its successor has had time to take the state, and beyond
// the tolerance until it has it.
func (c *Cluster) withoutDisk() []int {
	return lo.FilterMap(c.slots, func(n *node, slot int) (int, bool) {
		lacks := c.options.Wild && n.wiped > 0 && (n.replica == nil || !n.replica.IsSynced())
		return slot, c.now < n.diskLostUntil || lacks
	})
}

// isAllowed reports whether a fault keeps within what the pages allow now.
func (c *Cluster) isAllowed(f Fault) bool {
	most := c.options.Tolerance
	victims := f.Slots[:f.Count]
	switch {
	case f.Kind == KindLoss || f.Kind == Halves || f.Kind == Darkness:
		return true
	case f.Kind.isWide():
		return len(c.lostNow()) == 0 && len(c.withoutDisk()) == 0
	case f.Kind.losesDisk() && len(c.withoutDisk())+len(victims) > most:
		return false
	case c.options.Wild:
		return true
	}
	return len(lo.Union(c.lostNow(), victims)) <= most
}

// strikeWhenAllowed strikes as soon as no more would be lost than may be.
func (c *Cluster) strikeWhenAllowed(f Fault) {
	if c.now >= c.options.Length {
		return
	}
	if !c.isAllowed(f) {
		c.after(waitTurn, func() { c.strikeWhenAllowed(f) })
		return
	}
	c.faults++
	f.At = c.now
	c.struck = append(c.struck, f)
	victims := lo.Map(f.Slots[:f.Count], func(slot int, _ int) *node { return c.slots[slot] })
	if f.Kind.isWide() {
		c.strikeWide(f)
		return
	}
	for _, n := range victims {
		c.strike(n, f)
	}
}

// strike does one kind of harm to a machine.
func (c *Cluster) strike(n *node, f Fault) {
	n.countLost(c.now + f.Span)
	switch f.Kind {
	case Kill:
		c.restart(n, restartTime, false)
	case PowerLoss:
		c.restart(n, f.Span, false)
	case Freeze:
		c.freeze(n, f.Span)
	case DiskStall:
		n.stalledUntil = max(n.stalledUntil, c.now+f.Span)
	case Cut, LongCut:
		c.cutBothWays([]*node{n}, c.slots, f.Span)
	case OneWayCut:
		if f.Draw%2 == 0 {
			c.cutWays([]*node{n}, c.slots, f.Span)
		} else {
			c.cutWays(c.slots, []*node{n}, f.Span)
		}
	case Wipe:
		c.restart(n, f.Span, true)
	case Replacement:
		c.replace(n, f.Span/4)
	case PlannedReplacement:
		c.replacePlanned(n)
	case Leave:
		c.leave(n, func() { c.restart(n, restartTime+f.Span/4, false) })
	}
}

// countLost notes that the machine counts as lost until it has been back for the time that it needs.
func (n *node) countLost(back time.Duration) { n.lostUntil = max(n.lostUntil, back+syncTime) }

// countDiskLost notes the same of its disk.
func (n *node) countDiskLost(back time.Duration) {
	n.countLost(back)
	n.diskLostUntil = max(n.diskLostUntil, back+syncTime)
}

// strikeWide does the harm that concerns all machines.
func (c *Cluster) strikeWide(f Fault) {
	ordered := lo.Map(f.Slots, func(slot int, _ int) *node { return c.slots[slot] })
	switch f.Kind {
	case PowerOffAll:
		wiped := int(f.Draw % uint64(c.options.Tolerance+1))
		for i, n := range ordered {
			c.restart(n, f.Span+c.spread(startSpread), i < wiped)
		}
	case CutBehind:
		behind := ordered[:min(f.Count, (len(ordered)-1)/2)]
		c.cutBothWays(behind, c.slots, 2*f.Span)
		c.after(2*f.Span, func() {
			wipe := len(c.withoutDisk()) == 0 && c.options.Tolerance > 0
			for i, slot := range f.Slots[len(behind):] {
				c.restart(c.slots[slot], f.Span+c.spread(startSpread), i == 0 && wipe)
			}
			c.allLostUntil(c.now + f.Span)
		})
		c.allLostUntil(c.now + 3*f.Span)
	case Halves:
		c.cutBothWays(ordered[:len(ordered)/2], ordered[len(ordered)/2:], 2*f.Span)
		c.allLostUntil(c.now + 2*f.Span)
	case Darkness:
		for _, n := range ordered[:min(len(ordered), c.options.Tolerance+1+int(f.Draw%3))] {
			c.restart(n, f.Span, false)
		}
	case KindLoss:
		kind := messageKind(f.Draw % uint64(messageKinds))
		c.network.lost[kind]++
		c.after(f.Span, func() { c.network.lost[kind]-- })
		c.allLostUntil(c.now + f.Span)
	}
}

func (c *Cluster) allLostUntil(back time.Duration) {
	for _, n := range c.slots {
		n.lostUntil = max(n.lostUntil, back+recoverTime)
	}
}

// restart takes a machine down and starts it again after a span.
func (c *Cluster) restart(n *node, span time.Duration, wipe bool) {
	if n.replica == nil {
		return
	}
	n.stop()
	n.countLost(c.now + span)
	if wipe {
		n.wipe()
		n.countDiskLost(c.now + span)
	}
	life := n.life
	c.after(span, func() {
		if n.life == life && c.slots[n.slot] == n {
			n.start(false)
		}
	})
}

// replace takes a machine away for good; an empty one comes in its place at another address.
func (c *Cluster) replace(n *node, after time.Duration) {
	if n.replica != nil {
		n.stop()
	}
	successor := c.addNode(n.slot)
	successor.wiped = c.now
	successor.countDiskLost(c.now + after)
	c.slots[n.slot] = successor
	n.life++
	c.after(after, func() { successor.start(false) })
}

// replacePlanned starts the successor first, and then tells the machine to stop.
func (c *Cluster) replacePlanned(n *node) {
	if n.replica == nil {
		return
	}
	successor := c.addNode(n.slot)
	successor.wiped = c.now
	successor.countDiskLost(c.now + graceTime)
	successor.start(false)
	c.slots[n.slot] = successor
	c.after(time.Second, func() {
		c.leave(n, func() {
			if n.replica != nil {
				n.stop()
			}
		})
	})
}

// leave tells a machine to stop, and calls gone when it has left the view or its time is over.
func (c *Cluster) leave(n *node, gone func()) {
	if n.replica == nil {
		return
	}
	n.replica.SetLeaving()
	life, deadline := n.life, c.now+graceTime
	n.countLost(deadline)
	var look func()
	look = func() {
		if n.life != life {
			return
		}
		if !n.replica.IsMember() && !n.frozen || c.now >= deadline {
			gone()
			return
		}
		c.after(tickEvery, look)
	}
	look()
}

func (c *Cluster) freeze(n *node, span time.Duration) {
	n.frozen = true
	life := n.life
	c.after(span, func() { n.thaw(life) })
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

// afterAcknowledgement strikes, now and then, in the moment in which something was acknowledged.
func (c *Cluster) afterAcknowledgement(relay *node) {
	if c.now >= c.options.Length || c.options.Script != nil || c.random.IntN(strikeAfterAck) > 0 {
		return
	}
	f := Fault{Place: -1, At: c.now, Kind: PowerLoss, Span: time.Second, Slots: []int{relay.slot}, Count: 1}
	if c.random.IntN(2) == 0 {
		f.Kind = Wipe
	}
	if c.random.IntN(2) == 0 {
		f.Kind, f.Slots, f.Draw = PowerOffAll, c.random.Perm(len(c.slots)), c.random.Uint64()
	}
	if c.isAllowed(f) {
		c.strikeWhenAllowed(f)
	}
}

// strikeAfterAck is how many acknowledgements there are to one such strike.
const strikeAfterAck = 40

// ackStrikeDelay is how long after an acknowledgement it strikes at the most.
const ackStrikeDelay = 2 * time.Millisecond

// heal ends all harm; machines that are dark come back at their time.
func (c *Cluster) heal() {
	clear(c.network.cut)
	clear(c.network.lost)
	for _, n := range c.slots {
		n.stalledUntil = 0
		if n.frozen {
			n.thaw(n.life)
		}
	}
}
