package policy

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
)

// The predecessor serves one request every 10 ms from restoreStart on, the last of them until restoreEnd.
const (
	restoreStart    = Time(1e12)
	restoreRequests = 400
	restoreEnd      = restoreStart + restoreRequests*10_000 + 5000
)

// newRestoreBalancer returns a balancer with three servers at restoreStart, of which the third was started at
// startedAt.
func newRestoreBalancer(t *testing.T, startedAt Time) *Balancer {
	t.Helper()
	b, err := New(Settings{Classes: []Class{{LatencyTarget: 1e6, ClientTimeout: 4e6, Value: 1}},
		ReportColumns: []ReportColumn{ColumnQPS, ColumnUtilization}, ReportDelivery: ReportsInResponses,
		Rules:   Rules{WarmupTime: 24e6, InitialCapacity: 0.1, OverloadFactor: 3, OverloadTime: 1e6},
		Tenants: []Tenant{{QuotaPerS: 50}}}, 3)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(restoreStart, &Event{Kind: MembershipFull, Members: []Member{{Server: 1, Mode: ModeReady, Size: 1},
		{Server: 2, Mode: ModeReady, Size: 1}, {Server: 3, Mode: ModeReady, Size: 1, StartedAt: startedAt}}}, nil)
	return b
}

// newPredecessor returns a balancer that has served restoreRequests.
func newPredecessor(t *testing.T) *Balancer {
	t.Helper()
	b := newRestoreBalancer(t, restoreStart-5e6)
	now := restoreStart
	for id := range uint64(restoreRequests) {
		now += 10_000
		b.Handle(now, &Event{Kind: TimerFired, ID: timerRefresh}, nil)
		arrived := Event{Kind: RequestArrived, ID: id + 1, Work: 1000, ClientTimeout: 4e6}
		for _, a := range b.Handle(now, &arrived, nil) {
			if a.Kind == SendAttempt {
				b.Handle(now+5000, &Event{Kind: AttemptEnded, ID: a.ID, Server: a.Server, Outcome: OK, Elapsed: 50_000,
					Report: []float32{float32(id), 0.5}}, nil)
			}
		}
	}
	return b
}

// A balancer that restores a snapshot, after a round trip through JSON, has the weights, slow starts, budgets
// and limit of its predecessor.
func TestRestore_AppliesLearnedState(t *testing.T) {
	old := newPredecessor(t)
	text, err := json.Marshal(old.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil || !reflect.DeepEqual(&snapshot, old.Snapshot()) {
		t.Errorf("the snapshot changed in a round trip through JSON, error %v: %s", err, text)
	}
	b := newRestoreBalancer(t, restoreStart-5e6)
	if !b.Restore(restoreEnd, &snapshot) {
		t.Fatal("not restored")
	}
	b.Handle(restoreEnd+1000, &Event{Kind: TimerFired, ID: timerRefresh}, nil)
	baseline, known := b.unloadedLatency[0].Baseline()
	oldBaseline, _ := old.unloadedLatency[0].Baseline()
	if !known || baseline != oldBaseline || b.concurrencyLimit != old.concurrencyLimit ||
		b.medianAttemptTime != old.medianAttemptTime || b.servers[1].qpsSum != old.servers[1].qpsSum ||
		!b.servers[3].warmingUp ||
		b.overall.meanWeight == 0 || b.servers[3].readySince != old.servers[3].readySince {
		t.Errorf("snapshot %+v was restored as %+v", snapshot, b.Snapshot())
	}
}

func TestRestore_SkipsRestartedServer(t *testing.T) {
	old := newPredecessor(t)
	b := newRestoreBalancer(t, restoreStart+1)
	if !b.Restore(restoreEnd, old.Snapshot()) {
		t.Fatal("not restored")
	}
	if b.servers[3].readySince != restoreStart+1 || b.servers[3].reportWeight != 0 {
		t.Error("restored the learned state of a previous process")
	}
}

func TestRestore_RefusesImpossibleValues(t *testing.T) {
	old := newPredecessor(t)
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
		b := newRestoreBalancer(t, restoreStart-5e6)
		before := b.Snapshot()
		if b.Restore(restoreEnd, &bad) {
			t.Errorf("%s: the snapshot was restored", name)
		}
		if before.At = b.now; !reflect.DeepEqual(before, b.Snapshot()) {
			t.Errorf("%s: the refused snapshot changed the state", name)
		}
	}
}
