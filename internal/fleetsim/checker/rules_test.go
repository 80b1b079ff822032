package checker_test

import (
	"strings"
	"testing"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

const ms, sec = 1000, 1_000_000

// scripted is a decider whose every step a test writes out. Timers set with at call back at the moment they name.
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

// world is a small and exact one: one proxy, no jitter, no noise, no ticks; four servers of one core in two zones, two
// cells to a zone; one class, whose requests take 100 ms.
func world(effect, group string) model.Scenario {
	w := model.DefaultScenario()
	w.Duration, w.Tick, w.Servers, w.Proxies, w.Zones, w.CellSize = 8*sec, 0, 4, 1, 2, 1
	w.Load, w.WaveAmplitude, w.ZoneSkew, w.Spread, w.WorkHintCV = 0.2, 0, 0, 0, 0
	w.InstanceTypes = []model.InstanceType{{Name: "one", Share: 1, Cores: 1, Speed: 1, Slots: 1000, InitialCapacity: 0.5, WarmupTime: 3600 * sec}}
	w.Classes = []model.Class{{Name: "c", Share: 1, Work: 100 * ms, LatencyTarget: 5 * sec, Deadline: 20 * sec, Value: 1, Semantics: effect,
		DedupScope: group, DedupWindow: 3 * sec}}
	w.Tenants, w.Network.Jitter, w.Clients.AttemptTimeoutShare, w.Clients.Retries = nil, 0, 1, 0
	w.Connections.HandshakeWork, w.Overload.SlackRequests, w.Published.WarmupTime, w.Discovery.NotifyJitter = 0, 0, 3600*sec, 0
	return w
}

// play plays w with one script and returns the verdict.
func play(t *testing.T, w model.Scenario, on func(s *scripted, ev *policy.Event)) *checker.Report {
	t.Helper()
	ref := checker.New(&w)
	if _, err := model.Run(&w, 1, func(policy.Settings, uint64, *model.Oracle) (model.Node, error) {
		return &scripted{on: on}, nil
	}, ref); err != nil {
		t.Fatal(err)
	}
	rep, err := ref.Report()
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// judge fails unless the report tells of exactly one breach, of that rule, at that time (0: any), for that cause; or of
// none, if rule is 0.
func judge(t *testing.T, rep *checker.Report, rule int, at model.Time, cause string) {
	t.Helper()
	switch {
	case rule == 0 && !rep.HasNoViolations():
		t.Errorf("a decider that stays within is blamed: %v", rep.Violations)
	case rule == 0:
	case len(rep.Violations) != 1 || rep.ViolationCounts[rule-1] != 1:
		t.Errorf("want one breach of rule %d, have %v", rule, rep.Violations)
	case at != 0 && rep.Violations[0].At != at:
		t.Errorf("breach at %d, want %d: %v", rep.Violations[0].At, at, rep.Violations[0])
	case !strings.Contains(rep.Violations[0].Cause, cause):
		t.Errorf("breach for %q, want %q", rep.Violations[0].Cause, cause)
	}
}

// first lets a script act on its first request alone; the others are failed at once.
func first(act func(s *scripted, ev *policy.Event)) func(s *scripted, ev *policy.Event) {
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

func TestRuleOnAnswersBothSides(t *testing.T) {
	for _, late := range []model.Time{0, 1} {
		w := world("safe", "all")
		var due model.Time
		rep := play(t, w, first(func(s *scripted, ev *policy.Event) {
			if ev.Kind == policy.RequestArrived {
				id := ev.ID
				due = s.now + ev.ClientTimeout + model.Time(w.Published.ResponseGrace) + late
				s.at(due, func() { s.do(policy.Action{Kind: policy.FailRequest, ID: id}) })
			}
		}))
		if late == 0 {
			judge(t, rep, 0, 0, "")
		} else {
			judge(t, rep, checker.RuleAnswerInTime, due, "no final answer")
		}
	}
}

func TestSendAfterTheFinalAnswerIsCaught(t *testing.T) {
	var server uint32
	var when model.Time
	rep := play(t, world("safe", "all"), first(func(s *scripted, ev *policy.Event) {
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
	judge(t, rep, checker.RuleAnswerInTime, when, "after its final answer")
}

// TestRuleOnEffectsBothSides lets a first attempt be given up, so that it may have run, and sends a second one.
func TestRuleOnEffectsBothSides(t *testing.T) {
	for _, c := range []struct {
		name          string
		effect, group string
		second        int // server of the second attempt; the first goes to 0: zone 0, cell 0
		after         model.Time
		rule          int
		cause         string
	}{
		{"safe anywhere", "safe", "all", 1, 9 * sec, 0, ""},
		{"keyed within the zone and window", "keyed", "zone", 2, 3 * sec, 0, ""},
		{"keyed past the window", "keyed", "zone", 2, 3*sec + 1, 2, "past the window"},
		{"keyed outside the zone", "keyed", "zone", 1, 1 * sec, 2, "outside the group"},
		{"keyed within the cell", "keyed", "cell", 0, 1 * sec, 0, ""},
		{"keyed outside the cell", "keyed", "cell", 2, 1 * sec, 2, "outside the group"},
		{"keyed for all", "keyed", "all", 3, 3 * sec, 0, ""},
		{"unsafe", "unsafe", "", 0, 1 * sec, 2, "unsafe"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := world(c.effect, c.group)
			w.Faults = []model.Fault{{Kind: "hang", Duration: 60 * sec, AffectedShare: 1}}
			var servers []uint32
			var when model.Time
			rep := play(t, w, first(func(s *scripted, ev *policy.Event) {
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
			judge(t, rep, c.rule, when, c.cause)
		})
	}
}

func TestRefusalBothSides(t *testing.T) {
	for _, c := range []struct {
		name, effect, group string
		proves              bool // the first attempt cannot have run
		rule                int
	}{
		{"safe", "safe", "", false, 0},
		{"keyed for all", "keyed", "all", false, 0},
		{"keyed by zone, may have run", "keyed", "zone", false, 2},
		{"keyed by zone, never ran", "keyed", "zone", true, 0},
		{"unsafe, may have run", "unsafe", "", false, 2},
		{"unsafe, never ran", "unsafe", "", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := world(c.effect, c.group)
			if c.proves {
				w.Faults = []model.Fault{{Kind: "cut", Duration: 60 * sec, From: "proxies", To: "servers"}}
			} else {
				w.Faults = []model.Fault{{Kind: "hang", Duration: 60 * sec, AffectedShare: 1}}
			}
			var server uint32
			var when model.Time
			rep := play(t, w, first(func(s *scripted, ev *policy.Event) {
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
			judge(t, rep, c.rule, when, "may have run")
		})
	}
}

func TestSecondCopiesBothSides(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		w := world("safe", "all")
		w.Published.AllowHedging = allowed
		var servers []policy.Member
		var when model.Time
		rep := play(t, w, first(func(s *scripted, ev *policy.Event) {
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
			judge(t, rep, 0, 0, "")
		} else {
			judge(t, rep, checker.RuleRetrySemantics, when, "two attempts out")
		}
	}
}

// TestRuleOnDrainsBothSides sends to a server that drains: told by a watch, or never asked.
func TestRuleOnDrainsBothSides(t *testing.T) {
	deploy := model.Fault{Kind: "deploy", Start: 1 * sec, Duration: 1 * sec, AffectedShare: 0.25, Magnitude: 0.25, Interval: 100 * sec}
	listed := model.Time(1*sec) + 2900*ms/4 // when discovery knows
	for _, c := range []struct {
		name  string
		asks  int // 0: never; 1: in time; 2: and is failed
		late  model.Time
		rule  int
		cause string
	}{
		{"told, at the end of the grace", 1, 0, 0, ""},
		{"told, past the grace", 1, 1, 3, "was told"},
		{"never asked, at the end of the grace", 0, 0, 0, ""},
		{"never asked, past the grace", 0, 1, 3, "did not ask"},
		{"failed call, at the end of four times as long", 2, 0, 0, ""},
		{"failed call, past four times as long", 2, 1, 3, "did not ask"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := world("safe", "all")
			w.Published.SubscribeWithin = 2 * sec
			w.Duration = 14 * sec
			w.Faults = []model.Fault{deploy}
			if c.asks == 2 {
				w.Faults = append(w.Faults, model.Fault{Kind: "discovery", Duration: 60 * sec})
			}
			var due model.Time
			var server uint32
			var id uint64
			planned := false
			plan := func(s *scripted, moment model.Time) {
				planned, due = true, moment+c.late
				s.at(due, func() { s.send(id, server) })
			}
			rep := play(t, w, first(func(s *scripted, ev *policy.Event) {
				switch ev.Kind {
				case policy.MembershipCached:
					if c.asks > 0 {
						s.do(policy.Action{Kind: policy.SubscribeDiscovery})
					}
					if c.asks != 1 { // the server that drains shows itself by turning away; here the world's draw is known
						span := model.Time(w.Published.SubscribeWithin)
						if c.asks == 2 {
							span *= 4
						}
						server = ev.Members[drained(t, w)].Server
						plan(s, listed+span+model.Time(w.Published.DrainGrace))
					}
				case policy.MembershipDelta:
					for _, m := range ev.Members {
						if m.Mode == policy.ModeDraining && !planned {
							server = m.Server
							plan(s, s.now+model.Time(w.Published.DrainGrace))
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
			judge(t, rep, c.rule, due, c.cause)
		})
	}
}

// drained is the place in the first list of the server that the world's deploy drains.
func drained(t *testing.T, w model.Scenario) int {
	t.Helper()
	found := -1
	var list []uint32
	w.Faults = w.Faults[:1]
	if _, err := model.Run(&w, 1, func(policy.Settings, uint64, *model.Oracle) (model.Node, error) {
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
	}, quiet{}); err != nil || found < 0 {
		t.Fatalf("no server drains: %v", err)
	}
	return found
}

type quiet struct{}

func (quiet) Observe(*model.Record) {}

// TestRuleOnColdServersBothSides sends a cold server of half a core 15 requests of 100 ms within a second, which is three
// times what it can do, and then one more; and the same from a proxy that was not told of its start.
func TestRuleOnColdServersBothSides(t *testing.T) {
	for _, c := range []struct {
		name   string
		sends  int
		told   bool
		rule   int
		fallen int
	}{
		{"three times its capacity", 15, true, 0, 0},
		{"one request more", 16, true, 4, 1},
		{"one more, by a proxy that was not told", 16, false, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := world("safe", "all")
			w.Load = 1 // ten requests a second for each server
			w.Faults = []model.Fault{{Kind: "restart", Start: 1 * sec, Duration: 1 * sec, AffectedShare: 0.25, Interval: 500 * ms}}
			if !c.told {
				w.Discovery.StartDelay = 600 * sec
				w.Published.SubscribeWithin = 600 * sec
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
			rep := play(t, w, func(s *scripted, ev *policy.Event) {
				switch ev.Kind {
				case policy.MembershipCached:
					s.do(policy.Action{Kind: policy.SubscribeDiscovery})
					for _, m := range ev.Members {
						list = append(list, m.Server)
					}
					s.at(5*sec, func() {
						if !c.told { // its connection refused the request that came while it was down
							server = list[struckByRestart(t, w, list)]
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
			judge(t, rep, c.rule, 0, "fell over")
			if c.rule != 0 && len(rep.Violations) == 1 && (rep.Violations[0].At < when || rep.Violations[0].At > when+50*ms) {
				t.Errorf("caught at %d, pushed over from %d", rep.Violations[0].At, when)
			}
		})
	}
}

// struckByRestart finds the place of the server that the world's restart strikes, by what a told proxy would hear.
func struckByRestart(t *testing.T, w model.Scenario, list []uint32) int {
	t.Helper()
	w.Discovery.StartDelay = 1 * sec
	found := -1
	if _, err := model.Run(&w, 1, func(policy.Settings, uint64, *model.Oracle) (model.Node, error) {
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
	}, quiet{}); err != nil || found < 0 {
		t.Fatalf("no server restarts: %v", err)
	}
	return found
}
