package backend

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"pumiceline/internal/standalone/policy"
)

// loadTarget is where a destination tells its load.
const loadTarget = "/status/load"

// Probe asks a destination for its load, until ctx ends. It goes over a connection like a request, but is none: it has no id, is
// counted nowhere, and its answer is of use only as a report. An error goes with every outcome but OK.
func (f *Fleet) Probe(ctx context.Context, id uint32) (policy.Outcome, []float32, error) {
	c, outcome, err := f.acquire(ctx, id)
	if err != nil {
		return outcome, nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	outcome, report, reusable, err := f.probe(ctx, c)
	f.release(c, stop() && reusable)
	return outcome, report, err
}

func (f *Fleet) probe(ctx context.Context, c *conn) (outcome policy.Outcome, report []float32, reusable bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+loadTarget, nil)
	if err != nil {
		return policy.NotSent, nil, true, fmt.Errorf("a probe: %w", err)
	}
	if text := "GET " + loadTarget + " HTTP/1.1\r\nHost: " + c.addr + "\r\n\r\n"; !f.takes(c.dest) {
		return policy.NotSent, nil, true, errUnknown
	} else if _, err := c.nc.Write([]byte(text)); err != nil {
		return neverSent(ctx), nil, false, fmt.Errorf("writing a probe: %w", err)
	}
	by, _ := ctx.Deadline()
	status, answer, reusable, err := c.read(by, f, req)
	if err != nil {
		return ended(ctx, policy.Reset), nil, false, fmt.Errorf("reading a probe's answer: %w", err)
	}
	if answer.Rest != nil { // no report is as long
		answer.Rest.(*stream).abandon()
		return policy.Failed, nil, false, ErrTooLong
	}
	if status != http.StatusOK {
		return policy.Failed, nil, reusable, fmt.Errorf("a probe is answered with %d", status)
	}
	_, columns := f.told()
	text := strings.TrimSpace(string(answer.Body))
	if text == "" || text == "TEXT" { // it has nothing to tell yet
		return policy.OK, nil, reusable, nil
	}
	if !strings.HasPrefix(text, "TEXT ") { // the form that it has in a header
		text = "TEXT " + text
	}
	if report, err = ParseReport(text, columns); err != nil {
		f.complain("load report not understood", c.dest, err)
		return policy.Failed, nil, reusable, err
	}
	return policy.OK, report, reusable, nil
}
