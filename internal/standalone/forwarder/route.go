// Package forwarder carries one request through its life: it tells the planner of it, makes the attempts that the
// module asks for, and returns the one answer.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/requestbody"
)

// RequestInfo is what the front socket learnt of a request. The context that carries it has the client's deadline.
type RequestInfo struct {
	Class              uint8
	Tenant             uint32
	WorkHint           policy.Time
	SessionKey         uint64              // what the request is about; 0: not told
	Body               []byte              // as far as it is at hand
	Stream             *requestbody.Stream // what is still to come; nil: nothing. Its context has no deadline until that has come.
	ClientDisconnected func() bool         // whether the client has gone; it ends the context then. nil: the context knows by itself
	Answered           bool                // set by RoundTrip when a destination has answered
	Rejected           bool                // set by RoundTrip when the answer is a busy reply
}

type requestInfoKey struct{}

// WithRequestInfo returns a context that carries in.
func WithRequestInfo(ctx context.Context, in *RequestInfo) context.Context {
	return context.WithValue(ctx, requestInfoKey{}, in)
}

// RequestInfoFrom is what WithRequestInfo put into a context, or nil.
func RequestInfoFrom(ctx context.Context) *RequestInfo {
	in, _ := ctx.Value(requestInfoKey{}).(*RequestInfo)
	return in
}

// Exchanger makes one exchange with a destination.
type Exchanger interface {
	Exchange(ctx context.Context, id uint32, a backend.Attempt) backend.Result
}

// responseMargin is how long before the client's deadline attempts end, so that the module's last word still
// reaches a client that is about to leave.
const responseMargin = 15 * time.Millisecond

// Transport is an http.RoundTripper whose every attempt is the module's decision.
type Transport struct {
	Engine        *engine.Engine
	Backends      Exchanger
	MaxRetryAfter atomic.Int64 // the longest time to come back that is told, in microseconds
	Log           *slog.Logger
}

var errNoRequestInfo = errors.New("route: the request has no deadline or was not read by a front socket")

// RoundTrip is the life of one request.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	in := RequestInfoFrom(ctx)
	clientDeadline, hasDeadline := ctx.Deadline()
	if in == nil || !hasDeadline && in.Stream == nil {
		return nil, errNoRequestInfo
	}
	if errors.Is(context.Cause(ctx), context.Canceled) { // it left while it waited to come in
		return nil, ctx.Err()
	}

	// Request: the body is in. Steps have a context of their own: the module alone calls them off.
	deadline := clientDeadline.Add(-responseMargin)
	var attemptContext context.Context
	var release context.CancelFunc
	if in.Stream == nil {
		attemptContext, release = context.WithDeadline(context.WithoutCancel(ctx), deadline)
	} else { // the module reckons as if it were here: what it may still do afterwards, no attempt can
		deadline = time.Now().Add(in.Stream.ClientTimeout - responseMargin)
		long, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
		attemptContext, release = long, func() { cancel(nil) }
		go in.Stream.WatchDeadline(long.Done(), responseMargin, func() { cancel(context.DeadlineExceeded) }, func(error) { cancel(nil) })
	}
	call := t.Engine.Start(engine.Request{Class: in.Class, Tenant: in.Tenant, WorkHint: in.WorkHint, SessionKey: in.SessionKey, Deadline: deadline, BodyPending: in.Stream != nil})
	r := &attempts{transport: t, call: call, template: backend.Attempt{Request: req, ClientDisconnected: in.ClientDisconnected,
		Body: backend.Body{Buffered: in.Body, Stream: in.Stream}}, responses: make(chan *backend.Response, 1)}
	defer r.releaseAfter(release)
	defer r.cancelPending() // after Depart, which says what is to be called off
	defer call.Cancel()     // nothing once the call is over; otherwise the client left, or this function panicked

	for {
		select {
		case action := <-call.Actions():
			switch action.Kind {
			case policy.SendAttempt: // an attempt
				if ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
					call.Cancel() // it left in the same moment: the attempt is not made, and no other comes in its place
					call.Finish(action.Attempt, policy.NotSent, nil, time.Time{})
					continue
				}
				r.start(attemptContext, action)
			case policy.CancelAttempt:
				r.cancel(action.Attempt)
			case policy.RejectRequest: // a busy reply
				in.Rejected = true
				return rejectedResponse(req, min(action.After, t.MaxRetryAfter.Load())), nil
			case policy.FailRequest: // a failure
				return textResponse(req, http.StatusBadGateway, "no destination could answer\n"), nil
			}
		case answer := <-r.responses: // an answer
			in.Answered = true
			if answer.Stream != nil {
				return streamedResponse(req, answer), nil
			}
			return bufferedResponse(req, http.StatusOK, answer.Header, answer.Body), nil
		case <-ctx.Done():
			cause := context.Cause(ctx)
			if errors.Is(cause, context.DeadlineExceeded) && len(call.Actions())+len(r.responses) > 0 {
				continue // the last word is there, as for a request that came with no time left: it goes first
			}
			var long *http.MaxBytesError
			switch {
			case errors.As(cause, &long):
				return textResponse(req, http.StatusRequestEntityTooLarge, backend.ErrBodyTooLarge.Error()+"\n"), nil
			case in.Stream != nil && !errors.Is(cause, context.Canceled) && !errors.Is(cause, context.DeadlineExceeded):
				return textResponse(req, http.StatusBadRequest, "the body did not come whole\n"), nil
			case errors.Is(cause, context.DeadlineExceeded):
				// The module should have settled it by now. The client must get an answer all the same.
				t.Log.Error("a request was still open at its deadline", "error", cause)
				return textResponse(req, http.StatusGatewayTimeout, "out of time\n"), nil
			}
			return nil, ctx.Err() // the client left
		}
	}
}

