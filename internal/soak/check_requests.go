package soak

import (
	"net/http"
	"slices"
	"time"
)

// clientPatience is how long a client waits for a response. It is sent as Time-Left-Ms and is the time-out of all routes.
const clientPatience = 5 * time.Second

// deadlineMargin is how long before the client's deadline a request that is cut counts as one whose deadline was reached: a
// hundredth of its time, which a proxy may keep for its own response.
const deadlineMargin = clientPatience / 100

// Own 4xx that machines in touch may answer: allowedDenials, and one in requestsPerDenial (DENIED).
const (
	allowedDenials    = 5
	requestsPerDenial = 500
)

// promises are the statuses that promise that the request has not run and never will.
var promises = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// checkLost checks that no connection ended without a complete response to a request that was read. It is judged around
// planned work and in calm times alike; a kill or a freeze of the process excuses it, and slowness where that may be why.
func checkLost(h *History, t *timeline) violations {
	var found violations
	for i := range h.Requests {
		request := &h.Requests[i]
		if request.Outcome != OutcomeCut || isCutExcused(h, t, request) {
			continue
		}
		found.add(RuleLost, request.EndedAt, "%s of %s at %s, sent at %.3fs, was cut after %v: ran %d times, %s",
			request.ID, request.Kind, request.Node, request.SentAt.Seconds(),
			(request.EndedAt - request.SentAt).Round(time.Millisecond), len(h.Executions[request.ID]), near(t, request))
	}
	return found
}

// near names the planned work around a request.
func near(t *timeline, request *Request) string {
	from := request.SentAt - t.bounds.Grace - t.bounds.DrainExtra
	if fault, ok := t.first(request.Node, from, request.EndedAt, FaultTerminate); ok {
		return "SIGTERM was " + (request.SentAt - fault.At).Round(time.Millisecond).String() + " before it"
	}
	if _, ok := t.first(request.Node, request.SentAt-t.bounds.Apply, request.EndedAt, FaultHangup); ok {
		return "near SIGHUP"
	}
	return "no signal was near"
}

func isCutExcused(h *History, t *timeline, request *Request) bool {
	from := request.SentAt - t.bounds.Quiet
	if t.has(request.Node, from, request.EndedAt, FaultKill, FaultFreeze, FaultThaw) ||
		t.isFrozenWithin(request.Node, from, request.EndedAt) {
		return true
	}
	if request.EndedAt-request.StartedAt >= clientPatience-deadlineMargin {
		return true
	}
	if !wasPassedOn(h, request) && request.EndedAt-request.SentAt <= t.bounds.LossSlack {
		return true // it was not read
	}
	return wasWorkingLate(h, t, request) || isCutBySlowness(h, t, request)
}

func wasPassedOn(h *History, request *Request) bool { return len(h.Executions[request.ID]) > 0 }

// isCutBySlowness says whether the machine held up the process, and that may be why it cut the request: it had not read it,
// or its grace time ran out. Slowness is no reason to cut a request before that which was passed on.
func isCutBySlowness(h *History, t *timeline, request *Request) bool {
	if !t.isSlowed(request.Node, request.SentAt-t.bounds.Quiet, request.EndedAt) {
		return false
	}
	span := t.bounds.Grace + t.bounds.DrainExtra
	terminated, ok := t.first(request.Node, request.SentAt-span, request.EndedAt, FaultTerminate)
	return !wasPassedOn(h, request) || ok && request.EndedAt > terminated.At+t.bounds.Grace/2
}

// wasWorkingLate says whether a backend still worked on the request in the second half of the grace time.
func wasWorkingLate(h *History, t *timeline, request *Request) bool {
	span := t.bounds.Grace + t.bounds.DrainExtra
	terminated, ok := t.first(request.Node, request.SentAt-span, request.EndedAt, FaultTerminate)
	if !ok {
		return false
	}
	secondHalf := terminated.At + t.bounds.Grace/2
	for _, execution := range h.Executions[request.ID] {
		if execution.EndedAt.IsZero() || h.moment(execution.EndedAt) > secondHalf {
			return true
		}
	}
	return false
}

// checkResponses reports what clients found wrong with responses.
func checkResponses(h *History, _ *timeline) violations {
	var found violations
	for _, request := range h.Requests {
		if request.Problem != "" {
			found.add(RuleMixed, request.EndedAt, "%s of %s at %s: %s", request.ID, request.Kind, request.Node, request.Problem)
		}
	}
	return found
}

// checkExecutions checks that a request ran once at most, that one that was rejected did not run, and that backends ran
// only what clients sent.
func checkExecutions(h *History, _ *timeline) violations {
	var found violations
	sent := map[string]bool{}
	for _, request := range h.Requests {
		sent[request.ID] = true
		runs := len(h.Executions[request.ID])
		if runs == 0 || request.Kind == KindReadOnly {
			continue
		}
		if runs > 1 {
			found.add(RuleTwice, request.EndedAt, "%s of %s at %s ran %d times", request.ID, request.Kind, request.Node, runs)
		}
		if request.Outcome == OutcomeComplete && slices.Contains(promises, request.Status) {
			found.add(RuleRefused, request.EndedAt, "%s of %s at %s got %d and ran", request.ID, request.Kind, request.Node,
				request.Status)
		}
	}
	for id := range h.Executions {
		if !sent[id] && !isProbeID(id) {
			found.add(RuleUnasked, 0, "%s ran and no client sent it", id)
		}
	}
	return found
}

// checkDenied counts 4xx that are no promise, from proxies in touch. The routes of requests are in every configuration.
func checkDenied(h *History, t *timeline) violations {
	var found violations
	denied, last := 0, Request{}
	for _, request := range h.Requests {
		isDenial := request.Outcome == OutcomeComplete && request.Status >= http.StatusMultipleChoices &&
			request.Status < http.StatusInternalServerError && !slices.Contains(promises, request.Status)
		if isDenial && t.isCalm(request.Node, request.SentAt, request.EndedAt) {
			denied, last = denied+1, request
		}
	}
	if denied > allowedDenials+len(h.Requests)/requestsPerDenial {
		found.add(RuleDenied, last.EndedAt, "%d requests of %d, the last with status %d at %s", denied, len(h.Requests),
			last.Status, last.Node)
	}
	return found
}
