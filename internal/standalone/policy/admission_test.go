package policy

import (
	"slices"
	"testing"
)

// A queue at the servers must lower the limit before responses are late: the limit decreases when three in
// ten responses take over half of the latency target, and stays when one in ten does.
func TestLimitDecreasesBeforeResponsesAreLate(t *testing.T) {
	for _, c := range []struct {
		slow      int // of ten responses
		decreases bool
	}{{1, false}, {3, true}} {
		b := newBalancer(t, testSettings(), testMembers(1))
		s := b.members[0]
		for i := range 300 { // the first hundred give the unloaded latency
			if i == 100 {
				b.concurrencyLimit = 50
			}
			ev := Event{Outcome: OK, Elapsed: 10_000}
			if i >= 100 && i%10 < c.slow {
				ev.Elapsed = 270_000 // of 500_000
			}
			b.inFlight = int(b.concurrencyLimit)
			b.adjustLimit(&request{class: &b.settings.Classes[0]}, &attempt{server: s}, &ev)
		}
		if decreases := b.concurrencyLimit < 50; decreases != c.decreases {
			t.Errorf("%d of 10 responses slow: limit %v, started at 50", c.slow, b.concurrencyLimit)
		}
	}
}

// Guards against taking a high unloaded latency for congestion: where responses take most of the latency
// target without any queue, because of processing or of waits for other services, the limit once decreased
// until idle servers rejected 94% of the requests. The result must not depend on the time scale. A queue on
// top of the unloaded latency, and any response past the target, must still lower the limit. Without
// congestion the limit follows the load within 200 responses, starting at 10 as after a start: it once took
// six seconds, in which half of the requests were rejected.
func TestHighUnloadedLatencyIsNotCongestion(t *testing.T) {
	for _, scale := range []float64{0.25, 1, 4} {
		for _, c := range []struct {
			unloaded, queueing float64 // in latency targets
			decreases          bool
		}{{0.1, 0, false}, {0.55, 0, false}, {0.7, 0, false}, {0.1, 0.5, true}, {0.45, 0.6, true}, {1.1, 0, true}} {
			settings := testSettings()
			settings.Classes[0].LatencyTarget = Time(500_000 * scale)
			b := newBalancer(t, settings, testMembers(1))
			for i := range 400 {
				took := c.unloaded * (0.8 + 0.2*float64(i%4)/3)
				if i == 200 {
					b.concurrencyLimit = 10
				} else if i > 200 {
					took += c.queueing
				}
				b.now += 10_000
				b.inFlight = int(b.concurrencyLimit)
				b.adjustLimit(&request{class: &b.settings.Classes[0]}, &attempt{server: b.members[0], cost: 1},
					&Event{Outcome: OK, Elapsed: Time(took * float64(settings.Classes[0].LatencyTarget))})
			}
			if c.decreases && b.concurrencyLimit >= 10 || !c.decreases && b.concurrencyLimit < 100 {
				t.Errorf("scale %v, unloaded %v and queueing %v of the target: limit %.0f", scale, c.unloaded, c.queueing,
					b.concurrencyLimit)
			}
		}
	}
}

