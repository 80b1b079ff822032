package backend

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"pumiceline/internal/standalone/policy"
)

// loadReportPath is the path at which a backend reports its load.
const loadReportPath = "/status/load"

// PollLoad requests a backend's load and waits for the response until ctx ends. With the Outcome OK the result has a
// Report, or none if the backend has nothing to report yet; with every other Outcome it has an Err. A poll uses a
// connection of the pool, as a request does, but it has no correlation ID and no metric counts it.
func (p *Pool) PollLoad(ctx context.Context, id policy.ServerID) Result {
	c, err := p.acquire(ctx, id)
	if err != nil {
		return failedResult(err)
	}
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	result, reusable := p.pollLoad(ctx, c)
	p.release(c, stop() && reusable)
	return result
}

// pollLoad runs a load poll on a connection, and returns whether the connection can be used again.
func (p *Pool) pollLoad(ctx context.Context, c *conn) (result Result, reusable bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+loadReportPath, nil)
	if err != nil {
		return Result{Outcome: policy.NotSent, Err: fmt.Errorf("load poll: %w", err)}, true
	}
	if !p.isReady(c.backend) {
		return Result{Outcome: policy.NotSent, Err: errNotReady}, true
	}
	if _, err := c.nc.Write([]byte("GET " + loadReportPath + " HTTP/1.1\r\nHost: " + c.addr + "\r\n\r\n")); err != nil {
		return Result{Outcome: outcomeUnsent(ctx), Err: fmt.Errorf("write a load poll: %w", err)}, false
	}
	deadline, _ := ctx.Deadline()
	received, err := c.readResponse(p, req, deadline)
	if err != nil {
		outcome := outcomeAfter(ctx, policy.ConnectionReset)
		return Result{Outcome: outcome, Err: fmt.Errorf("read a load report: %w", err)}, false
	}
	if received.response.Stream != nil { // over MaxBufferedBody: not a load report
		received.response.Stream.(*stream).abandon()
		return Result{Outcome: policy.ErrorResponse, Err: ErrBodyTooLarge}, false
	}
	if received.status != http.StatusOK {
		err := fmt.Errorf("load poll: status %d", received.status)
		return Result{Outcome: policy.ErrorResponse, Err: err}, received.reusable
	}
	report, err := p.parsePolledReport(received.response.Body)
	if err != nil {
		p.warnMalformed("malformed load report", c.backend, err)
		return Result{Outcome: policy.ErrorResponse, Err: err}, received.reusable
	}
	return Result{Outcome: policy.OK, Report: report}, received.reusable
}

// parsePolledReport reads the body of the response to a load poll: a report with or without its prefix "TEXT", or
// nothing, for which it returns nil.
func (p *Pool) parsePolledReport(body []byte) ([]float32, error) {
	text := strings.TrimSpace(string(body))
	if text == "" || text == "TEXT" {
		return nil, nil
	}
	if !strings.HasPrefix(text, reportPrefix) {
		text = reportPrefix + text
	}
	return ParseReport(text, p.columns())
}
