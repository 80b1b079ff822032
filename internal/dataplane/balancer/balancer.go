// Package balancer decides for each request which backend gets it, whether it waits, or whether it is rejected. It is
// a state machine: its inputs are requests, outcomes, the list of backends and the time; it knows no network and no
// clock.
//
// Picking is weighted round robin by an earliest-deadline-first schedule (gRFC A58): each backend gets a turn every
// 1/weight of the service's virtual time. The weights follow gRFC A58 and rise by gRFC A100 (slow start). Among the
// backends that are due next the one with the least load is picked. The schedule is sorted for each pick instead of
// kept in an edf.Queue, since each model has other candidates.
//
// Balancer is the state machine and has one owner; Dispatcher owns one and serves concurrent requests.
package balancer

import (
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// Balancer picks backends. It has one owner and no locks; all methods must be called by the owner.
type Balancer struct {
	config            *configuration.Config          // nil: not known yet
	backends          map[message.BackendID]*Backend // by ID
	services          map[string]*endpointSet
	queue             []*Request // by priority, then deadline
	budget            *RetryBudget
	demand            map[ModelKey]*demand
	pendingModelLoads []pendingModelLoad // loads of models in progress, as the coordinators reported them last
	prefill           prefillRates
	isDraining        bool
	hasIdleConnection func(backend message.BackendID) bool // nil: not known
	hasUnmetDemand    bool                                 // a request waits for a model since the last report
	changedLoads      map[message.BackendID]*Backend       // whose load by this proxy has changed since TakeChangedLoads
}

// New makes a balancer that knows neither a configuration nor backends yet.
func New(budget *RetryBudget) *Balancer {
	return &Balancer{
		budget: budget, backends: map[message.BackendID]*Backend{}, services: map[string]*endpointSet{},
		demand: map[ModelKey]*demand{}, prefill: prefillRates{}, changedLoads: map[message.BackendID]*Backend{},
	}
}

// SetIdleConnectionCheck sets the function that reports whether an idle connection to a backend is kept. It is called
// by the owner alone and must not wait.
func (b *Balancer) SetIdleConnectionCheck(hasIdle func(backend message.BackendID) bool) {
	b.hasIdleConnection = hasIdle
}

// SetConfig puts a configuration in force.
func (b *Balancer) SetConfig(config *configuration.Config, now time.Time) {
	b.config = config
	b.updateConnectionLimits()
	b.answerQueued(now)
}

// SetProxies sets the number of proxies that share the backends' connections and the retry allowance.
func (b *Balancer) SetProxies(count int, now time.Time) {
	b.budget.SetProxies(count, now)
	b.updateConnectionLimits()
}

// StartDraining rejects requests that wait for a model, now and later: the process may end before it is loaded.
func (b *Balancer) StartDraining(now time.Time) {
	b.isDraining = true
	b.answerQueued(now)
}

func (b *Balancer) updateConnectionLimits() {
	for _, backend := range b.backends {
		backend.maxConnections = b.connectionLimit(backend.Service)
	}
}

// connectionLimit is this proxy's share of the connections that a backend of the service accepts.
func (b *Balancer) connectionLimit(service string) int {
	if b.config == nil || b.config.Services[service] == nil {
		return 1
	}
	return max(1, b.config.Services[service].MaxConnections/b.budget.Proxies())
}

// runtime is the configuration of the service's model runtime; nil: it has none.
func (b *Balancer) runtime(service string) *configuration.Runtime {
	if b.config == nil || b.config.Services[service] == nil {
		return nil
	}
	return b.config.Services[service].Runtime
}
