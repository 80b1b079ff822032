package balancer

import (
	"time"

	"pumiceline/internal/message"
)

// Backend is a backend as this proxy sees it. It is read and changed by the balancer's owner alone.
type Backend struct {
	message.Backend
	maxConnections int  // this proxy's share of the connections that the backend accepts
	isListed       bool // scratch of SetBackends: the new list has it

	// modelReadySince has the models and adapters that are loaded, with the begin of their slow start. The zero time is
	// before this proxy started: there is no slow start.
	modelReadySince map[message.ModelName]time.Time

	// The schedule.
	stats    endpointStats
	weight   float64 // relative to the mean of the service
	deadline float64 // in the virtual time of the service

	// What this proxy has in flight.
	inFlight        int
	inFlightTokens  int
	queuedPrefillMs float64             // prefill time of requests whose first event has not come
	lastReported    message.BackendLoad // the load that the coordinators received last

	// What other proxies (peers) have in flight, by the newest of three sources: peers' loads that were queried, the
	// backend's own report with a response, and the polled totals.
	peersInFlight        int
	peersQueuedPrefillMs float64
	loadReportedAt       time.Time // when the backend itself reported its load last
	peersUpdatedAt       time.Time // when the peers' loads were queried last

	// Ejection.
	isUnreachable  bool
	probeInFlight  bool      // one attempt finds out whether it is reachable again
	probeAt        time.Time // an unreachable backend gets no attempt before
	connectBackoff time.Duration
	ejectedUntil   time.Time                       // after a rejection by the backend
	missingUntil   map[message.ModelName]time.Time // models that the backend said it lacks
}

// endpointSet is the backends of one service with their schedule.
type endpointSet struct {
	backends    []*Backend
	virtualTime float64 // the earliest deadline among the candidates of the latest pick; it never goes back
}

// SetBackends replaces the list of backends and returns those that were removed.
func (b *Balancer) SetBackends(list []message.Backend, now time.Time) (removed []*Backend) {
	readySince := now
	if len(b.backends) == 0 {
		readySince = time.Time{} // those of the first list may have been ready for long
	}
	for _, backend := range b.backends {
		backend.isListed = false
	}
	for i := range list {
		b.upsertBackend(list[i], readySince)
	}
	for _, s := range b.services {
		s.backends = s.backends[:0]
	}
	for id, backend := range b.backends {
		if !backend.isListed {
			delete(b.backends, id)
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

// service returns the backends of a service, which is added if it is new.
func (b *Balancer) service(name string) *endpointSet {
	s := b.services[name]
	if s == nil {
		s = &endpointSet{}
		b.services[name] = s
	}
	return s
}

// upsertBackend adds or updates one backend. readySince is the begin of slow start for it and its models as far as they
// were not listed before.
func (b *Balancer) upsertBackend(entry message.Backend, readySince time.Time) {
	backend := b.backends[entry.ID]
	if backend == nil {
		backend = &Backend{
			modelReadySince: map[message.ModelName]time.Time{}, missingUntil: map[message.ModelName]time.Time{}, weight: 1,
		}
		backend.maxConnections = b.connectionLimit(entry.Service)
		backend.stats.readySince = readySince
		b.backends[entry.ID] = backend
	}
	backend.Backend, backend.isListed = entry, true
	backend.setModels(entry.Models, readySince)
}

// setModels replaces the loaded models and adapters; readySince is of those that were not loaded before.
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

// hasModel reports whether the backend has loaded a model, and its adapter where one is named. Every backend serves
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

// isEjected reports whether the backend is out of the schedule. An unreachable one takes a single probe at a time.
func (b *Backend) isEjected(now time.Time) bool {
	if now.Before(b.ejectedUntil) {
		return true
	}
	return b.isUnreachable && (b.probeInFlight || now.Before(b.probeAt))
}
