package policy

import "testing"

// An attempt that is out for longer than any answer without a queue takes speaks of one then, not when its answer comes. Heard only by its
// answers, a queue that grows to seconds is heard seconds late, and the window is as wide as before for as long.
func TestOverdueAttemptsNarrowTheWindow(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(4))
	b.medianAttemptTime, b.limitHeldUntil = 1e6, b.now+60e6 // nothing is taken for hung, and the window is not narrowed to what is in use
	b.concurrencyLimit = 40
	for id := range uint64(40) {
		b.Handle(b.now, &Event{Kind: RequestArrived, ID: id + 1, ClientTimeout: 60e6}, nil)
		b.Handle(b.now, &Event{Kind: BodySent, ID: id + 1}, nil)
	}
	b.Handle(b.now+3*b.settings.Classes[0].LatencyTarget, &Event{Kind: TimerFired, ID: timerRefresh}, nil)
	if b.concurrencyLimit >= 40 {
		t.Errorf("40 attempts are out for three times the aim, and the window is %v", b.concurrencyLimit)
	}
}

// Balancers that start together, before any of them knows what answers take, send no server more than it can hold in time. A flood drives
// servers that slow down when they are crowded to where they stay slow, and is taken for what answers take without a queue.
func TestManyThatStartTogetherFloodNobody(t *testing.T) {
	const balancers, servers, each = 60, 20, 10
	sent := 0
	for seed := range uint64(balancers) {
		set := testSettings()
		set.GroupSize = balancers
		b, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(1e9, &Event{Kind: MembershipFull, Members: testMembers(servers)}, nil)
		for id := range uint64(20) {
			for _, a := range b.Handle(1e9, &Event{Kind: RequestArrived, ID: id, ClientTimeout: 1e6}, nil) {
				if a.Kind == SendAttempt {
					sent++
				}
			}
		}
	}
	if sent > each*servers {
		t.Errorf("%d attempts are out at %d servers before the first answer", sent, servers)
	}
}
