package policy

import "testing"

// If all servers are slow, at most half of them may be removed from the schedule.
func TestCommonSlownessEjectsFew(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(40))
	b.medianAttemptTime = 10_000
	for id := range uint64(200) {
		b.Handle(b.now+1000, &Event{Kind: RequestArrived, ID: id, ClientTimeout: 5e6}, nil)
	}
	b.advance(2_000_000)
	if n := b.schedule.Len(); n < 20 {
		t.Errorf("%d of 40 servers are left in the schedule", n)
	}
}

// A hung server keeps its connections open, so only its missing responses show that it hangs.
func TestHungServerGetsFewAttempts(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(10))
	for id := range uint64(500) {
		out := b.Handle(b.now+10_000, &Event{Kind: RequestArrived, ID: id, ClientTimeout: 1e9}, nil)
		for _, a := range out {
			if a.Kind == SendAttempt && a.Server != 100 {
				b.Handle(b.now, &Event{Kind: AttemptEnded, ID: id, Server: a.Server, Elapsed: 20_000, Final: true}, nil)
			}
		}
		if id%10 == 0 {
			b.advance(1000)
		}
	}
	if n := b.servers[100].inFlight; n > 3 {
		t.Errorf("the hung server has %d attempts", n)
	}
}

// A server that was unreachable only for a moment has not restarted. If it counted as warming up, a network
// fault that resets some connections of every server would restrict the load of all servers.
func TestBriefUnreachabilityIsNoRestart(t *testing.T) {
	for _, c := range []struct {
		unreachable Time
		warmingUp   bool
	}{{300_000, false}, {1_500_000, true}} {
		b := newBalancer(t, testSettings(), testMembers(1))
		s := b.members[0]
		for _, o := range []Outcome{OK, ConnectFailed, ConnectFailed, OK} {
			if s.ejected {
				s.ejectedUntil = b.now + c.unreachable
				b.advance(c.unreachable)
			}
			s.inFlight++
			b.inFlight++
			b.observeOutcome(s, &attempt{cost: 1}, &Event{Outcome: o, Elapsed: 1000})
		}
		if s.warmingUp != c.warmingUp || s.ejected || s.onProbation {
			t.Errorf("unreachable for %d: warming up %v, ejected %v", c.unreachable, s.warmingUp, s.ejected)
		}
	}
}

// A server whose attempts all time out is ejected after a few time-outs, although each of them frees capacity
// at the server; a response in between resets the count. A server that is removed no longer counts as
// ejected.
func TestServerIsEjectedAfterTimeouts(t *testing.T) {
	for _, responds := range []bool{false, true} {
		b := newBalancer(t, testSettings(), testMembers(10))
		b.medianAttemptTime = 100_000
		s := b.members[0]
		for i := range 2 * maxTimeouts {
			o := TimedOut
			if responds && i%2 == 1 {
				o = OK
			}
			b.inFlight++
			s.inFlight++
			b.observeOutcome(s, &attempt{cost: 1}, &Event{Outcome: o, Elapsed: 600_000})
		}
		if s.ejected == responds {
			t.Errorf("responses in between %v: ejected %v", responds, s.ejected)
		}
		if s.ejected {
			s.mode, s.listed = ModeGone, false
			b.removeGoneServers()
			if b.ejectedOrStalled != 0 || len(b.members) != 9 {
				t.Errorf("%d ejected of %d", b.ejectedOrStalled, len(b.members))
			}
		}
	}
}

