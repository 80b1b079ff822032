package policy

import "testing"

// A cold server is slow by itself: its answers say nothing of a queue. Taken for one, they narrowed the window while a release
// went on until more was refused than sent, and clients that asked again kept it so.
func TestColdServersDoNotNarrowTheWindow(t *testing.T) {
	for _, c := range []struct{ cold, narrows bool }{{true, false}, {false, true}} {
		b, err := New(Settings{Classes: []Class{{LatencyTarget: 1e6, ClientTimeout: 4e6}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.concurrencyLimit = 20
		s := &server{relativeLatency: 1, warmingUp: c.cold}
		for _, o := range []Outcome{OK, Rejected, TimedOut} {
			before := b.concurrencyLimit
			b.adjustLimit(&request{class: &b.settings.Classes[0]}, &attempt{server: s}, &Event{Outcome: o, Elapsed: 900_000})
			if (b.concurrencyLimit < before) != c.narrows {
				t.Errorf("cold %v, outcome %d: the window went from %v to %v", c.cold, o, before, b.concurrencyLimit)
			}
		}
	}
}

// Where every server is drained or taken out, a request is refused at once, with a time to return; before the first list it waits.
func TestAllOutRefusesAtOnce(t *testing.T) {
	for _, c := range []struct {
		mode Mode
		want ActionKind
	}{{ModeDraining, RejectRequest}, {ModeGone, 0}, {ModeReady, SendAttempt}} {
		b, err := New(Settings{Classes: []Class{{LatencyTarget: 1e6, ClientTimeout: 4e6}}, Limits: Limits{MaxRetryAfter: 1e6}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(1, &Event{Kind: MembershipFull, Members: []Member{{Server: 1, Mode: c.mode, Size: 1}, {Server: 2, Mode: c.mode, Size: 1}}}, nil)
		var got Action
		for _, a := range b.Handle(2, &Event{Kind: RequestArrived, ID: 1, Work: 1000, ClientTimeout: 4e6}, nil) {
			if a.Kind != SetTimer {
				got = a
			}
		}
		if got.Kind != c.want || got.Kind == RejectRequest && got.After <= 0 {
			t.Errorf("mode %d: %+v", c.mode, got)
		}
	}
}
