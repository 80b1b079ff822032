package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Options of a run.
type Options struct {
	Seed       uint64
	Members    int           // number of machines that the cluster starts with
	Tolerance  int           // number of machines that may be lost at one time
	FaultPhase time.Duration // how long faults are injected
	// Diskless is how many members have no disk. These are the first ones.
	Diskless int
	// BeyondTolerance lets losses of machines overlap beyond the tolerance. The tolerance still bounds how many disks
	// are lost at a time, so no acknowledged change may be lost, but response times are unbounded.
	BeyondTolerance bool
	// CountedLosses draws losses that are counted as the operators count them, in place of the other faults.
	CountedLosses bool
	// Zones is the number of zones over which the machines are spread, in turn; 0: zoneCount. See NoZones.
	Zones int
	// MaxSyncTime bounds the random time that a sync takes longer than minSyncTime. Values below defaultSyncTime have
	// no effect.
	MaxSyncTime time.Duration
	// ContinuousWrites makes each client send one valid change after the other, without reads and with short pauses.
	ContinuousWrites bool
	// OmittedFaults are the indexes of planned faults that are left out.
	OmittedFaults []int
	// ScriptedFaults replace the faults that the seed draws.
	ScriptedFaults []Fault
	// Defect is planted into the coordinators to prove that a check detects it.
	Defect Defect
}

// NoZones as Options.Zones means that the machines do not know their zones.
const NoZones = -1

// Parameters of drawn options.
const (
	shapeStream       = 0x73686170 // stream of the generator
	minMembers        = 3
	maxMembers        = 9
	minMembersForTwo  = 5 // fewest members for which the tolerance may be 2
	drawnFaultPhase   = 40 * time.Second
	someDisklessOneIn = 5 // in one of so many runs up to maxDiskless members without disks are added
	maxDiskless       = 3
	allDisklessOneIn  = 25 // in one of so many of the other runs no member has a disk
)

// DrawOptions returns the options of a run whose shape the seed draws: members, tolerance, how many machines have no
// disk, and whether losses overlap beyond the tolerance.
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

// ZoneOf returns the zone of the machines of a slot; empty: they do not know it.
func (o Options) ZoneOf(slot int) string {
	switch {
	case o.Zones == NoZones:
		return ""
	case o.Zones == 0:
		return fmt.Sprintf("zone-%d", slot%zoneCount)
	}
	return fmt.Sprintf("zone-%d", slot%o.Zones)
}
