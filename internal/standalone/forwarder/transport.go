// Package forwarder forwards requests to backends. For each request it reports the request to the engine, makes the
// attempts that the policy decides on, and returns one response.
//
// transport.go contains the Transport and the event loop of a request, attempts.go the attempts of a request,
// requestinfo.go what a listener passes on with a request, response.go the responses, and loadpoller.go the load polls
// between requests.
package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/requestbody"
)

// Exchanger makes one exchange with a backend: a *backend.Pool, except in tests.
type Exchanger interface {
	Exchange(ctx context.Context, id policy.ServerID, a backend.Attempt) backend.Result
}

// responseMargin is the time between the end of the last attempt and the client's deadline. It lets the response to the
// policy's final decision reach the client before it times out.
const responseMargin = 15 * time.Millisecond

// Transport is an http.RoundTripper that makes exactly the attempts that the policy decides on. The context of a
// request must carry a RequestInfo. It is safe for concurrent use.
type Transport struct {
	Engine   *engine.Engine
	Backends Exchanger
	// MaxRetryAfter is the longest Retry-After of a rejection, in microseconds. 0: rejections have no Retry-After.
	MaxRetryAfter atomic.Int64
	Log           *slog.Logger
}

var errNoRequestInfo = errors.New("the request has no deadline or no RequestInfo")

// RoundTrip returns the response to a request: a backend's response, the policy's rejection (503) or failure (502), or
// the response of endWithoutResponse if the context ends first. An error means that the client has disconnected, or
// that the context carries no RequestInfo or no deadline.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	info := RequestInfoFrom(ctx)
	if _, hasDeadline := ctx.Deadline(); info == nil || !hasDeadline && info.Stream == nil {
		return nil, errNoRequestInfo
	}
	if errors.Is(context.Cause(ctx), context.Canceled) { // the client disconnected before RoundTrip was called
		return nil, ctx.Err()
	}
	deadline := attemptDeadline(ctx, info)
	attemptCtx, release := newAttemptContext(ctx, info, deadline)
	call := t.Engine.Start(engine.Request{
		Class:       info.Class,
		Tenant:      info.Tenant,
		Work:        info.Work,
		AffinityKey: info.AffinityKey,
		Deadline:    deadline,
		BodyPending: info.Stream != nil,
	})
	a := newAttempts(t, call, req, info)
	defer a.releaseWhenDone(release)
	defer a.cancelPending() // runs after Abandon, and carries out the cancels that Abandon leads to
	defer call.Abandon()    // for a client that disconnected, or a panic; has no effect on a call that has ended

	for {
		select {
		case action := <-call.Actions():
			if resp := t.execute(attemptCtx, req, a, action); resp != nil {
				return resp, nil
			}
		case response := <-a.responses:
			info.Served = true
			return backendResponse(req, response), nil
		case <-ctx.Done():
			// At the deadline, a pending decision or response takes precedence. Otherwise a request that arrives with
			// no time left would time out (504), although the policy has rejected it (503).
			hasDecision := len(call.Actions())+len(a.responses) > 0
			if hasDecision && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
				continue
			}
			return t.endWithoutResponse(req, info)
		}
	}
}

// attemptDeadline returns the time by which all attempts must have ended. For a streamed body it is provisional: the
// policy plans as if the body were complete now, and newAttemptContext counts the real deadline from the last byte.
func attemptDeadline(ctx context.Context, info *RequestInfo) time.Time {
	if info.Stream != nil {
		return time.Now().Add(info.Stream.ClientTimeout - responseMargin)
	}
	clientDeadline, _ := ctx.Deadline()
	return clientDeadline.Add(-responseMargin)
}

// newAttemptContext returns the context of a request's attempts. It ends at deadline. For a streamed body it ends
// instead when the body breaks off, or when the client's time-out less responseMargin has passed since the last byte.
// The end of the client's context does not end it: when a client disconnects, the policy decides which attempts are
// canceled.
func newAttemptContext(ctx context.Context, info *RequestInfo, deadline time.Time) (context.Context, context.CancelFunc) {
	if info.Stream == nil {
		return context.WithDeadline(context.WithoutCancel(ctx), deadline)
	}
	attemptCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	go info.Stream.WatchDeadline(attemptCtx.Done(), responseMargin,
		func() { cancel(context.DeadlineExceeded) },
		func(error) { cancel(nil) })
	return attemptCtx, func() { cancel(nil) }
}

// execute carries out one action of the policy. It returns the response if the action ends the request, else nil.
func (t *Transport) execute(attemptCtx context.Context, req *http.Request, a *attempts,
	action policy.Action) *http.Response {
	switch action.Kind {
	case policy.SendAttempt:
		if hasDisconnected(req.Context()) {
			// The client has disconnected since the decision: the attempt is not made. Abandon must come first; after a
			// Finish without it the policy would decide on a retry.
			a.call.Abandon()
			a.call.Finish(action.Attempt, policy.NotSent, nil, time.Time{})
			return nil
		}
		a.start(attemptCtx, action)
	case policy.CancelAttempt:
		a.cancel(action.Attempt)
	case policy.RejectRequest:
		RequestInfoFrom(req.Context()).Rejected = true
		return rejectedResponse(req, min(action.After, t.MaxRetryAfter.Load()))
	case policy.FailRequest:
		return textResponse(req, http.StatusBadGateway, "no destination could answer\n")
	}
	return nil
}

// hasDisconnected reports whether a request's context has ended for another reason than its deadline.
func hasDisconnected(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// endWithoutResponse returns the result of a request whose context ended before the policy's final decision: 413 or 400
// for a body that is too large or broke off, 504 at the deadline, and an error if the client has disconnected.
func (t *Transport) endWithoutResponse(req *http.Request, info *RequestInfo) (*http.Response, error) {
	cause := context.Cause(req.Context())
	isTimeout := errors.Is(cause, context.DeadlineExceeded)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(cause, &tooLarge):
		return textResponse(req, http.StatusRequestEntityTooLarge, backend.ErrBodyTooLarge.Error()+"\n"), nil
	case info.Stream != nil && !errors.Is(cause, context.Canceled) && !isTimeout: // the cause is the error of the body
		return textResponse(req, http.StatusBadRequest, requestbody.ErrIncomplete.Error()+"\n"), nil
	case isTimeout:
		// The policy should have decided before the deadline. The client gets a response all the same.
		t.Log.Error("request still open at its deadline", "error", cause)
		return textResponse(req, http.StatusGatewayTimeout, "out of time\n"), nil
	}
	return nil, req.Context().Err() // the client has disconnected
}
