package singleton

import (
	"fmt"
	"slices"
)

// Settings are the same at all members and instances of a fleet.
type Settings struct {
	Roles          []string // the roles that exist, in the order in which they are assigned
	LeaseDuration  Time     // a holder that makes no progress for this long loses its role
	MaxClockDrift  float64  // fraction by which a clock may run too fast or too slow
	PenaltyBackoff Time     // an instance whose lease expired is granted nothing for this long; doubled with each expiration
}

// Limits on the state that a member keeps. Names and counts come from the network, so each of them is bounded.
const (
	MaxRoles     = 64
	MaxInstances = 4096 // that a lease manager keeps; further ones are granted nothing

	maxRoleNameBytes    = 64
	maxTrackedInstances = 1024 // instances whose expirations are counted
	maxExpirationCount  = 5    // an instance's count stops here, and its penalty at 16 times the backoff
)

const (
	// heartbeatTimeoutLeases is the number of lease durations without a heartbeat after which an instance is removed.
	heartbeatTimeoutLeases = 1
	// minExpirationRetention is the minimum time for which expirations are kept after an instance's latest one.
	minExpirationRetention = 10 * minute
)

// Bounds of the settings.
const (
	minLeaseDuration = 100 * millisecond
	maxSettingTime   = hour // of a lease and of a penalty
	maxDrift         = 0.4
)

// SettingError is a setting that can't be used.
type SettingError struct {
	Key    string // as in deploy/fleet.toml
	Reason string
}

// Error implements error.
func (e *SettingError) Error() string { return e.Key + ": " + e.Reason }

// Validate returns the first setting that can't be used as a *SettingError.
func (s *Settings) Validate() error {
	switch {
	case len(s.Roles) == 0 || len(s.Roles) > MaxRoles:
		return &SettingError{"works", fmt.Sprintf("there are %d, not 1 to %d", len(s.Roles), MaxRoles)}
	case s.LeaseDuration < minLeaseDuration || s.LeaseDuration > maxSettingTime:
		return &SettingError{"lease", "it is not within 100ms and 1h"}
	case !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= maxDrift): // NaN fails too
		return &SettingError{"drift", fmt.Sprintf("%v is not within 0 and 0.4", s.MaxClockDrift)}
	case s.PenaltyBackoff < 0 || s.PenaltyBackoff > maxSettingTime:
		return &SettingError{"damp", "it is not within 0 and 1h"}
	}
	for i, role := range s.Roles {
		if role == "" || len(role) > maxRoleNameBytes || slices.Contains(s.Roles[:i], role) {
			reason := fmt.Sprintf("%q is empty, longer than %d bytes or there twice", role, maxRoleNameBytes)
			return &SettingError{fmt.Sprintf("works.%d", i), reason}
		}
	}
	return nil
}

// HoldTime returns for how long after it sent a heartbeat an instance may act, if the given remaining time of the lease
// was left when the heartbeat was received. With a clock that is slow by MaxClockDrift this ends before the lease does
// by a clock that is fast by as much: HoldTime/(1-MaxClockDrift) = remaining/(1+MaxClockDrift).
func (s *Settings) HoldTime(remaining Time) Time {
	return Time(float64(remaining) * (1 - s.MaxClockDrift) / (1 + s.MaxClockDrift))
}

// penalty returns for how long an instance with n expirations, at least one, is granted nothing: PenaltyBackoff times
// 2^(n-1).
func (s *Settings) penalty(n int) Time {
	return s.PenaltyBackoff << min(n, maxExpirationCount) >> 1
}
