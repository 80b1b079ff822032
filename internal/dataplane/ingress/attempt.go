package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
)

// maxDiscarded bounds how much of a rejection's body is read so that the connection can be reused.
const maxDiscarded = 64 << 10

// attemptResult decides how the exchange continues after an attempt.
type attemptResult int

const (
	attemptDone        attemptResult = iota // the exchange is complete: the client got a response or has disconnected
	attemptRetryable                        // another backend may be tried
	attemptInterrupted                      // the client got a part of the response; another backend may continue it
)

// attempt sends the request to one backend and copies its response to the client. It reports the outcome to the
// dispatcher exactly once, even if copying panics (see abort).
func (x *exchange) attempt(ctx context.Context, picked balancer.PickResult) attemptResult {
	target := picked.Backend
	began := time.Now()
	x.outgoing.BackendID, x.outgoing.Address = picked.BackendID, picked.Address
	x.outgoing.IsWithdrawn = target.IsWithdrawn
	response, err := x.handler.pool.Do(ctx, &x.outgoing)
	if err != nil {
		return x.handleError(ctx, target, began, err)
	}
	defer response.Close()
	if load, ok := backend.ParseLoad(response.Header.Get(backend.HeaderLoad)); ok {
		x.handler.dispatcher.ObserveLoad(target, load.Running, load.Waiting)
	}
	outcome := balancer.ErrorResponse // reported if copying panics
	defer func() { x.handler.dispatcher.Finish(x.request, target, outcome, time.Since(began)) }()
	if response.IsRejected() {
		outcome = rejectionOutcome(response)
		discard(response)
		return attemptRetryable
	}
	x.possibleRuns++
	var result attemptResult
	if !x.isStream(response) {
		result, outcome = x.copyResponse(ctx, response)
		return result
	}
	result, outcome = x.copyStream(ctx, response, func() {
		x.handler.dispatcher.FirstEvent(x.request, target, time.Since(began))
	})
	if outcome == balancer.Succeeded {
		x.handler.drain.observeStream(time.Since(began), x.request.OutputTokens)
	}
	return result
}

// isStream reports whether the response is a stream of events. Only responses with status 2xx can be.
func (x *exchange) isStream(response *backend.Response) bool {
	return response.Status >= 200 && response.Status <= 299 && x.route.Kind == configuration.Streaming
}

func rejectionOutcome(response *backend.Response) balancer.Outcome {
	if response.Status == http.StatusMisdirectedRequest {
		return balancer.Misdirected
	}
	return balancer.Rejected
}

// discard reads a short response so that its connection can be reused.
func discard(response *backend.Response) {
	// An error needs no handling: Close does not reuse the connection if the body was not read in full.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscarded))
}

// handleError ends an attempt without a response. If nothing was sent, it returns attemptRetryable, even if ctx has
// ended: then the next Pick fails and the exchange times out.
func (x *exchange) handleError(
	ctx context.Context, target *balancer.Backend, began time.Time, err error,
) attemptResult {
	var failure *backend.Error
	wasSent := !errors.As(err, &failure) || failure.Phase == backend.Sent
	outcome := balancer.Failed
	switch {
	case ctx.Err() != nil:
		outcome = balancer.Canceled
	case errors.Is(err, backend.ErrWithdrawn):
		outcome = balancer.Withdrawn
	case !wasSent:
		outcome = balancer.ConnectFailed
	}
	x.handler.dispatcher.Finish(x.request, target, outcome, time.Since(began))
	if !wasSent {
		return attemptRetryable
	}
	x.possibleRuns++
	result, _ := x.handleBreak(ctx, "the backend broke off")
	return result
}

// handleBreak ends an attempt whose request may have run and whose response is missing or truncated. No part of this
// attempt's response has been copied to the client, but an earlier attempt at a stream may have sent headers.
func (x *exchange) handleBreak(ctx context.Context, message string) (attemptResult, balancer.Outcome) {
	switch {
	case x.headersSent:
		return attemptInterrupted, balancer.ErrorResponse
	case ctx.Err() != nil:
		x.timeOut()
		return attemptDone, balancer.Canceled
	case x.canRetry():
		return attemptRetryable, balancer.ErrorResponse
	}
	http.Error(x.writer, message, http.StatusBadGateway)
	return attemptDone, balancer.ErrorResponse
}