// A server whose attempts fail or are reset, without a report that shows it, loses weight, and regains it
// once it serves requests.
func TestFailuresReduceWeight(t *testing.T) {
	for _, outcome := range []Outcome{ErrorResponse, ConnectionReset} {
		b := newBalancer(t, testSettings(), testMembers(1))
		b.advance(refreshPeriod)
		s := b.members[0]
		end := func(o Outcome) {
			for range 20 {
				b.inFlight++
				s.inFlight++
				b.observeOutcome(s, &attempt{cost: 1}, &Event{Outcome: o, Elapsed: 1000})
			}
			b.advance(refreshPeriod)
		}
		before := s.weight
		end(outcome)
		if s.weight > before/5 {
			t.Errorf("outcome %d: weight %v became %v", outcome, before, s.weight)
		}
		end(OK)
		assertNear(t, "weight after it has served", s.weight/before, 1, 0.1)
	}
}

// A server is ejected after failures to connect, gets a single attempt on probation, and enters slow start
// when that attempt succeeds.
func TestUnreachableServerReturnsWithSlowStart(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(1))
	s := b.members[0]
	// A response in between shows that the server is running: an occasional failure to connect is no restart.
	for _, o := range []Outcome{ConnectFailed, OK, ConnectFailed, ErrorResponse} {
		s.inFlight++
		b.inFlight++
		b.observeOutcome(s, &attempt{cost: 1}, &Event{Outcome: o, Elapsed: 1000})
	}
	if b.advance(refreshPeriod); !s.IsQueued() || s.warmingUp {
		t.Fatal("a server that responds is ejected or warming up")
	}
	out := b.Handle(b.now, &Event{Kind: RequestArrived, ID: 1, ClientTimeout: 1e7}, nil)
	for i := range maxConnectFailures {
		if !s.IsQueued() || len(out) == 0 || out[0].Kind != SendAttempt {
			t.Fatalf("after %d failures: %v", i, out)
		}
		out = b.Handle(b.now, &Event{Kind: AttemptEnded, ID: 1, Server: s.id, Attempt: uint8(i), Outcome: ConnectFailed}, nil)
	}
	if s.IsQueued() {
		t.Fatal("still in the schedule after failures to connect")
	}
	b.advance(2_000_000)
	if !s.onProbation || !s.IsQueued() {
		t.Fatal("not on probation after the ejection")
	}
	out = b.Handle(b.now, &Event{Kind: RequestArrived, ID: 2, ClientTimeout: 1e7}, nil)
	if out[0].Kind != SendAttempt || s.IsQueued() {
		t.Fatalf("the probation is not a single attempt: %v", out)
	}
	b.Handle(b.now, &Event{Kind: AttemptEnded, ID: 2, Server: s.id, Elapsed: 1000, Final: true}, nil)
	if s.readySince != b.now || !s.warmingUp {
		t.Error("no slow start after the successful probation")
	}
}

// A server that is both ejected and stalled, in either order, counts once against the bound of mayEject.
func TestEjectedAndStalledServerCountsOnce(t *testing.T) {
	for _, stalledFirst := range []bool{true, false} {
		b := newBalancer(t, testSettings(), testMembers(4))
		s := b.members[0]
		b.requests[1] = b.newRequest(&Event{ID: 1, ClientTimeout: 60e6})
		b.send(b.requests[1], s)
		b.Handle(b.now, &Event{Kind: BodySent, ID: 1}, nil)
		b.medianAttemptTime = 1000
		stall := func() {
			b.now += slowFactor*1000 + 1
			b.examineServer(s)
		}
		if stalledFirst {
			stall()
		}
		b.eject(s, 60e6, 60e6)
		if !stalledFirst {
			stall()
		}
		if !s.stalled || !s.ejected || b.ejectedOrStalled != 1 {
			t.Fatalf("stalled %v, ejected %v, counted %d times", s.stalled, s.ejected, b.ejectedOrStalled)
		}
		b.countEnded(s)
		if s.stalled || b.ejectedOrStalled != 1 {
			t.Errorf("ejected and no longer stalled, but counted %d times", b.ejectedOrStalled)
		}
		b.now = s.ejectedUntil
		b.examineServer(s)
		if b.ejectedOrStalled != 0 {
			t.Errorf("neither ejected nor stalled, but counted %d times", b.ejectedOrStalled)
		}
	}
}
