package planner

import (
	"slices"
	"sort"

	"pumiceline/internal/message"
)

// evictionOption is a set of models that may be evicted from a backend, those with the smallest loss.
type evictionOption struct {
	evictions     []message.ModelName
	freeMB        float64   // after the evictions
	evictionLoss  float64   // sum over the evictions, in requests a second
	inFlightLoss  float64   // for the requests that run at the backend
	neighbourLoss []float64 // for each model that stays
}

// totalLoss is the loss of a load after the evictions, in requests a second. isCached reports whether the model is
// loaded from the backend's own disk.
func (o *evictionOption) totalLoss(isCached bool) float64 {
	loss := o.evictionLoss
	if !isCached {
		loss += storeLoadLoss
	}
	loss += o.inFlightLoss
	for _, neighbour := range o.neighbourLoss {
		loss += neighbour
	}
	return loss
}

// evictionOptions returns the options of a backend: no eviction, that of the model with the smallest loss, those of the
// two models with the smallest losses, and so on. They are computed once for all models that could be placed there.
func (p *servicePlan) evictionOptions(backend *Backend) []evictionOption {
	options, isKnown := p.options[backend]
	if !isKnown {
		options = p.computeEvictionOptions(backend)
		p.options[backend] = options
	}
	return options
}

func (p *servicePlan) computeEvictionOptions(backend *Backend) []evictionOption {
	held := slices.Clone(backend.Models)
	sort.SliceStable(held, func(i, j int) bool { return p.evictionLoss(held[i].Name) < p.evictionLoss(held[j].Name) })
	option := evictionOption{
		freeMB:       p.service.Runtime.WeightCapacityMB - p.capacity.UsedMB(backend.Models),
		inFlightLoss: inFlightLoss * float64(p.in.InFlight[backend.ID]),
	}
	options := make([]evictionOption, 0, len(held)+1)
	options = append(options, p.withNeighbours(option, backend))
	for _, evicted := range held {
		option.evictions = append(slices.Clone(option.evictions), evicted.Name)
		option.evictionLoss += p.evictionLoss(evicted.Name)
		option.freeMB += p.capacity.loadedMB(evicted)
		options = append(options, p.withNeighbours(option, backend))
	}
	return options
}

// withNeighbours returns an option with the losses of the models that stay.
func (p *servicePlan) withNeighbours(option evictionOption, backend *Backend) evictionOption {
	option.neighbourLoss = nil
	for _, kept := range backend.Models {
		if !slices.Contains(option.evictions, kept.Name) {
			option.neighbourLoss = append(option.neighbourLoss, neighbourLoss*p.expectedRate(kept.Name))
		}
	}
	return option
}

// addReplicas changes the number of replicas of a model, and drops what was computed from it.
func (p *servicePlan) addReplicas(model message.ModelName, count int) {
	p.replicas[model] += count
	delete(p.losses, model)
	for _, backend := range p.backends {
		if backend.hasModel(model) {
			delete(p.options, backend)
		}
	}
}
