package planner

import (
	"sort"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

const (
	// evictionHysteresis is the smallest ratio of the value of a new replica to the loss at its backend. Rates over
	// some seconds vary by a third; with a lower ratio, replicas of similar value would evict each other again and
	// again.
	evictionHysteresis = 2.0
	// storeLoadLoss is the loss of a load from the weight store, in requests a second. Such a load takes several
	// times as long as one from the backend's own disk, and counts against the service's rate limit.
	storeLoadLoss = 0.25
	// inFlightLoss is the loss, in requests a second, for each request that runs at the backend: a load slows it down.
	inFlightLoss = 0.004
	// neighbourLoss is the loss for each other model that stays at the backend, as a share of that model's rate: during a
	// load the backend takes no commands, so no adapter of that model can be loaded there.
	neighbourLoss = 0.01
	// cachedLoadShare is the longest time of a load from the backend's own disk, as a share of the time of a load
	// from the weight store.
	cachedLoadShare = 0.25
)

// replicaDemand is a model that has fewer replicas than its target.
type replicaDemand struct {
	model configuration.Model
	value float64 // of one more replica
}

// replicaDemands returns the models below their target, the most valuable first.
func (p *servicePlan) replicaDemands() []replicaDemand {
	var demands []replicaDemand
	for _, model := range p.service.Runtime.Models {
		if p.replicas[model.Name] < p.targets[model.Name] {
			demands = append(demands, replicaDemand{model: model, value: p.marginalValue(model.Name)})
		}
	}
	sort.SliceStable(demands, func(i, j int) bool { return demands[i].value > demands[j].value })
	return demands
}

// placeModels places one replica of each model that is below its target. Before any demand was reported it places none,
// because the platform's own placement is the best guess then.
func (p *servicePlan) placeModels() {
	if p.in.Demand.IsEmpty(p.service.Name) {
		return
	}
	for _, demand := range p.replicaDemands() {
		best := p.bestSite(demand.model)
		// For a load from the weight store the loss includes storeLoadLoss. It must count once, not
		// evictionHysteresis times, so it is subtracted once. The loss of a load from the backend's own disk does not
		// include it, so there the subtraction lowers the required value.
		if best == nil || demand.value <= evictionHysteresis*best.loss-storeLoadLoss {
			continue
		}
		p.tasks = append(p.tasks, p.placeAt(best, demand.model))
	}
}

// site is a backend that could take a model, and the models to evict for it.
type site struct {
	backend   *Backend
	evictions []message.ModelName
	loss      float64 // in requests a second
}

// bestSite returns the site with the smallest loss, or nil if there is none.
func (p *servicePlan) bestSite(model configuration.Model) *site {
	var best *site
	for _, backend := range p.backends {
		if backend.Busy || backend.hasModel(model.Name) {
			continue
		}
		if !backend.Cached[model.Name] && p.in.ModelLoadsAllowed[p.service.Name] <= 0 {
			continue
		}
		candidate, ok := p.siteAt(backend, model)
		if ok && (best == nil || candidate.loss < best.loss) {
			best = &candidate
		}
	}
	return best
}

// siteAt chooses the models to evict from a backend so that a model fits, those with the smallest loss first. ok is
// false if the model would not even fit into the empty backend.
func (p *servicePlan) siteAt(backend *Backend, model configuration.Model) (_ site, ok bool) {
	for _, option := range p.evictionOptions(backend) {
		if option.freeMB >= model.WeightsMB {
			return site{backend: backend, evictions: option.evictions, loss: option.totalLoss(backend.Cached[model.Name])}, true
		}
	}
	return site{}, false
}

// placeAt returns the task for a site, and updates the replica counts and the loads allowed for the rest of the plan.
func (p *servicePlan) placeAt(s *site, model configuration.Model) Task {
	s.backend.Busy = true
	for _, evicted := range s.evictions {
		p.addReplicas(evicted, -1)
	}
	p.addReplicas(model.Name, 1)
	fromCache := s.backend.Cached[model.Name]
	if !fromCache {
		p.in.ModelLoadsAllowed[p.service.Name]--
	}
	return Task{
		Backend: s.backend.Backend, Service: p.service.Name, Unload: s.evictions, Load: model.Name,
		LoadTime: loadTime(model, fromCache), FromCache: fromCache, LoadAdapters: p.adaptersFor(model, s),
		Capacity: p.capacity, Reason: reasonReplica,
	}
}

func loadTime(model configuration.Model, fromCache bool) time.Duration {
	if fromCache {
		return time.Duration(cachedLoadShare * float64(model.LoadTime))
	}
	return model.LoadTime
}
