package balancer

import (
	"time"

	"pumiceline/internal/message"
)

// SetTotalLoads sets the polled total loads of all proxies, and the loads of models that are in progress. The totals
// include the last report of this proxy. It is subtracted, because this proxy's own load is counted separately. A newer
// source of a backend's load is not overwritten, see loadReportLifetime.
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

// SetPeerLoads sets what the other proxies have in flight now at the backends that have loaded a model. They have
// nothing in flight at backends that loads does not name.
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

// ObserveLoad records the load that a backend reports with a response: the requests of all proxies that run and wait
// there.
func (b *Balancer) ObserveLoad(backend *Backend, running, waiting int, now time.Time) {
	if now.Sub(backend.peersUpdatedAt) <= loadReportLifetime {
		return // the queried loads are as recent, and include requests that have not arrived at the backend yet
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

// load returns what this proxy has in flight at the backend.
func (b *Backend) load() message.BackendLoad {
	return message.BackendLoad{Backend: b.ID, InFlight: b.inFlight, QueuedPrefillMs: int(b.queuedPrefillMs)}
}
