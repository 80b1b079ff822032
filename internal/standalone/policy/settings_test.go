package policy

import "testing"

func TestNew_RefusesInvalidSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no classes":       func(s *Settings) { s.Classes = nil },
		"initial capacity": func(s *Settings) { s.Rules.InitialCapacity = 1.5 },
		"negative time":    func(s *Settings) { s.Rules.WarmupTime = -1 },
		"negative count":   func(s *Settings) { s.GroupSize = -1 },
		"class semantics":  func(s *Settings) { s.Classes[0].Semantics = 9 },
		"negative factor":  func(s *Settings) { s.Rules.OverloadFactor = -1 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := New(Settings{Classes: []Class{{}}}, 1); err != nil {
		t.Errorf("minimal settings: %v", err)
	}
}

// New settings apply to requests that arrive afterwards. An open request keeps its class and number of
// attempts, and the learned state of servers stays.
func TestApplySettings_AffectsNewRequests(t *testing.T) {
	idempotent := Class{Semantics: Idempotent, LatencyTarget: 1e6, ClientTimeout: 4e6, Value: 1}
	nonIdempotent := Class{Semantics: NonIdempotent, LatencyTarget: 1e6, ClientTimeout: 4e6, Value: 1}
	settings := Settings{Classes: []Class{idempotent}, Limits: Limits{MaxAttempts: 3}, Tenants: []Tenant{{QuotaPerS: 100}}}
	b, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(1, &Event{Kind: MembershipFull, Members: testMembers(3)}, nil)
	arrive := func(id uint64) {
		b.Handle(2, &Event{Kind: RequestArrived, ID: id, Work: 1000, ClientTimeout: 4e6}, nil)
	}
	fail := func(id uint64, attempt uint8) (sent bool) {
		server := b.requests[id].attempts[attempt].serverID
		ended := Event{Kind: AttemptEnded, ID: id, Attempt: attempt, Server: server, Outcome: ErrorResponse, Elapsed: 1000}
		for _, a := range b.Handle(3, &ended, nil) {
			sent = sent || a.Kind == SendAttempt
		}
		return sent
	}
	arrive(1)
	const failureRate = 0.25
	server := b.servers[b.requests[1].attempts[0].serverID]
	server.failureRate = failureRate
	next := settings
	next.Classes = []Class{nonIdempotent, idempotent}
	next.Limits.MaxAttempts, next.Tenants = 1, []Tenant{{QuotaPerS: 10}, {QuotaPerS: 20}}
	if err := b.ApplySettings(Settings{}); err == nil {
		t.Fatal("settings without classes were accepted")
	}
	if err := b.ApplySettings(next); err != nil {
		t.Fatal(err)
	}
	arrive(2)
	b.Handle(2, &Event{Kind: RequestArrived, ID: 3, Class: 1, Tenant: 1, Work: 1000, ClientTimeout: 4e6}, nil)
	if len(b.servers) != 3 || b.servers[server.id] != server || server.failureRate != failureRate {
		t.Error("the learned state of servers is lost")
	}
	if !fail(1, 0) || !fail(1, 1) || fail(1, 2) {
		t.Error("the open request did not get the attempts of its settings")
	}
	if fail(2, 0) {
		t.Error("a non-idempotent request was sent again")
	}
	if b.requests[3] == nil || fail(3, 0) {
		t.Error("a request of the new class did not get exactly the one attempt of the new settings")
	}
}
