package soak

import "time"

// Bounds are the stated targets that a run is checked against. They come from the operators' documentation of a
// deployment, and have the keys of its settings. The core are the coordinators. A process is in touch if it runs
// undisturbed.
type Bounds struct {
	Quiet       time.Duration // quietMs: after this time without faults a process is in touch, and the core is stable
	Acknowledge time.Duration // ackMs: a change is acknowledged within this time while the core is stable
	Drain       time.Duration // drainMs: no request is sent to a backend this long after the list shows it as draining
	Grace       time.Duration // graceS: time between SIGTERM and SIGKILL
	LossSlack   time.Duration // lossSlackMs: a request that waited longer than this on its connection counts as read
	Apply       time.Duration // applyMs: an acknowledged change is in force at processes in touch within this time
	Downgrade   time.Duration // downgradeMs: for this long after it showed a version, a process may show an older one
	Stretch     time.Duration // stretchMs: added to Apply while the core is not stable
	Recovery    time.Duration // recoveryS: the system serves again within this time after the last fault
	History     time.Duration // historyS: a watch that resumes within this time misses no event
	Sync        time.Duration // syncS: a machine counts as lost for this long after its return, or its start if it is new
	Lease       time.Duration // leaseMs
	Thaw        time.Duration // thawMs
	MemoryBytes int64         // memory limit of a machine
	DrainExtra  time.Duration // the drain of a SIGTERM counts as lasting this long beyond Grace
	OwnEndSlack time.Duration // a signal within this time after the start of a process may end it
	// MaxRunDelay is the longest time that a process may wait for a processor between two samples. A process that waits
	// longer counts as slowed by the machine, like a slowed machine in the operators' documentation. The value is half
	// of the shortest bound, LossSlack.
	MaxRunDelay   time.Duration
	SlowExtra     time.Duration // extends bounds if the machine held up processes; equal to Recovery
	SlowThawShare int           // factor of Downgrade for a process that was frozen or slowed
}

// StatedBounds returns the figures of the operators' documentation.
func StatedBounds() Bounds {
	return Bounds{
		Quiet: 4 * time.Second, Acknowledge: 5 * time.Second, Drain: 4 * time.Second, Grace: 8 * time.Second, LossSlack: 200 * time.Millisecond,
		Apply: 2500 * time.Millisecond, Downgrade: 250 * time.Millisecond, Stretch: 6 * time.Second,
		Recovery: 15 * time.Second, History: 20 * time.Second, Sync: 4 * time.Second, Lease: 3 * time.Second, Thaw: 300 * time.Millisecond, MemoryBytes: memoryLimitMB << 20,
		DrainExtra: time.Second, OwnEndSlack: time.Second, MaxRunDelay: 100 * time.Millisecond, SlowExtra: 15 * time.Second,
		SlowThawShare: 8,
	}
}

// memoryLimitMB is the memory of a machine, in MiB.
const memoryLimitMB = 184

// recoveredShare is the share of requests that must be served after the recovery (rule RECOVER).
const recoveredShare = 0.25

// maxTolerance is the largest number of coordinators that may be lost at once according to the operators'
// documentation.
const maxTolerance = 2
