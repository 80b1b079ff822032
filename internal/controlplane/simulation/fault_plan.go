package simulation

import (
	"math/rand/v2"
	"time"
)

const (
	// firstFaultAt is when the first fault is injected. The cluster needs some seconds to form the first view.
	firstFaultAt = 4 * time.Second
	// disklessStartTime is how much longer a cluster without disks needs, because its coordinators first wait for one
	// with a disk.
	disklessStartTime = 2 * time.Second
	maxFaultInterval  = 2500 * time.Millisecond
	minFaultTime      = 200 * time.Millisecond
	faultTimeSpread   = 4 * time.Second
	longFaultTime     = 14 * time.Second // LongPartition lasts this long and up to 2*faultTimeSpread longer
)

// FaultPlan returns the scripted faults of the run, or draws them from the seed.
func (c *Cluster) FaultPlan() []Fault {
	if c.options.ScriptedFaults != nil {
		return c.options.ScriptedFaults
	}
	if c.options.CountedLosses {
		return c.options.CountedLossPlan()
	}
	random := rand.New(rand.NewPCG(c.options.Seed, planStream))
	below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	var plan []Fault
	first := firstFaultAt
	if c.hasNoDisks() {
		first += disklessStartTime
	}
	for at := first; at < c.options.FaultPhase; at += below(maxFaultInterval) {
		kind := FaultKind(random.IntN(int(faultKindCount)))
		if !c.options.BeyondTolerance && (kind == HalfPartition || kind == ExcessPowerLoss || kind == MessageKindLoss) {
			kind = Replacement
		}
		duration := minFaultTime + below(faultTimeSpread)
		if kind == LongPartition {
			duration = longFaultTime + below(2*faultTimeSpread)
		}
		count := 1 + random.IntN(max(1, c.options.Tolerance))
		plan = append(plan, Fault{
			Index: len(plan), At: at, Kind: kind, Duration: duration, Slots: random.Perm(c.options.Members),
			Count: min(count, c.options.Members), Draw: random.Uint64(),
		})
	}
	return plan
}
