package soak

import (
	"net/http"
	"slices"
	"time"
)

// clientTimeout is the time that a client gives a request. It is sent as Time-Left-Ms and is the timeout of all routes.
const clientTimeout = 5 * time.Second

// deadlineMargin is a hundredth of clientTimeout, which a proxy may reserve for its own response. A request that is cut
// within this time before the client's deadline counts as one that reached the deadline.
const deadlineMargin = clientTimeout / 100

// Limit on 3xx and 4xx responses of proxies in touch (DENIED): allowedDenials plus one per requestsPerDenial requests.
const (
	allowedDenials    = 5
	requestsPerDenial = 500
)

// notExecutedStatuses are the statuses that guarantee that the request has not run and never will.
var notExecutedStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// checkLost checks that no connection ended without a complete response to a request that was read. The check also
// covers SIGTERM and SIGHUP. A kill or a freeze of the process excuses the cut, and so does slowness that may have
// caused it.
func checkLost(h *History, t *timeline) violations {
	var found violations
	for i := range h.Requests {
		request := &h.Requests[i]
		if request.Outcome != OutcomeCut || isCutExcused(h, t, request) {
			continue
		}
		found.add(RuleLost, request.EndedAt, "%s of %s at %s, sent at %.3fs, was cut after %v: ran %d times, %s",
			request.ID, request.Kind, request.Node, request.SentAt.Seconds(),
			(request.EndedAt - request.SentAt).Round(time.Millisecond), len(h.Executions[request.ID]), nearbySignal(t, request))
	}
	return found
}

// nearbySignal describes the SIGTERM or SIGHUP close to a request.
func nearbySignal(t *timeline, request *Request) string {
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
	if request.EndedAt-request.StartedAt >= clientTimeout-deadlineMargin {
		return true
	}
	if !wasPassedOn(h, request) && request.EndedAt-request.SentAt <= t.bounds.LossSlack {
		return true // it counts as not read by the proxy
	}
	return wasExecutingLate(h, t, request) || mayBeCutBySlowness(h, t, request)
}

func wasPassedOn(h *History, request *Request) bool { return len(h.Executions[request.ID]) > 0 }

// mayBeCutBySlowness reports whether slowness of the machine may have caused the cut: the process was slowed, and it
// either had not passed on the request, or was in the second half of its grace time. Earlier, slowness does not excuse
// the cut of a request that was passed on to a backend.
func mayBeCutBySlowness(h *History, t *timeline, request *Request) bool {
	if !t.isSlowed(request.Node, request.SentAt-t.bounds.Quiet, request.EndedAt) {
		return false
	}
	span := t.bounds.Grace + t.bounds.DrainExtra
	terminated, ok := t.first(request.Node, request.SentAt-span, request.EndedAt, FaultTerminate)
	return !wasPassedOn(h, request) || ok && request.EndedAt > terminated.At+t.bounds.Grace/2
}

// wasExecutingLate reports whether a backend still executed the request in the second half of the grace time.
func wasExecutingLate(h *History, t *timeline, request *Request) bool {
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

// checkResponses reports the problems that clients found in responses.
func checkResponses(h *History, _ *timeline) violations {
	var found violations
	for _, request := range h.Requests {
		if request.Problem != "" {
			found.add(RuleMixed, request.EndedAt, "%s of %s at %s: %s", request.ID, request.Kind, request.Node, request.Problem)
		}
	}
	return found
}

// checkExecutions checks that a request other than a read-only one ran at most once and did not run if it was rejected,
// and that backends ran only requests that clients or the prober sent.
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
		if request.Outcome == OutcomeComplete && slices.Contains(notExecutedStatuses, request.Status) {
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

// checkDenied limits the 3xx and 4xx responses of proxies in touch, other than notExecutedStatuses. Every configuration
// has the routes of the requests, so that none should be denied.
func checkDenied(h *History, t *timeline) violations {
	var found violations
	denied, last := 0, Request{}
	for _, request := range h.Requests {
		isDenial := request.Outcome == OutcomeComplete && request.Status >= http.StatusMultipleChoices &&
			request.Status < http.StatusInternalServerError && !slices.Contains(notExecutedStatuses, request.Status)
		if isDenial && t.isUndisturbed(request.Node, request.SentAt, request.EndedAt) {
			denied, last = denied+1, request
		}
	}
	if denied > allowedDenials+len(h.Requests)/requestsPerDenial {
		found.add(RuleDenied, last.EndedAt, "%d requests of %d, the last with status %d at %s", denied, len(h.Requests),
			last.Status, last.Node)
	}
	return found
}