// A warming-up server is slow itself, so its responses are no congestion signals. When they counted as
// signals, they decreased the limit during a release until more requests were rejected than sent, and client
// retries kept it low.
func TestWarmingUpServersDoNotDecreaseLimit(t *testing.T) {
	for _, c := range []struct{ warmingUp, decreases bool }{{true, false}, {false, true}} {
		b, err := New(Settings{Classes: []Class{{LatencyTarget: 1e6, ClientTimeout: 4e6}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.concurrencyLimit = 20
		s := &server{relativeLatency: 1, warmingUp: c.warmingUp}
		for _, o := range []Outcome{OK, Rejected, TimedOut} {
			before := b.concurrencyLimit
			ended := Event{Outcome: o, Elapsed: 900_000}
			b.adjustLimit(&request{class: &b.settings.Classes[0]}, &attempt{server: s}, &ended)
			if (b.concurrencyLimit < before) != c.decreases {
				t.Errorf("warming up %v, outcome %d: the limit changed from %v to %v", c.warmingUp, o, before, b.concurrencyLimit)
			}
		}
	}
}

// Attempts that time out early because their clients had little time left are no congestion signals and say
// nothing about the server; time-outs after a long time are signals.
func TestEarlyClientTimeoutsDoNotSignalCongestion(t *testing.T) {
	for _, c := range []struct {
		elapsed  Time
		isSignal bool
	}{{40_000, false}, {450_000, true}} {
		b := newBalancer(t, testSettings(), testMembers(10))
		b.medianAttemptTime, b.concurrencyLimit = 100_000, 50
		for id := range uint64(30) {
			out := b.Handle(b.now+1_000, &Event{Kind: RequestArrived, ID: id, ClientTimeout: c.elapsed}, nil)
			b.Handle(b.now+c.elapsed, &Event{Kind: AttemptEnded, ID: id, Server: out[0].Server, Outcome: TimedOut,
				Elapsed: c.elapsed}, nil)
		}
		slow := 0
		for _, s := range b.members {
			if s.relativeLatency > 1 {
				slow++
			}
		}
		if (b.concurrencyLimit < 50) != c.isSignal || (b.medianAttemptTime != 100_000) != c.isSignal ||
			(slow > 0) != c.isSignal {
			t.Errorf("after timeouts of %d: limit %v, median %v, %d slow servers", c.elapsed, b.concurrencyLimit,
				b.medianAttemptTime, slow)
		}
	}
}

// servedRun runs one balancer whose attempts are all served after attemptTime. Time advances only in step.
type servedRun struct {
	balancer    *Balancer
	now         Time
	attemptTime Time
	inFlight    []servedAttempt
	timers      []checkedTimer
	served      int
}

// servedAttempt is an attempt in flight, which is served at the time at.
type servedAttempt struct {
	at, elapsed Time
	id          uint64
	server      uint32
}

// handle passes an event to the balancer, starts its attempts and sets its timers.
func (r *servedRun) handle(ev Event) {
	for _, a := range r.balancer.Handle(r.now, &ev, nil) {
		switch a.Kind {
		case SendAttempt:
			r.inFlight = append(r.inFlight, servedAttempt{r.now + r.attemptTime, r.attemptTime, a.ID, a.Server})
		case SetTimer:
			r.timers = append(r.timers, checkedTimer{a.ID, r.now + a.After})
		}
	}
}

// step advances the clock, fires the timers that are due and then ends the attempts that are due.
func (r *servedRun) step(d Time) {
	r.now += d
	for i := 0; i < len(r.timers); {
		timer := r.timers[i]
		if timer.at > r.now {
			i++
			continue
		}
		r.timers = slices.Delete(r.timers, i, i+1)
		r.handle(Event{Kind: TimerFired, ID: timer.id})
	}
	for i := 0; i < len(r.inFlight); {
		a := r.inFlight[i]
		if a.at > r.now {
			i++
			continue
		}
		r.inFlight = slices.Delete(r.inFlight, i, i+1)
		r.served++
		r.handle(Event{Kind: AttemptEnded, ID: a.id, Server: a.server, Outcome: OK, Elapsed: a.elapsed, Final: true})
	}
}

// One of 400 balancers shares 90 servers that each process a few requests at a time: one attempt in flight
// from each balancer is more than the servers can take. While every response signals congestion, the balancer
// must have far less than one attempt in flight on average; once none does, it must send all requests that
// arrive.
func TestLimitFallsBelowOneAttempt(t *testing.T) {
	const stepTime = 5000
	settings := testSettings()
	settings.GroupSize = 400
	b, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	run := &servedRun{balancer: b, now: 1_000_000_000, attemptTime: 600_000} // the latency target is 500,000
	run.handle(Event{Kind: MembershipFull, Members: testMembers(90)})
	id := uint64(0)
	serveFor := func(d Time) (meanInFlight float64) { // at 20 requests per second
		inFlightSum := 0
		for end := run.now + d; run.now < end; run.step(stepTime) {
			if run.now%50_000 == 0 {
				id++
				run.handle(Event{Kind: RequestArrived, ID: id, ClientTimeout: 2_000_000})
			}
			inFlightSum += len(run.inFlight)
		}
		return float64(inFlightSum) / float64(d/stepTime)
	}
	serveFor(20e6)
	if mean := serveFor(20e6); mean > 0.5 {
		t.Errorf("%.2f attempts in flight on average while all responses signal congestion", mean)
	}
	run.attemptTime = 20_000
	serveFor(20e6)
	run.served = 0
	serveFor(20e6)
	if run.served < 300 {
		t.Errorf("%d of 400 served without congestion", run.served)
	}
}

// arrive sends the balancer a request and returns its SendAttempt or RejectRequest; the zero Action if the
// request is queued.
func (b *Balancer) arrive(id uint64, bodyPending bool) Action {
	arrived := Event{Kind: RequestArrived, ID: id, ClientTimeout: 4e6, BodyPending: bodyPending}
	for _, a := range b.Handle(b.now, &arrived, nil) {
		if a.Kind == SendAttempt || a.Kind == RejectRequest {
			return a
		}
	}
	return Action{}
}

const pendingBodies = 20

// newBalancerWithPendingBodies returns a balancer with a limit of 5 and three servers that has sent the
// requests 1 to pendingBodies while their clients still send the bodies, and the server of each request.
func newBalancerWithPendingBodies(t *testing.T) (b *Balancer, servers map[uint64]uint32) {
	t.Helper()
	b = newBalancer(t, testSettings(), testMembers(3))
	b.medianAttemptTime, b.concurrencyLimit = 100_000, 5
	servers = map[uint64]uint32{}
	for id := uint64(1); id <= pendingBodies; id++ {
		a := b.arrive(id, true)
		if a.Kind != SendAttempt {
			t.Fatalf("request %d with a pending body: %+v", id, a)
		}
		servers[id] = a.Server
	}
	return b, servers
}

// Requests whose clients are still sending the body are not at a server yet: they do not count against the
// limit and must not make a server look stalled.
func TestPendingBodiesDoNotCountAgainstLimit(t *testing.T) {
	b, _ := newBalancerWithPendingBodies(t)
	if b.inFlight != 0 {
		t.Fatalf("%d requests with pending bodies count against the limit", b.inFlight)
	}
	b.now += slowFactor*100_000 + 1_000_000
	b.refresh()
	if n := b.EjectedServers(); n != 0 {
		t.Errorf("%d servers count as stalled while clients send bodies", n)
	}
	if a := b.arrive(100, false); a.Kind != SendAttempt {
		t.Errorf("a request while others have pending bodies: %+v", a)
	}
}

// Requests count against the limit once, from the last byte of their bodies on, even if their clients took so
// long that a server with an attempt in flight would count as stalled.
func TestBodySentCountsAgainstLimit(t *testing.T) {
	b, _ := newBalancerWithPendingBodies(t)
	b.now += slowFactor*100_000 + 1_000_000
	b.refresh()
	if a := b.arrive(100, false); a.Kind != SendAttempt {
		t.Errorf("a request while others have pending bodies: %+v", a)
	}
	for id := uint64(1); id <= 4; id++ {
		b.Handle(b.now, &Event{Kind: BodySent, ID: id}, nil)
		b.Handle(b.now, &Event{Kind: BodySent, ID: id}, nil) // a repeated event counts once
	}
	if b.inFlight != 5 {
		t.Errorf("%d in flight, want 5", b.inFlight)
	}
	if a := b.arrive(101, false); a.Kind == SendAttempt {
		t.Error("a request over the limit was sent")
	}
}

// A server that is gone is kept while its only attempts have pending bodies.
func TestGoneServersAreKeptWhileAllBodiesArePending(t *testing.T) {
	b, _ := newBalancerWithPendingBodies(t)
	for _, s := range b.members {
		b.Handle(b.now, &Event{Kind: MembershipDelta, Members: []Member{{Server: s.id, Mode: ModeGone}}}, nil)
	}
	b.refresh()
	if len(b.members) != 3 {
		t.Errorf("%d servers are left while clients send bodies", len(b.members))
	}
}

// Servers that are gone are kept until the attempts with pending bodies have ended; then servers and counts
// are removed completely.
func TestGoneServersAreRemovedAfterPendingBodies(t *testing.T) {
	b, servers := newBalancerWithPendingBodies(t)
	b.now += slowFactor*100_000 + 1_000_000
	b.refresh()
	if a := b.arrive(100, false); a.Kind != SendAttempt {
		t.Errorf("a request while others have pending bodies: %+v", a)
	}
	for id := uint64(1); id <= 4; id++ {
		b.Handle(b.now, &Event{Kind: BodySent, ID: id}, nil)
		b.Handle(b.now, &Event{Kind: BodySent, ID: id}, nil)
	}
	if a := b.arrive(101, false); b.inFlight != 5 || a.Kind == SendAttempt {
		t.Errorf("a request over the limit, with %d in flight: %+v", b.inFlight, a)
	}
	b.Handle(b.now, &Event{Kind: RequestAbandoned, ID: 101}, nil)
	for _, s := range b.members {
		b.Handle(b.now, &Event{Kind: MembershipDelta, Members: []Member{{Server: s.id, Mode: ModeGone}}}, nil)
	}
	b.refresh()
	if len(b.members) != 3 {
		t.Errorf("%d servers are left while clients send bodies", len(b.members))
	}
	for id, server := range servers {
		b.Handle(b.now, &Event{Kind: AttemptEnded, ID: id, Server: server, Outcome: ConnectFailed, Final: true}, nil)
		b.Handle(b.now, &Event{Kind: BodySent, ID: id}, nil)
	}
	b.Handle(b.now, &Event{Kind: RequestAbandoned, ID: 100}, nil)
	for _, s := range b.members {
		if s.inFlight == 1 && s.uploading == 0 { // request 100: cancelled, but its attempt has not ended
			b.observeOutcome(s, &attempt{server: s, cost: 1}, &Event{Outcome: Canceled})
		}
	}
	b.refresh()
	if b.inFlight != 0 || b.ejectedOrStalled != 0 || len(b.members) != 0 {
		t.Errorf("not removed: %d in flight, %d ejected or stalled, %d servers", b.inFlight, b.ejectedOrStalled, len(b.members))
	}
}

// An attempt that has been in flight for longer than any response without a queue takes must signal
// congestion at that time, not when its response comes. If only responses signalled, a queue of several
// seconds would be noticed seconds late, and the limit would stay high until then.
func TestOverdueAttemptsDecreaseLimit(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(4))
	// These values keep servers from counting as stalled and LimitToUsage from changing the limit.
	b.medianAttemptTime, b.limitFrozenUntil = 1e6, b.now+60e6
	b.concurrencyLimit = 40
	for id := range uint64(40) {
		b.Handle(b.now, &Event{Kind: RequestArrived, ID: id + 1, ClientTimeout: 60e6}, nil)
		b.Handle(b.now, &Event{Kind: BodySent, ID: id + 1}, nil)
	}
	b.Handle(b.now+3*b.settings.Classes[0].LatencyTarget, &Event{Kind: TimerFired, ID: timerRefresh}, nil)
	if b.concurrencyLimit >= 40 {
		t.Errorf("40 attempts have been in flight for three times the latency target, but the limit is %v", b.concurrencyLimit)
	}
}

// Balancers that start at the same time, before any latency has been measured, must send no server more than
// it can do in time. A flood makes servers that slow down under load stay slow, and their latency under load
// would be taken for the unloaded latency.
func TestSimultaneousStartsOverloadNoServer(t *testing.T) {
	const balancers, servers, each = 60, 20, 10
	sent := 0
	for seed := range uint64(balancers) {
		settings := testSettings()
		settings.GroupSize = balancers
		b, err := New(settings, seed)
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
		t.Errorf("%d attempts are in flight at %d servers before the first response", sent, servers)
	}
}
