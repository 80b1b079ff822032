// Package singleton assigns each singleton role of a fleet to at most one instance at a time, with leases and fencing
// tokens. It is a pure state machine: callers pass in events and carry out the commands and responses that it returns.
// It has no clock, no network, no disk and no goroutines. Its parts run in different places:
//
//   - State is the replicated state: the result of all Commands of the replicated log so far. It is the same at every
//     member that has applied the same number of commands.
//   - LeaseManager runs at the leader. It decides which instance is granted which role and which leases have expired.
//   - Holder runs at each instance. It stops acting on a role before any other instance can be granted the role.
//   - FencingGuard runs at the receivers of effects. It rejects the effects of a former holder that sends them although
//     its lease has ended.
//
// The types of this package are not safe for concurrent use: each value belongs to one goroutine, or is guarded by a
// lock of its owner.
package singleton

// Time is a point in time or a duration on one process's monotonic clock, in microseconds. Points in time are never
// compared between processes: the holder counts a lease from when it sent the heartbeat that renewed the lease, the
// lease manager from when it received that heartbeat, which is later.
type Time int64

// Durations.
const (
	millisecond Time = 1_000
	second           = 1_000 * millisecond
	minute           = 60 * second
	hour             = 60 * minute
)
