package ingress

import (
	"time"

	"github.com/sirupsen/logrus"
)

// timing is where the time of a request went, for the log at debug level.
type timing struct {
	waited    time.Duration // until its first backend was chosen
	first     time.Duration // until its first event
	last      time.Duration
	longest   time.Duration // pause between events
	attempts  int
	hasEvents bool
}

func (t *timing) granted(arrived time.Time) {
	t.attempts++
	if t.attempts == 1 {
		t.waited = time.Since(arrived)
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

// logTiming tells of a request that was late by its route's aims.
func (x *exchange) logTiming() {
	if !logrus.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	t := &x.timing
	total := time.Since(x.request.Arrived)
	if t.first <= x.route.Aim && t.longest <= x.route.MaxPause && (t.hasEvents || total <= x.route.Aim) {
		return
	}
	logrus.WithFields(logrus.Fields{
		"route": x.route.Name, "model": x.request.Model, "backend": x.outgoing.Backend, "waited": t.waited.Milliseconds(),
		"first": t.first.Milliseconds(), "longest": t.longest.Milliseconds(), "total": total.Milliseconds(),
		"attempts": t.attempts, "prompt": x.request.PromptTokens, "events": t.hasEvents,
	}).Debug("late request")
}
