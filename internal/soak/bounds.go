package soak

import "time"

// Bounds are the stated targets that a run is checked against. They are those of the operators' page on a deployment, under
// the keys of its settings.
type Bounds struct {
	Quiet       time.Duration // quietMs: without faults for as long, a process is in touch and the core is stable
	Acknowledge time.Duration // ackMs: within which a change is acknowledged while the core is stable
	Grace       time.Duration // graceS: between SIGTERM and SIGKILL
	LossSlack   time.Duration // lossSlackMs: a request that waited longer on its connection counts as read
	Apply       time.Duration // applyMs: within which an acknowledged change is in force at processes in touch
	Downgrade   time.Duration // downgradeMs: within which a process that has shown a version may show an older one
	Stretch     time.Duration // stretchMs: added to Apply while the core is not stable
	Recovery    time.Duration // recoveryS: within which the system serves again after the last fault
	History     time.Duration // historyS: for which a watch may be away and miss nothing
	Lease       time.Duration // leaseMs
	Thaw        time.Duration // thawMs
	MemoryBytes int64         // the limit of a machine's memory
	DrainExtra  time.Duration // planned work of a SIGTERM lasts this long beyond Grace
	OwnEndSlack time.Duration // a process may end by itself within as long after a fault at it
	// MaxRunDelay is how long a process may wait for a processor between two samples. One that waits longer counts as slowed
	// by the machine, as on the operators' page a machine does that is slowed. It is half of the shortest bound, LossSlack.
	MaxRunDelay   time.Duration
	SlowExtra     time.Duration // by which bounds are extended where the machine held up processes: Recovery
	SlowThawShare int           // times Downgrade that count for a process that was frozen or slowed
}

// StatedBounds returns the figures of the operators' page.
func StatedBounds() Bounds {
	return Bounds{
		Quiet: 4 * time.Second, Acknowledge: 5 * time.Second, Grace: 8 * time.Second, LossSlack: 200 * time.Millisecond,
		Apply: 2500 * time.Millisecond, Downgrade: 250 * time.Millisecond, Stretch: 6 * time.Second,
		Recovery: 15 * time.Second, History: 20 * time.Second, Lease: 3 * time.Second, Thaw: 300 * time.Millisecond, MemoryBytes: memoryLimitMB << 20,
		DrainExtra: time.Second, OwnEndSlack: time.Second, MaxRunDelay: 100 * time.Millisecond, SlowExtra: 15 * time.Second,
		SlowThawShare: 8,
	}
}

// memoryLimitMB is the memory of a machine, in MiB.
const memoryLimitMB = 184

// recoveredShare is the part of requests that must be served after recovery: a quarter (RECOVER).
const recoveredShare = 0.25

// maxTolerance is how many coordinators the operators' page has lost at once.
const maxTolerance = 2
