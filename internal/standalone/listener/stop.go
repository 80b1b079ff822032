package listener

import (
	"time"

	"pumiceline/internal/standalone/settings"
)

// What PROTOCOL promises of a planned restart: SIGKILL comes no sooner than the longest deadline, counted as
// countedAtMost where it is longer, and killAfter more after SIGTERM.
const (
	countedAtMost = 3 * time.Second
	killAfter     = 700 * time.Millisecond
	// beforeKill is how long before the earliest SIGKILL the last answer is due: room for the scheduler and the exit.
	beforeKill = 250 * time.Millisecond
	// closeBefore is how long before the last answer each answer starts to close its connection, so that a request taken
	// just before still has that long.
	closeBefore = time.Second
)

// stopTimes says, for a front that stops at stop with no successor and whose longest deadline is longest, from when each
// answer closes its connection and idle ones are closed (closeFrom), and by when every answer must have been given
// (lastAnswer). Until closeFrom the clients' kept connections go on being served: the front layer sends their new ones
// elsewhere, and the proxy that takes them may be stopping as well. Neither is before stop.
func stopTimes(stop time.Time, longest time.Duration) (closeFrom, lastAnswer time.Time) {
	lastAnswer = stop.Add(min(max(longest, 0), countedAtMost) + killAfter - beforeKill)
	closeFrom = lastAnswer.Add(-closeBefore)
	if closeFrom.Before(stop) {
		closeFrom = stop
	}
	return closeFrom, lastAnswer
}

// longestDeadline is the longest hard limit of s's classes.
func longestDeadline(s *settings.Settings) time.Duration {
	var longest time.Duration
	for _, c := range s.Classes {
		longest = max(longest, time.Duration(c.HardLimit)*time.Microsecond)
	}
	return longest
}
