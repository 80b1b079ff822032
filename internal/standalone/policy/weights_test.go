package policy

import (
	"math"
	"testing"
)

// testSettings are those of a small bank that no site file holds.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Semantics: Idempotent, LatencyTarget: 500_000, ClientTimeout: 2_000_000, Value: 1},
			{Semantics: Deduplicated, DedupScope: DedupPerZone, DedupWindow: 4_000_000, LatencyTarget: 500_000, ClientTimeout: 3_000_000, Value: 4},
			{Semantics: NonIdempotent, LatencyTarget: 500_000, ClientTimeout: 2_000_000, Value: 2},
		},
		ReportColumns: []ReportColumn{ColumnQPS, ColumnUtilization, ColumnEPS}, ReportDelivery: ReportsInResponses,
		GroupSize: 1, Zones: 2, BatchPeriod: 5_000,
		Rules: Rules{ResponseGrace: 20_000, SubscribeWithin: 8_000_000, WarmupTime: 20_000_000,
			InitialCapacity: 0.1, OverloadFactor: 3, OverloadTime: 2_000_000},
		Limits: Limits{MaxAttempts: 4, MaxOpenRequests: 10_000, AllowCancel: true, AllowHedging: true},
	}
}

func newBalancer(t testing.TB, set Settings, members []Member) *Balancer {
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(1_000_000_000, &Event{Kind: MembershipFull, Members: members}, nil)
	return b
}

func testMembers(n int) []Member {
	var ms []Member
	for i := range n {
		ms = append(ms, Member{Server: uint32(100 + i), Mode: ModeReady, Size: 1})
	}
	return ms
}

// advance moves the balancer's clock on and lets its period pass.
func (b *Balancer) advance(d Time) {
	b.Handle(b.now+d, &Event{Kind: TimerFired, ID: timerRefresh}, nil)
}

func assertNear(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if !(math.Abs(got-want) <= within) {
		t.Errorf("%s is %v, want %v within %v", what, got, want, within)
	}
}

func TestRampEndsAndFloor(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(1))
	s := b.members[0]
	s.warmingUp = true
	window := b.settings.Rules.WarmupTime
	for _, c := range []struct {
		age  Time
		want float64
	}{{0, 0.1}, {1_000_000, 0.1}, {window / 2, 0.5}, {window - 1, 1}, {window, 1}, {2 * window, 1}} {
		s.readySince = b.now - c.age
		assertNear(t, "ramp", b.slowStartFactor(s), c.want, 1e-6)
	}
}

func report(qps, util, eps float32) []float32 { return []float32{qps, util, eps} }

func TestWeightFormulaBlackoutAndExpiry(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(2))
	s, other := b.members[0], b.members[1]
	b.overall.meanWeight, b.instanceTypes[0].meanWeight = 7, 7
	assertNear(t, "weight before any report", b.baseWeight(s), 7, 0)

	b.addReport(s, report(20, 0.5, 1))
	assertNear(t, "weight in blackout", b.baseWeight(s), 7, 0)
	b.now += blackoutPeriod
	// One report, the mean mixed in as a report of a server meanReportWeight busy.
	want := (20 + meanReportWeight*7) / (0.5 + meanReportWeight + 1.0/20*errorUtilizationPenalty)
	assertNear(t, "weight after blackout", b.baseWeight(s), want, 1e-9)

	b.now += weightExpiration
	assertNear(t, "weight after expiry", b.baseWeight(s), 7, 0)
	b.addReport(s, report(30, 0.5, 0))
	assertNear(t, "weight on re-entry, in blackout again", b.baseWeight(s), 7, 0)
	b.now += blackoutPeriod
	if b.baseWeight(s) <= 7 {
		t.Error("a fresh weight is not used after the second blackout")
	}
	assertNear(t, "weight of a server that never reported", b.baseWeight(other), 7, 0)
}

func TestRampMultipliesTheMean(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(1))
	s := b.members[0]
	b.beginSlowStart(s, b.now-b.settings.Rules.WarmupTime/4)
	b.instanceTypes[0].meanWeight, b.overall.meanWeight = 8, 8
	b.refresh()
	assertNear(t, "scaled mean weight", s.weight, 8*0.25, 1e-9)
}

func TestImplausibleReportsAreNone(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(1))
	s := b.members[0]
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, r := range [][]float32{nil, {1}, {1, 1}, report(nan, 1, 0), report(1, inf, 0), report(-1, 1, 0),
		report(1, -1, 0), report(1, 1, nan), report(0, 1, 0), report(1, 0, 0)} {
		b.addReport(s, r)
		if s.nonEmptySince != 0 || s.reportWeight != 0 {
			t.Fatalf("report %v was taken", r)
		}
	}
}

