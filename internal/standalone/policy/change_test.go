package policy

import "testing"

// New settings bind what arrives from then on. A request under way ends by the class and the attempts that it came with, and
// what was learnt of servers stays.
func TestChangeBindsNewRequests(t *testing.T) {
	set := Settings{Classes: []Class{{Semantics: Idempotent, LatencyTarget: 1e6, ClientTimeout: 4e6, Value: 1}}, Limits: Limits{MaxAttempts: 3},
		Tenants: []Tenant{{QuotaPerS: 100}}}
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	members := []Member{{Server: 1, Mode: ModeReady, Size: 1}, {Server: 2, Mode: ModeReady, Size: 1}, {Server: 3, Mode: ModeReady, Size: 1}}
	b.Handle(1, &Event{Kind: MembershipFull, Members: members}, nil)
	arrive := func(id uint64) {
		b.Handle(2, &Event{Kind: RequestArrived, ID: id, Work: 1000, ClientTimeout: 4e6}, nil)
	}
	fail := func(id uint64, attempt uint8) (sent bool) {
		at := b.requests[id].attempts[attempt].serverID
		for _, a := range b.Handle(3, &Event{Kind: AttemptEnded, ID: id, Attempt: attempt, Server: at, Outcome: ErrorResponse, Elapsed: 1000}, nil) {
			sent = sent || a.Kind == SendAttempt
		}
		return sent
	}
	arrive(1)
	faults := b.servers[b.requests[1].attempts[0].serverID].failureRate
	next := set
	next.Classes = []Class{{Semantics: NonIdempotent, LatencyTarget: 1e6, ClientTimeout: 4e6, Value: 1}, {Semantics: Idempotent, LatencyTarget: 1e6, ClientTimeout: 4e6, Value: 1}}
	next.Limits.MaxAttempts, next.Tenants = 1, []Tenant{{QuotaPerS: 10}, {QuotaPerS: 20}}
	if err := b.ApplySettings(Settings{}); err == nil {
		t.Fatal("settings without classes were taken")
	}
	if err := b.ApplySettings(next); err != nil {
		t.Fatal(err)
	}
	arrive(2)
	b.Handle(2, &Event{Kind: RequestArrived, ID: 3, Class: 1, Tenant: 1, Work: 1000, ClientTimeout: 4e6}, nil)
	if len(b.servers) != 3 || b.servers[1].failureRate != faults {
		t.Error("what was learnt of servers is lost")
	}
	if !fail(1, 0) || !fail(1, 1) || fail(1, 2) {
		t.Error("the request under way did not get the attempts that it came with")
	}
	if fail(2, 0) {
		t.Error("a request of a class that must not run twice was sent again")
	}
	if b.requests[3] == nil || fail(3, 0) {
		t.Error("the new class has not the one attempt that the new settings allow")
	}
}
