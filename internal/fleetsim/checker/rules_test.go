package checker_test

import (
	"strings"
	"testing"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

const ms, sec = 1000, 1_000_000

// scripted is a policy whose every step a test writes out. Functions given to at are called at the time they name.
type scripted struct {
	on    func(s *scripted, ev *policy.Event)
	now   model.Time
	out   []policy.Action
	later []func()
}

func (s *scripted) Handle(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	s.now, s.out = now, out
	if ev.Kind == policy.TimerFired {
		s.later[ev.ID]()
	} else {
		s.on(s, ev)
	}
	return s.out
}

func (s *scripted) do(a policy.Action) { s.out = append(s.out, a) }

func (s *scripted) at(t model.Time, f func()) {
	s.later = append(s.later, f)
	s.do(policy.Action{Kind: policy.SetTimer, ID: uint64(len(s.later) - 1), After: t - s.now})
}

func (s *scripted) send(id uint64, server uint32) {
	s.do(policy.Action{Kind: policy.SendAttempt, ID: id, Server: server})
}

// exactScenario is small and exact: one proxy, no jitter, no noise, no ticks; four servers of one core in two zones, two
// cells to a zone; one class, whose requests take 100 ms.
func exactScenario(semantics, scope string) model.Scenario {
	sc := model.DefaultScenario()
	sc.Duration, sc.Tick, sc.Servers, sc.Proxies, sc.Zones, sc.CellSize = 8*sec, 0, 4, 1, 2, 1
	sc.Load, sc.WaveAmplitude, sc.ZoneSkew, sc.Spread, sc.WorkHintCV = 0.2, 0, 0, 0, 0
	sc.InstanceTypes = []model.InstanceType{{Name: "one", Share: 1, Cores: 1, Speed: 1, Slots: 1000,
		InitialCapacity: 0.5, WarmupTime: 3600 * sec}}
	sc.Classes = []model.Class{{Name: "c", Share: 1, Work: 100 * ms, LatencyTarget: 5 * sec, Deadline: 20 * sec,
		Value: 1, Semantics: semantics,
		DedupScope: scope, DedupWindow: 3 * sec}}
	sc.Tenants, sc.Network.Jitter, sc.Clients.AttemptTimeoutShare, sc.Clients.Retries = nil, 0, 1, 0
	sc.Connections.HandshakeWork, sc.Overload.SlackRequests, sc.Discovery.NotifyJitter = 0, 0, 0
	sc.Published.WarmupTime = 3600 * sec
	return sc
}

// simulate runs the scenario with one script and returns the report.
func simulate(t *testing.T, sc model.Scenario, on func(s *scripted, ev *policy.Event)) *checker.Report {
	t.Helper()
	check := checker.New(&sc)
	if _, err := model.Run(&sc, 1, func(policy.Settings, uint64, *model.Oracle) (model.Node, error) {
		return &scripted{on: on}, nil
	}, check); err != nil {
		t.Fatal(err)
	}
	rep, err := check.Report()
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// requireViolation fails unless the report has exactly one violation, of that rule, at that time (0: any), for that
// cause; or none, if rule is 0.
func requireViolation(t *testing.T, rep *checker.Report, rule checker.Rule, at model.Time, cause string) {
	t.Helper()
	switch {
	case rule == 0 && !rep.HasNoViolations():
		t.Errorf("violations of a policy that keeps the rules: %v", rep.Violations)
	case rule == 0:
	case len(rep.Violations) != 1 || rep.ViolationCounts[rule-1] != 1:
		t.Errorf("want one violation of rule %d, have %v", rule, rep.Violations)
	case at != 0 && rep.Violations[0].At != at:
		t.Errorf("violation at %d, want %d: %v", rep.Violations[0].At, at, rep.Violations[0])
	case !strings.Contains(rep.Violations[0].Cause, cause):
		t.Errorf("violation for %q, want %q", rep.Violations[0].Cause, cause)
	}
}

// firstRequestOnly lets a script act on its first request alone; the others are failed at once.
func firstRequestOnly(act func(s *scripted, ev *policy.Event)) func(s *scripted, ev *policy.Event) {
	var id uint64
	return func(s *scripted, ev *policy.Event) {
		if ev.Kind == policy.RequestArrived {
			if id == 0 {
				id = ev.ID
			} else {
				s.do(policy.Action{Kind: policy.FailRequest, ID: ev.ID})
				return
			}
		}
		if ev.Kind != policy.AttemptEnded || ev.ID == id {
			act(s, ev)
		}
	}
}

func TestAnswerRule_AtAndAfterTheLimit(t *testing.T) {
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
			requireViolation(t, rep, checker.RuleAnswerInTime, due, "no final answer")
		}
	}
}

func TestAnswerRule_AttemptAfterFinalAnswer(t *testing.T) {
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
	requireViolation(t, rep, checker.RuleAnswerInTime, when, "after its final answer")
}

