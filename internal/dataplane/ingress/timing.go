package ingress

import (
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/dataplane/balancer"
)

// timing records where the time of a request went, for the log at debug level. Times count from the arrival.
type timing struct {
	queued       time.Duration // until its first backend was picked
	sent         time.Duration // until its last attempt began
	firstEvent   time.Duration
	lastEvent    time.Duration
	longestPause time.Duration // between two events
	attempts     int
	hasEvents    bool
	decision     balancer.Decision // of the last attempt
	rejection    string            // empty: it was not rejected
	isComplete   bool              // the client was sent a complete response
}

func (t *timing) notePicked(arrived time.Time, decision balancer.Decision) {
	t.attempts++
	t.sent, t.decision = time.Since(arrived), decision
	if t.attempts == 1 {
		t.queued = t.sent
	}
}

func (t *timing) noteEvent(arrived time.Time) {
	at := time.Since(arrived)
	if !t.hasEvents {
		t.hasEvents, t.firstEvent = true, at
	} else {
		t.longestPause = max(t.longestPause, at-t.lastEvent)
	}
	t.lastEvent = at
}

// logTiming logs where the time of the request went. tools/lossreport reads these lines: it has to know their keys.
func (x *exchange) logTiming() {
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	t := &x.timing
	logrus.WithFields(logrus.Fields{
		"request": x.outgoing.ID, "route": x.route.Name, "priority": x.route.Priority, "model": x.request.Model,
		"prompt_tokens": x.request.PromptTokens, "output_tokens": x.request.OutputTokens,
		"latency_target_ms": x.route.LatencyTarget.Milliseconds(), "max_pause_ms": x.route.MaxEventGap.Milliseconds(),
		"queued_ms": t.queued.Milliseconds(), "wait_reason": t.decision.WaitReason, "sent_ms": t.sent.Milliseconds(),
		"first_event_ms": t.firstEvent.Milliseconds(), "longest_pause_ms": t.longestPause.Milliseconds(),
		"total_ms": time.Since(x.request.Arrived).Milliseconds(),
		"attempts": t.attempts, "backend": x.outgoing.Backend, "candidates": t.decision.Candidates,
		"in_flight": t.decision.InFlight, "queued_prefill_ms": t.decision.QueuedPrefill.Milliseconds(),
		"has_events": t.hasEvents, "complete": t.isComplete, "rejection": t.rejection,
	}).Debug("request done")
}
