package listener

import (
	"time"

	"pumiceline/internal/standalone/settings"
)

// What PROTOCOL promises of a planned restart: SIGKILL comes no sooner than the longest deadline, counted as
// maxCountedDeadline where it is longer, and killDelay more after SIGTERM.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	// killMargin is how long before the earliest SIGKILL the last answer is due: room for the scheduler and the exit.
	killMargin = 250 * time.Millisecond
	// closeLead is how long before the last answer each answer starts to close its connection, so that a request taken
	// just before still has that long.
	closeLead = time.Second
)

// shutdownTimes says, for a front that stops at stop with no successor and whose longest deadline is longest, from when each
// answer closes its connection and idle ones are closed (closeFrom), and by when every answer must have been given
// (lastAnswer). Until closeFrom the clients' kept connections go on being served: the front layer sends their new ones
// elsewhere, and the proxy that takes them may be stopping as well. Neither is before stop.
func shutdownTimes(stop time.Time, longest time.Duration) (closeFrom, lastAnswer time.Time) {
	lastAnswer = stop.Add(min(max(longest, 0), maxCountedDeadline) + killDelay - killMargin)
	closeFrom = lastAnswer.Add(-closeLead)
	if closeFrom.Before(stop) {
		closeFrom = stop
	}
	return closeFrom, lastAnswer
}

// longestHardLimit is the longest hard limit of s's classes.
func longestHardLimit(s *settings.Settings) time.Duration {
	var longest time.Duration
	for _, c := range s.Classes {
		longest = max(longest, time.Duration(c.ClientTimeout)*time.Microsecond)
	}
	return longest
}
