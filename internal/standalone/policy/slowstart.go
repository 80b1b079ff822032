package policy

import (
	"math"

	"pumiceline/internal/wrr"
)

// Parameters of gRFC A100 (slow start). Window and floor are Rules.WarmupTime and Rules.InitialCapacity.
const (
	aggression      = 1.0 // A100's default: the weight rises linearly
	slowStartMinAge = 1e6 // microseconds: a younger server counts as one second old
)

// A100's factor is relative to the weights of the other servers: when most servers warm up, as after a
// restart of all, it protects none of them. So a token budget bounds the requests that this balancer sends to
// each warming-up server in absolute terms.
const (
	// burstMargin is the part of the overload bound that the budget leaves free, in multiples of the square
	// root of the number of requests in an overload time. Balancers send at random times, so the number of
	// requests exceeds its mean by that much now and then (the square root is the standard deviation of a
	// Poisson distribution), and a few more requests can overload a warming-up server.
	burstMargin = 3
	// maxWarmupLoad bounds the budget in multiples of the guaranteed capacity. It is over 1, as most servers
	// are warm before they must be; with more than this a server could not respond in time.
	maxWarmupLoad = 2.4
	// freeRequestCost is the cost, in mean requests, up to which a request may overdraw the budget.
	freeRequestCost = 2
)

// beginSlowStart starts the slow start of s. In a large group one balancer may send less than one request to
// s in the whole window; a random initial budget spreads the first requests of all balancers.
func (b *Balancer) beginSlowStart(s *server, readySince Time) {
	s.readySince = readySince
	s.warmingUp = b.now-readySince < b.settings.Rules.WarmupTime
	if s.warmingUp {
		s.slowStartTokens = b.rng.Float64()
	}
}

// refreshSlowStart ends the slow start of s after the warm-up time, or refills its budget for elapsed
// seconds.
func (b *Balancer) refreshSlowStart(s *server, elapsed float64) {
	if !s.warmingUp {
		return
	}
	if b.now-s.readySince >= b.settings.Rules.WarmupTime {
		s.warmingUp = false
		return
	}
	rate := b.slowStartRate(s)
	// The burst is what the rate gives in half of the overload time.
	burst := max(1, rate*float64(b.settings.Rules.OverloadTime)/2e6)
	s.slowStartTokens = min(burst, s.slowStartTokens+rate*elapsed)
}

// slowStartFactor returns A100's factor on the weight of s, see wrr.SlowStart.Factor; 1 if s does not warm
// up.
func (b *Balancer) slowStartFactor(s *server) float64 {
	if !s.warmingUp {
		return 1
	}
	rules := &b.settings.Rules
	slowStart := wrr.SlowStart{
		Window: float64(rules.WarmupTime), MinAge: slowStartMinAge,
		Floor: rules.InitialCapacity, Aggression: aggression,
	}
	return slowStart.Factor(float64(b.now - s.readySince))
}

// guaranteedCapacity returns the minimum fraction of its capacity that s has: it grows linearly from the
// initial capacity over the warm-up time.
func (b *Balancer) guaranteedCapacity(s *server) float64 {
	if !s.warmingUp {
		return 1
	}
	rules := &b.settings.Rules
	age := float64(b.now-s.readySince) / float64(max(1, rules.WarmupTime))
	return min(1, rules.InitialCapacity+(1-rules.InitialCapacity)*max(0, age))
}

// slowStartRate returns this balancer's part of the rate at which a warming-up server may be sent requests,
// in mean requests per second. The number n of requests that all balancers send within the overload time
// solves
//
//	n + burstMargin*sqrt(n) = overload, with overload = OverloadFactor * capacity * OverloadTime
//
// which is a quadratic equation in sqrt(n), the variable root.
func (b *Balancer) slowStartRate(s *server) float64 {
	capacity := b.expectedWeight(s) * b.guaranteedCapacity(s)
	overloadTime := max(1e-3, float64(b.settings.Rules.OverloadTime)/1e6) // seconds
	overload := b.settings.Rules.OverloadFactor * capacity * overloadTime
	root := (math.Sqrt(burstMargin*burstMargin+4*overload) - burstMargin) / 2
	return min(root*root/overloadTime, maxWarmupLoad*capacity) / float64(b.settings.GroupSize)
}

// chargeSlowStart subtracts the cost of an attempt from the budget of s, whatever its outcome will be.
func (b *Balancer) chargeSlowStart(s *server, cost float64) {
	if s.warmingUp {
		s.slowStartTokens -= max(1, cost)
	}
}

// exceedsSlowStartBudget reports whether a request with this cost may not be sent to s now. A request that
// costs up to freeRequestCost may overdraw the budget; s then gets no turn until the budget has recovered,
// see isSchedulable.
func (b *Balancer) exceedsSlowStartBudget(s *server, cost float64) bool {
	return s.warmingUp && cost > max(freeRequestCost, s.slowStartTokens)
}