// A server that fails fast looks cheap: little utilisation for many requests. The penalty must outweigh it.
func TestErrorsOutweighCheapness(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(2))
	bad, good := b.members[0], b.members[1]
	b.addReport(bad, report(20, 0.2, 12))
	b.addReport(good, report(10, 0.7, 0))
	b.now += blackoutPeriod
	if w, v := b.baseWeight(bad), b.baseWeight(good); w > v/2 {
		t.Errorf("failing server weighs %v, healthy one %v", w, v)
	}
}

// Chance at the start: the budget of all balancers together must stay under what tips a cold server, by
// more than its own square root while only a few requests tip it.
func TestColdBudgetStaysUnderTheTip(t *testing.T) {
	set := testSettings()
	set.GroupSize = 25
	b := newBalancer(t, set, testMembers(1))
	s := b.members[0]
	b.instanceTypes[0].meanWeight = 10
	for age := Time(0); age < set.Rules.WarmupTime; age += set.Rules.WarmupTime / 10 {
		s.warmingUp, s.readySince = true, b.now-age
		able := 10 * (set.Rules.InitialCapacity + (1-set.Rules.InitialCapacity)*float64(age)/float64(set.Rules.WarmupTime))
		span := float64(set.Rules.OverloadTime) / 1e6
		all := b.slowStartRate(s) * float64(set.GroupSize) * span
		tips := set.Rules.OverloadFactor * able * span
		if all+2*math.Sqrt(all) > tips {
			t.Errorf("at age %d all may send %.2f, and %.2f tip it", age, all, tips)
		}
		if all <= 0 {
			t.Errorf("at age %d nothing may be sent", age)
		}
	}
}

// Most servers are warm long before they must be: held near what they are sure to be able to do, a fleet of successors
// cannot carry the traffic.
func TestColdServersCarryMoreThanIsSure(t *testing.T) {
	set := testSettings()
	set.Rules.OverloadFactor = 100
	b := newBalancer(t, set, testMembers(1))
	s := b.members[0]
	b.instanceTypes[0].meanWeight = 10
	s.warmingUp, s.readySince = true, b.now-set.Rules.WarmupTime/2
	if able := 10 * b.guaranteedCapacity(s); b.slowStartRate(s) < 2*able {
		t.Errorf("%v a second for a server that can do %v", b.slowStartRate(s), able)
	}
}

func TestRemoteZonesFillInOnlyWhenHomeIsShort(t *testing.T) {
	set := testSettings()
	members := testMembers(4)
	members[2].Zone, members[3].Zone = 1, 1
	b := newBalancer(t, set, members)
	busy := func(home, away float64) float64 {
		for i, s := range b.members {
			s.utilizationSum, s.qpsSum, s.reportWeight = home, 10, 1
			if i >= 2 {
				s.utilizationSum = away
			}
		}
		for range 200 {
			b.updateRemoteZoneShare(0.1)
		}
		return b.remoteZoneShare
	}
	assertNear(t, "remote share with headroom at home", busy(0.3, 0.1), 0, 1e-3)
	assertNear(t, "remote share when home is full", busy(0.95, 0.4), 1, 1e-3)
	assertNear(t, "remote share when all are full", busy(0.95, 0.95), 0, 1e-3)
}

// A lost zone shows first as failures to connect: the rest of it must not be found out server by server.
func TestLostZoneLosesWeight(t *testing.T) {
	members := testMembers(20)
	for i := range members {
		members[i].Zone = uint8(i % 2)
	}
	b := newBalancer(t, testSettings(), members)
	lost := 0
	for id := range uint64(40) {
		out := b.Handle(b.now+20_000, &Event{Kind: RequestArrived, ID: id, ClientTimeout: 1e6}, nil)
		for len(out) > 0 {
			a := out[0]
			out = out[1:]
			if a.Kind != SendAttempt {
				continue
			}
			ev := Event{Kind: AttemptEnded, ID: id, Server: a.Server, Elapsed: 1000, Final: true}
			ev.Attempt = uint8(len(b.requests[id].attempts) - 1)
			if a.Server%2 == 0 { // the home zone is gone
				lost++
				ev.Outcome, ev.Final = ConnectFailed, false
			}
			out = append(out, b.Handle(b.now, &ev, nil)...)
		}
		b.advance(30_000)
	}
	if lost > 9 {
		t.Errorf("%d attempts were spent on a lost zone of 10 servers", lost)
	}
}
