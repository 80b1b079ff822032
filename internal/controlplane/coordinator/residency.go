package coordinator

import (
	"maps"
	"time"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

// residencyHistory records which models each backend has held. A backend loads them again from its own disk instead
// of the weight store, also after a restart under another ID. Every coordinator keeps the history, so that a new
// lease holder has it at once.
type residencyHistory struct {
	machines map[machine]*residency
	lastSeen time.Time // when the newest recorded list was observed
}

// residency is the models that one machine has held.
type residency struct {
	models     map[message.ModelName]bool
	lastListed time.Time
}

// residencyRetention is how long the history of a machine is kept after it was last listed. A backend that restarts
// is listed again within minutes. One that is replaced has another address and an empty disk, so its history is of no
// use.
const residencyRetention = 30 * time.Minute

// machine identifies a backend across restarts, each of which gives the backend another ID.
type machine struct{ service, address string }

// record adds the models of a list. It skips a list that is not newer than the last one recorded.
func (h *residencyHistory) record(list *discovery.BackendList) {
	if !list.IsKnown() || !list.ObservedAt.After(h.lastSeen) {
		return
	}
	h.lastSeen = list.ObservedAt
	if h.machines == nil {
		h.machines = map[machine]*residency{}
	}
	for _, backend := range list.Backends {
		h.recordBackend(backend, list.ObservedAt)
	}
	maps.DeleteFunc(h.machines, func(_ machine, r *residency) bool {
		return list.ObservedAt.Sub(r.lastListed) > residencyRetention
	})
}

func (h *residencyHistory) recordBackend(backend message.Backend, observedAt time.Time) {
	key := machine{backend.Service, backend.Address}
	known := h.machines[key]
	if known == nil {
		known = &residency{models: map[message.ModelName]bool{}}
		h.machines[key] = known
	}
	known.lastListed = observedAt
	for _, model := range backend.Models {
		known.models[model.Name] = true
	}
}

// modelsOf returns the models that a backend has held since this process started.
func (h *residencyHistory) modelsOf(backend message.Backend) map[message.ModelName]bool {
	if known := h.machines[machine{backend.Service, backend.Address}]; known != nil {
		return known.models
	}
	return nil
}
