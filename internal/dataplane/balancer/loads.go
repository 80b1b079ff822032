package balancer

import (
	"time"

	"pumiceline/internal/message"
)

// SetTotalLoads takes the polled loads of all proxies together, and the loads of models that are in progress. What this
// proxy reported last is part of the totals, and what it has in flight now is counted separately: so the former is
// subtracted. A newer source of a backend's load is not overwritten, see loadReportLifetime.
func (b *Balancer) SetTotalLoads(loads []message.BackendLoad, pending []message.PendingModelLoad, now time.Time) {
	totals := loadsByBackend(loads)
	for id, backend := range b.backends {
		if now.Sub(backend.peersUpdatedAt) <= loadReportLifetime {
			continue
		}
		if now.Sub(backend.loadReportedAt) > loadReportLifetime {
			backend.peersInFlight = max(0, totals[id].InFlight-backend.lastReported.InFlight)
		}
		backend.peersQueuedPrefillMs = float64(max(0, totals[id].QueuedPrefillMs-backend.lastReported.QueuedPrefillMs))
	}
	b.pendingModelLoads = b.pendingModelLoads[:0]
	for _, load := range pending {
		readyAt := now.Add(time.Duration(load.ReadyInMs) * time.Millisecond)
		b.pendingModelLoads = append(b.pendingModelLoads, pendingModelLoad{load, readyAt})
	}
	b.answerQueued(now)
}

// SetPeerLoads takes what the other proxies have in flight at this moment at the backends that have loaded a model;
// at backends that are not named they have nothing.
func (b *Balancer) SetPeerLoads(service string, model message.ModelName, loads []message.BackendLoad, now time.Time) {
	s := b.services[service]
	if s == nil {
		return
	}
	others := loadsByBackend(loads)
	for _, backend := range s.backends {
		if !backend.hasModel(model, now) {
			continue
		}
		load := others[backend.ID]
		backend.peersInFlight, backend.peersQueuedPrefillMs = load.InFlight, float64(load.QueuedPrefillMs)
		backend.peersUpdatedAt = now
	}
	b.answerQueued(now)
}

func loadsByBackend(loads []message.BackendLoad) map[message.BackendID]message.BackendLoad {
	index := map[message.BackendID]message.BackendLoad{}
	for _, load := range loads {
		index[load.Backend] = load
	}
	return index
}

// ObserveLoad takes the load that a backend reports with a response: requests of all proxies that run and wait there.
func (b *Balancer) ObserveLoad(backend *Backend, running, waiting int, now time.Time) {
	if now.Sub(backend.peersUpdatedAt) <= loadReportLifetime {
		return // the peers' loads are as new, and include requests that have not arrived yet
	}
	backend.peersInFlight = max(0, running+waiting-backend.inFlight)
	backend.loadReportedAt = now
}

// TakeChangedLoads returns this proxy's loads at the backends where they have changed since the last call.
func (b *Balancer) TakeChangedLoads() []message.BackendLoad {
	if len(b.changedLoads) == 0 {
		return nil
	}
	loads := make([]message.BackendLoad, 0, len(b.changedLoads))
	for _, backend := range b.changedLoads {
		loads = append(loads, backend.load())
	}
	clear(b.changedLoads)
	return loads
}

// load is what this proxy has in flight at the backend.
func (b *Backend) load() message.BackendLoad {
	return message.BackendLoad{Backend: b.ID, InFlight: b.inFlight, QueuedPrefillMs: int(b.queuedPrefillMs)}
}
