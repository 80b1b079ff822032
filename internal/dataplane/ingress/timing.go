package ingress

import (
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/dataplane/balancer"
)

// timing is where the time of a request went, for the log at debug level.
type timing struct {
	waited    time.Duration // until its first backend was chosen
	sent      time.Duration // until its last attempt began
	first     time.Duration // until its first event
	last      time.Duration
	longest   time.Duration // pause between events
	attempts  int
	hasEvents bool
	choice    balancer.Choice // of the last attempt
	refusal   string          // why it was refused; empty: it was not
	whole     bool            // a whole answer was passed on
}

func (t *timing) granted(arrived time.Time, choice balancer.Choice) {
	t.attempts++
	t.sent, t.choice = time.Since(arrived), choice
	if t.attempts == 1 {
		t.waited = t.sent
	}
}

func (t *timing) event(arrived time.Time) {
	at := time.Since(arrived)
	if !t.hasEvents {
		t.hasEvents, t.first = true, at
	} else {
		t.longest = max(t.longest, at-t.last)
	}
	t.last = at
}

// logTiming tells where the time of a request went. tools/account reads these lines.
func (x *exchange) logTiming() {
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	t := &x.timing
	logrus.WithFields(logrus.Fields{
		"id": x.outgoing.ID, "route": x.route.Name, "priority": x.route.Priority, "model": x.request.Model,
		"prompt": x.request.PromptTokens, "output": x.request.OutputTokens,
		"aim": x.route.Aim.Milliseconds(), "pause": x.route.MaxPause.Milliseconds(),
		"waited": t.waited.Milliseconds(), "for": t.choice.Waited, "sent": t.sent.Milliseconds(),
		"first": t.first.Milliseconds(), "longest": t.longest.Milliseconds(), "total": time.Since(x.request.Arrived).Milliseconds(),
		"attempts": t.attempts, "backend": x.outgoing.Backend, "candidates": t.choice.Candidates,
		"running": t.choice.Running, "queued": t.choice.Queued.Milliseconds(),
		"events": t.hasEvents, "whole": t.whole, "refusal": t.refusal,
	}).Debug("request done")
}
