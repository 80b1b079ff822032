package policy

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
)

// A balancer that takes over has the weights, ramps, budgets and window of the one before; of a server that has been started
// since it takes nothing, and numbers that cannot be are not believed.
func TestTakingOver(t *testing.T) {
	set := Settings{Classes: []Class{{LatencyTarget: 1e6, ClientTimeout: 4e6, Value: 1}}, ReportColumns: []ReportColumn{ColumnQPS, ColumnUtilization}, ReportDelivery: ReportsInResponses,
		Rules: Rules{WarmupTime: 24e6, InitialCapacity: 0.1, OverloadFactor: 3, OverloadTime: 1e6}, Tenants: []Tenant{{QuotaPerS: 50}}}
	const start = 1e12
	begin := func(up Time) *Balancer {
		b, err := New(set, 3)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(start, &Event{Kind: MembershipFull, Members: []Member{{Server: 1, Mode: ModeReady, Size: 1},
			{Server: 2, Mode: ModeReady, Size: 1}, {Server: 3, Mode: ModeReady, Size: 1, StartedAt: up}}}, nil)
		return b
	}
	old := begin(start - 5e6)
	now := Time(start)
	for id := range uint64(400) {
		now += 10_000
		old.Handle(now, &Event{Kind: TimerFired, ID: timerRefresh}, nil)
		for _, a := range old.Handle(now, &Event{Kind: RequestArrived, ID: id + 1, Work: 1000, ClientTimeout: 4e6}, nil) {
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
	var l Snapshot
	if err := json.Unmarshal(text, &l); err != nil || !reflect.DeepEqual(&l, old.Snapshot()) {
		t.Errorf("%v: %s", err, text)
	}
	b := begin(start - 5e6)
	if !b.Restore(now+5000, &l) {
		t.Fatal("not taken over")
	}
	b.Handle(now+6000, &Event{Kind: TimerFired, ID: timerRefresh}, nil)
	calm, known := b.unloadedLatency[0].Baseline()
	if was, _ := old.unloadedLatency[0].Baseline(); !known || calm != was || b.concurrencyLimit != old.concurrencyLimit || b.medianAttemptTime != old.medianAttemptTime || b.servers[1].qpsSum != old.servers[1].qpsSum || !b.servers[3].warmingUp ||
		b.overall.meanWeight == 0 || b.servers[3].readySince != old.servers[3].readySince {
		t.Errorf("%+v became %+v", l, b.Snapshot())
	}
	again := begin(start + 1) // server 3 has been started since
	again.Restore(now+5000, &l)
	if again.servers[3].readySince != start+1 || again.servers[3].reportWeight != 0 {
		t.Error("believed what was learnt of a process that is gone")
	}
	for name, spoil := range map[string]func(*Snapshot){
		"no number": func(l *Snapshot) { l.MedianAttemptTime = math.NaN() }, "negative": func(l *Snapshot) { l.Servers[0].QPSSum = -1 },
		"endless": func(l *Snapshot) { l.ConcurrencyLimit = math.Inf(1) }, "of tomorrow": func(l *Snapshot) { l.At += 1e12 },
		"negative calm": func(l *Snapshot) { l.UnloadedLatency[0] = -1 }, "faults over one": func(l *Snapshot) { l.Servers[1].FailureRate = 7 }, "a far start": func(l *Snapshot) { l.Servers[2].ReadySince += 1e12 },
	} {
		bad := *old.Snapshot()
		spoil(&bad)
		c := begin(start - 5e6)
		before := c.Snapshot()
		if c.Restore(now+5000, &bad) {
			t.Errorf("%s: taken over", name)
		}
		if before.At = c.now; !reflect.DeepEqual(before, c.Snapshot()) {
			t.Errorf("%s: something was changed", name)
		}
	}
}
