package planner

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

const (
	// recentAdapterDemand is how long after its last request an adapter counts as requested.
	recentAdapterDemand = 20 * time.Second
	// recentlyUnserved is the decaying count of unserved requests (Demand.Unserved) above which an adapter counts as
	// requested.
	recentlyUnserved = 0.05
	// busyAdapterValue is the value, in requests a second, from which an adapter gets more than one replica.
	busyAdapterValue = 0.3
	// adapterSwapCost is the cost of replacing one adapter by another, in requests a second.
	adapterSwapCost = 0.05
	// idleAdapterValue is the value of an adapter without requests that could be loaded, and loadedAdapterValue that
	// of one that is loaded, in requests a second.
	idleAdapterValue   = 0.01
	loadedAdapterValue = 0.008
)

// adapterDemand is the demand for an adapter. An adapter has one replica at each backend that has it loaded.
type adapterDemand struct {
	model       message.ModelName
	adapter     string
	isRequested bool    // it was requested recently; see adapterDemandFor
	value       float64 // of one more replica, in requests a second
}

// name is the adapter's full name.
func (d adapterDemand) name() message.ModelName { return d.model.WithAdapter(d.adapter) }

// placeAdapters loads adapters beside their models: those that are requested, and for busy models all that fit. An
// adapter loads within milliseconds, but the first request for an adapter that is not loaded has to wait. A backend
// gets at most one task.
func (p *servicePlan) placeAdapters() {
	tasks := map[*Backend]*Task{}
	for _, demand := range p.adapterDemands() {
		backend := p.adapterBackend(demand, tasks)
		if backend == nil {
			continue
		}
		task := tasks[backend]
		if task == nil {
			task = &Task{Backend: backend.Backend, Service: p.service.Name, Capacity: p.capacity, Reason: reasonAdapter}
			tasks[backend] = task
		}
		p.addAdapter(backend, task, demand)
	}
	for _, backend := range p.backends {
		if task := tasks[backend]; task != nil && len(task.LoadAdapters) > 0 {
			backend.Busy = true
			p.tasks = append(p.tasks, *task)
		}
	}
}

// addAdapter adds an adapter to a backend's task. If there is no room, it evicts another adapter, or does nothing if
// none may be evicted.
func (p *servicePlan) addAdapter(backend *Backend, task *Task, demand adapterDemand) {
	if !p.hasAdapterRoom(backend, task, demand) {
		evicted, ok := p.adapterToEvict(backend, task, demand)
		if !ok {
			return
		}
		task.UnloadAdapters = append(task.UnloadAdapters, evicted)
	}
	task.LoadAdapters = append(task.LoadAdapters, demand.name())
}

// adapterDemands returns the adapters with fewer replicas than they should have, the most valuable first.
func (p *servicePlan) adapterDemands() []adapterDemand {
	var demands []adapterDemand
	for _, model := range p.service.Runtime.Models {
		if model.Adapters == 0 || p.replicas[model.Name] == 0 {
			continue
		}
		replicas := p.adapterCounts[model.Name]
		for _, demand := range p.rankAdapters(model) {
			if replicas[demand.adapter] < p.targetAdapterReplicas(model, demand) {
				demands = append(demands, demand)
			}
		}
	}
	sort.SliceStable(demands, func(i, j int) bool { return demands[i].value > demands[j].value })
	return demands
}

// targetAdapterReplicas is how many replicas of an adapter there should be: one of each adapter that is requested or whose
// model is busy. A busy adapter gets one beside each replica of its model while the adapter slots there suffice for all
// the model's adapters:
//
//	min(model replicas, model replicas * adapter slots / adapters), at least 1
func (p *servicePlan) targetAdapterReplicas(model configuration.Model, demand adapterDemand) int {
	if p.targets[model.Name] <= 1 && !demand.isRequested {
		return 0
	}
	if demand.value < busyAdapterValue {
		return 1
	}
	modelReplicas := p.replicas[model.Name]
	return max(1, min(modelReplicas, modelReplicas*p.service.Runtime.AdapterSlots/model.Adapters))
}

// rankAdapters returns all adapters of a model, the most valuable first. The platform names them a1 to aN.
func (p *servicePlan) rankAdapters(model configuration.Model) []adapterDemand {
	ranked := make([]adapterDemand, 0, model.Adapters)
	for i := 1; i <= model.Adapters; i++ {
		ranked = append(ranked, p.adapterDemandFor(model.Name, fmt.Sprintf("a%d", i)))
	}
	sort.SliceStable(ranked, func(i, j int) bool { return ranked[i].value > ranked[j].value })
	return ranked
}

