package ingress

import (
	"sync/atomic"
	"time"

	"pumiceline/internal/controlplane/configuration"
)

// A stopping proxy answers all that it takes. What it could not finish before the process ends it refuses at once,
// unrun, so that the client asks another proxy.

const (
	usualTokenTime  = 20 * time.Millisecond // a token of a stream, from its send to its end, before any was seen
	leastTokenTime  = 2 * time.Millisecond
	mostTokenTime   = 200 * time.Millisecond
	tokenTimeUp     = 1.19 // steps that settle where one stream in twenty is slower
	tokenTimeDown   = 0.99
	streamSlack     = 300 * time.Millisecond // first event and end of a stream
	wholeAnswerTime = 800 * time.Millisecond // an answer that is no stream
	departurePause  = 50 * time.Millisecond  // Retry-After: other proxies can take it at once
)

// departure knows when the process ends, and how long answers take.
type departure struct {
	until     atomic.Int64 // nanoseconds since the handler's start; 0: the process was not told to stop
	tokenTime atomic.Int64 // nanoseconds a token of a stream takes, a high quantile
}

// begin notes when the process ends.
func (d *departure) begin(until time.Duration) { d.until.Store(max(1, int64(until))) }

func (d *departure) hasBegun() bool { return d.until.Load() != 0 }

// learn takes what a stream took from its send to its end.
func (d *departure) learn(span time.Duration, tokens int) {
	if tokens <= 0 {
		return
	}
	seen, known := span/time.Duration(tokens), d.perToken()
	step := tokenTimeDown
	if seen > known {
		step = tokenTimeUp
	}
	next := time.Duration(float64(known) * step)
	d.tokenTime.Store(int64(min(mostTokenTime, max(leastTokenTime, next)))) // a lost race loses one observation
}

func (d *departure) perToken() time.Duration {
	if learnt := d.tokenTime.Load(); learnt != 0 {
		return time.Duration(learnt)
	}
	return usualTokenTime
}

// mustRefuse reports whether a request that is sent on at now could not be finished before the process ends. left is
// the time that its client gives it.
func (d *departure) mustRefuse(now time.Duration, kind configuration.RouteKind, tokens int, left time.Duration) bool {
	until := time.Duration(d.until.Load())
	if until == 0 {
		return false
	}
	needs := wholeAnswerTime
	if kind == configuration.Streaming {
		needs = streamSlack + time.Duration(tokens)*d.perToken()
	}
	return now+min(needs, left) > until
}
