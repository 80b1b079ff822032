package policy

import "testing"

// Requests whose clients are still sending are with no server: they leave the window to others, make no server seem silent, and count
// from their last byte on. Their servers are kept until they have ended.
func TestSlowRequestsLeaveTheWindow(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(3))
	b.medianAttemptTime, b.concurrencyLimit = 100_000, 5
	arrive := func(id uint64, slow bool) Action {
		for _, a := range b.Handle(b.now, &Event{Kind: RequestArrived, ID: id, ClientTimeout: 4e6, BodyPending: slow}, nil) {
			if a.Kind == SendAttempt || a.Kind == RejectRequest {
				return a
			}
		}
		return Action{}
	}
	sent := map[uint64]uint32{}
	for id := range uint64(20) {
		a := arrive(id+1, true)
		if a.Kind != SendAttempt {
			t.Fatalf("slow request %d: %+v", id+1, a)
		}
		sent[id+1] = a.Server
	}
	if b.inFlight != 0 {
		t.Fatalf("%d slow requests fill the window", b.inFlight)
	}
	b.now += slowFactor*100_000 + 1_000_000
	b.refresh()
	if n := b.EjectedServers(); n != 0 {
		t.Errorf("%d servers are taken for silent while clients send", n)
	}
	if a := arrive(100, false); a.Kind != SendAttempt {
		t.Errorf("a quick request beside slow ones: %+v", a)
	}
	for id := range uint64(4) {
		b.Handle(b.now, &Event{Kind: BodySent, ID: id + 1}, nil)
		b.Handle(b.now, &Event{Kind: BodySent, ID: id + 1}, nil) // told twice it counts once
	}
	if b.inFlight != 5 {
		t.Errorf("%d out, want 5", b.inFlight)
	}
	if a := arrive(101, false); a.Kind == SendAttempt {
		t.Error("a request past the window was sent")
	}
	b.Handle(b.now, &Event{Kind: RequestAbandoned, ID: 101}, nil)
	for _, s := range b.members { // all go while clients still send
		b.Handle(b.now, &Event{Kind: MembershipDelta, Members: []Member{{Server: s.id, Mode: ModeGone}}}, nil)
	}
	b.refresh()
	for id, server := range sent {
		b.Handle(b.now, &Event{Kind: AttemptEnded, ID: id, Server: server, Outcome: ConnectFailed, Final: true}, nil)
		b.Handle(b.now, &Event{Kind: BodySent, ID: id}, nil)
	}
	b.Handle(b.now, &Event{Kind: RequestAbandoned, ID: 100}, nil)
	for _, s := range b.members {
		if s.inFlight == 1 && s.uploading == 0 { // request 100's, which was called off and has not ended
			b.observeOutcome(s, &attempt{server: s, cost: 1}, &Event{Outcome: Cancelled})
		}
	}
	b.refresh()
	if b.inFlight != 0 || b.ejected != 0 || len(b.members) != 0 {
		t.Errorf("left over: %d out, %d left out, %d servers", b.inFlight, b.ejected, len(b.members))
	}
}