func (p *servicePlan) adapterDemandFor(model message.ModelName, adapter string) adapterDemand {
	demand := p.demandFor(model.WithAdapter(adapter))
	return adapterDemand{
		model: model, adapter: adapter,
		isRequested: demand.Waiting > 0 || demand.Unserved > recentlyUnserved ||
			isWithin(recentAdapterDemand, demand.LastRequest, p.in.Now),
		value: demand.Rate() + unservedValue*(float64(demand.Waiting)+demand.Unserved) + idleAdapterValue,
	}
}

// adaptersFor returns the adapters that are loaded together with a new replica of a busy model: those with the fewest
// replicas, as many as the slots that remain at its backend.
func (p *servicePlan) adaptersFor(model configuration.Model, s *site) []message.ModelName {
	if p.targets[model.Name] <= 1 {
		return nil
	}
	slots := p.service.Runtime.AdapterSlots
	for _, kept := range s.backend.Models {
		if !slices.Contains(s.evictions, kept.Name) {
			slots -= len(kept.Adapters)
		}
	}
	replicas := p.adapterCounts[model.Name]
	ranked := p.rankAdapters(model)
	sort.SliceStable(ranked, func(i, j int) bool { return replicas[ranked[i].adapter] < replicas[ranked[j].adapter] })
	var names []message.ModelName
	for _, demand := range ranked[:max(0, min(slots, len(ranked)))] {
		names = append(names, demand.name())
	}
	return names
}

// countAdapters adds the adapters of a loaded model to adapterCounts.
func (p *servicePlan) countAdapters(loaded message.LoadedModel) {
	if len(loaded.Adapters) == 0 {
		return
	}
	counts := p.adapterCounts[loaded.Name]
	if counts == nil {
		counts = map[string]int{}
		p.adapterCounts[loaded.Name] = counts
	}
	for _, adapter := range loaded.Adapters {
		counts[adapter]++
	}
}

// adapterBackend returns, of the backends that hold the model and can take the adapter, the one with the fewest
// adapters, or nil if there is none.
func (p *servicePlan) adapterBackend(demand adapterDemand, tasks map[*Backend]*Task) *Backend {
	var best *Backend
	fewest := 0
	for _, backend := range p.backends {
		task := tasks[backend]
		if backend.Busy || !backend.hasModel(demand.model) {
			continue
		}
		if backend.Holds(demand.name()) || willLoad(task, demand.name()) {
			continue
		}
		count := adapterCount(backend, task)
		if best == nil || count < fewest {
			best, fewest = backend, count
		}
	}
	return best
}

func willLoad(task *Task, adapter message.ModelName) bool {
	return task != nil && slices.Contains(task.LoadAdapters, adapter)
}

// adapterCount is how many adapters a backend will hold after its task, which may be nil.
func adapterCount(backend *Backend, task *Task) int {
	count := countAdapters(backend.Models)
	if task != nil {
		count += len(task.LoadAdapters) - len(task.UnloadAdapters)
	}
	return count
}

// hasAdapterRoom reports whether one more adapter fits beside the models and adapters that the backend holds and its
// task loads.
func (p *servicePlan) hasAdapterRoom(backend *Backend, task *Task, demand adapterDemand) bool {
	if adapterCount(backend, task) >= p.service.Runtime.AdapterSlots {
		return false
	}
	usedMB := p.capacity.UsedMB(backend.Models)
	for _, name := range task.LoadAdapters {
		usedMB += p.capacity.sizeMB(name)
	}
	return usedMB+p.capacity.sizeMB(demand.name()) <= p.service.Runtime.WeightCapacityMB
}

// adapterToEvict returns the least valuable adapter of the backend. ok is false if the value of none is lower, by the
// same hysteresis as for models, than that of the adapter to load. Nothing is evicted for an adapter that was not
// requested recently.
func (p *servicePlan) adapterToEvict(backend *Backend, task *Task, demand adapterDemand) (_ message.ModelName, ok bool) {
	if !demand.isRequested {
		return "", false
	}
	var evicted message.ModelName
	least := demand.value/evictionHysteresis - adapterSwapCost
	for _, model := range backend.Models {
		for _, adapter := range model.Adapters {
			name := model.Name.WithAdapter(adapter)
			if slices.Contains(task.UnloadAdapters, name) {
				continue
			}
			loaded := p.demandFor(name)
			if value := loaded.Rate() + loadedAdapterValue; value < least {
				least, evicted = value, name
			}
		}
	}
	return evicted, evicted != ""
}
