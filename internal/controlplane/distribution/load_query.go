package distribution

import (
	"time"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

// HandleLoadReport records what a proxy has in flight. If the report has a load query (its ID is not 0), reply is
// called once with the response, on a goroutine of its own. A member answers even while it does not serve: loads are
// hints, and no decision that must be consistent depends on them.
func (h *Hub) HandleLoadReport(proxy string, report *message.LoadReport, reply func(*message.Message)) {
	h.send(func(s *state) {
		now := time.Now()
		if report.Complete {
			s.inFlight.Replace(proxy, report.Loads, now)
		} else {
			s.inFlight.Update(proxy, report.Loads, now)
		}
		if report.ID == 0 {
			return
		}
		go reply(&message.Message{LoadResponse: s.loadResponse(proxy, report, now)})
	})
}

// loadResponse returns what the other proxies have in flight at the backends that hold the model of the query.
func (s *state) loadResponse(proxy string, report *message.LoadReport, now time.Time) *message.LoadResponse {
	response := &message.LoadResponse{ID: report.ID}
	if !s.backends.newest.IsKnown() {
		response.Unknown = true
		return response
	}
	for _, backend := range s.backendsByModel.backendsWith(s.backends.newest, modelKey{report.Service, report.Model}) {
		if load := s.inFlight.SumOthers(backend, proxy, now); load.InFlight > 0 || load.QueuedPrefillMs > 0 {
			response.Loads = append(response.Loads, load)
		}
	}
	return response
}

// modelIndex finds the backends that hold a model or an adapter. It is rebuilt when it is used with a different list.
type modelIndex struct {
	list    *discovery.BackendList // that the index was built from
	byModel map[modelKey][]message.BackendID
}

func (x *modelIndex) backendsWith(list *discovery.BackendList, key modelKey) []message.BackendID {
	if x.list != list {
		x.list, x.byModel = list, map[modelKey][]message.BackendID{}
		for i := range list.Backends {
			x.addBackend(&list.Backends[i])
		}
	}
	return x.byModel[key]
}

func (x *modelIndex) addBackend(backend *message.Backend) {
	for _, model := range backend.Models {
		x.add(modelKey{backend.Service, model.Name}, backend.ID)
		for _, adapter := range model.Adapters {
			x.add(modelKey{backend.Service, model.Name.WithAdapter(adapter)}, backend.ID)
		}
	}
}

func (x *modelIndex) add(key modelKey, backend message.BackendID) {
	x.byModel[key] = append(x.byModel[key], backend)
}
