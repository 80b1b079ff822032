package planner

import (
	"math"
	"time"

	"pumiceline/internal/message"
)

const (
	// recentDemand is how long after its last request a model should still have a replica.
	recentDemand = 20 * time.Second
	// busyRate is the rate, in requests a second, from which a model gets more than one replica.
	busyRate = 0.8
	// minBusyReplicas is how many replicas a busy model gets at least, so that a replica is left after the loss of
	// one backend.
	minBusyReplicas = 2
	// inFlightPerReplica is how many requests in flight one replica should carry.
	inFlightPerReplica = 2.0
	// shiftDistance is how many models ahead in the configured list demand is expected to shift.
	shiftDistance = 2
	// maxReplicaShare is the largest share of a service's backends at which one model may have replicas.
	maxReplicaShare = 0.6
)

// setTargets sets how many replicas each model should have: enough for its own rate, and for the rates of the
// shiftDistance models before it in the configured list. Demand shifts along that list from time to time, and a load
// takes seconds, so replicas that are loaded only after a shift would come too late.
//
//	target = min(ceil(maxReplicaShare * backends), max(recent, replicasFor(rate), replicasFor(rates before it)))
//
// where recent is 1 if a request came within recentDemand, else 0.
func (p *servicePlan) setTargets() {
	models := p.service.Runtime.Models
	limit := int(math.Ceil(maxReplicaShare * float64(len(p.backends))))
	for i, model := range models {
		target := 0
		if lastRequest := p.demandFor(model.Name).LastRequest; isWithin(recentDemand, lastRequest, p.in.Now) {
			target = 1
		}
		target = max(target, p.replicasFor(model.Name, p.rateOf(model.Name)))
		for distance := 1; distance <= shiftDistance; distance++ {
			before := models[(i-distance+len(models))%len(models)].Name
			rate := p.rateOf(before)
			target = max(target, p.replicasFor(model.Name, rate))
			p.shiftRates[model.Name] = max(p.shiftRates[model.Name], rate)
		}
		p.targets[model.Name] = min(target, limit)
	}
}

// isWithin reports whether an event happened less than span ago. A zero time means that it never did.
func isWithin(span time.Duration, event, now time.Time) bool {
	return !event.IsZero() && now.Sub(event) < span
}

// rateOf returns the rate of requests for a model, in requests a second. Before any demand was reported, a model with
// more than one replica counts as busy, because the platform has placed several.
func (p *servicePlan) rateOf(model message.ModelName) float64 {
	if !p.in.Demand.IsEmpty(p.service.Name) {
		demand := p.demandFor(model)
		return demand.Rate()
	}
	if p.replicas[model] > 1 {
		return busyRate
	}
	return 0
}

// replicasFor returns how many replicas a model needs at a rate; 0 below busyRate. By Little's law the requests in
// flight are rate * mean duration.
func (p *servicePlan) replicasFor(model message.ModelName, rate float64) int {
	if rate < busyRate {
		return 0
	}
	inFlight := rate * p.in.Demand.MeanSeconds(p.service.Name, model)
	return max(minBusyReplicas, int(math.Ceil(inFlight/inFlightPerReplica)))
}
