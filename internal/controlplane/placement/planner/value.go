package planner

import (
	"time"

	"pumiceline/internal/message"
)

// Weights of values and losses, in requests a second.
const (
	// shiftDiscount is the share of its shift rate (see servicePlan.shiftRates) that a model is expected to get.
	shiftDiscount = 0.3
	// unservedValue is the value of a replica for each request that waits for the model or was rejected for lack of it.
	unservedValue = 2.0
	// firstReplicaValue is the value of a model's only replica in addition to its rate: without that replica each
	// request waits for a load.
	firstReplicaValue = 0.03
	// recentRequestValue is the additional value of an only replica whose model was requested within recentRequest,
	// as more requests probably follow.
	recentRequestValue = 0.5
	recentRequest      = 3 * time.Second
	// surplusDiscount is the share of its value that a replica above the target keeps.
	surplusDiscount = 0.1
)

// expectedRate returns the rate of requests for a model, or a share of the rate that may shift to it.
func (p *servicePlan) expectedRate(model message.ModelName) float64 {
	return max(p.rateOf(model), shiftDiscount*p.shiftRates[model])
}

// marginalValue is the value of one more replica of a model, in requests a second. The first serves the full rate and the
// requests that wait for it; each further one takes an equal share of the rate:
//
//	replicas = 0: expectedRate + unservedValue*(waiting + unserved) + firstReplicaValue
//	replicas > 0: expectedRate / (replicas + 1)
func (p *servicePlan) marginalValue(model message.ModelName) float64 {
	demand := p.demandFor(model)
	if p.replicas[model] == 0 {
		return p.expectedRate(model) + unservedValue*(float64(demand.Waiting)+demand.Unserved) + firstReplicaValue
	}
	return p.expectedRate(model) / float64(p.replicas[model]+1)
}

// evictionLoss returns computeEvictionLoss, which it computes once for all backends that hold the model.
func (p *servicePlan) evictionLoss(model message.ModelName) float64 {
	loss, isKnown := p.losses[model]
	if !isKnown {
		loss = p.computeEvictionLoss(model)
		p.losses[model] = loss
	}
	return loss
}

// computeEvictionLoss is the loss, in requests a second, if one of a model's replicas is evicted:
//
//	above the target:  surplusDiscount * expectedRate / replicas
//	one of several:    expectedRate / replicas
//	the only one:      expectedRate + unservedValue*(waiting + in flight + unserved) + firstReplicaValue
//	                   + recentRequestValue, if requested within recentRequest
//
// For the only replica, requests in flight count too: the backend would reject those that were sent to it a moment
// ago and that it has not begun.
func (p *servicePlan) computeEvictionLoss(model message.ModelName) float64 {
	demand := p.demandFor(model)
	replicas := p.replicas[model]
	if replicas > p.targets[model] && replicas > 1 {
		return surplusDiscount * p.expectedRate(model) / float64(replicas)
	}
	if replicas > 1 {
		return p.expectedRate(model) / float64(replicas)
	}
	affectedRequests := float64(demand.Waiting+demand.InFlight) + demand.Unserved
	loss := p.expectedRate(model) + unservedValue*affectedRequests + firstReplicaValue
	if isWithin(recentRequest, demand.LastRequest, p.in.Now) {
		loss += recentRequestValue
	}
	return loss
}
