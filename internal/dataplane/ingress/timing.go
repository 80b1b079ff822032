package ingress

import (
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/dataplane/balancer"
	"pumiceline/internal/logkey"
)

// timing records the times of the stages of a request, for the log at debug level. Times are relative to the arrival.
type timing struct {
	queued          time.Duration // when the first backend was picked
	sent            time.Duration // when the last attempt began
	firstEvent      time.Duration
	lastEvent       time.Duration
	longestEventGap time.Duration
	attempts        int
	hasEvents       bool
	decision        balancer.Decision // of the last attempt
	rejection       string            // empty: the request was not rejected
	isComplete      bool              // a complete response was sent to the client
}

func (t *timing) recordPick(arrived time.Time, decision balancer.Decision) {
	t.attempts++
	t.sent, t.decision = time.Since(arrived), decision
	if t.attempts == 1 {
		t.queued = t.sent
	}
}

func (t *timing) recordEvent(arrived time.Time) {
	at := time.Since(arrived)
	if !t.hasEvents {
		t.hasEvents, t.firstEvent = true, at
	} else {
		t.longestEventGap = max(t.longestEventGap, at-t.lastEvent)
	}
	t.lastEvent = at
}

// logTiming logs the times of the request. tools/lossreport reads these records, so message and keys must match those
// in it.
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
