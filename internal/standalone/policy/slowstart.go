package policy

import (
	"math"

	"pumiceline/internal/wrr"
)

// aggression is the parameter of gRFC A100 (slow start), at its default. Window and floor are Rules.WarmupTime and
// Rules.InitialCapacity.
const aggression = 1.0

// The slow-start factor is relative: when most servers warm up it eases nothing. So a token budget bounds what this
// balancer sends each warming-up server in absolute terms.
const (
	// The sends of all balancers coincide at random and their work varies, and a few requests more can overload a
	// warming-up server. The budget leaves this many times the square root of their number free for that.
	burstMargin = 3
	// A warming-up server gets at most this many times its guaranteed capacity: most servers are warm before they
	// must be, and beyond that it could not respond in time.
	maxWarmupLoad = 2.4
	// A request that costs more than this must be covered by the budget.
	freeRequestCost = 2
)

// beginSlowStart starts the slow start of s. In a large group a balancer may send less than one request in the whole
// window; a random first budget spreads the first requests of all balancers.
func (b *Balancer) beginSlowStart(s *server, readySince Time) {
	s.readySince = readySince
	s.warmingUp = b.now-readySince < b.settings.Rules.WarmupTime
	if s.warmingUp {
		s.slowStartTokens = b.rng.Float64()
	}
}

// refreshSlowStart ends the slow start of s after the warm-up time, or refills its budget for elapsed seconds.
func (b *Balancer) refreshSlowStart(s *server, elapsed float64) {
	if !s.warmingUp {
		return
	}
	if b.now-s.readySince >= b.settings.Rules.WarmupTime {
		s.warmingUp = false
		return
	}
	rate := b.slowStartRate(s)
	burst := max(1, rate*float64(b.settings.Rules.OverloadTime)/2e6) // the rate over half of the overload time
	s.slowStartTokens = min(burst, s.slowStartTokens+rate*elapsed)
}

// slowStartFactor is A100's factor on the weight: max(floor, timeFactor^(1/aggression)) within the window.
func (b *Balancer) slowStartFactor(s *server) float64 {
	if !s.warmingUp {
		return 1
	}
	rules := &b.settings.Rules
	slowStart := wrr.SlowStart{
		Window: float64(rules.WarmupTime), MinAge: 1e6, Floor: rules.InitialCapacity, Aggression: aggression,
	}
	return slowStart.Factor(float64(b.now - s.readySince))
}

// guaranteedCapacity is the fraction of its capacity that s has for sure: it grows linearly from the initial capacity
// over the warm-up time.
func (b *Balancer) guaranteedCapacity(s *server) float64 {
	if !s.warmingUp {
		return 1
	}
	rules := &b.settings.Rules
	age := float64(b.now-s.readySince) / float64(max(1, rules.WarmupTime))
	return min(1, rules.InitialCapacity+(1-rules.InitialCapacity)*max(0, age))
}

// slowStartRate is this balancer's part of what a warming-up server may be sent, in mean requests per second. The
// number n of requests that all balancers send within the overload time solves n + burstMargin*sqrt(n) = overload.
func (b *Balancer) slowStartRate(s *server) float64 {
	capacity := b.expectedWeight(s) * b.guaranteedCapacity(s)
	overloadTime := max(1e-3, float64(b.settings.Rules.OverloadTime)/1e6) // seconds
	overload := b.settings.Rules.OverloadFactor * capacity * overloadTime
	root := (math.Sqrt(burstMargin*burstMargin+4*overload) - burstMargin) / 2
	return min(root*root/overloadTime, maxWarmupLoad*capacity) / float64(b.settings.GroupSize)
}

// chargeSlowStart takes the cost of a send from the budget of s. Retries, probation attempts and rejected ones count
// too.
func (b *Balancer) chargeSlowStart(s *server, cost float64) {
	if s.warmingUp {
		s.slowStartTokens -= max(1, cost)
	}
}

// exceedsSlowStartBudget reports whether a request would overdraw the budget of s by far.
func (b *Balancer) exceedsSlowStartBudget(s *server, cost float64) bool {
	return s.warmingUp && cost > max(freeRequestCost, s.slowStartTokens)
}
