package decide

import "testing"

// An attempt that is out for longer than any answer without a queue takes speaks of one then, not when its answer comes, and speaks once.
// One whose answer has begun, whose client still sends, or whose server is hung, cold or slow by itself, does not.
func TestOverdueAttemptsNarrowTheWindow(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*Balancer, *request)
		narrows bool
	}{
		"queued":          {func(*Balancer, *request) {}, true},
		"answered now":    {func(b *Balancer, r *request) { b.Handle(b.now, &Event{Kind: Begun, ID: r.id}, nil) }, false},
		"cold":            {func(b *Balancer, r *request) { r.tries[0].server.cold = true }, false},
		"slow by itself":  {func(b *Balancer, r *request) { r.tries[0].server.pace = slowFrom }, false},
		"its server hung": {func(b *Balancer, r *request) { r.tries[0].server.stalled = true }, false},
		"still sending":   {func(b *Balancer, r *request) { r.tries[0].slow = true }, false},
	} {
		b := newBalancer(t, settings(), fleet(1))
		b.window = 100
		b.usual = 1e6 // nothing is taken for hung
		b.Handle(b.now, &Event{Kind: Arrival, ID: 1, Patience: 60e6}, nil)
		r := b.open[1]
		c.change(b, r)
		begun, aim := b.now, b.set.Classes[0].Aim
		b.now = begun + aim/2
		if b.overdue(); b.window != 100 {
			t.Errorf("%s: narrowed within the line", name)
		}
		b.now = begun + aim
		b.overdue()
		once := b.window
		b.now += aim
		if b.overdue(); (once < 100) != c.narrows || b.window != once {
			t.Errorf("%s: window %v, then %v", name, once, b.window)
		}
		if c.narrows {
			if b.pace(r, &r.tries[0], &Event{Outcome: OK, Elapsed: b.now - begun}); b.window != once {
				t.Errorf("%s: its answer narrows the window again, to %v", name, b.window)
			}
		}
	}
}
