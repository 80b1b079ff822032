package coordinationsim

import (
	"fmt"
	"time"
)

// FaultKind is a kind of fault. Scripts read the numbers from pumicectl's output.
type FaultKind int

// The kinds of faults. Those from ClusterPowerLoss on concern more machines than those that are named.
const (
	Kill               FaultKind = iota // the process ends and is started again at once
	PowerLoss                           // the machine is off
	Freeze                              // the process stands still
	FreezeBeforeSend                    // it stands still between a decision and the messages that follow from it
	DiskStall                           // no write of the disk ends
	DiskFull                            // every write is refused
	Partition                           // the machine is cut off from all others
	HoldingPartition                    // the same; what was sent meanwhile arrives when it ends
	OneWayPartition                     // only what it sends, or only what is sent to it, is lost
	SlowLinks                           // what it sends and receives is late
	GracefulRestart                     // it is asked to stop, and started again
	DiskLoss                            // it is off and comes back with an empty disk
	PlannedReplacement                  // another machine gets its vote; then it is asked to stop and goes
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

// String is the name of the kind.
func (k FaultKind) String() string { return faultNames[k] }

// Fault is a fault of the plan, or one that was injected. Its JSON keys are part of pumicectl's output.
type Fault struct {
	Index    int           `json:"Place"` // in the plan; -1: it was not planned
	At       time.Duration `json:"At"`
	Kind     FaultKind     `json:"Kind"`
	Duration time.Duration `json:"Span"`
	Slots    []int         `json:"Slots"` // all slots in random order; the first Count are those of the machines concerned
	Count    int           `json:"Count"`
	AtIssuer bool          `json:"AtIssuer"` // the issuer of that time takes the place of the first slot
	Draw     uint64        `json:"Draw"`     // random number from which the kind takes its other parameters
}

// losesDisk reports whether machines lose their disks by the fault.
func (f Fault) losesDisk() bool {
	return f.Kind == DiskLoss || f.Kind == PlannedReplacement || f.Kind == ClusterPowerLoss && f.disksLost() > 0
}

// disksLost is how many disks a ClusterPowerLoss takes.
func (f Fault) disksLost() int { return int(f.Draw % uint64(f.Count+1)) }

// String is the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%2d. %6.2fs %s for %.2fs, places %v, draw %d", f.Index, f.At.Seconds(), f.Kind, f.Duration.Seconds(),
		f.Slots[:f.Count], f.Draw)
}
