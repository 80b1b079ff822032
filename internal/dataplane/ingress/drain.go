package ingress

import (
	"sync/atomic"
	"time"

	"pumiceline/internal/controlplane/configuration"
)

const (
	// defaultTokenTime is the assumed time of a stream per output token, until one is observed. It covers the time
	// from the request to the end of the stream.
	defaultTokenTime = 20 * time.Millisecond
	// minTokenTime and maxTokenTime bound the estimate of the time per token.
	minTokenTime = 2 * time.Millisecond
	maxTokenTime = 200 * time.Millisecond
	// tokenTimeUp and tokenTimeDown are the factors on the estimate after a slower and a faster stream. They are
	// 1 + q*step and 1 - (1-q)*step with q = 0.99 and step = 0.2, so the estimate tracks the 99th percentile: a stream
	// that is cut costs far more than one that another proxy accepts.
	tokenTimeUp   = 1.198
	tokenTimeDown = 0.998
	// streamOverhead is the assumed time of a stream in addition to the time of its tokens.
	streamOverhead = 300 * time.Millisecond
	// responseTime is the assumed time of a response that is not a stream.
	responseTime = 800 * time.Millisecond
	// drainingRetryAfter is the Retry-After of a draining proxy. It is short because other proxies can accept the
	// request at once.
	drainingRetryAfter = 50 * time.Millisecond
)

// drain holds the time when the process ends, and estimates which responses can be complete by then. A draining proxy
// rejects the other requests at once, so that the client can retry at another proxy. The zero value is not draining.
// All methods may be called from any goroutine.
type drain struct {
	until     atomic.Int64 // nanoseconds since the handler's start; 0: not draining
	tokenTime atomic.Int64 // nanoseconds per token of a stream, a high quantile; 0: no stream has been observed
}

// begin starts draining. until is when the process ends, as the time since the handler's start.
func (d *drain) begin(until time.Duration) { d.until.Store(max(1, int64(until))) }

func (d *drain) hasBegun() bool { return d.until.Load() != 0 }

// canFinish reports whether a request that is sent now would be finished before the process ends. sinceStart is the
// time since the handler's start. left is the time until the request's deadline.
func (d *drain) canFinish(sinceStart time.Duration, kind configuration.RouteKind, tokens int, left time.Duration) bool {
	until := time.Duration(d.until.Load())
	if until == 0 {
		return true
	}
	needed := responseTime
	if kind == configuration.Streaming {
		needed = streamOverhead + time.Duration(tokens)*d.timePerToken()
	}
	return sinceStart+min(needed, left) <= until
}

// observeStream updates the estimate by the time from the request of a stream to its end. tokens is the maximum
// number that the client announced, as in canFinish. A stream with fewer tokens can only lower the estimate.
func (d *drain) observeStream(elapsed time.Duration, tokens int) {
	if tokens <= 0 {
		return
	}
	observed, estimate := elapsed/time.Duration(tokens), d.timePerToken()
	factor := tokenTimeDown
	if observed > estimate {
		factor = tokenTimeUp
	}
	next := time.Duration(float64(estimate) * factor)
	d.tokenTime.Store(int64(min(maxTokenTime, max(minTokenTime, next)))) // a concurrent update can be lost
}

func (d *drain) timePerToken() time.Duration {
	if estimate := d.tokenTime.Load(); estimate != 0 {
		return time.Duration(estimate)
	}
	return defaultTokenTime
}
