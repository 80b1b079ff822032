package coordinator

import (
	"time"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

// residencyHistory remembers which models each backend has held. It loads them again from its own disk instead of the
// weight store, also after a restart under another ID. Every coordinator keeps the history, so that a new lease holder
// has it at once.
type residencyHistory struct {
	models   map[machine]map[message.ModelName]bool
	lastSeen time.Time // when the newest recorded list was observed
}

// machine identifies a backend across its restarts, each of which gives it another ID.
type machine struct{ service, address string }

// record adds the models of a list; one that is not newer than the last is skipped.
func (h *residencyHistory) record(list *discovery.BackendList) {
	if !list.IsKnown() || !list.ObservedAt.After(h.lastSeen) {
		return
	}
	h.lastSeen = list.ObservedAt
	if h.models == nil {
		h.models = map[machine]map[message.ModelName]bool{}
	}
	for _, backend := range list.Backends {
		key := machine{backend.Service, backend.Address}
		for _, model := range backend.Models {
			if h.models[key] == nil {
				h.models[key] = map[message.ModelName]bool{}
			}
			h.models[key][model.Name] = true
		}
	}
}

// modelsOf returns the models that a backend has held since this process started.
func (h *residencyHistory) modelsOf(backend message.Backend) map[message.ModelName]bool {
	return h.models[machine{backend.Service, backend.Address}]
}
