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
	set := Settings{Classes: []Class{{Aim: 1e6, Deadline: 4e6, Worth: 1}}, Columns: []Column{ColQPS, ColUtil}, ReportVia: ReportsInAnswers,
		Rules: Rules{Cold: 24e6, ColdShare: 0.1, TipMultiple: 3, TipAfter: 1e6}, Tenants: []Tenant{{QuotaPerS: 50}}}
	const start = 1e12
	begin := func(up Time) *Balancer {
		b, err := New(set, 3)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(start, &Event{Kind: ListFull, Members: []Member{{Server: 1, Mode: ModeReady, Size: 1},
			{Server: 2, Mode: ModeReady, Size: 1}, {Server: 3, Mode: ModeReady, Size: 1, UpSince: up}}}, nil)
		return b
	}
	old := begin(start - 5e6)
	now := Time(start)
	for id := range uint64(400) {
		now += 10_000
		old.Handle(now, &Event{Kind: TimerFired, ID: tagRefresh}, nil)
		for _, a := range old.Handle(now, &Event{Kind: Arrival, ID: id + 1, Work: 1000, Patience: 4e6}, nil) {
			if a.Kind == Send {
				old.Handle(now+5000, &Event{Kind: Outcomed, ID: a.ID, Server: a.Server, Outcome: OK, Elapsed: 50_000,
					Report: []float32{float32(id), 0.5}}, nil)
			}
		}
	}
	text, err := json.Marshal(old.Learnt())
	if err != nil {
		t.Fatal(err)
	}
	var l Learnt
	if err := json.Unmarshal(text, &l); err != nil || !reflect.DeepEqual(&l, old.Learnt()) {
		t.Errorf("%v: %s", err, text)
	}
	b := begin(start - 5e6)
	if !b.Adopt(now+5000, &l) {
		t.Fatal("not taken over")
	}
	b.Handle(now+6000, &Event{Kind: TimerFired, ID: tagRefresh}, nil)
	calm, known := b.calm[0].Least()
	if was, _ := old.calm[0].Least(); !known || calm != was || b.window != old.window || b.usual != old.usual || b.servers[1].qps != old.servers[1].qps || !b.servers[3].cold ||
		b.mean.mean == 0 || b.servers[3].readySince != old.servers[3].readySince {
		t.Errorf("%+v became %+v", l, b.Learnt())
	}
	again := begin(start + 1) // server 3 has been started since
	again.Adopt(now+5000, &l)
	if again.servers[3].readySince != start+1 || again.servers[3].mass != 0 {
		t.Error("believed what was learnt of a process that is gone")
	}
	for name, spoil := range map[string]func(*Learnt){
		"no number": func(l *Learnt) { l.Usual = math.NaN() }, "negative": func(l *Learnt) { l.Servers[0].QPS = -1 },
		"endless": func(l *Learnt) { l.Window = math.Inf(1) }, "of tomorrow": func(l *Learnt) { l.At += 1e12 },
		"negative calm": func(l *Learnt) { l.Calm[0] = -1 }, "faults over one": func(l *Learnt) { l.Servers[1].Faults = 7 }, "a far start": func(l *Learnt) { l.Servers[2].Ready += 1e12 },
	} {
		bad := *old.Learnt()
		spoil(&bad)
		c := begin(start - 5e6)
		before := c.Learnt()
		if c.Adopt(now+5000, &bad) {
			t.Errorf("%s: taken over", name)
		}
		if before.At = c.now; !reflect.DeepEqual(before, c.Learnt()) {
			t.Errorf("%s: something was changed", name)
		}
	}
}
