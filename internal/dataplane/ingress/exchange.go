package ingress

import (
	"context"
	"net/http"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
)

const (
	// maxPicks bounds the backends that are picked for one request. The route's MaxAttempts bounds only the attempts that
	// may have run; without maxPicks a request could go on from one rejecting backend to the next until its deadline.
	maxPicks = 6
	// noBackendRetryAfter is the Retry-After where no backend took the request.
	noBackendRetryAfter = 300 * time.Millisecond
)

// exchange is one client request with all its attempts. It belongs to the goroutine that serves the request.
type exchange struct {
	timing       timing
	handler      *Handler
	writer       http.ResponseWriter
	route        *configuration.Route
	request      *balancer.Request
	outgoing     backend.Request
	possibleRuns int  // attempts that a backend may have run; the route's MaxAttempts bounds them
	headersSent  bool // the client has received the status and headers of a response
}

// run makes attempts until the client has its response. It panics with http.ErrAbortHandler where a response that has
// begun cannot be completed: the server then closes the connection.
func (x *exchange) run(ctx context.Context) {
	defer x.logTiming()
	if x.isTooLateToBegin() {
		x.reject(drainingRetryAfter, string(balancer.RejectDraining))
		return
	}
	for range maxPicks {
		picked, err := x.handler.dispatcher.Pick(ctx, x.request)
		if err != nil {
			x.timeOut()
			return
		}
		if picked.Backend == nil {
			x.timing.decision = picked.Decision
			x.reject(picked.RetryAfter, string(picked.Rejection))
			return
		}
		if x.isTooLateToBegin() { // it may have been queued for long
			x.handler.dispatcher.Finish(x.request, picked.Backend, balancer.Canceled, 0)
			x.reject(drainingRetryAfter, string(balancer.RejectDraining))
			return
		}
		x.timing.notePicked(x.request.Arrived, picked.Decision)
		switch x.attempt(ctx, picked) {
		case attemptDone:
			return
		case attemptRetryable:
		case attemptInterrupted:
			if !x.route.Resumable || x.possibleRuns >= x.route.MaxAttempts {
				abort()
			}
		}
	}
	x.reject(noBackendRetryAfter, "no backend takes it")
}

// canRetry reports whether a request that may have run may be sent again.
func (x *exchange) canRetry() bool {
	return x.route.IsIdempotent() && x.possibleRuns < x.route.MaxAttempts
}

// isTooLateToBegin reports whether the proxy is draining and ends before a response could be complete, so that the
// request is to be rejected. Once a backend may have run the request, 503 would be a false promise: the exchange goes
// on.
func (x *exchange) isTooLateToBegin() bool {
	if x.headersSent || x.possibleRuns > 0 {
		return false
	}
	now := time.Now()
	sinceStart, left := now.Sub(x.handler.started), x.request.Deadline.Sub(now)
	return !x.handler.drain.canFinish(sinceStart, x.route.Kind, x.request.OutputTokens, left)
}

// reject ends the exchange with 503, or with 502 where the request may have run.
func (x *exchange) reject(retryAfter time.Duration, reason string) {
	x.timing.rejection = reason
	switch {
	case x.headersSent:
		abort()
	case x.possibleRuns > 0:
		http.Error(x.writer, reason, http.StatusBadGateway)
	default:
		reject(x.writer, retryAfter, reason)
	}
}

// timeOut ends an exchange whose client left or whose deadline passed: with 503, or with 504 where the request may have
// run.
func (x *exchange) timeOut() {
	switch {
	case x.headersSent:
		abort()
	case x.possibleRuns > 0:
		http.Error(x.writer, "no answer in time", http.StatusGatewayTimeout)
	default:
		reject(x.writer, noBackendRetryAfter, "no backend in time")
	}
}

// abort ends the client's connection: a response that ends early must not look complete.
func abort() { panic(http.ErrAbortHandler) }
