package model

import "testing"

// A server that met a key of late does a part of the work, remembers only so many, and forgets what it met longest ago first.
func TestKeysWarmServers(t *testing.T) {
	w := DefaultScenario()
	w.Keys = Keys{Count: 10, HitSavings: 0.6, TTL: 2e6, CapacityPerCore: 2} // on two cores: four places
	r, s := &simulation{scenario: &w}, &server{instanceType: &InstanceType{Cores: 2}}
	for i, c := range []struct {
		at   Time
		key  uint64
		warm bool
	}{{1, 7, false}, {1_000_000, 7, true}, {4_000_000, 7, false}, {4_500_000, 7, true}, {4_600_000, 1, false}, {4_600_001, 2, false},
		{4_600_002, 3, false}, {4_600_003, 4, false}, {4_700_000, 7, false}, {4_700_001, 1, false}, {4_700_002, 4, true}} {
		if r.now = c.at; r.touchKey(s, c.key) != c.warm {
			t.Errorf("meeting %d: key %d is warm: %v", i, c.key, !c.warm)
		}
	}
}

// A world on a slower clock has all its times longer and nothing else, and the world that it came of stays.
func TestPacedWorlds(t *testing.T) {
	w := DefaultScenario()
	w.Faults = []Fault{{Kind: "report_late", Start: 4e6, Magnitude: 1.5}}
	if x := w.TimeScaled(2); x.Classes[1].LatencyTarget != 2*w.Classes[1].LatencyTarget || x.Published.WarmupTime != 2*w.Published.WarmupTime || x.Faults[0].Magnitude != 3 ||
		x.Faults[0].Start != 8e6 || x.Load != w.Load || w.Classes[1].LatencyTarget != DefaultScenario().Classes[1].LatencyTarget {
		t.Errorf("twice as slow: %+v", x)
	}
}
