package coordinator

import (
	"time"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

// warmHistory keeps which models each backend has held: it reads them from its own disk when they are loaded again,
// also after a restart under another id. Every coordinator keeps it, so that a new lease holder has it at once.
type warmHistory struct {
	held map[warmKey]map[message.ModelName]bool
	seen time.Time
}

// warmKey names a backend's machine: its id changes with each start.
type warmKey struct{ service, address string }

// note takes a list of backends.
func (h *warmHistory) note(table *discovery.Table) {
	if !table.IsKnown() || !table.Observed.After(h.seen) {
		return
	}
	h.seen = table.Observed
	if h.held == nil {
		h.held = map[warmKey]map[message.ModelName]bool{}
	}
	for _, backend := range table.Backends {
		key := warmKey{backend.Service, backend.Address}
		for _, model := range backend.Models {
			if h.held[key] == nil {
				h.held[key] = map[message.ModelName]bool{}
			}
			h.held[key][model.Name] = true
		}
	}
}

// of returns the models that a backend has held.
func (h *warmHistory) of(backend message.Backend) map[message.ModelName]bool {
	return h.held[warmKey{backend.Service, backend.Address}]
}
