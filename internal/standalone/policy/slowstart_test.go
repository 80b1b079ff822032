package policy

import (
	"math"
	"testing"
)

func TestSlowStartFactor(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(1))
	s := b.members[0]
	s.warmingUp = true
	window := b.settings.Rules.WarmupTime
	for _, c := range []struct {
		age  Time
		want float64
	}{{0, 0.1}, {1_000_000, 0.1}, {window / 2, 0.5}, {window - 1, 1}, {window, 1}, {2 * window, 1}} {
		s.readySince = b.now - c.age
		assertNear(t, "slow-start factor", b.slowStartFactor(s), c.want, 1e-6)
	}
}

func TestSlowStartScalesMeanWeight(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(1))
	s := b.members[0]
	b.beginSlowStart(s, b.now-b.settings.Rules.WarmupTime/4)
	b.instanceTypes[0].meanWeight, b.overall.meanWeight = 8, 8
	b.refresh()
	assertNear(t, "scaled mean weight", s.weight, 8*0.25, 1e-9)
}

// The budgets of all balancers together stay below the load that overloads a warming-up server, by at least
// twice their square root: the number of requests varies randomly, and few requests suffice to overload the
// server.
func TestSlowStartBudgetStaysBelowOverload(t *testing.T) {
	settings := testSettings()
	settings.GroupSize = 25
	b := newBalancer(t, settings, testMembers(1))
	s := b.members[0]
	b.instanceTypes[0].meanWeight = 10
	rules := &settings.Rules
	for age := Time(0); age < rules.WarmupTime; age += rules.WarmupTime / 10 {
		s.warmingUp, s.readySince = true, b.now-age
		capacity := 10 * (rules.InitialCapacity + (1-rules.InitialCapacity)*float64(age)/float64(rules.WarmupTime))
		overloadTime := float64(rules.OverloadTime) / 1e6
		all := b.slowStartRate(s) * float64(settings.GroupSize) * overloadTime
		overload := rules.OverloadFactor * capacity * overloadTime
		if all+2*math.Sqrt(all) > overload {
			t.Errorf("at age %d all may send %.2f, and %.2f overload it", age, all, overload)
		}
		if all <= 0 {
			t.Errorf("at age %d nothing may be sent", age)
		}
	}
}

// Most servers are warm long before the warm-up time ends: if a whole fleet that was restarted were held near
// its guaranteed capacity, it could not serve the traffic.
func TestSlowStartBudgetExceedsGuaranteedCapacity(t *testing.T) {
	settings := testSettings()
	settings.Rules.OverloadFactor = 100
	b := newBalancer(t, settings, testMembers(1))
	s := b.members[0]
	b.instanceTypes[0].meanWeight = 10
	s.warmingUp, s.readySince = true, b.now-settings.Rules.WarmupTime/2
	if capacity := 10 * b.guaranteedCapacity(s); b.slowStartRate(s) < 2*capacity {
		t.Errorf("%v per second for a server with a guaranteed capacity of %v", b.slowStartRate(s), capacity)
	}
}
