// Package singleton assigns each singleton role of a fleet to at most one instance at a time, with leases and fencing
// tokens. It is a pure state machine: events go in, commands and responses come out; it has no clock, no network, no
// disk and no goroutines. Its parts run in different places:
//
//   - State is what a quorum of members agrees on, one Command of the replicated log after the other. It is the same at
//     every member that has applied as many of them.
//   - LeaseManager runs at the member that leads. It decides who is granted which role and whose lease has expired.
//   - Holder runs at each instance. It stops acting on a role before any other instance may be granted it.
//   - FencingGuard runs where effects arrive. It rejects what a former holder sends when the lease did not stop it.
//
// A value of any type of this package belongs to one goroutine, or is guarded by its owner's lock.
package singleton

// Time is a moment or a length of time on one process's monotonic clock, in microseconds. Moments are never compared
// between processes: at the holder a lease runs from when it sent the heartbeat that renewed it, at the lease manager from
// when it received that heartbeat, which is later.
type Time int64

// Lengths of time.
const (
	millisecond Time = 1_000
	second           = 1_000 * millisecond
	minute           = 60 * second
	hour             = 60 * minute
)
