package policy

import (
	"math"
	"testing"
)

// testSettings returns settings of a small group, which differ from those of any deployment.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Semantics: Idempotent, LatencyTarget: 500_000, ClientTimeout: 2_000_000, Value: 1},
			{Semantics: Deduplicated, DedupScope: DedupPerZone, DedupWindow: 4_000_000, LatencyTarget: 500_000,
				ClientTimeout: 3_000_000, Value: 4},
			{Semantics: NonIdempotent, LatencyTarget: 500_000, ClientTimeout: 2_000_000, Value: 2},
		},
		ReportColumns: []ReportColumn{ColumnQPS, ColumnUtilization, ColumnEPS}, ReportDelivery: ReportsInResponses,
		GroupSize: 1, Zones: 2, BatchPeriod: 5_000,
		Rules: Rules{ResponseGrace: 20_000, SubscribeWithin: 8_000_000, WarmupTime: 20_000_000,
			InitialCapacity: 0.1, OverloadFactor: 3, OverloadTime: 2_000_000},
		Limits: Limits{MaxAttempts: 4, MaxOpenRequests: 10_000, AllowCancel: true, AllowHedging: true},
	}
}

// newBalancer returns a balancer with these members, at time 1e9.
func newBalancer(t testing.TB, settings Settings, members []Member) *Balancer {
	t.Helper()
	b, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(1_000_000_000, &Event{Kind: MembershipFull, Members: members}, nil)
	return b
}

// testMembers returns n ready servers of one zone and instance type, with IDs from 100.
func testMembers(n int) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{Server: uint32(100 + i), Mode: ModeReady, Size: 1})
	}
	return members
}

// advance advances the balancer's clock by d and fires its refresh timer.
func (b *Balancer) advance(d Time) {
	b.Handle(b.now+d, &Event{Kind: TimerFired, ID: timerRefresh}, nil)
}

// loadReport returns a load report with the columns of testSettings.
func loadReport(qps, utilization, eps float32) []float32 { return []float32{qps, utilization, eps} }

func assertNear(t *testing.T, name string, got, want, within float64) {
	t.Helper()
	if !(math.Abs(got-want) <= within) {
		t.Errorf("%s is %v, want %v within %v", name, got, want, within)
	}
}
