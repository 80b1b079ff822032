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

// endsProcess reports whether a machine's process ends by it.
func (k FaultKind) endsProcess() bool { return k == Kill || k == PowerLoss || k == Leave }

// isWide reports whether it goes beyond the tolerance.
func (k FaultKind) isWide() bool {
	return slices.Contains([]FaultKind{PowerOffAll, CutBehind, Halves, Darkness, KindLoss}, k)
}

// Fault is a planned harm.
type Fault struct {
	Place int           `json:"Place"` // in the plan
	At    time.Duration `json:"At"`
	Kind  FaultKind     `json:"Kind"`
	Span  time.Duration `json:"Span"`
	Slots []int         `json:"Slots"` // whom it strikes first, then next, and so on
	Count int           `json:"Count"` // how many of them
	Draw  uint64        `json:"Draw"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%2d. %6.2fs %s for %.2fs, places %v", f.Place, f.At.Seconds(), f.Kind, f.Span.Seconds(), f.Slots[:f.Count])
}

// Times between and of faults.
const (
	firstFault = 4 * time.Second
	// Coordinators wait three seconds for one with a disk before the others join; a system's traffic starts ten after it.
	disklessStart = 2 * time.Second

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
	first := firstFault
	if c.isDiskless() {
		first += disklessStart
	}
	for at := first; at < c.options.Length; at += spread(faultEvery) {
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
// the tolerance until it has it in the newest view.
func (c *Cluster) withoutDisk() []int {
	return lo.FilterMap(c.slots, func(n *node, slot int) (int, bool) {
		lacks := c.options.Wild && n.wiped > 0 && (n.replica == nil || !n.replica.IsSynced() || n.replica.View().Number < c.seenView)
		return slot, c.now < n.diskLostUntil || lacks
	})
}

// isAllowed reports whether a fault keeps within what the pages allow now.
func (c *Cluster) isAllowed(f Fault) bool {
	most := c.options.Tolerance
	victims := f.Slots[:f.Count]
	switch {
	case c.isDiskless() && (f.Kind == Darkness || f.Kind == PowerOffAll || f.Kind == CutBehind):
		return false // nothing could be left
	case f.Kind == KindLoss || f.Kind == Halves || f.Kind == Darkness:
		return true
	case f.Kind.isWide():
		return len(c.lostNow()) == 0 && len(c.withoutDisk()) == 0
	case (f.Kind.losesDisk() || c.isDiskless() && f.Kind.endsProcess()) && len(c.withoutDisk())+len(victims) > most:
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
