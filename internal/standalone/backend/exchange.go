package backend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"pumiceline/internal/standalone/policy"
)

// unprocessedHeader, with the value "1" in an error response, says that the backend has not executed the request.
const unprocessedHeader = "X-Unprocessed"

var (
	errAttemptEnded       = errors.New("not sent: the attempt has ended or the backend is draining")
	errClientDisconnected = errors.New("not sent: the client has disconnected")
	errWriteByExceeded    = errors.New("not sent: the time for a retry has passed")
	errResponseTooLate    = errors.New("the streamed response arrived too late")
)

// Exchange sends a request to a backend and waits for the response until ctx ends. It returns a buffered response once
// it is complete, and a streamed response once it is clear that it has to be streamed. The request is written once:
// http.Transport would by itself send it again after a reused connection breaks, and the policy would not be notified
// of that attempt.
//
// If the client disconnects before the request's last byte is written, the exchange is aborted, even if the settings
// forbid canceling attempts: that rule applies to requests that a backend may have begun to execute.
func (p *Pool) Exchange(ctx context.Context, id policy.ServerID, a Attempt) Result {
	if a.Body.Stream != nil && a.Body.Stream.IsClaimed() {
		return Result{Outcome: policy.NotSent, Err: errBodyConsumed}
	}
	c, err := p.acquireForAttempt(ctx, id, &a)
	if err != nil {
		return failedResult(err)
	}
	// The end of ctx closes the connection, which ends its reads and writes.
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	result, reusable := p.exchange(ctx, c, &a)
	if result.Response != nil && result.Response.Stream != nil {
		s := result.Response.Stream.(*stream)
		if !stop() { // ctx has ended since, and the connection is closed
			s.abandon()
			p.release(c, false)
			return Result{Outcome: outcomeAfter(ctx, policy.ConnectionReset), Err: errResponseTooLate}
		}
		s.startForwarding() // the stream releases the connection at its end
		return result
	}
	p.release(c, stop() && reusable) // before the outcome is reported: an ended attempt must not hold a connection
	return result
}

// acquireForAttempt calls acquire, and cancels it when the attempt ends, the client disconnects or WriteBy passes. In
// the last two cases the outcome is policy.NotSent, since the backend is not at fault.
func (p *Pool) acquireForAttempt(ctx context.Context, id policy.ServerID, a *Attempt) (*conn, error) {
	acquireCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.Request.Context(), cancel)()
	if !a.WriteBy.IsZero() {
		defer time.AfterFunc(time.Until(a.WriteBy), cancel).Stop()
	}
	c, err := p.acquire(acquireCtx, id)
	if err != nil && acquireCtx.Err() != nil && ctx.Err() == nil {
		err = fmt.Errorf("the client disconnected, or the time for a retry passed: %w", err)
		return nil, &exchangeError{outcome: policy.NotSent, cause: err}
	}
	return c, err
}

// exchange runs an exchange on a connection, and returns whether the connection can be used again.
func (p *Pool) exchange(ctx context.Context, c *conn, a *Attempt) (result Result, reusable bool) {
	if err := p.sendRequest(ctx, c, a); err != nil {
		return failedResult(err), leavesConnReusable(err)
	}
	var bodySentAt time.Time
	if a.Body.Stream != nil {
		bodySentAt = time.Now()
	}
	if p.opts.OnRequestWritten != nil {
		p.opts.OnRequestWritten()
	}
	deadline, ok := ctx.Deadline()
	if !ok && a.Body.Stream != nil {
		deadline = bodySentAt.Add(a.Body.Stream.ClientTimeout)
	}
	result, reusable = p.receive(ctx, c, a.Request, deadline)
	result.BodySentAt = bodySentAt
	return result, reusable
}

// sendRequest writes the request if checkMaySend allows it. Its errors are *exchangeError and mean that the last byte
// was not written, so that the request has not been executed.
func (p *Pool) sendRequest(ctx context.Context, c *conn, a *Attempt) error {
	head, err := encodeRequest(ctx, a.Request, a.Body)
	if err != nil {
		return &exchangeError{outcome: policy.NotSent, cause: err}
	}
	if err := p.checkMaySend(ctx, c, a); err != nil {
		return &exchangeError{outcome: outcomeAfter(ctx, policy.NotSent), cause: err, connReusable: true}
	}
	return c.send(ctx, a, head)
}

// checkMaySend returns an error if a request may no longer be sent. While its connection was being made, the attempt
// may have ended, the backend may have begun to drain, WriteBy may have passed, or the client may have disconnected.
func (p *Pool) checkMaySend(ctx context.Context, c *conn, a *Attempt) error {
	switch {
	case ctx.Err() != nil || !p.isReady(c.backend):
		return errAttemptEnded
	case !a.canWrite():
		return errWriteByExceeded
	case a.Request.Context().Err() != nil || a.ClientDisconnected != nil && a.ClientDisconnected():
		return errClientDisconnected
	}
	return nil
}

// receive reads the response to a request that has been sent.
func (p *Pool) receive(ctx context.Context, c *conn, req *http.Request, deadline time.Time) (
	result Result, reusable bool) {
	received, err := c.readResponse(p, req, deadline)
	if err != nil {
		outcome := outcomeAfter(ctx, policy.ConnectionReset)
		if ctx.Err() == nil && !c.source.ended {
			// The connection is intact, so this is an invalid response, not a truncated one: the backend may have executed
			// the request.
			p.warnMalformed("malformed response", c.backend, err)
			outcome = policy.ErrorResponse
		}
		return Result{Outcome: outcome, Err: fmt.Errorf("read the response: %w", err)}, false
	}
	result.Outcome = outcomeOfResponse(received.status, received.response.Header)
	if result.Outcome == policy.OK {
		result.Response = received.response
	}
	result.Report = p.takeReport(c.backend, received.response.Header)
	return result, received.reusable
}

// takeReport returns the load report of a response, if it has one, and removes it.
func (p *Pool) takeReport(b *backendState, header http.Header) []float32 {
	text, columns := header.Get(ReportHeader), p.columns()
	if text == "" || len(columns) == 0 {
		return nil
	}
	header.Del(ReportHeader)
	report, err := ParseReport(text, columns)
	if err != nil {
		p.warnMalformed("malformed load report", b, err)
		return nil
	}
	return report
}

// outcomeOfResponse is the outcome of an attempt that got a response.
func outcomeOfResponse(status int, header http.Header) policy.Outcome {
	switch status {
	case http.StatusOK:
		return policy.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if header.Get(unprocessedHeader) == "1" {
			return policy.Rejected
		}
	}
	return policy.ErrorResponse // the backend may have executed the request
}

// outcomeAfter is the outcome of an attempt without a response: ifRunning if ctx has not ended, else the outcome for
// the cause of its end.
func outcomeAfter(ctx context.Context, ifRunning policy.Outcome) policy.Outcome {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return ifRunning
	case !errors.Is(cause, context.DeadlineExceeded):
		return policy.Canceled
	case ifRunning == policy.NotSent: // the deadline passed before anything was sent
		return policy.NotSent
	}
	return policy.TimedOut
}

// outcomeUnsent is the outcome of an attempt whose request could not be written completely: it was not executed.
func outcomeUnsent(ctx context.Context) policy.Outcome {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return policy.Canceled
	}
	return policy.ConnectFailed
}
