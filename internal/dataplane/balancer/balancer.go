// Package balancer decides for each request whether it is sent to a backend, and to which, whether it waits, or
// whether it is rejected.
//
// It picks backends by weighted round robin with an earliest-deadline-first schedule (gRFC A58): each backend gets a
// turn every 1/weight of the service's virtual time. The weights follow gRFC A58, with the slow start of gRFC A100.
// Among the backends with the earliest deadlines it picks the one with the lowest cost. The candidates are sorted for
// each pick instead of kept in an edf.Queue, because they differ between models.
//
// Balancer is a state machine: its inputs are requests, outcomes, the list of backends and the time. It uses neither
// the network nor a clock. It has one owner. Dispatcher owns a Balancer and serves concurrent requests.
package balancer

import (
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// Balancer picks backends. It has no locks: all methods must be called by its owner, one goroutine.
type Balancer struct {
	config            *configuration.Config          // nil: none yet
	backends          map[message.BackendID]*Backend // by ID
	services          map[string]*endpointSet
	queue             []*Request // by priority, then deadline
	budget            *RetryBudget
	demand            map[ModelKey]*demand
	pendingModelLoads []pendingModelLoad // loads of models in progress, as last reported by the coordinators
	prefill           prefillRates
	isDraining        bool
	hasIdleConnection func(backend message.BackendID) bool // nil: unknown
	hasUnmetDemand    bool                                 // a request began to wait for a model after the last report
	changedLoads      map[message.BackendID]*Backend       // this proxy's load there has changed since TakeChangedLoads
}

// New returns a balancer without a configuration and without backends.
func New(budget *RetryBudget) *Balancer {
	return &Balancer{
		budget: budget, backends: map[message.BackendID]*Backend{}, services: map[string]*endpointSet{},
		demand: map[ModelKey]*demand{}, prefill: prefillRates{}, changedLoads: map[message.BackendID]*Backend{},
	}
}

// SetIdleConnectionCheck sets the function that reports whether there is an idle connection to a backend. Only the
// owner calls the function. It must not block, since all requests would wait.
func (b *Balancer) SetIdleConnectionCheck(hasIdle func(backend message.BackendID) bool) {
	b.hasIdleConnection = hasIdle
}

// SetConfig replaces the configuration.
func (b *Balancer) SetConfig(config *configuration.Config, now time.Time) {
	b.config = config
	b.updateConnectionLimits()
	b.answerQueued(now)
}

// SetProxies sets the number of proxies that share the connection limits of the backends and the retry allowance.
func (b *Balancer) SetProxies(count int, now time.Time) {
	b.budget.SetProxies(count, now)
	b.updateConnectionLimits()
}

// StartDraining rejects the requests that wait for a model, and later ones that would have to wait for one: the
// process may end before the model is loaded.
func (b *Balancer) StartDraining(now time.Time) {
	b.isDraining = true
	b.answerQueued(now)
}

func (b *Balancer) updateConnectionLimits() {
	for _, backend := range b.backends {
		backend.maxConnections = b.connectionLimit(backend.Service)
	}
}

// connectionLimit returns this proxy's share of the connections that a backend of the service accepts, at least 1.
func (b *Balancer) connectionLimit(service string) int {
	if b.config == nil || b.config.Services[service] == nil {
		return 1
	}
	return max(1, b.config.Services[service].MaxConnections/b.budget.Proxies())
}

// runtime returns the configuration of the service's model runtime, or nil if it has none.
func (b *Balancer) runtime(service string) *configuration.Runtime {
	if b.config == nil || b.config.Services[service] == nil {
		return nil
	}
	return b.config.Services[service].Runtime
}
