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
	// maxPicks bounds how many backends are picked for one request. The route's MaxAttempts bounds only the attempts
	// that may have run. Without maxPicks a request could go from one rejecting backend to the next until its
	// deadline.
	maxPicks = 6
	// noBackendRetryAfter is the Retry-After if no backend accepted the request.
	noBackendRetryAfter = 300 * time.Millisecond
)

// exchange is one client request with all its attempts. Only the goroutine that serves the request uses it.
type exchange struct {
	timing       timing
	handler      *Handler
	writer       http.ResponseWriter
	route        *configuration.Route
	request      *balancer.Request
	outgoing     backend.Request
	possibleRuns int  // attempts that a backend may have run; the route's MaxAttempts bounds them
	headersSent  bool // the status and headers of a stream were sent to the client
}

// run makes attempts until the client has its response. It panics with http.ErrAbortHandler if a response that has
// begun cannot be completed. The server then closes the connection.
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
		if x.isTooLateToBegin() { // the request may have been queued for a long time
			x.handler.dispatcher.Finish(x.request, picked.Backend, balancer.Canceled, 0)
			x.reject(drainingRetryAfter, string(balancer.RejectDraining))
			return
		}
		x.timing.recordPick(x.request.Arrived, picked.Decision)
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

// canRetry reports whether the request may be sent again although it may have run.
func (x *exchange) canRetry() bool {
	return x.route.IsIdempotent() && x.possibleRuns < x.route.MaxAttempts
}

// isTooLateToBegin reports whether the request must be rejected because the proxy is draining and ends before a
// response could be complete. It returns false once a backend may have run the request: a 503 would promise that it
// has not run. The exchange then continues.
func (x *exchange) isTooLateToBegin() bool {
	if x.headersSent || x.possibleRuns > 0 {
		return false
	}
	now := time.Now()
	sinceStart, left := now.Sub(x.handler.started), x.request.Deadline.Sub(now)
	return !x.handler.drain.canFinish(sinceStart, x.route.Kind, x.request.OutputTokens, left)
}

// reject ends the exchange with 503, or with 502 if the request may have run.
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

// timeOut ends an exchange whose client has disconnected or whose deadline has passed: with 503, or with 504 if the
// request may have run.
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

// abort makes the server close the client's connection: the client must not take a truncated response for a complete
// one.
func abort() { panic(http.ErrAbortHandler) }
