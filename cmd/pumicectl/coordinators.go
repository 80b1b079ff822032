package main

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Limits of requests to coordinators. A coordinator responds within a second (package coordinator).
const (
	requestTimeout   = 3 * time.Second
	maxAttempts      = 10
	retryDelay       = 200 * time.Millisecond
	maxResponseBytes = 16 << 20
)

// addressesVariable names the environment variable with the default of --control.
const addressesVariable = "PUMICELINE_CONTROL"

// coordinators are the control addresses of the coordinators that a command talks to.
type coordinators struct{ list string }

// register adds the flag --control.
func (c *coordinators) register(flags *flag.FlagSet) {
	flags.StringVar(&c.list, "control", os.Getenv(addressesVariable), "control addresses of coordinators, separated by commas")
}

func (c *coordinators) addresses() []string {
	return splitAddresses(c.list)
}

// request is an HTTP request to a coordinator.
type request struct {
	method  string
	path    string
	ifMatch string // the version that a change is based on; empty: no If-Match header
	body    []byte
}

type response struct {
	status int
	body   []byte
}

// send tries the coordinators in turn until one decides the request: it responds with a status below 500. Each attempt
// sends the request unchanged: coordinators recognise a change that is already applied by its digest, and do not apply
// it a second time.
func (c *coordinators) send(ctx context.Context, r request) (response, error) {
	addresses := c.addresses()
	if len(addresses) == 0 {
		return response{}, errors.New("--control: at least one address must be given")
	}
	var lastErr error
	for attempt := range maxAttempts {
		decided, err := sendTo(ctx, addresses[attempt%len(addresses)], r)
		switch {
		case err != nil:
			lastErr = err
		case decided.status < http.StatusInternalServerError:
			return decided, nil
		default:
			lastErr = errors.Errorf("status %d: %s", decided.status, decided.body)
		}
		select {
		case <-ctx.Done():
			return response{}, ctx.Err()
		case <-time.After(retryDelay):
		}
	}
	return response{}, errors.Wrap(lastErr, "no clear answer")
}

// readConfiguration returns the newest acknowledged configuration.
func (c *coordinators) readConfiguration(ctx context.Context) ([]byte, error) {
	r, err := c.send(ctx, request{method: http.MethodGet, path: "/config"})
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, errors.Errorf("status %d: %s", r.status, r.body)
	}
	return r.body, nil
}

// sendTo sends a request to the coordinator at an address, once.
func sendTo(ctx context.Context, address string, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, err
	}
	if r.ifMatch != "" {
		httpRequest.Header.Set("If-Match", r.ifMatch)
	}
	httpResponse, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return response{}, err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	return response{status: httpResponse.StatusCode, body: body}, err
}
