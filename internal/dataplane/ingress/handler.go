// Package ingress serves client requests. It matches each request to a route, has the balancer pick a backend for each
// attempt, and copies the backend's response to the client.
//
// The package ensures three rules. A 503 response with Retry-After promises that the request has not run, so it is
// sent only if no backend can have processed the request. A request that may have run is retried only if its route
// allows it. If a response cannot be completed, its connection is closed, so that the client does not take it for a
// complete one.
package ingress

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/bodybudget"
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
)

const (
	// responseMargin is how long before the request's deadline the proxy ends the attempts and sends its own response,
	// so that the response arrives in time.
	responseMargin = 15 * time.Millisecond
	// configStaleAfter is the time since the last Confirm after which the configuration is stale. With a stale
	// configuration a request without a route gets 503 instead of 404: a newer configuration may have the route.
	configStaleAfter = 1500 * time.Millisecond
	// noConfigRetryAfter is the Retry-After while there is no configuration or it is stale.
	noConfigRetryAfter = 300 * time.Millisecond
	// bodiesRetryAfter is the Retry-After while the bodies of all requests together take too much memory.
	bodiesRetryAfter = 300 * time.Millisecond
)

// Handler serves client requests. All methods may be called from any goroutine.
type Handler struct {
	dispatcher *balancer.Dispatcher
	pool       *backend.Pool
	config     atomic.Pointer[configuration.Config] // nil: none yet
	confirmed  atomic.Int64                         // nanoseconds from started to the last Confirm
	started    time.Time                            // confirmed and the times of drain are relative to it
	drain      drain
	active     atomic.Int64 // requests in flight
	split      trafficSplit
	responses  *bodybudget.Budget // of responses that are read in full before they are sent
}

// New returns a handler without a configuration. It rejects all requests until SetConfig is called.
func New(dispatcher *balancer.Dispatcher, pool *backend.Pool) *Handler {
	return &Handler{
		dispatcher: dispatcher, pool: pool, started: time.Now(), responses: bodybudget.New(math.MaxInt64),
	}
}

// LimitResponses sets a limit in bytes for the responses that are read in full before they are sent, all together. Beyond
// it a response is sent while it is read. It must be called before the first request.
func (h *Handler) LimitResponses(limit int64) { h.responses = bodybudget.New(limit) }

// SetConfig replaces the configuration.
func (h *Handler) SetConfig(config *configuration.Config) {
	h.config.Store(config)
	h.split.reset()
}

// Confirm records that the current configuration is the newest one. It must be called regularly, otherwise the
// configuration becomes stale.
func (h *Handler) Confirm() { h.confirmed.Store(int64(time.Since(h.started))) }

// IdleTimeout returns how long a client's connection may be idle according to the current configuration. It is 0
// while there is no configuration.
func (h *Handler) IdleTimeout() time.Duration {
	if config := h.config.Load(); config != nil {
		return config.Limits.IdleTimeout
	}
	return 0
}

// StartDraining prepares for the end of the process at the given time. From now on every response closes its
// connection, and requests that could not be finished by then are rejected.
func (h *Handler) StartDraining(until time.Time) {
	h.drain.begin(until.Sub(h.started))
	h.dispatcher.StartDraining()
}

// Active returns the number of requests in flight.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	arrived := time.Now()
	if h.drain.hasBegun() {
		w.Header().Set("Connection", "close")
	}
	config := h.config.Load()
	if config == nil {
		reject(w, noConfigRetryAfter, "no configuration is known yet")
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := config.Match(r.Host, path)
	if route == nil {
		h.respondNoRoute(w)
		return
	}
	if body, ok := readBody(w, r, int64(config.Limits.BodyBytes)); ok {
		h.forward(w, r, route, body, arrived)
	}
}

// respondNoRoute responds to a request without a route: with 404, or with 503 if the configuration is stale, because
// a newer one may have the route.
func (h *Handler) respondNoRoute(w http.ResponseWriter) {
	if time.Since(h.started)-time.Duration(h.confirmed.Load()) > configStaleAfter {
		reject(w, noConfigRetryAfter, "the configuration may be out of date")
		return
	}
	http.Error(w, "no route", http.StatusNotFound)
}

// readBody reads the request's body. If that fails, it responds with an error and returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, bodybudget.ErrExhausted):
		reject(w, bodiesRetryAfter, err.Error())
	case errors.As(err, &tooLarge):
		http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, "the body cannot be read: "+err.Error(), http.StatusBadRequest)
	}
	return nil, false
}

// forward sends a request to backends until one serves it or its deadline is near.
func (h *Handler) forward(
	w http.ResponseWriter, r *http.Request, route *configuration.Route, body []byte, arrived time.Time,
) {
	deadline := arrived.Add(min(route.Timeout, timeLeft(r)))
	ctx, cancel := context.WithDeadline(r.Context(), deadline.Add(-responseMargin))
	defer cancel()
	x := &exchange{
		handler: h, writer: w, route: route,
		request: newBalancerRequest(r, route, h.split.pick(route), arrived, deadline),
		outgoing: backend.Request{
			Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: endToEndHeaders(r.Header), Body: body,
			ID: r.Header.Get(backend.HeaderRequestID), Deadline: deadline, Priority: priorityOf(r, route),
			LastEventID: r.Header.Get(backend.HeaderLastEventID),
		},
	}
	x.run(ctx)
}

// reject responds with 503 and Retry-After, which promise that the request has not run.
func reject(w http.ResponseWriter, retryAfter time.Duration, reason string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(retryAfter.Seconds()*1000)/1000, 'f', -1, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}
