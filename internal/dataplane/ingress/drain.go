package ingress

import (
	"sync/atomic"
	"time"

	"pumiceline/internal/controlplane/configuration"
)

const (
	// defaultTokenTime is the time per output token of a stream, from its request to its end, until one is observed.
	defaultTokenTime = 20 * time.Millisecond
	// minTokenTime and maxTokenTime bound the estimate of that time.
	minTokenTime = 2 * time.Millisecond
	maxTokenTime = 200 * time.Millisecond
	// tokenTimeUp and tokenTimeDown are the factors on the estimate after a slower and a faster stream. They are
	// 1 + q*step and 1 - (1-q)*step with q = 0.95 and step = 0.2, which follow the 95th percentile.
	tokenTimeUp   = 1.19
	tokenTimeDown = 0.99
	// streamOverhead is the time that a stream is assumed to take in addition to that of its tokens.
	streamOverhead = 300 * time.Millisecond
	// responseTime is the time that a response other than a stream is assumed to take.
	responseTime = 800 * time.Millisecond
	// drainingRetryAfter is the Retry-After of a draining proxy: other proxies can take the request at once.
	drainingRetryAfter = 50 * time.Millisecond
)

// drain knows when the process ends, and estimates which responses can be complete by then. A draining proxy rejects
// the other requests at once, so that the client retries at another proxy. The zero value is not draining; all methods
// may be called from any goroutine.
type drain struct {
	until     atomic.Int64 // nanoseconds since the handler's start; 0: not draining
	tokenTime atomic.Int64 // nanoseconds per token of a stream, a high quantile; 0: none was observed
}

// begin starts draining; until is when the process ends, as the time since the handler's start.
func (d *drain) begin(until time.Duration) { d.until.Store(max(1, int64(until))) }

func (d *drain) hasBegun() bool { return d.until.Load() != 0 }

// canFinish reports whether a request that is sent now would be finished before the process ends. sinceStart is the
// present time, since the handler's start; left is the time until the request's deadline.
func (d *drain) canFinish(sinceStart time.Duration, kind configuration.RouteKind, tokens int, left time.Duration) bool {
	until := time.Duration(d.until.Load())
	if until == 0 {
		return true
	}
	needed := responseTime
	if kind == configuration.Streaming {
		needed = streamOverhead + time.Duration(tokens)*d.perToken()
	}
	return sinceStart+min(needed, left) <= until
}

// observeStream takes the time from the request of a stream to its end. tokens is the number that the client announced,
// as canFinish gets it: a stream with fewer only lowers the estimate.
func (d *drain) observeStream(elapsed time.Duration, tokens int) {
	if tokens <= 0 {
		return
	}
	observed, estimate := elapsed/time.Duration(tokens), d.perToken()
	step := tokenTimeDown
	if observed > estimate {
		step = tokenTimeUp
	}
	next := time.Duration(float64(estimate) * step)
	d.tokenTime.Store(int64(min(maxTokenTime, max(minTokenTime, next)))) // a race loses one observation
}

func (d *drain) perToken() time.Duration {
	if estimate := d.tokenTime.Load(); estimate != 0 {
		return time.Duration(estimate)
	}
	return defaultTokenTime
}
