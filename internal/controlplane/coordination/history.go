package coordination

import (
	"slices"
	"time"

	"pumiceline/internal/message"
)

// eventLog indexes the events in the histories of all groups by age, and by key and value.
type eventLog struct {
	byAge     []loggedEvent // in the order of receipt; may include events that have been dropped
	count     int           // number of events kept
	bytes     int           // size of the events kept
	revisions map[putID]message.Revision
}

// loggedEvent refers to an event and records its age.
type loggedEvent struct {
	group      *keyGroup
	revision   message.Revision
	receivedAt time.Duration // on this member's clock
}

// putID identifies a put. Applications put a value to a key only once, so a second put with the same value is a repeat.
type putID struct {
	key   message.KeyName
	value string
}

func newEventLog() eventLog { return eventLog{revisions: map[putID]message.Revision{}} }

// isDropped reports whether the event has been dropped from its group's history.
func (e *loggedEvent) isDropped() bool { return e.revision <= e.group.horizon }

// addEvent appends an event to its group's history. Its age is measured from now.
func (s *Store) addEvent(now time.Duration, group *keyGroup, event message.KeyEvent) {
	group.history = append(group.history, event)
	log := &s.events
	log.byAge = append(log.byAge, loggedEvent{group: group, revision: event.Revision, receivedAt: now})
	log.revisions[putID{event.Key, event.Value}] = event.Revision
	log.count++
	log.bytes += eventBytes(event.Key, event.Value)
}

// trimHistory drops the oldest events as long as the budget is exceeded and they are older than the retention.
func (s *Store) trimHistory(now time.Duration) (changes []message.CoordinationChange) {
	log := &s.events
	var trimmed []*keyGroup
	isTrimmed := map[*keyGroup]bool{}
	for s.exceedsEventBudget() && len(log.byAge) > 0 {
		oldest := log.byAge[0]
		if !oldest.isDropped() {
			if now-oldest.receivedAt <= s.options.HistoryRetention {
				break
			}
			s.dropEvents(oldest.group, oldest.revision)
			if !isTrimmed[oldest.group] {
				isTrimmed[oldest.group] = true
				trimmed = append(trimmed, oldest.group)
			}
		}
		log.byAge = log.byAge[1:]
	}
	for _, group := range trimmed {
		trim := &message.HistoryTrim{Group: group.name, Horizon: group.horizon}
		changes = append(changes, message.CoordinationChange{Trim: trim})
	}
	return changes
}

// exceedsEventBudget reports whether events older than the retention have to be dropped.
func (s *Store) exceedsEventBudget() bool {
	return s.events.count > s.limits.eventBudget || s.events.bytes > s.limits.eventBytesBudget
}

// applyTrim drops the events of a group up to a horizon.
func (s *Store) applyTrim(trim message.HistoryTrim) {
	group := s.groups[trim.Group]
	if group == nil {
		return
	}
	s.dropEvents(group, min(trim.Horizon, group.revision))
	s.events.compact()
}

// dropEvents removes the events up to a horizon from the history of a group.
func (s *Store) dropEvents(group *keyGroup, horizon message.Revision) {
	if horizon <= group.horizon {
		return
	}
	dropped := group.history[:group.firstAbove(horizon)]
	for _, event := range dropped {
		s.events.remove(event)
	}
	group.history = group.history[len(dropped):]
	clear(dropped)
	group.horizon = horizon
}

// remove removes a dropped event from the index. The entry of its value belongs to this event: until now a second put
// of the value was recognised as a repeat and created no event.
func (l *eventLog) remove(event message.KeyEvent) {
	delete(l.revisions, putID{event.Key, event.Value})
	l.count--
	l.bytes -= eventBytes(event.Key, event.Value)
}

// compact removes the dropped events from byAge once they are more than half of it.
func (l *eventLog) compact() {
	if len(l.byAge) > 2*l.count {
		l.byAge = slices.DeleteFunc(l.byAge, func(e loggedEvent) bool { return e.isDropped() })
	}
}

// firstAbove returns the index of the first event in the history above a revision.
func (g *keyGroup) firstAbove(revision message.Revision) int {
	index, _ := slices.BinarySearchFunc(g.history, revision, func(event message.KeyEvent, revision message.Revision) int {
		if event.Revision <= revision {
			return -1
		}
		return 1
	})
	return index
}
