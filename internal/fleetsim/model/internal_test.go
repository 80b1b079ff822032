package model

import "testing"

// A server caches a key for the TTL and CapacityPerCore keys for each core, and evicts the least recently used one
// first.
func TestServer_KeyCache(t *testing.T) {
	sc := DefaultScenario()
	sc.Keys = Keys{Count: 10, HitSavings: 0.6, TTL: 2e6, CapacityPerCore: 2} // capacity 4 on two cores
	sm, s := &simulation{scenario: &sc}, &server{instanceType: &InstanceType{Cores: 2}}
	for i, c := range []struct {
		at  Time
		key uint64
		hit bool
	}{
		{1, 7, false},
		{1_000_000, 7, true},
		{4_000_000, 7, false}, // past the TTL since the last use
		{4_500_000, 7, true},
		{4_600_000, 1, false},
		{4_600_001, 2, false},
		{4_600_002, 3, false},
		{4_600_003, 4, false}, // a fifth key: evicts 7
		{4_700_000, 7, false}, // evicts 1
		{4_700_001, 1, false}, // evicts 2
		{4_700_002, 4, true},
	} {
		if sm.now = c.at; sm.lookUpKey(s, c.key) != c.hit {
			t.Errorf("lookup %d: key %d: hit is %v", i, c.key, !c.hit)
		}
	}
}

// TimeScaled multiplies all times and changes nothing else. The original scenario is not modified.
func TestScenario_TimeScaled(t *testing.T) {
	sc := DefaultScenario()
	sc.Faults = []Fault{{Kind: FaultReportDelay, Start: 4e6, Magnitude: 1.5}}
	if x := sc.TimeScaled(2); x.Classes[1].LatencyTarget != 2*sc.Classes[1].LatencyTarget ||
		x.Published.WarmupTime != 2*sc.Published.WarmupTime || x.Faults[0].Magnitude != 3 ||
		x.Faults[0].Start != 8e6 || x.Load != sc.Load ||
		sc.Classes[1].LatencyTarget != DefaultScenario().Classes[1].LatencyTarget {
		t.Errorf("scaled by 2: %+v", x)
	}
}
