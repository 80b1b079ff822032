package distribution

import (
	"time"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

// HandleLoads takes what a proxy carries, and answers its question where it has one. A member answers whatever its
// standing: loads are hints by which nothing is decided that a rule depends on.
func (h *Hub) HandleLoads(from string, report *message.LoadReport, reply func(*message.Message)) {
	h.commands <- func(s *state) {
		now := time.Now()
		s.ledger.Put(from, report.Loads, report.Complete, now)
		if report.ID == 0 {
			return
		}
		go reply(&message.Message{LoadResponse: s.loadsFor(from, report, now)})
	}
}

func (s *state) loadsFor(from string, report *message.LoadReport, now time.Time) *message.LoadResponse {
	answer := &message.LoadResponse{ID: report.ID}
	if !s.table.IsKnown() {
		answer.Unknown = true
		return answer
	}
	for _, backend := range s.holders.of(s.table, report.Service, report.Model) {
		if load := s.ledger.Others(backend, from, now); load.Running > 0 || load.Queued > 0 {
			answer.Loads = append(answer.Loads, load)
		}
	}
	return answer
}

// holderIndex finds the backends that hold a model or an adapter; it is made anew for each list.
type holderIndex struct {
	table   *discovery.Table
	holders map[demandKey][]message.BackendID
}

func (x *holderIndex) of(table *discovery.Table, service string, model message.ModelName) []message.BackendID {
	if x.table != table {
		x.table, x.holders = table, map[demandKey][]message.BackendID{}
		for i := range table.Backends {
			x.add(&table.Backends[i])
		}
	}
	return x.holders[demandKey{service, model}]
}

func (x *holderIndex) add(backend *message.Backend) {
	for _, model := range backend.Models {
		x.put(demandKey{backend.Service, model.Name}, backend.ID)
		for _, adapter := range model.Adapters {
			x.put(demandKey{backend.Service, model.Name.WithAdapter(adapter)}, backend.ID)
		}
	}
}

func (x *holderIndex) put(key demandKey, backend message.BackendID) {
	x.holders[key] = append(x.holders[key], backend)
}
