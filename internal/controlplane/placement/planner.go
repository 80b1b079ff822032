package placement

import (
	"math"
	"slices"
	"sort"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// Figures of the plan.
const (
	keepAsked        = 20 * time.Second // a model asked for within it should be somewhere
	busyRate         = 0.8              // requests a second from which a model gets more than one copy
	runningPerCopy   = 2.0              // requests under way that one copy should carry
	ahead            = 2                // places by which demand is expected to move on in the operator's list
	mostCopiesShare  = 0.6              // of the service's backends, for one model
	recentlyAsked    = 3 * time.Second
	gainOverVictim   = 2.0 // hysteresis: so much more a new copy must be worth than the one that goes, as rates of seconds waver
	anticipation     = 0.3 // part of the rate of the models before it that a model is expected to get
	soleWorth        = 0.03
	surplusShare     = 0.1
	runningLoss      = 0.004 // of a load beside one running request, in requests a second
	coldLoss         = 0.25  // of a load from the weight store, which takes several times as long
	neighbourLoss    = 0.01  // of a load beside a busy model, as a part of its rate
	recentWorth      = 0.5
	waitingWorth     = 2.0 // of one waiting or refused request, in requests a second
	minAdapterCopies = 1
)

// Backend is a backend as the planner sees it.
type Backend struct {
	message.Backend
	Busy bool                       // an order or a task is under way
	Warm map[message.ModelName]bool // models that it held before and reads from its own disk
}

// Task is what one backend is to be ordered, in this order: unloads, then a load, then adapters.
type Task struct {
	Backend  message.Backend
	Service  string
	Unload   []message.ModelName // models
	Load     message.ModelName   // model; empty: none
	LoadTime time.Duration
	Warm     bool                // the load is read from the backend's own disk
	Drop     []message.ModelName // adapters to be unloaded, as model/adapter
	Adapters []message.ModelName // adapters to be loaded, as model/adapter
	Room     Room
	Reason   string
}

// Input is what a plan is made from.
type Input struct {
	Now       time.Time
	Services  map[string]*configuration.Service
	Backends  []Backend
	Loading   map[string]map[message.ModelName]int // by service and model: loads that tasks under way will bring
	Demand    *DemandTable
	Running   map[message.BackendID]int // requests under way by backend
	LoadsLeft map[string]int            // by service: loads that may begin now
}

// plan is one run of the planner for one service.
type plan struct {
	in       *Input
	service  *configuration.Service
	backends []*Backend
	copies   map[message.ModelName]int // held and being loaded
	desired  map[message.ModelName]int
	nextRate map[message.ModelName]float64 // the highest rate that may move on to a model
	tasks    []Task
}

// Plan returns the tasks that should begin now, the most urgent first.
func Plan(in *Input) []Task {
	var tasks []Task
	names := make([]string, 0, len(in.Services))
	for name, service := range in.Services {
		if service.Runtime != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		p := newPlan(in, in.Services[name])
		p.placeAdapters() // they take milliseconds, and a load keeps a backend from taking other orders for seconds
		p.placeModels()
		tasks = append(tasks, p.tasks...)
	}
	return tasks
}

func newPlan(in *Input, service *configuration.Service) *plan {
	p := &plan{in: in, service: service, copies: map[message.ModelName]int{}, desired: map[message.ModelName]int{}, nextRate: map[message.ModelName]float64{}}
	for i := range in.Backends {
		backend := &in.Backends[i]
		if backend.Service != service.Name || backend.Draining || backend.TimeLeftMs > 0 {
			continue
		}
		p.backends = append(p.backends, backend)
		for _, model := range backend.Models {
			p.copies[model.Name]++
		}
	}
	for model, count := range in.Loading[service.Name] {
		p.copies[model] += count
	}
	p.setDesired()
	return p
}

// setDesired says how many copies each model should have: by what is asked now, and by what would be asked if the
// demand moved on by some places in the operator's list, as it does from time to time.
func (p *plan) setDesired() {
	models := p.service.Runtime.Models
	most := int(math.Ceil(mostCopiesShare * float64(len(p.backends))))
	for i, model := range models {
		demand := p.in.Demand.Of(p.service.Name, model.Name)
		want := 0
		if !demand.LastAsked.IsZero() && p.in.Now.Sub(demand.LastAsked) < keepAsked {
			want = 1
		}
		want = max(want, p.copiesFor(model.Name, p.rateOf(model.Name)))
		for step := 1; step <= ahead; step++ {
			before := models[(i-step+len(models))%len(models)].Name
			want = max(want, p.copiesFor(model.Name, p.rateOf(before)))
			p.nextRate[model.Name] = max(p.nextRate[model.Name], p.rateOf(before))
		}
		p.desired[model.Name] = min(want, most)
	}
}

// rateOf is the rate at which a model is asked for. Before any demand was seen, a model that the platform placed more
// than once is taken to be busy.
func (p *plan) rateOf(model message.ModelName) float64 {
	if !p.in.Demand.IsEmpty(p.service.Name) {
		demand := p.in.Demand.Of(p.service.Name, model)
		return max(demand.Fast, demand.Slow)
	}
	if p.copies[model] > 1 {
		return busyRate
	}
	return 0
}

// copiesFor is how many copies a model needs at a rate, by the time that its requests take; 0 where it is not busy.
func (p *plan) copiesFor(model message.ModelName, rate float64) int {
	if rate < busyRate {
		return 0
	}
	running := rate * p.in.Demand.Duration(p.service.Name, model)
	return max(2, int(math.Ceil(running/runningPerCopy)))
}

// want is a model that has fewer copies than it should.
type want struct {
	model configuration.Model
	worth float64
}

func (p *plan) wants() []want {
	var out []want
	for _, model := range p.service.Runtime.Models {
		missing := p.desired[model.Name] - p.copies[model.Name]
		if missing <= 0 {
			continue
		}
		out = append(out, want{model: model, worth: p.worthOfMore(model.Name)})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].worth > out[j].worth })
	return out
}

