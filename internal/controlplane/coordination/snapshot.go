package coordination

import (
	"cmp"
	"slices"
	"time"

	"pumiceline/internal/message"
)

// Snapshot returns the complete state except Position, Group and NextGroup, which do not belong to the store. LeftMs of
// each hold is its remaining time at now. The snapshot shares no memory with the store. All lists are sorted, so the
// snapshots of two members that applied the same changes differ only in LeftMs.
func (s *Store) Snapshot(now time.Duration) message.CoordinationState {
	return message.CoordinationState{
		LastToken: s.locks.lastToken, LastNumber: s.lastNumber,
		Holds: s.locks.snapshot(now), KeyGroups: s.snapshotGroups(),
	}
}

// snapshot returns the holds, sorted by the names of their locks.
func (t *lockTable) snapshot(now time.Duration) []message.LockHold {
	holds := make([]message.LockHold, 0, len(t.holds))
	for _, held := range t.holds {
		grant := held.grant
		grant.LeftMs = remainingMs(held.endsAt - now)
		holds = append(holds, grant)
	}
	slices.SortFunc(holds, func(a, b message.LockHold) int { return cmp.Compare(a.Lock, b.Lock) })
	return holds
}

// remainingMs returns a time in whole milliseconds, rounded up. Rounded down, a hold that is passed to another member
// would end there too early.
func remainingMs(left time.Duration) int64 {
	return (max(0, left) + time.Millisecond - 1).Milliseconds()
}

// snapshotGroups returns the groups of keys, sorted by name.
func (s *Store) snapshotGroups() []message.KeyGroupState {
	groups := make([]message.KeyGroupState, 0, len(s.groups))
	for _, group := range s.groups {
		groups = append(groups, message.KeyGroupState{
			Name: group.name, Revision: group.revision, Horizon: group.horizon,
			Keys: group.snapshotKeys(), History: append([]message.KeyEvent{}, group.history...),
		})
	}
	slices.SortFunc(groups, func(a, b message.KeyGroupState) int { return cmp.Compare(a.Name, b.Name) })
	return groups
}

// snapshotKeys returns the newest event of each key, sorted by the names of the keys.
func (g *keyGroup) snapshotKeys() []message.KeyEvent {
	keys := make([]message.KeyEvent, 0, len(g.keys))
	for name, key := range g.keys {
		keys = append(keys, message.KeyEvent{Key: name, Value: key.value, Revision: key.revision})
	}
	slices.SortFunc(keys, func(a, b message.KeyEvent) int { return cmp.Compare(a.Key, b.Key) })
	return keys
}

// Restore replaces the state. A hold lasts for LeftMs from now on. If restarted is true, the state was read from this
// member's own disk after a restart. It is then unknown how long ago the state was written, so a hold lasts for its
// complete HoldMs. The age of events is measured from now.
func (s *Store) Restore(now time.Duration, state message.CoordinationState, restarted bool) {
	*s = *newStore(s.options, s.limits)
	s.lastNumber = state.LastNumber
	for _, grant := range state.Holds {
		left := grant.LeftMs
		if restarted {
			left = grant.HoldMs
		}
		s.locks.setHold(grant, now+milliseconds(left))
	}
	s.locks.lastToken = max(s.locks.lastToken, state.LastToken)
	for i := range state.KeyGroups {
		s.restoreGroup(now, &state.KeyGroups[i])
	}
}

// restoreGroup adds a group of keys to a store that does not have it.
func (s *Store) restoreGroup(now time.Duration, state *message.KeyGroupState) {
	group := s.addGroup(state.Name)
	group.revision, group.horizon = state.Revision, state.Horizon
	for _, event := range state.Keys {
		s.setKey(group, event)
	}
	for _, event := range state.History {
		s.addEvent(now, group, event)
	}
}
