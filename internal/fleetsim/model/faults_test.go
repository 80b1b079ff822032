package model_test

import (
	"strings"
	"testing"

	"pumiceline/internal/fleetsim/baseline"
	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
)

// TestRun_EffectRepeatedByUnsafeClientRetry lets clients retry keyed requests while the first attempt hangs: the
// checker must find the repeated effect, and that the client caused it.
func TestRun_EffectRepeatedByUnsafeClientRetry(t *testing.T) {
	for _, unsafeRetries := range []float64{0, 1} {
		sc := model.DefaultScenario()
		sc.Duration, sc.Clients.UnsafeRetryShare, sc.Clients.AttemptTimeoutShare = 20*sec, unsafeRetries, 0.3
		sc.Faults = []model.Fault{{Kind: "hang", Start: 5 * sec, Duration: 3 * sec, AffectedShare: 0.5}}
		check := checker.New(&sc)
		if _, err := model.Run(&sc, 2, baseline.NewFactory(baseline.PolicyTwoChoices), check); err != nil {
			t.Fatal(err)
		}
		rep, _ := check.Report()
		if !rep.HasNoViolations() {
			t.Errorf("the proxies kept the rules, the checker found %v", rep.Violations)
		}
		if (rep.RepeatedEffects > 0) != (unsafeRetries > 0) {
			t.Errorf("unsafe retries %v: %d repeated effects", unsafeRetries, rep.RepeatedEffects)
		}
		for _, b := range rep.RepeatedEffectCauses {
			if !strings.Contains(b.Cause, "its client asked again") {
				t.Errorf("wrong cause: %s", b.Cause)
			}
		}
	}
}

// TestRun_OverloadedDrainingServerHasSuccessor overloads draining servers that are still cold from an earlier deploy.
func TestRun_OverloadedDrainingServerHasSuccessor(t *testing.T) {
	sc := model.DefaultScenario()
	sc.Duration, sc.Load = 20*sec, 0.25
	sc.Faults = []model.Fault{
		{Kind: "deploy", Start: 2 * sec, Duration: 1 * sec, AffectedShare: 1, Magnitude: 1, Interval: 1 * sec},
		{Kind: "deploy", Start: 5 * sec, Duration: 1 * sec, AffectedShare: 1, Magnitude: 1, Interval: 8 * sec},
		{Kind: "flood", Start: 6 * sec, Duration: 4 * sec, Magnitude: 8},
	}
	sc.Discovery.DrainDelay = 20 * sec // so that they get requests while they drain
	overloadedAt, followed := map[uint32]model.Time{}, 0
	if _, err := model.Run(&sc, 4, baseline.NewFactory(baseline.PolicyRandom), observerFunc(func(r *model.Record) {
		switch r.Kind {
		case model.ServerOverloaded:
			overloadedAt[r.Server] = r.At
		case model.ServerStarted:
			if at, ok := overloadedAt[r.Server]; ok && r.At == at+500*ms {
				followed++
			}
		}
	})); err != nil {
		t.Fatal(err)
	}
	if followed == 0 {
		t.Errorf("no overloaded server was followed by a successor: %v", overloadedAt)
	}
}

// TestRun_FleetFaults requires of faults of a fleet whom they affect: a lost zone's servers alone, all of them, are
// back cold after the time; stopping proxies get no clients, lose no request, and start anew; clients of one zone send
// more requests for a while; successors under new ids are listed and get requests.
func TestRun_FleetFaults(t *testing.T) {
	type count struct {
		started, up, sent, requests map[uint32]int
		down                        int
	}
	run := func(fault model.Fault) (c count, rep *checker.Report) {
		sc := model.DefaultScenario()
		sc.Duration, sc.Servers, sc.Proxies = 20*sec, 16, 20
		sc.ZoneSkew, sc.Load, sc.Discovery.CallsPerSecond = 0, 0.3, 1000
		sc.Faults = []model.Fault{fault}
		c = count{map[uint32]int{}, map[uint32]int{}, map[uint32]int{}, map[uint32]int{}, 0}
		check := checker.New(&sc)
		if _, err := model.Run(&sc, 1, baseline.NewFactory(baseline.PolicyTwoChoices), observerFunc(func(r *model.Record) {
			check.Observe(r)
			switch {
			case r.Kind == model.ServerStarted:
				c.started[uint32(r.Zone)]++
			case r.Kind == model.ProxyStarted && r.At > 0:
				c.up[uint32(r.Proxy)]++
			case r.Kind == model.ProxyStopped:
				c.down++
			case r.Kind == model.AttemptSent:
				c.sent[r.Server]++
			case r.Kind == model.RequestStarted && r.At > model.Time(fault.Start) &&
				r.At < model.Time(fault.Start+fault.Duration):
				c.requests[uint32(r.Zone)]++
			}
		})); err != nil {
			t.Fatal(err)
		}
		rep, err := check.Report()
		if err != nil {
			t.Fatal(err)
		}
		return c, rep
	}
	c, _ := run(model.Fault{Kind: "zone_lost", Start: 5 * sec, Interval: 3 * sec, From: "zone:2"})
	if len(c.started) != 1 || c.started[2] < 4 {
		t.Errorf("zone_lost: servers started by zone: %v", c.started)
	}
	c, rep := run(model.Fault{Kind: "proxy_roll", Start: 2 * sec, Duration: 10 * sec, AffectedShare: 1, Magnitude: 0.2,
		Interval: sec / 2})
	if len(c.up) != 20 || c.down != 20 || rep.Answers.Failed > rep.Requests/200 || rep.ListedWithinP95 <= 0 {
		t.Errorf("proxy_roll: %d of 20 started anew, %d went, %d of %d requests failed, lists within %v s",
			len(c.up), c.down,
			rep.Answers.Failed, rep.Requests, rep.ListedWithinP95)
	}
	c, _ = run(model.Fault{Kind: "shift", Start: 5 * sec, Duration: 5 * sec, From: "zone:3", Magnitude: 3})
	if others, own := float64(c.requests[0]+c.requests[1]+c.requests[2])/3, float64(c.requests[3]); own < 2.5*others || own > 3.5*others {
		t.Errorf("shift: requests by zone: %v", c.requests)
	}
	c, _ = run(model.Fault{Kind: "deploy", Start: 2 * sec, Duration: 2 * sec, AffectedShare: 1, Magnitude: 1,
		Interval: sec, NewIDs: true})
	if len(c.sent) != 32 {
		t.Errorf("deploy under new ids: %d servers got requests, want 16 and their successors", len(c.sent))
	}
}
