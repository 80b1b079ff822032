package checker_test

import (
	"strings"
	"testing"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

const ms, sec = 1000, 1_000_000

// scripted is a policy that is scripted by a test. It calls onEvent for each event except timers, which call the
// functions scheduled with the method at.
type scripted struct {
	onEvent   func(s *scripted, ev *policy.Event)
	now       model.Time
	actions   []policy.Action
	scheduled []func()
}

func (s *scripted) Handle(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	s.now, s.actions = now, out
	if ev.Kind == policy.TimerFired {
		s.scheduled[ev.ID]()
	} else {
		s.onEvent(s, ev)
	}
	return s.actions
}

func (s *scripted) do(a policy.Action) { s.actions = append(s.actions, a) }

func (s *scripted) at(t model.Time, f func()) {
	s.scheduled = append(s.scheduled, f)
	s.do(policy.Action{Kind: policy.SetTimer, ID: uint64(len(s.scheduled) - 1), After: t - s.now})
}

func (s *scripted) send(id uint64, server uint32) {
	s.do(policy.Action{Kind: policy.SendAttempt, ID: id, Server: server})
}

// exactScenario returns a small scenario with exact times: one proxy; no jitter, noise or ticks; four servers of one
// core in two zones with two cells each; one class, whose requests take 100 ms.
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
		return &scripted{onEvent: on}, nil
	}, check); err != nil {
		t.Fatal(err)
	}
	rep, err := check.Report()
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// requireViolation fails unless the report has exactly one violation, of that rule, at that time (0: any time), with a
// cause that contains that text. If rule is 0, it fails unless the report has no violation.
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

// firstRequestOnly lets a script act only on the first request. All later requests are failed at once.
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

type nullObserver struct{}

func (nullObserver) Observe(*model.Record) {}
