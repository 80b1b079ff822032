package policy

import "testing"

// Servers are probed only where that is allowed and reports come no other way, each about once a second, a draining one never, far
// more seldom by each of hundreds; what comes of it sets weights as reports in answers do.
func TestProbes(t *testing.T) {
	for name, c := range map[string]struct {
		allowed    bool
		via        ReportDelivery
		group      int
		least, top int // probes of one server in 20 seconds
	}{
		"allowed": {true, ReportsByPolling, 2, 16, 23}, "forbidden": {false, ReportsByPolling, 2, 0, 0},
		"in answers": {true, ReportsInResponses, 2, 0, 0}, "300 proxies": {true, ReportsByPolling, 300, 0, 1},
	} {
		set := testSettings()
		set.Limits.AllowLoadPolls, set.ReportDelivery, set.GroupSize = c.allowed, c.via, c.group
		set.ReportColumns = []ReportColumn{ColumnUtilization, ColumnQPS, ColumnEPS}
		members := testMembers(3)
		members[2].Mode = ModeDraining
		b := newBalancer(t, set, members)
		probed := map[uint32]int{}
		for i := range 200 {
			b.arrivals = 100
			for _, a := range b.Handle(b.now+refreshPeriod, &Event{Kind: TimerFired, ID: timerRefresh}, nil) {
				if a.Kind == PollLoad {
					probed[a.Server]++
					rate := map[uint32]float32{100: 30, 101: 10}[a.Server] + float32(i%2)
					b.Handle(b.now, &Event{Kind: LoadPolled, Server: a.Server, Report: []float32{0.5, rate, 0}}, nil)
				}
			}
		}
		b.Handle(b.now, &Event{Kind: LoadPolled, Server: 999, Report: []float32{0.5, 10, 0}}, nil) // gone since
		if n, m := probed[100], probed[101]; min(n, m) < c.least || max(n, m) > c.top || probed[102] != 0 {
			t.Errorf("%s: probed %v", name, probed)
		}
		if ratio := b.servers[100].weight / b.servers[101].weight; c.least > 0 && (ratio < 1.8 || ratio > 3.1) {
			t.Errorf("%s: weights %v and %v", name, b.servers[100].weight, b.servers[101].weight)
		}
	}
}
