package checker_test

import (
	"testing"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

// A cold server of half a core gets 15 requests of 100 ms within a second, which is three times its capacity. One
// request more crashes it, which violates the rule only if the proxy was notified of the server's start.
func TestColdServerRule(t *testing.T) {
	for _, c := range []struct {
		name     string
		sends    int
		notified bool
		rule     checker.Rule
		crashes  int
	}{
		{"three times its capacity", 15, true, 0, 0},
		{"one request more", 16, true, checker.RuleColdServers, 1},
		{"one more, by a proxy that was not notified", 16, false, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			sc := exactScenario("safe", "all")
			sc.Load = 1 // ten requests per second for each server
			sc.Faults = []model.Fault{{Kind: model.FaultRestart, Start: 1 * sec, Duration: 1 * sec, AffectedShare: 0.25,
				Interval: 500 * ms}}
			if !c.notified {
				sc.Discovery.StartDelay = 600 * sec
				sc.Published.SubscribeWithin = 600 * sec
			}
			var ids []uint64
			var list []uint32
			var server uint32
			var when model.Time
			find := func(s *scripted, ev *policy.Event) {
				for _, m := range ev.Members {
					if m.StartedAt > 0 {
						server = m.Server
					}
				}
			}
			rep := simulate(t, sc, func(s *scripted, ev *policy.Event) {
				switch ev.Kind {
				case policy.MembershipCached:
					s.do(policy.Action{Kind: policy.SubscribeDiscovery})
					for _, m := range ev.Members {
						list = append(list, m.Server)
					}
					s.at(5*sec, func() {
						if !c.notified { // no notification has named the server
							server = list[affectedByRestart(t, sc, list)]
						}
						when = s.now
						for _, id := range ids[:c.sends] {
							s.send(id, server)
						}
					})
				case policy.MembershipDelta, policy.MembershipFull:
					find(s, ev)
				case policy.RequestArrived:
					if ids = append(ids, ev.ID); len(ids) > 20 {
						s.do(policy.Action{Kind: policy.FailRequest, ID: ev.ID})
					} else {
						id := ev.ID
						s.at(s.now+ev.ClientTimeout, func() { s.do(policy.Action{Kind: policy.FailRequest, ID: id}) })
					}
				}
			})
			if rep.ColdOverloads != c.crashes {
				t.Errorf("%d cold servers crashed, want %d; peak load %v", rep.ColdOverloads, c.crashes, rep.PeakColdLoad)
			}
			requireViolation(t, rep, c.rule, 0, "fell over")
			if c.rule != 0 && len(rep.Violations) == 1 &&
				(rep.Violations[0].At < when || rep.Violations[0].At > when+50*ms) {
				t.Errorf("violation at %d, want it within 50 ms of the attempts at %d", rep.Violations[0].At, when)
			}
		})
	}
}

// affectedByRestart returns the index in list of the server that the scenario's restart affects. It finds the server in
// a run whose proxy subscribes and is notified of the restart.
func affectedByRestart(t *testing.T, sc model.Scenario, list []uint32) int {
	t.Helper()
	sc.Discovery.StartDelay = 1 * sec
	found := -1
	if _, err := model.Run(&sc, 1, func(policy.Settings, uint64, *model.Oracle) (model.Node, error) {
		return &scripted{onEvent: func(s *scripted, ev *policy.Event) {
			switch ev.Kind {
			case policy.MembershipCached:
				s.do(policy.Action{Kind: policy.SubscribeDiscovery})
			case policy.RequestArrived:
				s.do(policy.Action{Kind: policy.FailRequest, ID: ev.ID})
			}
			for _, m := range ev.Members {
				for i := range list {
					if list[i] == m.Server && m.StartedAt > 0 {
						found = i
					}
				}
			}
		}}, nil
	}, nullObserver{}); err != nil || found < 0 {
		t.Fatalf("no server restarts: %v", err)
	}
	return found
}
