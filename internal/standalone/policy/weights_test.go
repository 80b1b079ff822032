package policy

import (
	"math"
	"testing"
)

// settings are those of a small bank that no site file holds.
func settings() Settings {
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

func fleet(n int) []Member {
	var ms []Member
	for i := range n {
		ms = append(ms, Member{Server: uint32(100 + i), Mode: ModeReady, Size: 1})
	}
	return ms
}

// later moves the balancer's clock on and lets its period pass.
func (b *Balancer) later(d Time) { b.Handle(b.now+d, &Event{Kind: TimerFired, ID: tagRefresh}, nil) }

func near(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if !(math.Abs(got-want) <= within) {
		t.Errorf("%s is %v, want %v within %v", what, got, want, within)
	}
}

func TestRampEndsAndFloor(t *testing.T) {
	b := newBalancer(t, settings(), fleet(1))
	s := b.order[0]
	s.cold = true
	window := b.set.Rules.WarmupTime
	for _, c := range []struct {
		age  Time
		want float64
	}{{0, 0.1}, {1_000_000, 0.1}, {window / 2, 0.5}, {window - 1, 1}, {window, 1}, {2 * window, 1}} {
		s.readySince = b.now - c.age
		near(t, "ramp", b.scale(s), c.want, 1e-6)
	}
}

func report(qps, util, eps float32) []float32 { return []float32{qps, util, eps} }

func TestWeightFormulaBlackoutAndExpiry(t *testing.T) {
	b := newBalancer(t, settings(), fleet(2))
	s, other := b.order[0], b.order[1]
	b.mean.mean, b.kinds[0].mean = 7, 7
	near(t, "weight before any report", b.base(s), 7, 0)

	b.report(s, report(20, 0.5, 1))
	near(t, "weight in blackout", b.base(s), 7, 0)
	b.now += blackoutPeriod
	// One report, the mean mixed in as a report of a server meanShare busy.
	want := (20 + meanShare*7) / (0.5 + meanShare + 1.0/20*errorUtilizationPenalty)
	near(t, "weight after blackout", b.base(s), want, 1e-9)

	b.now += weightExpiration
	near(t, "weight after expiry", b.base(s), 7, 0)
	b.report(s, report(30, 0.5, 0))
	near(t, "weight on re-entry, in blackout again", b.base(s), 7, 0)
	b.now += blackoutPeriod
	if b.base(s) <= 7 {
		t.Error("a fresh weight is not used after the second blackout")
	}
	near(t, "weight of a server that never reported", b.base(other), 7, 0)
}

func TestRampMultipliesTheMean(t *testing.T) {
	b := newBalancer(t, settings(), fleet(1))
	s := b.order[0]
	b.chill(s, b.now-b.set.Rules.WarmupTime/4)
	b.kinds[0].mean, b.mean.mean = 8, 8
	b.refresh()
	near(t, "scaled mean weight", s.weight, 8*0.25, 1e-9)
}

func TestImplausibleReportsAreNone(t *testing.T) {
	b := newBalancer(t, settings(), fleet(1))
	s := b.order[0]
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, r := range [][]float32{nil, {1}, {1, 1}, report(nan, 1, 0), report(1, inf, 0), report(-1, 1, 0),
		report(1, -1, 0), report(1, 1, nan), report(0, 1, 0), report(1, 0, 0)} {
		b.report(s, r)
		if s.nonEmptySince != 0 || s.mass != 0 {
			t.Fatalf("report %v was taken", r)
		}
	}
}

// A server that fails fast looks cheap: little utilisation for many requests. The penalty must outweigh it.
func TestErrorsOutweighCheapness(t *testing.T) {
	b := newBalancer(t, settings(), fleet(2))
	bad, good := b.order[0], b.order[1]
	b.report(bad, report(20, 0.2, 12))
	b.report(good, report(10, 0.7, 0))
	b.now += blackoutPeriod
	if w, v := b.base(bad), b.base(good); w > v/2 {
		t.Errorf("failing server weighs %v, healthy one %v", w, v)
	}
}

// Chance at the start: the budget of all balancers together must stay under what tips a cold server, by
// more than its own square root while only a few requests tip it.
func TestColdBudgetStaysUnderTheTip(t *testing.T) {
	set := settings()
	set.GroupSize = 25
	b := newBalancer(t, set, fleet(1))
	s := b.order[0]
	b.kinds[0].mean = 10
	for age := Time(0); age < set.Rules.WarmupTime; age += set.Rules.WarmupTime / 10 {
		s.cold, s.readySince = true, b.now-age
		able := 10 * (set.Rules.InitialCapacity + (1-set.Rules.InitialCapacity)*float64(age)/float64(set.Rules.WarmupTime))
		span := float64(set.Rules.OverloadTime) / 1e6
		all := b.coldRate(s) * float64(set.GroupSize) * span
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
	set := settings()
	set.Rules.OverloadFactor = 100
	b := newBalancer(t, set, fleet(1))
	s := b.order[0]
	b.kinds[0].mean = 10
	s.cold, s.readySince = true, b.now-set.Rules.WarmupTime/2
	if able := 10 * b.guaranteed(s); b.coldRate(s) < 2*able {
		t.Errorf("%v a second for a server that can do %v", b.coldRate(s), able)
	}
}

func TestRemoteZonesFillInOnlyWhenHomeIsShort(t *testing.T) {
	set := settings()
	members := fleet(4)
	members[2].Zone, members[3].Zone = 1, 1
	b := newBalancer(t, set, members)
	busy := func(home, away float64) float64 {
		for i, s := range b.order {
			s.util, s.qps, s.mass = home, 10, 1
			if i >= 2 {
				s.util = away
			}
		}
		for range 200 {
			b.roam(0.1)
		}
		return b.remote
	}
	near(t, "remote share with headroom at home", busy(0.3, 0.1), 0, 1e-3)
	near(t, "remote share when home is full", busy(0.95, 0.4), 1, 1e-3)
	near(t, "remote share when all are full", busy(0.95, 0.95), 0, 1e-3)
}

// A lost zone shows first as failures to connect: the rest of it must not be found out server by server.
func TestLostZoneLosesWeight(t *testing.T) {
	members := fleet(20)
	for i := range members {
		members[i].Zone = uint8(i % 2)
	}
	b := newBalancer(t, settings(), members)
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
			ev.Attempt = uint8(len(b.open[id].tries) - 1)
			if a.Server%2 == 0 { // the home zone is gone
				lost++
				ev.Outcome, ev.Final = ConnectFailed, false
			}
			out = append(out, b.Handle(b.now, &ev, nil)...)
		}
		b.later(30_000)
	}
	if lost > 9 {
		t.Errorf("%d attempts were spent on a lost zone of 10 servers", lost)
	}
}
