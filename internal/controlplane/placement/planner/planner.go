// Package planner decides which backend holds which models and adapters. It is pure: its input is what the backends
// hold, the demand and the time, and its output is the tasks that should start now. Package executor carries them
// out.
//
// Each service is planned separately, by a greedy algorithm. Every model has a target number of replicas (target.go).
// Missing replicas are placed in descending order of their marginal value, each at the backend with the smallest
// loss, if the value exceeds that loss by a factor (value.go, model_placement.go). Adapters are placed beside their
// models (adapter_placement.go). All values and losses are in requests a second.
package planner

import (
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// Reasons of tasks. Operators see them in the status of the lease holder.
const (
	reasonReplica = "a copy is wanted"
	reasonAdapter = "adapters are wanted"
)

// Backend is a backend as the planner sees it.
type Backend struct {
	message.Backend
	Busy   bool                       // it gets no task: it is carrying one out, or its last one has just failed
	Cached map[message.ModelName]bool // models that it has held before: it loads them from its own disk, which is faster
}

// hasModel reports whether the backend holds a model.
func (b *Backend) hasModel(model message.ModelName) bool {
	return slices.ContainsFunc(b.Models, func(held message.LoadedModel) bool { return held.Name == model })
}

// Task is the work for one backend, in the order of the fields: unload models, load a model, unload adapters, load
// adapters.
type Task struct {
	Backend        message.Backend
	Service        string
	Unload         []message.ModelName
	Load           message.ModelName // empty: none
	LoadTime       time.Duration     // how long the load should take
	FromCache      bool              // the load is read from the backend's own disk, not from the weight store
	UnloadAdapters []message.ModelName
	LoadAdapters   []message.ModelName
	Capacity       Capacity // each load is checked against it again before its command is sent
	Reason         string
}

// Input is the input of Plan. Plan modifies it: it marks the backends that get a task as busy, and decrements
// ModelLoadsAllowed for each load.
type Input struct {
	Now               time.Time
	Services          map[string]*configuration.Service
	Backends          []Backend
	Loading           map[string]map[message.ModelName]int // replicas that are being loaded by tasks in progress, by service
	Demand            *DemandTable
	InFlight          map[message.BackendID]int // requests in flight
	ModelLoadsAllowed map[string]int            // model loads from the weight store that may start now, by service
}

// servicePlan is one run of the planner for one service.
type servicePlan struct {
	in         *Input
	service    *configuration.Service
	capacity   Capacity
	backends   []*Backend // backends of the service that are neither draining nor about to end
	replicas   map[message.ModelName]int
	targets    map[message.ModelName]int     // how many replicas there should be
	shiftRates map[message.ModelName]float64 // highest rate, in requests a second, of the models whose demand may shift
	losses     map[message.ModelName]float64 // results of evictionLoss, until the model's replicas change
	options    map[*Backend][]evictionOption // until the replicas of a model of the backend change
	tasks      []Task
	// adapterCounts counts the replicas of each adapter, by model and adapter.
	adapterCounts map[message.ModelName]map[string]int
}

// ServiceFailure is a service for which no plan could be made because the planner panicked.
type ServiceFailure struct {
	Service string
	Cause   any // the value of the panic
	Stack   string
}

// Error returns the service and the cause, without the stack.
func (f *ServiceFailure) Error() string {
	return fmt.Sprintf("plan service %q: %v", f.Service, f.Cause)
}

// Plan returns the tasks that should start now: service by service, adapter tasks first, then model tasks in
// descending order of value. A service whose plan panics gets no task and is among the failures; the plans of the
// others are not affected.
func Plan(in *Input) ([]Task, []*ServiceFailure) {
	var tasks []Task
	var failures []*ServiceFailure
	names := make([]string, 0, len(in.Services))
	for name, service := range in.Services {
		if service.Runtime != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names) // in a fixed order, so that the same input gives the same plan
	for _, name := range names {
		planned, failure := planService(in, in.Services[name])
		if failure != nil {
			failures = append(failures, failure)
			continue
		}
		tasks = append(tasks, planned...)
	}
	return tasks, failures
}

// planService plans one service. A panic becomes a failure: it would end the process, and the next lease holder would
// panic over the same input.
func planService(in *Input, service *configuration.Service) (tasks []Task, failure *ServiceFailure) {
	defer func() {
		if cause := recover(); cause != nil {
			failure = &ServiceFailure{Service: service.Name, Cause: cause, Stack: string(debug.Stack())}
		}
	}()
	p := newServicePlan(in, service)
	// Adapters first: they load within milliseconds, while a model's load keeps its backend busy for seconds.
	p.placeAdapters()
	p.placeModels()
	return p.tasks, nil
}

// newServicePlan counts the replicas and sets the targets. Replicas at backends that are draining or about to end are
// not counted, so that their models are placed elsewhere before these backends are gone.
func newServicePlan(in *Input, service *configuration.Service) *servicePlan {
	p := &servicePlan{
		in: in, service: service, capacity: Capacity{service.Runtime}, replicas: map[message.ModelName]int{},
		targets: map[message.ModelName]int{}, shiftRates: map[message.ModelName]float64{},
		losses: map[message.ModelName]float64{}, options: map[*Backend][]evictionOption{}, adapterCounts: map[message.ModelName]map[string]int{},
	}
	for i := range in.Backends {
		backend := &in.Backends[i]
		if backend.Service != service.Name || backend.Draining || backend.TimeLeftMs > 0 {
			continue
		}
		p.backends = append(p.backends, backend)
		for _, model := range backend.Models {
			p.replicas[model.Name]++
			p.countAdapters(model)
		}
	}
	for model, count := range in.Loading[service.Name] {
		p.replicas[model] += count
	}
	p.setTargets()
	return p
}

// demandFor returns the demand for a model or an adapter of the service.
func (p *servicePlan) demandFor(name message.ModelName) Demand {
	return p.in.Demand.Of(p.service.Name, name)
}
