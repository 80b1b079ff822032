package simulation

import (
	"fmt"
	"slices"
	"time"
)

// FaultKind is a kind of fault. Scripts read the numbers from pumicectl's output.
type FaultKind int

// The kinds of faults. Those of single machines come first. Those from ClusterPowerLoss on affect the whole cluster:
// more machines than the tolerance allows may be lost for a time, but never more disks.
const (
	Kill                  FaultKind = iota // the process is killed and restarted at once
	PowerLoss                              // the machine is off for a time
	Freeze                                 // the process is paused
	DiskStall                              // no write to the disk ends
	Partition                              // the machine is cut off from all others
	LongPartition                          // the same for longFaultTime or more: 14 to 22 seconds
	OneWayPartition                        // what the machine sends, or what is sent to it, is lost
	DiskLoss                               // the machine is off and comes back with an empty disk
	Replacement                            // the machine never returns; another one starts (new address, empty disk)
	PlannedReplacement                     // the other machine starts first; then the old one is asked to stop
	GracefulRestart                        // the process is asked to stop and restarted
	ClusterPowerLoss                       // all machines are off; at most as many as tolerated lose their disks
	PartitionThenDiskLoss                  // a minority misses changes; then the others are off, one loses its disk
	HalfPartition                          // half of the machines are cut off from the other half
	ExcessPowerLoss                        // more machines than the tolerance allows are off
	MessageKindLoss                        // every message of one kind is lost
	faultKindCount
	// OverlappingReplacement is planned only with CountedLosses: the other machine starts first, and the old one is
	// removed when the other one counts as synced.
	OverlappingReplacement
)

// faultNames are printed by pumicectl.
var faultNames = map[FaultKind]string{
	Kill: "kill", PowerLoss: "power loss", Freeze: "freeze", DiskStall: "disk stall", Partition: "cut",
	LongPartition: "long cut", OneWayPartition: "one-way cut", DiskLoss: "lost disk", Replacement: "replacement",
	PlannedReplacement: "planned replacement", GracefulRestart: "leave", ClusterPowerLoss: "power off all",
	PartitionThenDiskLoss: "cut behind", HalfPartition: "halves", ExcessPowerLoss: "darkness",
	MessageKindLoss: "messages of one kind lost", OverlappingReplacement: "overlapping replacement",
}

// String returns the name of the kind.
func (k FaultKind) String() string { return faultNames[k] }

// losesDisk reports whether a machine may lose its disk by the fault.
func (k FaultKind) losesDisk() bool {
	return slices.Contains(
		[]FaultKind{DiskLoss, Replacement, PlannedReplacement, ClusterPowerLoss, PartitionThenDiskLoss}, k)
}

// endsProcess reports whether the fault ends a machine's process and keeps its disk.
func (k FaultKind) endsProcess() bool { return k == Kill || k == PowerLoss || k == GracefulRestart }

// isClusterWide reports whether the fault affects more machines than the first Count of Slots.
func (k FaultKind) isClusterWide() bool {
	return slices.Contains(
		[]FaultKind{ClusterPowerLoss, PartitionThenDiskLoss, HalfPartition, ExcessPowerLoss, MessageKindLoss}, k)
}

// Fault is a planned or injected fault. Its JSON keys are part of pumicectl's output.
type Fault struct {
	Index    int           `json:"Place"` // in the plan; -1: not planned
	At       time.Duration `json:"At"`
	Kind     FaultKind     `json:"Kind"`
	Duration time.Duration `json:"Span"`
	Slots    []int         `json:"Slots"` // all slots in random order; the first Count are affected
	Count    int           `json:"Count"`
	Margin   time.Duration `json:"Margin,omitempty"` // with CountedLosses: the wait until it is injected, once it is allowed
	Draw     uint64        `json:"Draw"`             // random number that determines other parameters of the kind
}

// String describes the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%2d. %6.2fs %s for %.2fs, places %v", f.Index, f.At.Seconds(), f.Kind, f.Duration.Seconds(),
		f.Slots[:f.Count])
}
