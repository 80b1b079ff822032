package policy

import "testing"

// A cold server is slow by itself: its answers say nothing of a queue. Taken for one, they narrowed the window while a release
// went on until more was refused than sent, and clients that asked again kept it so.
func TestColdServersDoNotNarrowTheWindow(t *testing.T) {
	for _, c := range []struct{ cold, narrows bool }{{true, false}, {false, true}} {
		b, err := New(Settings{Classes: []Class{{Aim: 1e6, Deadline: 4e6}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.window = 20
		s := &server{pace: 1, cold: c.cold}
		for _, o := range []Outcome{OK, Full, TimedOut} {
			before := b.window
			b.pace(&request{class: &b.set.Classes[0]}, &attempt{server: s}, &Event{Outcome: o, Elapsed: 900_000})
			if (b.window < before) != c.narrows {
				t.Errorf("cold %v, outcome %d: the window went from %v to %v", c.cold, o, before, b.window)
			}
		}
	}
}

// Where every server is drained or taken out, a request is refused at once, with a time to return; before the first list it waits.
func TestAllOutRefusesAtOnce(t *testing.T) {
	for _, c := range []struct {
		mode Mode
		want ActionKind
	}{{ModeDraining, Refuse}, {ModeGone, 0}, {ModeReady, Send}} {
		b, err := New(Settings{Classes: []Class{{Aim: 1e6, Deadline: 4e6}}, Limits: Limits{MaxRetryAfter: 1e6}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(1, &Event{Kind: ListFull, Members: []Member{{Server: 1, Mode: c.mode, Size: 1}, {Server: 2, Mode: c.mode, Size: 1}}}, nil)
		var got Action
		for _, a := range b.Handle(2, &Event{Kind: Arrival, ID: 1, Work: 1000, Patience: 4e6}, nil) {
			if a.Kind != SetTimer {
				got = a
			}
		}
		if got.Kind != c.want || got.Kind == Refuse && got.After <= 0 {
			t.Errorf("mode %d: %+v", c.mode, got)
		}
	}
}
