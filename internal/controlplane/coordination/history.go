package coordination

import (
	"slices"
	"time"

	"pumiceline/internal/message"
)

// eventLog knows the events in the histories of all groups by their age and by what was put.
type eventLog struct {
	byAge     []loggedEvent // in the order of receipt; events that were dropped since may be among them
	count     int           // of the events kept
	bytes     int           // size of the events kept
	revisions map[putID]message.Revision
}

// loggedEvent is an event with its age.
type loggedEvent struct {
	group      *keyGroup
	revision   message.Revision
	receivedAt time.Duration // on this member's clock
}

// putID identifies a put: applications put no value to a key twice, but for repeating a call.
type putID struct {
	key   message.KeyName
	value string
}

func newEventLog() eventLog { return eventLog{revisions: map[putID]message.Revision{}} }

// isDropped reports whether the event is not in its group's history any more.
func (e *loggedEvent) isDropped() bool { return e.revision <= e.group.horizon }

// addEvent appends an event to its group's history. Its age counts from now.
func (s *Store) addEvent(now time.Duration, group *keyGroup, event message.KeyEvent) {
	group.history = append(group.history, event)
	log := &s.events
	log.byAge = append(log.byAge, loggedEvent{group: group, revision: event.Revision, receivedAt: now})
	log.revisions[putID{event.Key, event.Value}] = event.Revision
	log.count++
	log.bytes += eventBytes(event.Key, event.Value)
}

// trimHistory drops the oldest events while there are more than the budget allows and they are older than the retention.
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

// exceedsEventBudget reports whether events are to be dropped as soon as they are old enough.
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

// dropEvents drops the events of a group up to a horizon from its history.
func (s *Store) dropEvents(group *keyGroup, horizon message.Revision) {
	if horizon <= group.horizon {
		return
	}
	dropped := group.history[:group.firstAbove(horizon)]
	for _, event := range dropped {
		s.events.forget(event)
	}
	group.history = group.history[len(dropped):]
	clear(dropped)
	group.horizon = horizon
}

// forget removes an event that is dropped. Its value cannot have been put again: it was recognised until now.
func (l *eventLog) forget(event message.KeyEvent) {
	delete(l.revisions, putID{event.Key, event.Value})
	l.count--
	l.bytes -= eventBytes(event.Key, event.Value)
}

// compact removes events that were dropped from the order of age once they are the most of it.
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
