package forwarder

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"pumiceline/internal/logkey"
	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/requestbody"
)

// attempts holds the attempts of one request. Its methods are called on RoundTrip's goroutine only, except run,
// exchange and reportBodySent, which run on goroutines of start.
type attempts struct {
	transport *Transport
	call      *engine.Call
	template  backend.Attempt        // what each attempt sends
	cancels   []context.CancelFunc   // by the attempt's number
	running   sync.WaitGroup         // attempts without an outcome
	responses chan *backend.Response // buffered for the one response that Call.Finish accepts
}

// newAttempts returns the attempts of a request, none of them started.
func newAttempts(t *Transport, call *engine.Call, req *http.Request, info *RequestInfo) *attempts {
	return &attempts{
		transport: t,
		call:      call,
		template: backend.Attempt{
			Request:            req,
			ClientDisconnected: info.ClientDisconnected,
			Body:               backend.Body{Buffered: info.Body, Stream: info.Stream},
		},
		responses: make(chan *backend.Response, 1),
	}
}

// start starts an attempt. Its outcome is reported to the engine exactly once, even if it is canceled or panics.
func (a *attempts) start(ctx context.Context, action policy.Action) {
	ctx, cancel := context.WithCancel(ctx)
	a.cancels = append(a.cancels, cancel)
	if int(action.Attempt) != len(a.cancels)-1 {
		a.transport.Log.Error("attempt out of order", logkey.Attempt, action.Attempt)
	}
	if action.After > 0 {
		ctx, cancel = context.WithTimeout(ctx, engine.Duration(action.After))
	}
	attempt := a.template
	if action.SendBefore > 0 {
		attempt.WriteBy = a.transport.Engine.TimeOf(action.SendBefore)
	}
	done := make(chan struct{})
	if attempt.Body.Stream != nil {
		go a.reportBodySent(action.Attempt, attempt.Body.Stream, done)
	}
	a.running.Go(func() {
		defer close(done)
		defer cancel()
		a.run(ctx, action, attempt)
	})
}

// run makes an attempt, reports its outcome, and passes on its response if the engine accepts it.
func (a *attempts) run(ctx context.Context, action policy.Action, attempt backend.Attempt) {
	result := a.exchange(ctx, action.Server, attempt)
	if result.Err != nil {
		a.transport.Log.Debug("attempt ended", logkey.Attempt, action.Attempt, logkey.Backend, action.Server,
			"outcome", result.Outcome, "error", result.Err)
	}
	isFinal := a.call.Finish(action.Attempt, result.Outcome, result.Report, result.BodySentAt)
	switch {
	case isFinal:
		a.responses <- result.Response
	case result.Response != nil && result.Response.Stream != nil: // another attempt's response was accepted before
		result.Response.Stream.Close()
	}
}

// reportBodySent reports to the engine when a streamed body has been sent completely, since the backend cannot work on
// the request before that. done closes when the attempt has ended.
func (a *attempts) reportBodySent(attempt uint8, stream *requestbody.Stream, done <-chan struct{}) {
	select {
	case <-stream.Ended():
		if _, err := stream.End(); err == nil {
			a.call.BodySent(attempt)
		}
	case <-done:
	}
}

// exchange makes one exchange. It recovers from a panic, as an attempt without an outcome would leave its request open.
func (a *attempts) exchange(ctx context.Context, id policy.ServerID, attempt backend.Attempt) (result backend.Result) {
	defer func() {
		if p := recover(); p != nil {
			a.transport.Log.Error("attempt panicked", "panic", p, "stack", string(debug.Stack()))
			result = backend.Result{Outcome: policy.ConnectionReset} // the backend may have executed it
		}
	}()
	return a.transport.Backends.Exchange(ctx, id, attempt)
}

// cancel ends the context of an attempt. The attempt still reports its outcome.
func (a *attempts) cancel(attempt uint8) {
	if int(attempt) < len(a.cancels) {
		a.cancels[attempt]()
	}
}

// cancelPending carries out the actions that are pending when the request has ended: it cancels attempts, and reports
// attempts that are not started yet as not sent.
func (a *attempts) cancelPending() {
	for {
		select {
		case action := <-a.call.Actions():
			switch action.Kind {
			case policy.CancelAttempt:
				a.cancel(action.Attempt)
			case policy.SendAttempt:
				a.call.Finish(action.Attempt, policy.NotSent, nil, time.Time{})
			}
		default:
			return
		}
	}
}

// releaseWhenDone calls release, which frees the attempts' context, once all attempts have ended. If the settings
// forbid canceling, attempts continue after the response.
func (a *attempts) releaseWhenDone(release context.CancelFunc) {
	go func() {
		a.running.Wait()
		release()
		select {
		case response := <-a.responses: // accepted just after the client had disconnected
			if response.Stream != nil {
				response.Stream.Close()
			}
		default:
		}
	}()
}
