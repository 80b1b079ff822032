package backend

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"pumiceline/internal/standalone/policy"
)

// loadReportPath is where a destination tells its load.
const loadReportPath = "/status/load"

// PollLoad asks a destination for its load, until ctx ends. It goes over a connection like a request, but is none: it has no id, is
// counted nowhere, and its answer is of use only as a report. An error goes with every outcome but OK.
func (f *Pool) PollLoad(ctx context.Context, id uint32) (policy.Outcome, []float32, error) {
	c, outcome, err := f.acquire(ctx, id)
	if err != nil {
		return outcome, nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	outcome, report, reusable, err := f.pollLoad(ctx, c)
	f.release(c, stop() && reusable)
	return outcome, report, err
}

func (f *Pool) pollLoad(ctx context.Context, c *conn) (outcome policy.Outcome, report []float32, reusable bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+loadReportPath, nil)
	if err != nil {
		return policy.NotSent, nil, true, fmt.Errorf("a probe: %w", err)
	}
	if text := "GET " + loadReportPath + " HTTP/1.1\r\nHost: " + c.addr + "\r\n\r\n"; !f.isReady(c.backend) {
		return policy.NotSent, nil, true, errNotReady
	} else if _, err := c.nc.Write([]byte(text)); err != nil {
		return outcomeUnsent(ctx), nil, false, fmt.Errorf("writing a probe: %w", err)
	}
	by, _ := ctx.Deadline()
	status, answer, reusable, err := c.readResponse(by, f, req)
	if err != nil {
		return outcomeAfter(ctx, policy.ConnectionReset), nil, false, fmt.Errorf("reading a probe's answer: %w", err)
	}
	if answer.Stream != nil { // no report is as long
		answer.Stream.(*stream).abandon()
		return policy.ErrorResponse, nil, false, ErrBodyTooLarge
	}
	if status != http.StatusOK {
		return policy.ErrorResponse, nil, reusable, fmt.Errorf("a probe is answered with %d", status)
	}
	_, columns := f.currentSettings()
	text := strings.TrimSpace(string(answer.Body))
	if text == "" || text == "TEXT" { // it has nothing to tell yet
		return policy.OK, nil, reusable, nil
	}
	if !strings.HasPrefix(text, "TEXT ") { // the form that it has in a header
		text = "TEXT " + text
	}
	if report, err = ParseReport(text, columns); err != nil {
		f.warnMalformed("load report not understood", c.backend, err)
		return policy.ErrorResponse, nil, reusable, err
	}
	return policy.OK, report, reusable, nil
}
