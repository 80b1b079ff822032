package coordinationsim

import (
	"fmt"
	"time"
)

// FaultKind is a kind of fault. Scripts read the numbers from pumicectl's output.
type FaultKind int

// The kinds of faults. Those from ClusterPowerLoss on affect more machines than the first Count of Slots.
const (
	Kill               FaultKind = iota // the process is killed and restarted at once
	PowerLoss                           // the machine is off for a time
	Freeze                              // the process is paused
	FreezeBeforeSend                    // the process is paused between a decision and the sending of its messages
	DiskStall                           // no write to the disk ends
	DiskFull                            // every write to the disk is refused
	Partition                           // the machine is cut off from all others
	HoldingPartition                    // the same, but what was sent meanwhile arrives after its end
	OneWayPartition                     // what the machine sends, or what is sent to it, is lost or held up
	SlowLinks                           // what the machine sends and receives is delayed
	GracefulRestart                     // the process is asked to stop and restarted
	DiskLoss                            // the machine is off and comes back with an empty disk
	PlannedReplacement                  // another machine gets its vote; then it is asked to stop and does not return
	ClusterPowerLoss                    // all machines are off; as many as the tolerance allows may lose their disks
	HalfPartition                       // half of the machines are cut off from the other half
	faultKindCount
)

// faultNames are printed by pumicectl.
var faultNames = map[FaultKind]string{
	Kill: "kill", PowerLoss: "power loss", Freeze: "freeze", FreezeBeforeSend: "freeze before sending",
	DiskStall: "disk stall", DiskFull: "full disk", Partition: "cut", HoldingPartition: "cut that holds bytes up",
	OneWayPartition: "one-way cut", SlowLinks: "slow links", GracefulRestart: "leave", DiskLoss: "lost disk",
	PlannedReplacement: "planned replacement", ClusterPowerLoss: "power off all", HalfPartition: "halves",
}

// String returns the name of the kind.
func (k FaultKind) String() string { return faultNames[k] }

// Fault is a planned or injected fault. Its JSON keys are part of pumicectl's output.
type Fault struct {
	Index    int           `json:"Place"` // in the plan; -1: not planned
	At       time.Duration `json:"At"`
	Kind     FaultKind     `json:"Kind"`
	Duration time.Duration `json:"Span"`
	Slots    []int         `json:"Slots"` // all slots in random order; the first Count are affected
	Count    int           `json:"Count"`
	AtIssuer bool          `json:"AtIssuer"` // the slot of the issuer at that time comes first
	Draw     uint64        `json:"Draw"`     // random number that determines other parameters of the kind
}

// losesDisk reports whether the fault takes a disk out of the cluster: the disk is emptied, or its machine is replaced.
func (f Fault) losesDisk() bool {
	return f.Kind == DiskLoss || f.Kind == PlannedReplacement || f.Kind == ClusterPowerLoss && f.disksLost() > 0
}

// disksLost returns how many machines lose their disks in a ClusterPowerLoss.
func (f Fault) disksLost() int { return int(f.Draw % uint64(f.Count+1)) }

// String describes the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%2d. %6.2fs %s for %.2fs, places %v, draw %d", f.Index, f.At.Seconds(), f.Kind, f.Duration.Seconds(),
		f.Slots[:f.Count], f.Draw)
}
