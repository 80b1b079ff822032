package soak

import (
	"net/http"
	"slices"
	"time"
)

// checkAnswersAmidLosses checks that each change gets a clear answer within Bounds.Recovery, as the losses of the run
// are within the tolerance at every moment. A second pass allows for the time in which the machine held up processes.
func checkAnswersAmidLosses(h *History, t *timeline) violations {
	if !h.HasLosses {
		return nil
	}
	if !t.isCoreSlowed(h.LoadFrom, h.StopFrom) {
		return checkAnsweredWithin(h, t.bounds.Recovery)
	}
	return checkAnsweredWithin(h, t.bounds.Recovery+t.slowExtra())
}

// checkAnsweredWithin is checkAnswersAmidLosses with a bound.
func checkAnsweredWithin(h *History, bound time.Duration) violations {
	var found violations
	for i := range h.Changes {
		change := &h.Changes[i]
		due := change.sentAt() + bound
		isAnswered := slices.ContainsFunc(change.Attempts, func(a Attempt) bool {
			return a.EndedAt <= due && (a.Status == http.StatusOK || isClearRejection(a.Status))
		})
		if due <= h.StopFrom && !isAnswered {
			found.add(RuleRecover, due, "%s, sent at %.3fs, got no clear answer within %v, though no more machines than the tolerance were lost",
				change.Marker, change.sentAt().Seconds(), bound)
		}
	}
	return found
}
