package coordination

import (
	"slices"

	"pumiceline/internal/message"
)

// watch reports the events of a group above a revision, or waits for the first.
func (s *Store) watch(call *message.Call) Result {
	group := s.group(call.Group)
	switch {
	case call.After == 0:
		return watchResult(nil, group.revision)
	case call.After > group.revision:
		return answerStatus(StatusInvalid)
	case call.After < group.horizon:
		return answerStatus(StatusHistoryGone)
	case call.After == group.revision && call.WaitMs > 0:
		return Result{Waits: true}
	case call.After == group.revision:
		return watchResult(nil, group.revision)
	}
	events := group.history[group.firstAbove(call.After):]
	revision := group.revision
	if count := s.countForAnswer(events); count < len(events) {
		events = events[:count]
		revision = events[count-1].Revision
	}
	return watchResult(slices.Clone(events), revision)
}

// HasEvents reports whether a waiting watch has something to report now, so that the issuer executes it again. It costs one
// look-up.
func (s *Store) HasEvents(call message.Call) bool {
	return call.After == 0 || call.After != s.group(call.Group).revision
}

// countForAnswer returns how many of the events, of which the oldest come first, fit into one answer.
func (s *Store) countForAnswer(events []message.KeyEvent) int {
	bytes := 0
	for i, event := range events {
		bytes += eventBytes(event.Key, event.Value)
		if i == s.limits.answerEvents || i > 0 && bytes > s.limits.answerBytes {
			return i
		}
	}
	return len(events)
}

func watchResult(events []message.KeyEvent, revision message.Revision) Result {
	return Result{Answer: message.Answer{Status: StatusOK, Events: events, Revision: revision}}
}
