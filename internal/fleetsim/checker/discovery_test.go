package checker_test

import (
	"testing"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

// subscription says whether a scripted proxy calls discovery, and with what outcome.
type subscription int

const (
	neverSubscribes subscription = iota
	subscribes                   // in time, successfully
	subscribeFails
)

// A proxy may send to a draining server until the end of the grace, and not a microsecond later. The grace starts with
// the notification, or, without a call or after a failed call, when the proxy should have called discovery.
func TestDrainRule(t *testing.T) {
	deploy := model.Fault{Kind: model.FaultDeploy, Start: 1 * sec, Duration: 1 * sec, AffectedShare: 0.25, Magnitude: 0.25,
		Interval: 100 * sec}
	listed := model.Time(1*sec) + 2900*ms/4 // when discovery lists the server as draining
	for _, c := range []struct {
		name      string
		subscribe subscription
		late      model.Time
		rule      checker.Rule
		cause     string
	}{
		{"notified, at the end of the grace", subscribes, 0, 0, ""},
		{"notified, past the grace", subscribes, 1, checker.RuleDrainingServers, "was told"},
		{"never subscribed, at the end of SubscribeWithin and the grace", neverSubscribes, 0, 0, ""},
		{"never subscribed, past SubscribeWithin and the grace", neverSubscribes, 1, checker.RuleDrainingServers,
			"did not ask"},
		{"failed call, at the end of four times SubscribeWithin and the grace", subscribeFails, 0, 0, ""},
		{"failed call, past four times SubscribeWithin and the grace", subscribeFails, 1, checker.RuleDrainingServers,
			"did not ask"},
	} {
		t.Run(c.name, func(t *testing.T) {
			sc := exactScenario("safe", "all")
			sc.Published.SubscribeWithin = 2 * sec
			sc.Duration = 14 * sec
			sc.Faults = []model.Fault{deploy}
			if c.subscribe == subscribeFails {
				sc.Faults = append(sc.Faults, model.Fault{Kind: model.FaultDiscoveryOutage, Duration: 60 * sec})
			}
			var due model.Time
			var server uint32
			var id uint64
			scheduled := false
			scheduleSend := func(s *scripted, moment model.Time) {
				scheduled, due = true, moment+c.late
				s.at(due, func() { s.send(id, server) })
			}
			rep := simulate(t, sc, firstRequestOnly(func(s *scripted, ev *policy.Event) {
				switch ev.Kind {
				case policy.MembershipCached:
					if c.subscribe != neverSubscribes {
						s.do(policy.Action{Kind: policy.SubscribeDiscovery})
					}
					if c.subscribe != subscribes { // the proxy is not notified, so find the server in another run
						span := model.Time(sc.Published.SubscribeWithin)
						if c.subscribe == subscribeFails {
							span *= 4
						}
						server = ev.Members[drainedServer(t, sc)].Server
						scheduleSend(s, listed+span+model.Time(sc.Published.DrainGrace))
					}
				case policy.MembershipDelta:
					for _, m := range ev.Members {
						if m.Mode == policy.ModeDraining && !scheduled {
							server = m.Server
							scheduleSend(s, s.now+model.Time(sc.Published.DrainGrace))
						}
					}
				case policy.RequestArrived:
					id = ev.ID
				case policy.AttemptEnded:
					if ev.Outcome != policy.OK {
						s.do(policy.Action{Kind: policy.FailRequest, ID: ev.ID})
					}
				}
			}))
			requireViolation(t, rep, c.rule, due, c.cause)
		})
	}
}

// drainedServer returns the index, in the proxy's first list, of the server that the scenario's deploy drains.
func drainedServer(t *testing.T, sc model.Scenario) int {
	t.Helper()
	found := -1
	var list []uint32
	sc.Faults = sc.Faults[:1]
	if _, err := model.Run(&sc, 1, func(policy.Settings, uint64, *model.Oracle) (model.Node, error) {
		return &scripted{onEvent: func(s *scripted, ev *policy.Event) {
			switch ev.Kind {
			case policy.MembershipCached:
				s.do(policy.Action{Kind: policy.SubscribeDiscovery})
				for _, m := range ev.Members {
					list = append(list, m.Server)
				}
			case policy.MembershipDelta:
				for _, m := range ev.Members {
					for i := range list {
						if list[i] == m.Server && m.Mode == policy.ModeDraining {
							found = i
						}
					}
				}
			case policy.RequestArrived:
				s.do(policy.Action{Kind: policy.FailRequest, ID: ev.ID})
			}
		}}, nil
	}, nullObserver{}); err != nil || found < 0 {
		t.Fatalf("no server drains: %v", err)
	}
	return found
}
