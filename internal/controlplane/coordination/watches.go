package coordination

import (
	"slices"

	"pumiceline/internal/message"
)

// watch reports the events of a group after a revision. If there are none and the call has a waiting time, it waits.
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

// HasEvents reports whether a waiting watch has events to report, so that the issuer should execute it again. It costs
// one map look-up.
func (s *Store) HasEvents(call message.Call) bool {
	return call.After == 0 || call.After != s.group(call.Group).revision
}

// countForAnswer returns how many of the events fit into one answer, starting with the oldest.
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