// attempts is what RoundTrip keeps of a request's attempts.
type attempts struct {
	transport *Transport
	call      *engine.Call
	template  backend.Attempt      // what each attempt sends
	cancels   []context.CancelFunc // by attempt
	running   sync.WaitGroup       // attempts without an outcome
	responses chan *backend.Response
}

// start begins an attempt. Its outcome is told to the planner exactly once, whatever happens.
func (r *attempts) start(ctx context.Context, action policy.Action) {
	ctx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	if int(action.Attempt) != len(r.cancels)-1 {
		r.transport.Log.Error("an attempt is out of order", "attempt", action.Attempt)
	}
	if action.After > 0 {
		ctx, cancel = context.WithDeadline(ctx, time.Now().Add(time.Duration(action.After)*time.Microsecond))
	}
	sent := r.template
	if action.SendBefore > 0 {
		sent.WriteBy = r.transport.Engine.TimeOf(action.SendBefore)
	}
	done := make(chan struct{})
	if sent.Body.Stream != nil {
		go func() { // until then no destination is at work on it
			select {
			case <-sent.Body.Stream.Ended():
				if _, err := sent.Body.Stream.End(); err == nil {
					r.call.BodySent(action.Attempt)
				}
			case <-done:
			}
		}()
	}
	r.running.Go(func() {
		defer close(done)
		defer cancel()
		result := r.exchange(ctx, action.Server, sent)
		if result.Err != nil {
			r.transport.Log.Debug("attempt", "attempt", action.Attempt, "destination", action.Server,
				"outcome", result.Outcome, "error", result.Err)
		}
		if r.call.Finish(action.Attempt, result.Outcome, result.Report, result.BodySentAt) {
			r.responses <- result.Response
		} else if result.Response != nil && result.Response.Stream != nil {
			result.Response.Stream.Close() // too late
		}
	})
}

// exchange is one exchange that survives a panic: an attempt without an outcome would leave its request open.
func (r *attempts) exchange(ctx context.Context, id uint32, sent backend.Attempt) (result backend.Result) {
	defer func() {
		if p := recover(); p != nil {
			r.transport.Log.Error("an attempt panicked", "panic", p, "stack", string(debug.Stack()))
			result = backend.Result{Outcome: policy.ConnectionReset} // it may have run
		}
	}()
	return r.transport.Backends.Exchange(ctx, id, sent)
}

func (r *attempts) cancel(attempt uint8) {
	if int(attempt) < len(r.cancels) {
		r.cancels[attempt]()
	}
}

// cancelPending carries out what the module called off when it learnt that the request is over.
func (r *attempts) cancelPending() {
	for {
		select {
		case action := <-r.call.Actions():
			switch action.Kind {
			case policy.CancelAttempt:
				r.cancel(action.Attempt)
			case policy.SendAttempt: // decided just before the client left: it is not made
				r.call.Finish(action.Attempt, policy.NotSent, nil, time.Time{})
			}
		default:
			return
		}
	}
}

// releaseAfter frees the attempts' context once none needs it: where the deployment allows no cancelling, attempts go
// on after the answer.
func (r *attempts) releaseAfter(release context.CancelFunc) {
	go func() {
		r.running.Wait()
		release()
		select {
		case a := <-r.responses: // it came just after the client had left
			if a.Stream != nil {
				a.Stream.Close()
			}
		default:
		}
	}()
}

// rejectedResponse tells the client that trying again is harmless, and when the module wants it back.
func rejectedResponse(req *http.Request, after policy.Time) *http.Response {
	resp := textResponse(req, http.StatusServiceUnavailable, "busy\n")
	if after > 0 {
		resp.Header.Set("Retry-After", strconv.FormatFloat(float64(after)/1e6, 'f', 3, 64))
	}
	return resp
}

func textResponse(req *http.Request, status int, text string) *http.Response {
	return bufferedResponse(req, status, http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, []byte(text))
}

// streamedResponse is an answer that is passed on while it comes. Its length stands in the header alone: what ReverseProxy takes to have
// none is flushed piece by piece, and must be, as the next piece may take seconds.
func streamedResponse(req *http.Request, answer *backend.Response) *http.Response {
	resp := bufferedResponse(req, http.StatusOK, answer.Header, nil)
	resp.ContentLength, resp.Body = -1, answer.Stream
	if resp.Header.Del("Content-Length"); answer.Length >= 0 {
		resp.Header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	return resp
}

func bufferedResponse(req *http.Request, status int, header http.Header, body []byte) *http.Response {
	header.Set("Content-Length", strconv.Itoa(len(body)))
	return &http.Response{StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)), Request: req}
}
