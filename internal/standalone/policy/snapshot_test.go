package policy

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
)

// A balancer that restores a snapshot has the weights, slow starts, budgets and limit of its predecessor. What was
// learned about a server that was restarted since is not restored, and a snapshot with impossible values is refused.
func TestRestore(t *testing.T) {
	settings := Settings{Classes: []Class{{LatencyTarget: 1e6, ClientTimeout: 4e6, Value: 1}},
		ReportColumns: []ReportColumn{ColumnQPS, ColumnUtilization}, ReportDelivery: ReportsInResponses,
		Rules:   Rules{WarmupTime: 24e6, InitialCapacity: 0.1, OverloadFactor: 3, OverloadTime: 1e6},
		Tenants: []Tenant{{QuotaPerS: 50}}}
	const start = 1e12
	begin := func(startedAt Time) *Balancer { // of server 3
		t.Helper()
		b, err := New(settings, 3)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(start, &Event{Kind: MembershipFull, Members: []Member{{Server: 1, Mode: ModeReady, Size: 1},
			{Server: 2, Mode: ModeReady, Size: 1}, {Server: 3, Mode: ModeReady, Size: 1, StartedAt: startedAt}}}, nil)
		return b
	}
	old := begin(start - 5e6)
	now := Time(start)
	for id := range uint64(400) {
		now += 10_000
		old.Handle(now, &Event{Kind: TimerFired, ID: timerRefresh}, nil)
		arrived := Event{Kind: RequestArrived, ID: id + 1, Work: 1000, ClientTimeout: 4e6}
		for _, a := range old.Handle(now, &arrived, nil) {
			if a.Kind == SendAttempt {
				old.Handle(now+5000, &Event{Kind: AttemptEnded, ID: a.ID, Server: a.Server, Outcome: OK, Elapsed: 50_000,
					Report: []float32{float32(id), 0.5}}, nil)
			}
		}
	}
	text, err := json.Marshal(old.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil || !reflect.DeepEqual(&snapshot, old.Snapshot()) {
		t.Errorf("%v: %s", err, text)
	}
	b := begin(start - 5e6)
	if !b.Restore(now+5000, &snapshot) {
		t.Fatal("not restored")
	}
	b.Handle(now+6000, &Event{Kind: TimerFired, ID: timerRefresh}, nil)
	baseline, known := b.unloadedLatency[0].Baseline()
	oldBaseline, _ := old.unloadedLatency[0].Baseline()
	if !known || baseline != oldBaseline || b.concurrencyLimit != old.concurrencyLimit ||
		b.medianAttemptTime != old.medianAttemptTime || b.servers[1].qpsSum != old.servers[1].qpsSum ||
		!b.servers[3].warmingUp ||
		b.overall.meanWeight == 0 || b.servers[3].readySince != old.servers[3].readySince {
		t.Errorf("%+v became %+v", snapshot, b.Snapshot())
	}
	restarted := begin(start + 1)
	restarted.Restore(now+5000, &snapshot)
	if restarted.servers[3].readySince != start+1 || restarted.servers[3].reportWeight != 0 {
		t.Error("restored what was learned about a previous process")
	}
	for name, corrupt := range map[string]func(*Snapshot){
		"not a number":        func(s *Snapshot) { s.MedianAttemptTime = math.NaN() },
		"negative":            func(s *Snapshot) { s.Servers[0].QPSSum = -1 },
		"infinite":            func(s *Snapshot) { s.ConcurrencyLimit = math.Inf(1) },
		"of the future":       func(s *Snapshot) { s.At += 1e12 },
		"negative latency":    func(s *Snapshot) { s.UnloadedLatency[0] = -1 },
		"failures over one":   func(s *Snapshot) { s.Servers[1].FailureRate = 7 },
		"ready in the future": func(s *Snapshot) { s.Servers[2].ReadySince += 1e12 },
	} {
		bad := *old.Snapshot()
		corrupt(&bad)
		c := begin(start - 5e6)
		before := c.Snapshot()
		if c.Restore(now+5000, &bad) {
			t.Errorf("%s: restored", name)
		}
		if before.At = c.now; !reflect.DeepEqual(before, c.Snapshot()) {
			t.Errorf("%s: something was changed", name)
		}
	}
}
