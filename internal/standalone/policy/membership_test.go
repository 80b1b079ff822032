package policy

import "testing"

// Servers that are draining or gone get no requests from the moment at which discovery says so.
func TestDrainingServersGetNoRequests(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(3))
	b.Handle(b.now, &Event{Kind: MembershipDelta, Members: []Member{{Server: 100, Mode: ModeDraining},
		{Server: 101, Mode: ModeGone}}}, nil)
	for id := range uint64(20) {
		actions := b.Handle(b.now, &Event{Kind: RequestArrived, ID: id, ClientTimeout: 1e6}, nil)
		if len(actions) == 0 || actions[0].Kind != SendAttempt || actions[0].Server != 102 {
			t.Fatalf("request %d was not sent to the only ready server: %v", id, actions)
		}
	}
}
