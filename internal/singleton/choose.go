package singleton

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidateFilter restricts the choice of a holder.
type candidateFilter struct {
	exclude string         // instance that must not be chosen; empty: none
	granted map[string]int // by instance, number of roles granted in this tick, which the state does not include yet
}

// chooseHolder returns the instance that should hold a role next, or an empty string if none is eligible. If an
// operator has set a desired holder, only that instance is considered. Otherwise it prefers the instance that holds the
// fewest roles, then the one in the zone that holds the fewest, then the newest build, then the first by rendezvous
// hashing, whose order differs from role to role.
func (m *LeaseManager) chooseHolder(now Time, role string, s *State, filter candidateFilter) string {
	if desired := s.Assignments[role].DesiredHolder; desired != "" {
		if desired != filter.exclude && m.isEligible(now, desired, role) {
			return desired
		}
		return ""
	}
	held := m.countHeldRoles(s, filter.granted)
	compare := func(x, y string) int {
		beatX, beatY := m.instances[x].heartbeat, m.instances[y].heartbeat
		return cmp.Or(
			cmp.Compare(held.byInstance[x], held.byInstance[y]),
			cmp.Compare(held.byZone[beatX.Zone], held.byZone[beatY.Zone]),
			cmp.Compare(beatY.Build, beatX.Build), // the newer one first
			cmp.Compare(rendezvousHash(role, x), rendezvousHash(role, y)),
			cmp.Compare(x, y))
	}
	best := ""
	for name := range m.instances {
		if name != filter.exclude && m.isEligible(now, name, role) && (best == "" || compare(name, best) < 0) {
			best = name
		}
	}
	return best
}

// isEligible reports whether an instance may be granted a role at now.
func (m *LeaseManager) isEligible(now Time, name, role string) bool {
	i := m.instances[name]
	return i != nil && (len(i.heartbeat.Roles) == 0 || slices.Contains(i.heartbeat.Roles, role)) && !i.heartbeat.Leaving &&
		m.isResponsive(now, i) && now >= m.penalizedUntil[name]
}

// isResponsive reports whether an instance sent a heartbeat within the last half of a lease duration. That is stricter
// than heartbeatTimeoutLeases: a grant to an instance that has just crashed would leave the role without a holder for a
// whole lease duration.
func (m *LeaseManager) isResponsive(now Time, i *instance) bool {
	return now-i.receivedAt < m.settings.LeaseDuration/2
}

// heldRoles counts the roles that have a holder.
type heldRoles struct {
	byInstance map[string]int
	byZone     map[string]int // counts only instances that the lease manager knows
}

func (m *LeaseManager) countHeldRoles(s *State, granted map[string]int) heldRoles {
	held := heldRoles{byInstance: map[string]int{}, byZone: map[string]int{}}
	maps.Copy(held.byInstance, granted)
	for _, a := range s.Assignments {
		if a.Holder != "" {
			held.byInstance[a.Holder]++
		}
	}
	for name, n := range held.byInstance {
		if i := m.instances[name]; i != nil {
			held.byZone[i.heartbeat.Zone] += n
		}
	}
	return held
}

// rendezvousHash orders instances differently for each role.
func rendezvousHash(role, instance string) uint64 {
	return xxhash.Sum64String(role + "\x00" + instance)
}
