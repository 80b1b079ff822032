package balancer

import (
	"sync/atomic"
	"time"

	"pumiceline/internal/message"
)

// Backend is a backend with this proxy's state of it. Only the balancer's owner may read and change it, except by
// IsWithdrawn.
type Backend struct {
	message.Backend
	maxConnections int         // this proxy's share of the connections that the backend accepts
	isListed       bool        // used within SetBackends: the backend is in the new list
	isWithdrawn    atomic.Bool // see IsWithdrawn
	drainingUntil  time.Time   // of a backend that the newest list shows as ready, but an earlier one as draining

	// modelReadySince maps the loaded models and adapters to the start of their slow start. The zero time means that
	// the model was loaded before this proxy started: it has no slow start.
	modelReadySince map[message.ModelName]time.Time

	// The schedule.
	stats    endpointStats
	weight   float64 // relative to the mean of the service
	deadline float64 // in the virtual time of the service

	// What this proxy has in flight.
	inFlight        int
	inFlightTokens  int
	queuedPrefillMs float64             // prefill time of requests whose first event has not arrived
	lastReported    message.BackendLoad // the load in the last report to the coordinators

	// What other proxies (peers) have in flight. There are three sources: queries of the peers' loads, the backend's
	// own report with a response, and the polled totals. See loadReportLifetime for their precedence.
	peersInFlight        int
	peersQueuedPrefillMs float64
	loadReportedAt       time.Time // time of the backend's own last report
	peersUpdatedAt       time.Time // time of the last query of the peers' loads

	// Ejection.
	isUnreachable  bool
	probeInFlight  bool      // an attempt that checks whether an unreachable backend is reachable again
	probeAt        time.Time // an unreachable backend gets no attempt before this time
	connectBackoff time.Duration
	ejectedUntil   time.Time                       // after a rejection by the backend
	missingUntil   map[message.ModelName]time.Time // models that the backend reported as not loaded, by a 421
}

// endpointSet holds the backends of one service and their schedule.
type endpointSet struct {
	backends    []*Backend
	virtualTime float64 // the earliest deadline among the candidates of the last pick; it never decreases
}

// IsWithdrawn reports whether the newest list shows the backend as draining, or no longer has it. A request for which it
// was picked before must not be sent to it. IsWithdrawn may be called from any goroutine.
func (b *Backend) IsWithdrawn() bool { return b.isWithdrawn.Load() }

// SetBackends replaces the list of backends and returns those that were removed.
func (b *Balancer) SetBackends(list []message.Backend, now time.Time) (removed []*Backend) {
	readySince := now
	if len(b.backends) == 0 {
		readySince = time.Time{} // the backends of the first list may have been ready for a long time
	}
	for _, backend := range b.backends {
		backend.isListed = false
	}
	for i := range list {
		b.upsertBackend(list[i], readySince, now)
	}
	for _, s := range b.services {
		s.backends = s.backends[:0]
	}
	for id, backend := range b.backends {
		if !backend.isListed {
			delete(b.backends, id)
			backend.isWithdrawn.Store(true)
			removed = append(removed, backend)
		}
	}
	for i := range list {
		s := b.service(list[i].Service)
		s.backends = append(s.backends, b.backends[list[i].ID])
	}
	b.answerQueued(now)
	return removed
}

// service returns the backends of a service. It adds the service if it is new.
func (b *Balancer) service(name string) *endpointSet {
	s := b.services[name]
	if s == nil {
		s = &endpointSet{}
		b.services[name] = s
	}
	return s
}

// upsertBackend adds or updates one backend. readySince is the start of slow start for the backend if it is new, and
// for those of its models that are new.
func (b *Balancer) upsertBackend(entry message.Backend, readySince, now time.Time) {
	backend := b.backends[entry.ID]
	if backend == nil {
		backend = &Backend{
			modelReadySince: map[message.ModelName]time.Time{}, missingUntil: map[message.ModelName]time.Time{}, weight: 1,
		}
		backend.maxConnections = b.connectionLimit(entry.Service)
		backend.stats.readySince = readySince
		b.backends[entry.ID] = backend
	}
	if backend.Draining && !entry.Draining {
		backend.drainingUntil = now.Add(drainingLifetime)
	}
	backend.Backend, backend.isListed = entry, true
	backend.isWithdrawn.Store(entry.Draining)
	backend.setModels(entry.Models, readySince)
}

// setModels replaces the loaded models and adapters. readySince applies to those that were not loaded before.
func (b *Backend) setModels(models []message.LoadedModel, readySince time.Time) {
	loaded := map[message.ModelName]time.Time{}
	add := func(name message.ModelName) {
		if earlier, ok := b.modelReadySince[name]; ok {
			loaded[name] = earlier
		} else {
			loaded[name] = readySince
		}
	}
	for _, model := range models {
		add(model.Name)
		for _, adapter := range model.Adapters {
			add(model.Name.WithAdapter(adapter))
		}
	}
	b.modelReadySince = loaded
}

// hasModel reports whether the backend has loaded a model, and its adapter if the name has one. Every backend serves
// requests without a model.
func (b *Backend) hasModel(model message.ModelName, now time.Time) bool {
	if model == "" {
		return true
	}
	if until, ok := b.missingUntil[model]; ok {
		if now.Before(until) {
			return false
		}
		delete(b.missingUntil, model)
	}
	_, ok := b.modelReadySince[model]
	return ok
}

// isDraining reports whether the backend takes no new requests. The platform's list lags by a varying time, so a later
// reading may show a draining backend as ready once more.
func (b *Backend) isDraining(now time.Time) bool { return b.Draining || now.Before(b.drainingUntil) }

// isEjected reports whether the backend must not be picked. An unreachable backend gets one probe at a time.
func (b *Backend) isEjected(now time.Time) bool {
	if now.Before(b.ejectedUntil) {
		return true
	}
	return b.isUnreachable && (b.probeInFlight || now.Before(b.probeAt))
}