// expectedRate is the rate at which a model is asked for, or a part of the rate that may move on to it.
func (p *plan) expectedRate(model message.ModelName) float64 {
	return max(p.rateOf(model), anticipation*p.nextRate[model])
}

// worthOfMore is what one more copy is worth, in requests a second.
func (p *plan) worthOfMore(model message.ModelName) float64 {
	demand := p.in.Demand.Of(p.service.Name, model)
	if p.copies[model] == 0 {
		return p.expectedRate(model) + waitingWorth*(float64(demand.Waiting)+demand.Missed) + soleWorth
	}
	return p.expectedRate(model) / float64(p.copies[model]+1)
}

// worthOfOne is what is lost when one of a model's copies goes.
func (p *plan) worthOfOne(model message.ModelName) float64 {
	demand := p.in.Demand.Of(p.service.Name, model)
	copies := p.copies[model]
	if copies > p.desired[model] && copies > 1 {
		return surplusShare * p.expectedRate(model) / float64(copies)
	}
	if copies > 1 {
		return p.expectedRate(model) / float64(copies)
	}
	// What has waited for it and was sent there a moment ago would be turned away, not having begun.
	worth := p.expectedRate(model) + waitingWorth*(float64(demand.Waiting+demand.InUse)+demand.Missed) + soleWorth
	if !demand.LastAsked.IsZero() && p.in.Now.Sub(demand.LastAsked) < recentlyAsked {
		worth += recentWorth
	}
	return worth
}

// placeModels places nothing before any demand was seen: the platform's own placement is the best guess then.
func (p *plan) placeModels() {
	if p.in.Demand.IsEmpty(p.service.Name) {
		return
	}
	for _, wanted := range p.wants() {
		if task, ok := p.placeOne(wanted); ok {
			p.tasks = append(p.tasks, task)
			if !task.Warm {
				p.in.LoadsLeft[p.service.Name]--
			}
		}
	}
}

// option is a backend that could take a model, and what has to go for it.
type option struct {
	backend *Backend
	victims []message.ModelName
	loss    float64
}

func (p *plan) placeOne(wanted want) (Task, bool) {
	var best *option
	for _, backend := range p.backends {
		if backend.Busy || holds(backend, wanted.model.Name) {
			continue
		}
		if !backend.Warm[wanted.model.Name] && p.in.LoadsLeft[p.service.Name] <= 0 {
			continue
		}
		candidate, ok := p.makeRoom(backend, wanted.model)
		if ok && (best == nil || candidate.loss < best.loss) {
			best = &candidate
		}
	}
	if best == nil || wanted.worth <= gainOverVictim*best.loss-coldLoss {
		return Task{}, false
	}
	best.backend.Busy = true
	for _, victim := range best.victims {
		p.copies[victim]--
	}
	p.copies[wanted.model.Name]++
	return Task{
		Backend: best.backend.Backend, Service: p.service.Name, Unload: best.victims, Load: wanted.model.Name,
		LoadTime: p.loadTime(best.backend, wanted.model), Warm: best.backend.Warm[wanted.model.Name], Adapters: p.adaptersFor(wanted.model, best),
		Room: Room{p.service.Runtime}, Reason: "a copy is wanted",
	}, true
}

// warmShare is the part of a load's time that reading from a backend's own disk takes at most.
const warmShare = 0.25

func (p *plan) loadTime(backend *Backend, model configuration.Model) time.Duration {
	if backend.Warm[model.Name] {
		return time.Duration(warmShare * float64(model.LoadTime))
	}
	return model.LoadTime
}

func holds(backend *Backend, model message.ModelName) bool {
	return slices.ContainsFunc(backend.Models, func(m message.LoadedModel) bool { return m.Name == model })
}

// makeRoom says which models have to go from a backend so that one more fits.
func (p *plan) makeRoom(backend *Backend, model configuration.Model) (option, bool) {
	free := p.service.Runtime.WeightsMB - p.used(backend)
	held := slices.Clone(backend.Models)
	sort.SliceStable(held, func(i, j int) bool { return p.worthOfOne(held[i].Name) < p.worthOfOne(held[j].Name) })
	choice := option{backend: backend}
	for _, candidate := range held {
		if free >= model.WeightsMB {
			break
		}
		choice.victims = append(choice.victims, candidate.Name)
		choice.loss += p.worthOfOne(candidate.Name)
		free += p.size(candidate)
	}
	if free < model.WeightsMB {
		return option{}, false
	}
	// A load takes longer where much runs, and keeps adapters from being loaded beside busy models.
	if !backend.Warm[model.Name] {
		choice.loss += coldLoss
	}
	choice.loss += runningLoss * float64(p.in.Running[backend.ID])
	for _, kept := range backend.Models {
		if !slices.Contains(choice.victims, kept.Name) {
			choice.loss += neighbourLoss * p.expectedRate(kept.Name)
		}
	}
	return choice, true
}

func (p *plan) used(backend *Backend) float64 { return Room{p.service.Runtime}.Used(backend.Models) }

func (p *plan) size(held message.LoadedModel) float64 { return Room{p.service.Runtime}.Size(held) }
