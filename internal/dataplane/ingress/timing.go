package ingress

import (
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/dataplane/balancer"
	"pumiceline/internal/logkey"
)

// timing records where the time of a request went, for the log at debug level. Times count from the arrival.
type timing struct {
	queued          time.Duration // until its first backend was picked
	sent            time.Duration // until its last attempt began
	firstEvent      time.Duration
	lastEvent       time.Duration
	longestEventGap time.Duration
	attempts        int
	hasEvents       bool
	decision        balancer.Decision // of the last attempt
	rejection       string            // empty: it was not rejected
	isComplete      bool              // the client was sent a complete response
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
		t.longestEventGap = max(t.longestEventGap, at-t.lastEvent)
	}
	t.lastEvent = at
}

// logTiming logs where the time of the request went. tools/lossreport reads these records: it knows message and keys.
func (x *exchange) logTiming() {
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	t := &x.timing
	logrus.WithFields(logrus.Fields{
		logkey.Request: x.outgoing.ID, logkey.Route: x.route.Name, logkey.Priority: x.route.Priority,
		logkey.Model: x.request.Model, logkey.PromptTokens: x.request.PromptTokens,
		logkey.OutputTokens: x.request.OutputTokens, logkey.LatencyTargetMs: x.route.LatencyTarget.Milliseconds(),
		logkey.MaxEventGapMs: x.route.MaxEventGap.Milliseconds(),

		logkey.QueuedMs: t.queued.Milliseconds(), logkey.SentMs: t.sent.Milliseconds(),
		logkey.FirstEventMs: t.firstEvent.Milliseconds(), logkey.LongestEventGapMs: t.longestEventGap.Milliseconds(),
		logkey.TotalMs: time.Since(x.request.Arrived).Milliseconds(),

		logkey.Attempts: t.attempts, logkey.Backend: x.outgoing.BackendID, logkey.Candidates: t.decision.Candidates,
		logkey.InFlight: t.decision.InFlight, logkey.QueuedPrefillMs: t.decision.QueuedPrefill.Milliseconds(),
		logkey.WaitReason: t.decision.WaitReason, logkey.Rejection: t.rejection,
		logkey.HasEvents: t.hasEvents, logkey.Complete: t.isComplete,
	}).Debug("request done")
}
