package policy

import "testing"

// A queued request is rejected before its deadline if no server becomes available.
func TestQueuedRequestIsRejectedBeforeDeadline(t *testing.T) {
	b := newBalancer(t, testSettings(), nil)
	out := b.Handle(b.now, &Event{Kind: RequestArrived, ID: 1, ClientTimeout: 400_000}, nil)
	deadline := b.now + 400_000
	for b.now < deadline {
		for _, a := range out {
			if a.Kind == RejectRequest && a.ID == 1 {
				return
			}
		}
		out = b.Handle(b.now+5_000, &Event{Kind: TimerFired, ID: timerQueue}, nil)
	}
	t.Error("not rejected before the deadline")
}

// A request that no server can take is rejected while its client has half of its time left, also if the
// latency target equals the client time-out.
func TestQueuedAtMostHalfOfClientTimeout(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LatencyTarget = settings.Classes[0].ClientTimeout
	b := newBalancer(t, settings, nil)
	b.Handle(b.now, &Event{Kind: RequestArrived, ID: 1, ClientTimeout: 2_000_000}, nil)
	for start := b.now; ; {
		for _, a := range b.Handle(b.now+queueCheckPeriod, &Event{Kind: TimerFired, ID: timerQueue}, nil) {
			if a.Kind == RejectRequest {
				if took := b.now - start; took > 1_000_000 || took < 500_000 {
					t.Errorf("rejected after %d", took)
				}
				return
			}
		}
		if b.now-start > 2_000_000 {
			t.Fatal("not rejected")
		}
	}
}

// If every server is draining or gone, a request is rejected at once, with a Retry-After; before the first
// membership it is queued.
func TestRejectsAtOnceWithoutReadyServers(t *testing.T) {
	for _, c := range []struct {
		mode Mode
		want ActionKind
	}{{ModeDraining, RejectRequest}, {ModeGone, 0}, {ModeReady, SendAttempt}} {
		classes := []Class{{LatencyTarget: 1e6, ClientTimeout: 4e6}}
		b, err := New(Settings{Classes: classes, Limits: Limits{MaxRetryAfter: 1e6}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		members := []Member{{Server: 1, Mode: c.mode, Size: 1}, {Server: 2, Mode: c.mode, Size: 1}}
		b.Handle(1, &Event{Kind: MembershipFull, Members: members}, nil)
		var got Action
		for _, a := range b.Handle(2, &Event{Kind: RequestArrived, ID: 1, Work: 1000, ClientTimeout: 4e6}, nil) {
			if a.Kind != SetTimer {
				got = a
			}
		}
		if got.Kind != c.want || got.Kind == RejectRequest && got.After <= 0 {
			t.Errorf("servers with mode %d: action %+v", c.mode, got)
		}
	}
}

// When there is no capacity for all requests, requests within a tenant's quota have priority over requests
// beyond another tenant's quota.
func TestRequestsOverQuotaHaveLowerPriority(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{QuotaPerS: 20}, {QuotaPerS: 20}}
	settings.OverQuotaValue = 0.1
	b := newBalancer(t, settings, testMembers(2))
	b.advance(1_000_000)
	b.concurrencyLimit = 1
	id := uint64(0)
	arrive := func(tenant uint32) {
		id++
		b.Handle(b.now, &Event{Kind: RequestArrived, ID: id, Tenant: tenant, ClientTimeout: 2e6}, nil)
	}
	for range 60 {
		arrive(0) // three times its quota of one second
	}
	arrive(1)
	last := b.queue[len(b.queue)-1]
	if worst := b.queue[len(b.queue)-2]; last.priority <= worst.priority {
		t.Errorf("a request within quota has priority %v, one beyond %v", last.priority, worst.priority)
	}
}

// The Retry-After of rejected clients is at most MaxRetryAfter, grows with the queue, and is randomized.
func TestRetryAfterGrowsWithQueue(t *testing.T) {
	settings := testSettings()
	settings.Limits.MaxRetryAfter = 2_500_000
	b := newBalancer(t, settings, nil)
	b.medianAttemptTime, b.concurrencyLimit = 200_000, 10
	idle, distinct := Time(0), map[Time]bool{}
	for range 100 {
		after := b.retryAfter()
		if after < 100_000 || after > 300_000 {
			t.Errorf("Retry-After %d with an empty queue", after)
		}
		idle += after
		distinct[after] = true
	}
	if len(distinct) < 90 {
		t.Errorf("only %d different values", len(distinct))
	}
	b.queue = make([]*request, 20)
	loaded := Time(0)
	for range 100 {
		loaded += b.retryAfter()
	}
	if loaded < 2*idle {
		t.Errorf("%d with a queue, %d without", loaded, idle)
	}
	b.queue = make([]*request, 1e6)
	if after := b.retryAfter(); after != settings.Limits.MaxRetryAfter {
		t.Errorf("Retry-After %d, want the limit", after)
	}
	b.settings.Limits.MaxRetryAfter = 0
	if after := b.retryAfter(); after != 0 {
		t.Errorf("Retry-After %d where none is allowed", after)
	}
}
