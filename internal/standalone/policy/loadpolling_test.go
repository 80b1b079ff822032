package policy

import "testing"

// Servers are polled only if polls are allowed and reports come no other way: each server about once per
// second, a draining server never, and far less often by each of hundreds of balancers. Polled reports set
// weights just as reports in responses do.
func TestLoadPolls(t *testing.T) {
	for name, c := range map[string]struct {
		allowed         bool
		delivery        ReportDelivery
		groupSize       int
		atLeast, atMost int // polls of one server in 20 seconds
	}{
		"allowed":       {true, ReportsByPolling, 2, 16, 23},
		"forbidden":     {false, ReportsByPolling, 2, 0, 0},
		"in responses":  {true, ReportsInResponses, 2, 0, 0},
		"300 balancers": {true, ReportsByPolling, 300, 0, 1},
	} {
		settings := testSettings()
		settings.Limits.AllowLoadPolls, settings.ReportDelivery, settings.GroupSize = c.allowed, c.delivery, c.groupSize
		settings.ReportColumns = []ReportColumn{ColumnUtilization, ColumnQPS, ColumnEPS}
		members := testMembers(3)
		members[2].Mode = ModeDraining
		b := newBalancer(t, settings, members)
		polled := map[uint32]int{}
		for i := range 200 {
			b.arrivals = 100
			for _, a := range b.Handle(b.now+refreshPeriod, &Event{Kind: TimerFired, ID: timerRefresh}, nil) {
				if a.Kind == PollLoad {
					polled[a.Server]++
					rate := map[uint32]float32{100: 30, 101: 10}[a.Server] + float32(i%2)
					b.Handle(b.now, &Event{Kind: LoadPolled, Server: a.Server, Report: []float32{0.5, rate, 0}}, nil)
				}
			}
		}
		b.Handle(b.now, &Event{Kind: LoadPolled, Server: 999, Report: []float32{0.5, 10, 0}}, nil) // not listed
		if n, m := polled[100], polled[101]; min(n, m) < c.atLeast || max(n, m) > c.atMost || polled[102] != 0 {
			t.Errorf("%s: polled %v", name, polled)
		}
		if ratio := b.servers[100].weight / b.servers[101].weight; c.atLeast > 0 && (ratio < 1.8 || ratio > 3.1) {
			t.Errorf("%s: weights %v and %v", name, b.servers[100].weight, b.servers[101].weight)
		}
	}
}
