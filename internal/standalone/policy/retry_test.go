package policy

import (
	"fmt"
	"testing"
)

// earlierAttempt is the outcome of an earlier attempt of a request.
type earlierAttempt struct {
	name              string
	outcome           Outcome
	inFlight          bool // no outcome yet
	provenNotExecuted bool
}

// retryCase is a request with one earlier attempt.
type retryCase struct {
	earlier   earlierAttempt
	semantics Semantics
	scope     DedupScope
	age       Time // of the earlier attempt
	hedging   bool // hedging is allowed
}

const testDedupWindow = 4_000_000

func (c *retryCase) String() string {
	return fmt.Sprintf("%s, semantics %d, scope %d, age %d of %d, hedging %v", c.earlier.name, c.semantics, c.scope, c.age,
		testDedupWindow, c.hedging)
}

// mayRetryOn reports whether another attempt is allowed on the server with this index in retryMembers.
func (c *retryCase) mayRetryOn(server int) bool {
	switch {
	case c.earlier.inFlight && !c.hedging:
		return false
	case c.earlier.provenNotExecuted || c.semantics == Idempotent:
		return true
	case c.semantics == NonIdempotent, c.age >= testDedupWindow:
		return false
	}
	return c.scope == DedupEverywhere || c.scope == DedupPerZone && server <= 2 || c.scope == DedupPerCell && server <= 1
}

// mayReject reports whether the request may be rejected, which promises the client that a retry is safe.
func (c *retryCase) mayReject() bool {
	return c.earlier.provenNotExecuted || c.semantics == Idempotent ||
		c.semantics == Deduplicated && c.scope == DedupEverywhere
}

func retryMembers() []Member {
	return []Member{
		{Server: 1, Zone: 0, Cell: 0, Mode: ModeReady}, // server of the earlier attempt
		{Server: 2, Zone: 0, Cell: 0, Mode: ModeReady}, // same zone and cell
		{Server: 3, Zone: 0, Cell: 1, Mode: ModeReady}, // same zone
		{Server: 4, Zone: 1, Cell: 2, Mode: ModeReady}, // elsewhere
	}
}

// A request is executed again only if its class allows it: all outcomes of an earlier attempt, combined with
// semantics, scope, age of the attempt and whether hedging is allowed.
func TestRetriesKeepExecutionSemantics(t *testing.T) {
	const window = testDedupWindow
	for _, earlier := range []earlierAttempt{
		{"served", OK, false, false}, {"error", ErrorResponse, false, false}, {"rejected", Rejected, false, true},
		{"timeout", TimedOut, false, false}, {"no connection", ConnectFailed, false, true},
		{"reset", ConnectionReset, false, false}, {"cancelled", Canceled, false, false},
		{"not sent", NotSent, false, true}, {"in flight", 0, true, false},
	} {
		for _, semantics := range []Semantics{Idempotent, Deduplicated, NonIdempotent} {
			for _, scope := range []DedupScope{DedupEverywhere, DedupPerZone, DedupPerCell} {
				for _, age := range []Time{0, window - 1, window, window + 1, window / 2} {
					for _, hedging := range []bool{false, true} {
						c := retryCase{earlier, semantics, scope, age, hedging}
						c.check(t)
					}
				}
			}
		}
	}
}

func (c *retryCase) check(t *testing.T) {
	t.Helper()
	settings := testSettings()
	settings.Classes = []Class{{Semantics: c.semantics, DedupScope: c.scope, DedupWindow: testDedupWindow,
		LatencyTarget: 1e9, ClientTimeout: 1e12}}
	settings.Limits.AllowHedging = c.hedging
	b := newBalancer(t, settings, retryMembers())
	r := &request{class: &b.settings.Classes[0], deadline: b.now + 1e12, cost: 1, maxAttempts: 9}
	r.attempts = []attempt{{server: b.members[0], serverID: 1, inFlight: c.earlier.inFlight, sentAt: b.now,
		mayHaveExecuted: !c.earlier.provenNotExecuted}}
	if c.earlier.inFlight {
		r.inFlight = 1
	}
	b.now += c.age
	for i, s := range b.members {
		got, want := b.mayAttemptOn(r, s), c.mayRetryOn(i)
		if got && !want {
			t.Errorf("%s: sent to server %d", c, s.id)
		}
		if !got && want && c.age <= testDedupWindow/2 {
			t.Errorf("%s: not sent to server %d", c, s.id)
		}
	}
	if got := r.mayReject(); got != c.mayReject() {
		t.Errorf("%s: may be rejected is %v", c, got)
	}
	if !c.earlier.inFlight && c.earlier.outcome != OK {
		c.checkFinalResponse(t, b)
	}
}

// checkFinalResponse checks the response to a request whose only attempt ends with the outcome after the
// deadline.
func (c *retryCase) checkFinalResponse(t *testing.T, b *Balancer) {
	t.Helper()
	s := b.members[0]
	r := &request{id: 9, class: &b.settings.Classes[0], deadline: b.now, cost: 1, inFlight: 1}
	r.attempts = []attempt{{server: s, serverID: 1, inFlight: true, sentAt: b.now, mayHaveExecuted: true}}
	s.inFlight, b.inFlight = 1, 1
	b.requests[9] = r
	ended := Event{Kind: AttemptEnded, ID: 9, Server: 1, Outcome: c.earlier.outcome}
	actions := b.Handle(b.now, &ended, nil)
	if len(actions) != 1 || (actions[0].Kind == RejectRequest) != c.mayReject() ||
		actions[0].Kind != RejectRequest && actions[0].Kind != FailRequest {
		t.Errorf("%s: the response after the deadline is %v", c, actions)
	}
}

// A request that has less time left than an attempt takes is not sent to a server, neither on arrival nor as
// a retry.
func TestRequestsThatLackTimeAreNotSent(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(3))
	b.medianAttemptTime = 100_000
	actions := b.Handle(b.now, &Event{Kind: RequestArrived, ID: 1, ClientTimeout: 60_000}, nil)
	if len(actions) != 1 || actions[0].Kind != RejectRequest {
		t.Errorf("with 60 ms left: %v", actions)
	}
	actions = b.Handle(b.now, &Event{Kind: RequestArrived, ID: 2, ClientTimeout: 200_000}, nil)
	if len(actions) != 1 || actions[0].Kind != SendAttempt {
		t.Fatalf("with 200 ms left: %v", actions)
	}
	failed := Event{Kind: AttemptEnded, ID: 2, Server: actions[0].Server, Outcome: ErrorResponse}
	actions = b.Handle(b.now+150_000, &failed, nil)
	if len(actions) != 1 || actions[0].Kind != RejectRequest {
		t.Errorf("a retry with 50 ms left: %v", actions)
	}
}
