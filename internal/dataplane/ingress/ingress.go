// Package ingress takes clients' requests, has a backend chosen for each, and passes the answers on.
package ingress

import (
	"context"
	"hash/fnv"
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
	"pumiceline/internal/message"
)

const (
	maxClientTime  = 10 * time.Minute        // where a client names no time
	answerMargin   = 15 * time.Millisecond   // an answer of our own goes out so long before the client's deadline
	staleAfter     = 1500 * time.Millisecond // a configuration unconfirmed for so long denies nothing
	notKnownYet    = 300 * time.Millisecond  // Retry-After while no configuration is known
	leaveFor       = 1 * time.Second
	fallbackPrompt = 1000
	fallbackOutput = 200

	leastSilence    = 2 * time.Second
	silencePerAim   = 4
	silencePerPause = 8
)

// Handler serves clients.
type Handler struct {
	dispatcher *balancer.Dispatcher
	pool       *backend.Pool
	config     atomic.Pointer[configuration.Config]
	confirmed  atomic.Int64 // when the configuration was confirmed last, in nanoseconds of the steady clock
	started    time.Time
	departure  departure
	active     atomic.Int64
	splitter   splitter
}

// New makes a handler.
func New(dispatcher *balancer.Dispatcher, pool *backend.Pool) *Handler {
	return &Handler{dispatcher: dispatcher, pool: pool, started: time.Now()}
}

// SetConfig puts a configuration in force.
func (h *Handler) SetConfig(config *configuration.Config) {
	h.config.Store(config)
	h.splitter.reset()
}

// Confirm notes that the configuration in force was the newest a moment ago.
func (h *Handler) Confirm() { h.confirmed.Store(int64(time.Since(h.started))) }

// IdleTimeout is how long a client's connection may rest by the configuration in force; 0: none is.
func (h *Handler) IdleTimeout() time.Duration {
	if config := h.config.Load(); config != nil {
		return config.Limits.IdleTimeout
	}
	return 0
}

// SetLeaving says that the process ends at until: every answer ends its connection, waiting that may outlast the
// process ends, and what could not be finished by then is refused.
func (h *Handler) SetLeaving(until time.Time) {
	h.departure.begin(until.Sub(h.started))
	h.dispatcher.SetLeaving()
}

// Active returns how many requests are under way.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	arrived := time.Now()
	if h.departure.hasBegun() {
		w.Header().Set("Connection", "close")
	}
	config := h.config.Load()
	if config == nil {
		refuse(w, notKnownYet, "no configuration is known yet")
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := config.Match(r.Host, path)
	if route == nil {
		h.deny(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(config.Limits.BodyBytes)))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
			return
		}
		http.Error(w, "the body cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	h.serve(w, r, route, body, arrived)
}

// deny answers a request that no route takes, unless the configuration may be out of date.
func (h *Handler) deny(w http.ResponseWriter) {
	if time.Since(h.started)-time.Duration(h.confirmed.Load()) > staleAfter {
		refuse(w, notKnownYet, "the configuration may be out of date")
		return
	}
	http.Error(w, "no route", http.StatusNotFound)
}

// refuse promises that the request has not run, and tells when to come back.
func refuse(w http.ResponseWriter, after time.Duration, reason string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(after.Seconds()*1000)/1000, 'f', -1, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, route *configuration.Route, body []byte, arrived time.Time) {
	deadline := arrived.Add(min(route.Timeout, timeLeft(r)))
	ctx, cancel := context.WithDeadline(r.Context(), deadline.Add(-answerMargin))
	defer cancel()
	x := &exchange{
		handler: h, writer: w, route: route, ctx: ctx,
		request: newBalancerRequest(r, route, h.splitter.pick(route), arrived, deadline),
		outgoing: backend.Request{
			Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: forwarded(r.Header), Body: body,
			ID: r.Header.Get(backend.HeaderRequestID), Deadline: deadline, Priority: priorityOf(r, route),
			LastEvent: r.Header.Get(backend.HeaderLastEventID),
		},
	}
	x.run()
}

func priorityOf(r *http.Request, route *configuration.Route) int {
	if text := r.Header.Get(backend.HeaderPriority); text != "" {
		if priority, err := strconv.Atoi(text); err == nil {
			return priority
		}
	}
	return min(9, max(0, route.Priority))
}

func timeLeft(r *http.Request) time.Duration {
	text := r.Header.Get(backend.HeaderTimeLeft)
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || milliseconds < 0 || milliseconds > float64(maxClientTime.Milliseconds()) {
		return maxClientTime
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

func newBalancerRequest(r *http.Request, route *configuration.Route, service string, arrived, deadline time.Time) *balancer.Request {
	request := &balancer.Request{
		Service: service, Model: message.ModelName(r.Header.Get("Model")), Priority: route.Priority,
		Arrived: arrived, Deadline: deadline, Patience: patience(route, arrived, deadline), Aim: route.Aim,
	}
	if request.Model == "" {
		return request
	}
	request.PromptTokens, request.OutputTokens = fallbackPrompt, fallbackOutput
	prompt, output, ok := strings.Cut(r.Header.Get("Token-Count"), ",")
	if p, err := strconv.Atoi(strings.TrimSpace(prompt)); err == nil && p >= 0 {
		request.PromptTokens = p
	}
	if o, err := strconv.Atoi(strings.TrimSpace(output)); ok && err == nil && o >= 0 {
		request.OutputTokens = o
	}
	request.PrefixKey = prefixKey(request.Model, r.Header.Get("Prompt-Prefix"))
	return request
}

// patience is when a client gives a silent stream up: after two seconds, four times the objective or eight times the
// longest pause, whichever is longest.
func patience(route *configuration.Route, arrived, deadline time.Time) time.Time {
	if route.Kind != configuration.Streaming {
		return deadline
	}
	silence := max(leastSilence, silencePerAim*route.Aim, silencePerPause*route.MaxPause)
	if given := arrived.Add(silence); given.Before(deadline) {
		return given
	}
	return deadline
}

// prefixKey names the shared part of a prompt: all parts but the last, which belongs to the request or its session.
func prefixKey(model message.ModelName, parts string) uint64 {
	last := strings.LastIndexByte(parts, ',')
	if last < 0 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(string(model) + "\n" + parts[:last])) // a hash takes everything
	return hash.Sum64()
}

// connectionHeaders concern a single connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// forwarded returns the headers that are passed along.
func forwarded(header http.Header) http.Header {
	out := header.Clone()
	for _, list := range header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}
