package model_test

import (
	"strings"
	"testing"

	"pumiceline/internal/fleetsim/baseline"
	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
)

// TestRun_EffectRepeatedByUnsafeClientRetry lets clients retry keyed requests while the first attempt hangs at its
// server. The checker must report the repeated effect and name the client's retry as its cause.
func TestRun_EffectRepeatedByUnsafeClientRetry(t *testing.T) {
	for _, unsafeRetries := range []float64{0, 1} {
		sc := model.DefaultScenario()
		sc.Duration, sc.Clients.UnsafeRetryShare, sc.Clients.AttemptTimeoutShare = 20*sec, unsafeRetries, 0.3
		sc.Faults = []model.Fault{{Kind: model.FaultHang, Start: 5 * sec, Duration: 3 * sec, AffectedShare: 0.5}}
		check := checker.New(&sc)
		if _, err := model.Run(&sc, 2, baseline.NewFactory(baseline.PolicyTwoChoices), check); err != nil {
			t.Fatal(err)
		}
		rep, _ := check.Report()
		if !rep.HasNoViolations() {
			t.Errorf("want no violations by the proxies, the checker reports %v", rep.Violations)
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
// At least one draining server that crashes must have a successor 500 ms later.
func TestRun_OverloadedDrainingServerHasSuccessor(t *testing.T) {
	sc := model.DefaultScenario()
	sc.Duration, sc.Load = 20*sec, 0.25
	sc.Faults = []model.Fault{
		{Kind: model.FaultDeploy, Start: 2 * sec, Duration: 1 * sec, AffectedShare: 1, Magnitude: 1, Interval: 1 * sec},
		{Kind: model.FaultDeploy, Start: 5 * sec, Duration: 1 * sec, AffectedShare: 1, Magnitude: 1, Interval: 8 * sec},
		{Kind: model.FaultTenantFlood, Start: 6 * sec, Duration: 4 * sec, Magnitude: 8},
	}
	sc.Discovery.DrainDelay = 20 * sec // so that draining servers still get requests
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

// fleetRun records the effects of a fault on a fleet of 16 servers and 20 proxies in 4 zones.
type fleetRun struct {
	report           *checker.Report
	serversStarted   map[uint8]int  // by zone
	attempts         map[uint32]int // by server
	requests         map[uint8]int  // started while the fault was in force, by zone
	proxiesRestarted map[int32]bool
	proxiesStopped   int
}

func runFleetFault(t *testing.T, fault model.Fault) *fleetRun {
	t.Helper()
	sc := model.DefaultScenario()
	sc.Duration, sc.Servers, sc.Proxies = 20*sec, 16, 20
	sc.ZoneSkew, sc.Load, sc.Discovery.CallsPerSecond = 0, 0.3, 1000
	sc.Faults = []model.Fault{fault}
	run := &fleetRun{serversStarted: map[uint8]int{}, attempts: map[uint32]int{}, requests: map[uint8]int{},
		proxiesRestarted: map[int32]bool{}}
	check := checker.New(&sc)
	observe := observerFunc(func(r *model.Record) {
		check.Observe(r)
		isInForce := r.At > model.Time(fault.Start) && r.At < model.Time(fault.Start+fault.Duration)
		switch {
		case r.Kind == model.ServerStarted:
			run.serversStarted[r.Zone]++
		case r.Kind == model.ProxyStarted && r.At > 0:
			run.proxiesRestarted[r.Proxy] = true
		case r.Kind == model.ProxyStopped:
			run.proxiesStopped++
		case r.Kind == model.AttemptSent:
			run.attempts[r.Server]++
		case r.Kind == model.RequestStarted && isInForce:
			run.requests[r.Zone]++
		}
	})
	if _, err := model.Run(&sc, 1, baseline.NewFactory(baseline.PolicyTwoChoices), observe); err != nil {
		t.Fatal(err)
	}
	var err error
	if run.report, err = check.Report(); err != nil {
		t.Fatal(err)
	}
	return run
}

// All servers of a lost zone, and no others, restart cold after the interval.
func TestRun_ZoneLost(t *testing.T) {
	run := runFleetFault(t, model.Fault{Kind: model.FaultZoneLost, Start: 5 * sec, Interval: 3 * sec, From: "zone:2"})
	if len(run.serversStarted) != 1 || run.serversStarted[2] < 4 {
		t.Errorf("servers started by zone: %v", run.serversStarted)
	}
}

// A rolling restart stops and restarts every proxy. Stopping proxies get no new clients, so hardly any request fails.
func TestRun_ProxyRoll(t *testing.T) {
	run := runFleetFault(t, model.Fault{Kind: model.FaultProxyRoll, Start: 2 * sec, Duration: 10 * sec,
		AffectedShare: 1, Magnitude: 0.2, Interval: sec / 2})
	report := run.report
	if len(run.proxiesRestarted) != 20 || run.proxiesStopped != 20 || report.Responses.Failed > report.Requests/200 ||
		report.ListedWithinP95 <= 0 {
		t.Errorf("%d of 20 restarted, %d stopped, %d of %d requests failed, lists within %v s",
			len(run.proxiesRestarted), run.proxiesStopped, report.Responses.Failed, report.Requests, report.ListedWithinP95)
	}
}

// Clients of the zone send more requests while the fault is in force.
func TestRun_ZoneShift(t *testing.T) {
	run := runFleetFault(t, model.Fault{Kind: model.FaultZoneShift, Start: 5 * sec, Duration: 5 * sec, From: "zone:3",
		Magnitude: 3})
	others, shifted := float64(run.requests[0]+run.requests[1]+run.requests[2])/3, float64(run.requests[3])
	if shifted < 2.5*others || shifted > 3.5*others {
		t.Errorf("requests by zone: %v", run.requests)
	}
}

// Successors with new ids are listed and get requests.
func TestRun_DeployWithNewIDs(t *testing.T) {
	run := runFleetFault(t, model.Fault{Kind: model.FaultDeploy, Start: 2 * sec, Duration: 2 * sec, AffectedShare: 1,
		Magnitude: 1, Interval: sec, NewIDs: true})
	if len(run.attempts) != 32 {
		t.Errorf("%d servers got requests, want 16 and their successors", len(run.attempts))
	}
}
