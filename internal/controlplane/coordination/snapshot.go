package coordination

import (
	"cmp"
	"slices"
	"time"

	"pumiceline/internal/message"
)

// Snapshot returns the complete state but for Position, Group and NextGroup, which are not the store's. LeftMs of each hold
// is what is left at now. It shares no memory with the store. All lists are sorted, so the snapshots of two members that
// applied the same changes differ in LeftMs only.
func (s *Store) Snapshot(now time.Duration) message.CoordinationState {
	return message.CoordinationState{
		LastToken: s.locks.lastToken, LastNumber: s.lastNumber,
		Holds: s.locks.snapshot(now), KeyGroups: s.snapshotGroups(),
	}
}

// snapshot returns the holds by the names of their locks.
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

// remainingMs returns a time in milliseconds, rounded up: a hold that is handed over must not end earlier.
func remainingMs(left time.Duration) int64 {
	return (max(0, left) + time.Millisecond - 1).Milliseconds()
}

// snapshotGroups returns the groups of keys by their names.
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

// snapshotKeys returns the newest event of each key by the names of the keys.
func (g *keyGroup) snapshotKeys() []message.KeyEvent {
	keys := make([]message.KeyEvent, 0, len(g.keys))
	for name, key := range g.keys {
		keys = append(keys, message.KeyEvent{Key: name, Value: key.value, Revision: key.revision})
	}
	slices.SortFunc(keys, func(a, b message.KeyEvent) int { return cmp.Compare(a.Key, b.Key) })
	return keys
}

// Restore replaces the state. A hold goes on for LeftMs from now on, or, where restarted is true, for its complete HoldMs:
// the state is read from this member's own disk after a restart then, and how long ago it was written is not known. Events
// begin their age anew.
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
