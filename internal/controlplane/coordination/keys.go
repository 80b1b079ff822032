package coordination

import (
	"strings"
	"time"

	"pumiceline/internal/message"
)

// groupSeparator ends the group's part of a key's name.
const groupSeparator = "."

// keyGroup is a group of keys that share one sequence of revisions.
type keyGroup struct {
	name     message.KeyGroup
	revision message.Revision // of the newest put; the puts of a group have revisions 1, 2, 3, ... without gaps
	horizon  message.Revision // events up to this revision have been dropped from history
	keys     map[message.KeyName]keyState
	history  []message.KeyEvent // puts above horizon, in order
}

// keyState is the newest put of a key.
type keyState struct {
	value    string
	revision message.Revision
}

// GroupOf returns the group of a key: its name up to and including the first dot. A key without a dot forms a group of
// its own, named like the key. Names of the two kinds of groups cannot collide, because only names of the first kind
// have a dot.
func GroupOf(key message.KeyName) message.KeyGroup {
	before, _, isDotted := strings.Cut(string(key), groupSeparator)
	if !isDotted {
		return message.KeyGroup(key)
	}
	return message.KeyGroup(key[:len(before)+len(groupSeparator)])
}

// isGroup reports whether a name is a valid name of a group.
func isGroup(name message.KeyGroup) bool { return GroupOf(message.KeyName(name)) == name }

// group returns a group of keys. If none of its keys was ever put, it returns an empty group that is not part of the
// store.
func (s *Store) group(name message.KeyGroup) *keyGroup {
	if group := s.groups[name]; group != nil {
		return group
	}
	return &keyGroup{name: name}
}

// put sets a key if its revision is the expected one. If the value is the key's current value or is in the history of
// the key, the call is a repeat of that put and is answered with the revision that the put got the first time.
func (s *Store) put(call *message.Call) Result {
	group := s.group(GroupOf(call.Key))
	if revision, isRepeated := s.firstRevision(group, call.Key, call.Value); isRepeated {
		return Result{Answer: message.Answer{Status: StatusOK, Revision: revision}}
	}
	if current := group.keys[call.Key]; !call.IfAny && current.revision != call.IfRevision {
		return Result{Answer: message.Answer{Status: StatusRevisionMismatch, Revision: current.revision}}
	}
	if s.events.count >= s.limits.events || s.sizeAfterPut(group, call) > s.limits.stateBytes {
		return answerStatus(StatusInsufficientMemory)
	}
	event := &message.KeyEvent{Key: call.Key, Value: call.Value, Revision: group.revision + 1}
	return Result{
		Answer:  message.Answer{Status: StatusOK, Revision: event.Revision},
		Changes: []message.CoordinationChange{{Put: event}},
	}
}

// sizeAfterPut returns the size that all groups with their history would have after a put.
func (s *Store) sizeAfterPut(group *keyGroup, call *message.Call) int {
	size := s.groupBytes + s.events.bytes
	size += 2 * eventBytes(call.Key, call.Value) // once as the current value and once in the history
	if current, exists := group.keys[call.Key]; exists {
		size -= eventBytes(call.Key, current.value)
	}
	if group.revision == 0 {
		size += groupBytes(group.name)
	}
	return size
}

// firstRevision returns the revision that the put of a value to a key got, if the put is still known.
func (s *Store) firstRevision(
	group *keyGroup, key message.KeyName, value string,
) (revision message.Revision, isKnown bool) {
	if current, exists := group.keys[key]; exists && current.value == value {
		return current.revision, true
	}
	revision, isKnown = s.events.revisions[putID{key, value}]
	return revision, isKnown
}

// get reads a key.
func (s *Store) get(key message.KeyName) Result {
	current, exists := s.group(GroupOf(key)).keys[key]
	if !exists {
		return answerStatus(StatusNotFound)
	}
	return Result{Answer: message.Answer{Status: StatusOK, Value: current.value, Revision: current.revision}}
}

// applyPut applies a put, which becomes the newest one of its key and group.
func (s *Store) applyPut(now time.Duration, event message.KeyEvent) {
	group := s.addGroup(GroupOf(event.Key))
	group.revision = event.Revision
	s.setKey(group, event)
	s.addEvent(now, group, event)
}

// addGroup returns a group and creates it if necessary.
func (s *Store) addGroup(name message.KeyGroup) *keyGroup {
	group := s.groups[name]
	if group == nil {
		group = &keyGroup{name: name, keys: map[message.KeyName]keyState{}}
		s.groups[name] = group
		s.groupBytes += groupBytes(name)
	}
	return group
}

// setKey sets the current value of a key.
func (s *Store) setKey(group *keyGroup, event message.KeyEvent) {
	if previous, exists := group.keys[event.Key]; exists {
		s.groupBytes -= eventBytes(event.Key, previous.value)
	}
	group.keys[event.Key] = keyState{value: event.Value, revision: event.Revision}
	s.groupBytes += eventBytes(event.Key, event.Value)
}
