package simulation

import (
	"fmt"
	"slices"
	"time"
)

// FaultKind is a kind of fault. Scripts read the numbers from pumicectl's output.
type FaultKind int

// The kinds of faults. Those of one machine come first. Those from ClusterPowerLoss on concern the whole cluster: some
// machines more than the tolerance may be lost for a time, yet no more disks than it allows.
const (
	Kill                  FaultKind = iota // the process ends and is started again at once
	PowerLoss                              // the machine is off
	Freeze                                 // the process stands still
	DiskStall                              // no write of the disk ends
	Partition                              // the machine is cut off from all others
	LongPartition                          // the same, for some twenty seconds
	OneWayPartition                        // only what it sends, or only what is sent to it, is lost
	DiskLoss                               // the machine is off and comes back with an empty disk
	Replacement                            // it is gone for good; another comes at another address with an empty disk
	PlannedReplacement                     // the other comes first; then the machine is asked to stop
	GracefulRestart                        // it is asked to stop, and started again
	ClusterPowerLoss                       // all machines are off; as many as the tolerance allows lose their disks
	PartitionThenDiskLoss                  // a minority misses changes; then all others are off and one of them loses its disk
	HalfPartition                          // half of the machines are cut off from the other half
	ExcessPowerLoss                        // more machines than the tolerance allows are off
	MessageKindLoss                        // every message of one kind is lost
	faultKindCount
)

// faultNames are printed by pumicectl.
var faultNames = map[FaultKind]string{
	Kill: "kill", PowerLoss: "power loss", Freeze: "freeze", DiskStall: "disk stall", Partition: "cut",
	LongPartition: "long cut", OneWayPartition: "one-way cut", DiskLoss: "lost disk", Replacement: "replacement",
	PlannedReplacement: "planned replacement", GracefulRestart: "leave", ClusterPowerLoss: "power off all",
	PartitionThenDiskLoss: "cut behind", HalfPartition: "halves", ExcessPowerLoss: "darkness",
	MessageKindLoss: "messages of one kind lost",
}

// String is the name of the kind.
func (k FaultKind) String() string { return faultNames[k] }

// losesDisk reports whether a machine loses its disk by the fault.
func (k FaultKind) losesDisk() bool {
	return slices.Contains(
		[]FaultKind{DiskLoss, Replacement, PlannedReplacement, ClusterPowerLoss, PartitionThenDiskLoss}, k)
}

// endsProcess reports whether a machine's process ends by the fault, and its disk is kept.
func (k FaultKind) endsProcess() bool { return k == Kill || k == PowerLoss || k == GracefulRestart }

// isClusterWide reports whether the fault concerns more machines than those that it names.
func (k FaultKind) isClusterWide() bool {
	return slices.Contains(
		[]FaultKind{ClusterPowerLoss, PartitionThenDiskLoss, HalfPartition, ExcessPowerLoss, MessageKindLoss}, k)
}

// Fault is a fault of the plan, or one that was injected. Its JSON keys are part of pumicectl's output.
type Fault struct {
	Index    int           `json:"Place"` // in the plan; -1: it was not planned
	At       time.Duration `json:"At"`
	Kind     FaultKind     `json:"Kind"`
	Duration time.Duration `json:"Span"`
	Slots    []int         `json:"Slots"` // all slots in random order; the first Count are those of the machines concerned
	Count    int           `json:"Count"`
	Draw     uint64        `json:"Draw"` // random number from which the kind takes its other parameters
}

// String is the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%2d. %6.2fs %s for %.2fs, places %v", f.Index, f.At.Seconds(), f.Kind, f.Duration.Seconds(),
		f.Slots[:f.Count])
}
