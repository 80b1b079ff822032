package checker_test

import (
	"testing"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

func TestResponseRule_AtAndAfterTheLimit(t *testing.T) {
	for _, late := range []model.Time{0, 1} {
		sc := exactScenario("safe", "all")
		var due model.Time
		rep := simulate(t, sc, firstRequestOnly(func(s *scripted, ev *policy.Event) {
			if ev.Kind == policy.RequestArrived {
				id := ev.ID
				due = s.now + ev.ClientTimeout + model.Time(sc.Published.ResponseGrace) + late
				s.at(due, func() { s.do(policy.Action{Kind: policy.FailRequest, ID: id}) })
			}
		}))
		if late == 0 {
			requireViolation(t, rep, 0, 0, "")
		} else {
			requireViolation(t, rep, checker.RuleResponseInTime, due, "no final answer")
		}
	}
}

func TestResponseRule_AttemptAfterFinalResponse(t *testing.T) {
	var server uint32
	var when model.Time
	rep := simulate(t, exactScenario("safe", "all"), firstRequestOnly(func(s *scripted, ev *policy.Event) {
		switch ev.Kind {
		case policy.MembershipCached:
			server = ev.Members[0].Server
		case policy.RequestArrived:
			id := ev.ID
			s.do(policy.Action{Kind: policy.RejectRequest, ID: id})
			when = s.now + 30*ms
			s.at(when, func() { s.send(id, server) })
		}
	}))
	requireViolation(t, rep, checker.RuleResponseInTime, when, "after its final answer")
}

// The first attempt times out, so it may have been executed. A second attempt violates the rule unless the class's
// semantics, dedup scope and dedup window allow it.
func TestRetryRule_RetryOfAttemptThatMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name             string
		semantics, scope string
		second           int // server of the second attempt; the first goes to 0: zone 0, cell 0
		after            model.Time
		rule             checker.Rule
		cause            string
	}{
		{"safe anywhere", "safe", "all", 1, 9 * sec, 0, ""},
		{"keyed within the zone and window", "keyed", "zone", 2, 3 * sec, 0, ""},
		{"keyed past the window", "keyed", "zone", 2, 3*sec + 1, checker.RuleRetrySemantics, "past the window"},
		{"keyed outside the zone", "keyed", "zone", 1, 1 * sec, checker.RuleRetrySemantics, "outside the group"},
		{"keyed within the cell", "keyed", "cell", 0, 1 * sec, 0, ""},
		{"keyed outside the cell", "keyed", "cell", 2, 1 * sec, checker.RuleRetrySemantics, "outside the group"},
		{"keyed for all", "keyed", "all", 3, 3 * sec, 0, ""},
		{"unsafe", "unsafe", "", 0, 1 * sec, checker.RuleRetrySemantics, "unsafe"},
	} {
		t.Run(c.name, func(t *testing.T) {
			sc := exactScenario(c.semantics, c.scope)
			sc.Faults = []model.Fault{{Kind: model.FaultHang, Duration: 60 * sec, AffectedShare: 1}}
			var servers []uint32
			var when model.Time
			rep := simulate(t, sc, firstRequestOnly(func(s *scripted, ev *policy.Event) {
				switch ev.Kind {
				case policy.MembershipCached:
					for _, m := range ev.Members {
						servers = append(servers, m.Server)
					}
				case policy.RequestArrived:
					id := ev.ID
					s.do(policy.Action{Kind: policy.SendAttempt, ID: id, Server: servers[0], After: 500 * ms})
					when = s.now + c.after
					s.at(when, func() { s.send(id, servers[c.second]) })
				case policy.AttemptEnded:
					if ev.Attempt == 1 {
						s.do(policy.Action{Kind: policy.FailRequest, ID: ev.ID})
					}
				}
			}))
			requireViolation(t, rep, c.rule, when, c.cause)
		})
	}
}

func TestRetryRule_Rejection(t *testing.T) {
	for _, c := range []struct {
		name, semantics, scope string
		neverRan               bool // the first attempt cannot have run
		rule                   checker.Rule
	}{
		{"safe", "safe", "", false, 0},
		{"keyed for all", "keyed", "all", false, 0},
		{"keyed by zone, may have run", "keyed", "zone", false, checker.RuleRetrySemantics},
		{"keyed by zone, never ran", "keyed", "zone", true, 0},
		{"unsafe, may have run", "unsafe", "", false, checker.RuleRetrySemantics},
		{"unsafe, never ran", "unsafe", "", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			sc := exactScenario(c.semantics, c.scope)
			if c.neverRan {
				sc.Faults = []model.Fault{{Kind: model.FaultPartition, Duration: 60 * sec, From: "proxies", To: "servers"}}
			} else {
				sc.Faults = []model.Fault{{Kind: model.FaultHang, Duration: 60 * sec, AffectedShare: 1}}
			}
			var server uint32
			var when model.Time
			rep := simulate(t, sc, firstRequestOnly(func(s *scripted, ev *policy.Event) {
				switch ev.Kind {
				case policy.MembershipCached:
					server = ev.Members[0].Server
				case policy.RequestArrived:
					s.do(policy.Action{Kind: policy.SendAttempt, ID: ev.ID, Server: server, After: 500 * ms})
				case policy.AttemptEnded:
					when = s.now
					s.do(policy.Action{Kind: policy.RejectRequest, ID: ev.ID})
				}
			}))
			requireViolation(t, rep, c.rule, when, "may have run")
		})
	}
}

func TestRetryRule_Hedging(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		sc := exactScenario("safe", "all")
		sc.Published.AllowHedging = allowed
		var servers []policy.Member
		var when model.Time
		rep := simulate(t, sc, firstRequestOnly(func(s *scripted, ev *policy.Event) {
			switch ev.Kind {
			case policy.MembershipCached:
				servers = ev.Members
			case policy.RequestArrived:
				id := ev.ID
				s.send(id, servers[0].Server)
				when = s.now + 10*ms
				s.at(when, func() { s.send(id, servers[1].Server) })
			}
		}))
		if allowed {
			requireViolation(t, rep, 0, 0, "")
		} else {
			requireViolation(t, rep, checker.RuleRetrySemantics, when, "two attempts out")
		}
	}
}
