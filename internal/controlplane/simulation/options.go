package simulation

import (
	"math/rand/v2"
	"time"
)

// Options of a run.
type Options struct {
	Seed       uint64
	Members    int           // machines that the cluster starts with
	Tolerance  int           // machines that may be lost at one time
	FaultPhase time.Duration // the time in which faults are injected
	// Diskless is how many of the members have no disk: the first ones.
	Diskless int
	// BeyondTolerance lets losses of machines overlap beyond the tolerance. Never more disks are lost at a time than it
	// allows, so nothing acknowledged may be lost; but there is no bound on the time of a response.
	BeyondTolerance bool
	// MaxSyncTime is how much longer than minSyncTime a sync of a disk takes at most; 0: defaultSyncTime.
	MaxSyncTime time.Duration
	// ContinuousWrites makes each client send one valid change after the other, without reads and pauses.
	ContinuousWrites bool
	// OmittedFaults are left out of the fault plan, by their index.
	OmittedFaults []int
	// ScriptedFaults are the faults in place of those that the seed draws.
	ScriptedFaults []Fault
	// Defect is planted into the coordinators, to show that a check finds it.
	Defect Defect
}

// Bounds of drawn options.
const (
	shapeStream       = 0x73686170 // stream of the generator
	minMembers        = 3
	maxMembers        = 9
	minMembersForTwo  = 5 // from which the tolerance may be two
	drawnFaultPhase   = 40 * time.Second
	someDisklessOneIn = 5 // in one of so many runs up to maxDiskless members without disks are added
	maxDiskless       = 3
	allDisklessOneIn  = 25 // in one of so many of the other runs no member has a disk
)

// DrawOptions returns the options of a run whose shape the seed draws: members, tolerance, how many machines have no disk,
// and whether losses overlap beyond the tolerance.
func DrawOptions(seed uint64) Options {
	random := rand.New(rand.NewPCG(seed, shapeStream))
	options := Options{
		Seed: seed, Members: minMembers + random.IntN(maxMembers-minMembers+1), Tolerance: 1,
		FaultPhase: drawnFaultPhase, BeyondTolerance: random.IntN(2) == 0,
	}
	if options.Members >= minMembersForTwo {
		options.Tolerance += random.IntN(2)
	}
	if random.IntN(someDisklessOneIn) == 0 {
		options.Diskless = 1 + random.IntN(maxDiskless)
		options.Members += options.Diskless
	}
	if options.Diskless == 0 && random.IntN(allDisklessOneIn) == 0 {
		options.Diskless = options.Members
	}
	return options
}
