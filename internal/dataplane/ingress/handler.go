// Package ingress serves clients' requests: it matches each to a route, has a backend picked for each attempt, and
// copies the backend's response to the client.
//
// Three rules stand above all others. A response 503 with Retry-After promises that the request has not run, so it is
// sent only where no backend can have processed it. A request that may have run is retried only where its route allows
// that. A response that cannot be completed ends its connection, so that it never looks complete.
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

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
)

const (
	// responseMargin is how long before the client's deadline the proxy's own response is sent.
	responseMargin = 15 * time.Millisecond
	// configStaleAfter is the time since the last Confirm after which the configuration counts as stale. By a stale one a
	// request without a route gets 503, not 404: a newer configuration may have the route.
	configStaleAfter = 1500 * time.Millisecond
	// noConfigRetryAfter is the Retry-After while the configuration is unknown or stale.
	noConfigRetryAfter = 300 * time.Millisecond
)

// Handler serves clients. All methods may be called from any goroutine.
type Handler struct {
	dispatcher *balancer.Dispatcher
	pool       *backend.Pool
	config     atomic.Pointer[configuration.Config] // nil: not known yet
	confirmed  atomic.Int64                         // nanoseconds from started to the last Confirm
	started    time.Time                            // the origin of confirmed and of drain's times
	drain      drain
	active     atomic.Int64 // requests in flight
	split      trafficSplit
}

// New makes a handler without a configuration: it rejects all requests until SetConfig.
func New(dispatcher *balancer.Dispatcher, pool *backend.Pool) *Handler {
	return &Handler{dispatcher: dispatcher, pool: pool, started: time.Now()}
}

// SetConfig puts a configuration in force.
func (h *Handler) SetConfig(config *configuration.Config) {
	h.config.Store(config)
	h.split.reset()
}

// Confirm notes that the configuration in force is the newest. Without it the configuration becomes stale.
func (h *Handler) Confirm() { h.confirmed.Store(int64(time.Since(h.started))) }

// IdleTimeout is how long a client's connection may be idle by the configuration in force; 0: no configuration is
// known.
func (h *Handler) IdleTimeout() time.Duration {
	if config := h.config.Load(); config != nil {
		return config.Limits.IdleTimeout
	}
	return 0
}

// StartDraining announces that the process ends at the given time: every response closes its connection, and requests
// that could not be finished by then are rejected.
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
		h.denyRoute(w)
		return
	}
	if body, ok := readBody(w, r, int64(config.Limits.BodyBytes)); ok {
		h.forward(w, r, route, body, arrived)
	}
}

// denyRoute answers a request without a route. A newer configuration may have one, so a stale one gives no 404.
func (h *Handler) denyRoute(w http.ResponseWriter) {
	if time.Since(h.started)-time.Duration(h.confirmed.Load()) > configStaleAfter {
		reject(w, noConfigRetryAfter, "the configuration may be out of date")
		return
	}
	http.Error(w, "no route", http.StatusNotFound)
}

// readBody reads the request's body. Where that fails, it answers the request and returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
	} else {
		http.Error(w, "the body cannot be read: "+err.Error(), http.StatusBadRequest)
	}
	return nil, false
}

// forward sends a request to backends, until its deadline.
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

// reject answers 503, which promises that the request has not run, and when to retry.
func reject(w http.ResponseWriter, retryAfter time.Duration, reason string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(retryAfter.Seconds()*1000)/1000, 'f', -1, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}