// TestRetryRule_RetryOfAttemptThatMayHaveRun lets a first attempt time out, so that it may have run, and sends a second
// one.
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
			sc.Faults = []model.Fault{{Kind: "hang", Duration: 60 * sec, AffectedShare: 1}}
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
		proves                 bool // the first attempt cannot have run
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
			if c.proves {
				sc.Faults = []model.Fault{{Kind: "cut", Duration: 60 * sec, From: "proxies", To: "servers"}}
			} else {
				sc.Faults = []model.Fault{{Kind: "hang", Duration: 60 * sec, AffectedShare: 1}}
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

// subscription is whether a scripted proxy calls discovery.
type subscription int

const (
	neverSubscribes subscription = iota
	subscribes                   // in time
	subscribeFails
)

// TestDrainRule sends to a draining server at the end of the grace and after it, with a watch, without a call and with
// a failed one.
func TestDrainRule(t *testing.T) {
	deploy := model.Fault{Kind: "deploy", Start: 1 * sec, Duration: 1 * sec, AffectedShare: 0.25, Magnitude: 0.25,
		Interval: 100 * sec}
	listed := model.Time(1*sec) + 2900*ms/4 // when discovery knows
	for _, c := range []struct {
		name      string
		subscribe subscription
		late      model.Time
		rule      checker.Rule
		cause     string
	}{
		{"notified, at the end of the grace", subscribes, 0, 0, ""},
		{"notified, past the grace", subscribes, 1, checker.RuleDrainingServers, "was told"},
		{"never subscribed, at the end of the grace", neverSubscribes, 0, 0, ""},
		{"never subscribed, past the grace", neverSubscribes, 1, checker.RuleDrainingServers, "did not ask"},
		{"failed call, at the end of four times as long", subscribeFails, 0, 0, ""},
		{"failed call, past four times as long", subscribeFails, 1, checker.RuleDrainingServers, "did not ask"},
	} {
		t.Run(c.name, func(t *testing.T) {
			sc := exactScenario("safe", "all")
			sc.Published.SubscribeWithin = 2 * sec
			sc.Duration = 14 * sec
			sc.Faults = []model.Fault{deploy}
			if c.subscribe == subscribeFails {
				sc.Faults = append(sc.Faults, model.Fault{Kind: "discovery", Duration: 60 * sec})
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
					if c.subscribe != subscribes { // nothing notifies the proxy; the test knows the scenario's draw
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

// drainedServer is the index in the first list of the server that the scenario's deploy drains.
func drainedServer(t *testing.T, sc model.Scenario) int {
	t.Helper()
	found := -1
	var list []uint32
	sc.Faults = sc.Faults[:1]
	if _, err := model.Run(&sc, 1, func(policy.Settings, uint64, *model.Oracle) (model.Node, error) {
		return &scripted{on: func(s *scripted, ev *policy.Event) {
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

type nullObserver struct{}

func (nullObserver) Observe(*model.Record) {}

// TestColdServerRule sends a cold server of half a core 15 requests of 100 ms within a second, which is three times its
// capacity, and then one more; and the same from a proxy that was not notified of its start.
func TestColdServerRule(t *testing.T) {
	for _, c := range []struct {
		name     string
		sends    int
		notified bool
		rule     checker.Rule
		fallen   int
	}{
		{"three times its capacity", 15, true, 0, 0},
		{"one request more", 16, true, checker.RuleColdServers, 1},
		{"one more, by a proxy that was not notified", 16, false, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			sc := exactScenario("safe", "all")
			sc.Load = 1 // ten requests a second for each server
			sc.Faults = []model.Fault{{Kind: "restart", Start: 1 * sec, Duration: 1 * sec, AffectedShare: 0.25,
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
						if !c.notified { // its connection refused the request that came while it was down
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
			if rep.ColdOverloads != c.fallen {
				t.Errorf("%d servers fell over, want %d; peak %v", rep.ColdOverloads, c.fallen, rep.PeakColdLoad)
			}
			requireViolation(t, rep, c.rule, 0, "fell over")
			if c.rule != 0 && len(rep.Violations) == 1 &&
				(rep.Violations[0].At < when || rep.Violations[0].At > when+50*ms) {
				t.Errorf("caught at %d, pushed over from %d", rep.Violations[0].At, when)
			}
		})
	}
}

// affectedByRestart finds the index of the server that the scenario's restart affects, by what a subscribed proxy is
// notified of.
func affectedByRestart(t *testing.T, sc model.Scenario, list []uint32) int {
	t.Helper()
	sc.Discovery.StartDelay = 1 * sec
	found := -1
	if _, err := model.Run(&sc, 1, func(policy.Settings, uint64, *model.Oracle) (model.Node, error) {
		return &scripted{on: func(s *scripted, ev *policy.Event) {
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
