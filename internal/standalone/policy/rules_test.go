package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// fate is what an earlier attempt of a request came to, in its own words.
var outcomeCases = []struct {
	name   string
	out    Outcome
	open   bool // no outcome yet
	proven bool // it never ran
}{
	{"served", OK, false, false}, {"error", ErrorResponse, false, false}, {"full", Rejected, false, true},
	{"timeout", TimedOut, false, false}, {"no connection", ConnectFailed, false, true},
	{"reset", ConnectionReset, false, false}, {"cancelled", Cancelled, false, false}, {"not sent", NotSent, false, true},
	{"outstanding", 0, true, false},
}

// Every outcome of an earlier attempt, times class, group, window and whether second copies are allowed.
func TestEffects(t *testing.T) {
	const window = 4_000_000
	for _, f := range outcomeCases {
		for _, sem := range []Semantics{Idempotent, Deduplicated, NonIdempotent} {
			for _, group := range []DedupScope{DedupEverywhere, DedupPerZone, DedupPerCell} {
				for _, age := range []Time{0, window - 1, window, window + 1, window / 2} {
					for _, copies := range []bool{false, true} {
						checkEffectCase(t, f.name, f.out, f.open, f.proven, sem, group, age, window, copies)
					}
				}
			}
		}
	}
}

func checkEffectCase(t *testing.T, name string, out Outcome, open, proven bool, sem Semantics, group DedupScope, age,
	window Time, copies bool) {
	set := testSettings()
	set.Classes = []Class{{Semantics: sem, DedupScope: group, DedupWindow: window, LatencyTarget: 1e9, ClientTimeout: 1e12}}
	set.Limits.AllowHedging = copies
	members := []Member{
		{Server: 1, Zone: 0, Cell: 0, Mode: ModeReady}, // the first attempt's
		{Server: 2, Zone: 0, Cell: 0, Mode: ModeReady}, // same zone and cell
		{Server: 3, Zone: 0, Cell: 1, Mode: ModeReady}, // same zone
		{Server: 4, Zone: 1, Cell: 2, Mode: ModeReady}, // elsewhere
	}
	b := newBalancer(t, set, members)
	r := &request{class: &b.settings.Classes[0], deadline: b.now + 1e12, cost: 1, maxAttempts: 9}
	r.attempts = []attempt{{server: b.members[0], serverID: 1, inFlight: open, sentAt: b.now, mayHaveExecuted: !proven}}
	if open {
		r.inFlight = 1
	}
	b.now += age

	where := fmt.Sprintf("%s, semantics %d, group %d, age %d of %d, copies %v", name, sem, group, age, window,
		copies)
	for i, s := range b.members {
		may := true
		switch {
		case open && !copies:
			may = false
		case proven || sem == Idempotent:
		case sem == NonIdempotent:
			may = false
		case age >= window:
			may = false
		default:
			may = group == DedupEverywhere || group == DedupPerZone && i <= 2 || group == DedupPerCell && i <= 1
		}
		got := b.mayAttemptOn(r, s)
		if got && !may {
			t.Errorf("%s: sent to server %d", where, s.id)
		}
		if !got && may && age <= window/2 {
			t.Errorf("%s: not sent to server %d", where, s.id)
		}
	}
	mayRefuse := proven || sem == Idempotent || sem == Deduplicated && group == DedupEverywhere
	if got := r.mayReject(); got != mayRefuse {
		t.Errorf("%s: may refuse is %v", where, got)
	}
	// The outcome itself must be read the same way.
	if !open && out != OK {
		s := b.members[0]
		r := &request{id: 9, class: &b.settings.Classes[0], deadline: b.now, cost: 1, inFlight: 1}
		r.attempts = []attempt{{server: s, serverID: 1, inFlight: true, sentAt: b.now, mayHaveExecuted: true}}
		s.inFlight, b.inFlight = 1, 1
		b.requests[9] = r
		acts := b.Handle(b.now, &Event{Kind: AttemptEnded, ID: 9, Server: 1, Outcome: out}, nil)
		if len(acts) != 1 || (acts[0].Kind == RejectRequest) != mayRefuse || acts[0].Kind != RejectRequest && acts[0].Kind != FailRequest {
			t.Errorf("%s: past the deadline it was answered with %v", where, acts)
		}
	}
}

// ruleChecker holds a run's actions against the rules, from what the balancer was told and did alone.
type ruleChecker struct {
	t          *testing.T
	set        Settings
	run        int
	now        Time
	requests   map[uint64]*checkedRequest
	servers    map[uint32]*checkedServer
	order      []uint32
	timers     []checkedTimer
	subscribes int
}

type checkedRequest struct {
	class    Class
	deadline Time
	answered bool
	inFlight int
	attempts []checkedAttempt
}

type checkedAttempt struct {
	server          uint32
	zone, cell      int
	sentAt, limit   Time
	inFlight        bool
	mayHaveExecuted bool
}

type checkedServer struct {
	member      Member
	listed      bool
	warmupSends []Time // while cold
}

type checkedTimer struct {
	id uint64
	at Time
}

func (c *ruleChecker) fatalf(format string, a ...any) {
	c.t.Helper()
	c.t.Fatalf("run %d at %d: %s", c.run, c.now, fmt.Sprintf(format, a...))
}

func (c *ruleChecker) checkActions(acts []Action) {
	for _, a := range acts {
		q := c.requests[a.ID]
		switch a.Kind {
		case SendAttempt:
			s := c.servers[a.Server]
			switch {
			case q == nil || q.answered:
				c.fatalf("sent request %d after its end", a.ID)
			case s == nil || !s.listed:
				c.fatalf("sent to server %d, which was never listed", a.Server)
			case s.member.Mode != ModeReady:
				c.fatalf("sent to server %d, told to be in mode %d", a.Server, s.member.Mode)
			case q.inFlight > 0 && !c.set.Limits.AllowHedging:
				c.fatalf("request %d has two attempts out", a.ID)
			case len(q.attempts) >= c.set.Limits.MaxAttempts:
				c.fatalf("request %d has too many attempts", a.ID)
			}
			for _, t := range q.attempts {
				if !t.mayHaveExecuted || q.class.Semantics == Idempotent {
					continue
				}
				switch {
				case q.class.Semantics == NonIdempotent:
					c.fatalf("unsafe request %d sent again", a.ID)
				case c.now-t.sentAt >= q.class.DedupWindow:
					c.fatalf("keyed request %d sent again past its window", a.ID)
				case a.SendBefore <= c.now || a.SendBefore >= t.sentAt+q.class.DedupWindow: // what makes connections is late without knowing it
					c.fatalf("keyed request %d sent at %d may be sent again until %d", a.ID, t.sentAt, a.SendBefore)
				case q.class.DedupScope == DedupPerZone && t.zone != int(s.member.Zone):
					c.fatalf("keyed request %d left its zone", a.ID)
				case q.class.DedupScope == DedupPerCell && t.cell != int(s.member.Cell):
					c.fatalf("keyed request %d left its cell", a.ID)
				}
			}
			limit := q.deadline
			if a.After > 0 {
				limit = min(limit, c.now+a.After)
			}
			q.attempts = append(q.attempts, checkedAttempt{a.Server, int(s.member.Zone), int(s.member.Cell), c.now, limit, true, true})
			q.inFlight++
			c.checkSlowStart(s)
		case RejectRequest, FailRequest:
			if q == nil || q.answered {
				c.fatalf("request %d answered twice", a.ID)
			}
			if c.now > q.deadline+c.set.Rules.ResponseGrace {
				c.fatalf("request %d answered %d late", a.ID, c.now-q.deadline)
			}
			for _, t := range q.attempts {
				if a.Kind == RejectRequest && t.mayHaveExecuted && (q.class.Semantics == NonIdempotent ||
					q.class.Semantics == Deduplicated && q.class.DedupScope != DedupEverywhere) {
					c.fatalf("request %d refused though it may have run", a.ID)
				}
			}
			q.answered = true
		case SetTimer:
			c.timers = append(c.timers, checkedTimer{a.ID, c.now + a.After})
		case SubscribeDiscovery:
			c.subscribes++
		}
	}
}

// checkSlowStart counts what this one balancer sends a cold server: over the time that tips it, no more than its part
// of what all may send, and one request for the random phase and one for the rounding of a token.
func (c *ruleChecker) checkSlowStart(s *checkedServer) {
	age := c.now - s.member.StartedAt
	if s.member.StartedAt == 0 || age >= c.set.Rules.WarmupTime {
		return
	}
	s.warmupSends = append(s.warmupSends, c.now)
	span, n := c.set.Rules.OverloadTime, 0
	for _, at := range s.warmupSends {
		if at > c.now-span {
			n++
		}
	}
	share := c.set.Rules.InitialCapacity + (1-c.set.Rules.InitialCapacity)*float64(age)/float64(c.set.Rules.WarmupTime)
	most := c.set.Rules.OverloadFactor * warmServerRate * share * float64(span) / 1e6 / float64(c.set.GroupSize)
	if float64(n) > most+2 {
		c.fatalf("cold server %d of age %d was sent %d in %d, its part is %.2f", s.member.Server, age, n, span, most)
	}
}

// warmServerRate is what every warm server of the random runs reports that it can do, in requests a second.
const warmServerRate = 20

// TestRandomRuns drives balancers with legal and odd orders of events. What servers do is drawn at random:
// there is no model of service here, only a check of the promises.
func TestRandomRuns(t *testing.T) {
	for run := range 300 {
		randomRun(t, run)
	}
}

func randomRun(t *testing.T, run int) {
	rng := rand.New(rand.NewPCG(uint64(run), 7))
	set := testSettings()
	set.SubscribeDiscovery = run%2 == 0
	set.GroupSize = 1 + run%7
	set.Limits.AllowHedging = run%3 != 0
	set.Limits.MaxAttempts = 1 + run%5
	set.Classes[1].DedupScope = DedupScope(run % 3)
	set.Classes[1].DedupWindow = []Time{300_000, 4_000_000}[run%2]
	b, err := New(set, uint64(run))
	if err != nil {
		t.Fatal(err)
	}
	c := &ruleChecker{t: t, set: set, run: run, now: 5_000_000_000, requests: map[uint64]*checkedRequest{},
		servers: map[uint32]*checkedServer{}}
	handle := func(ev Event) { c.checkActions(b.Handle(c.now, &ev, nil)) }
	list := func(kind EventKind, ms []Member) {
		if kind != MembershipDelta {
			for _, s := range c.servers {
				s.member.Mode = ModeGone
			}
		}
		for _, m := range ms {
			s := c.servers[m.Server]
			if s == nil {
				s = &checkedServer{listed: true}
				c.servers[m.Server] = s
				c.order = append(c.order, m.Server)
			}
			if m.StartedAt != s.member.StartedAt {
				s.warmupSends = nil
			}
			s.member = m
		}
		handle(Event{Kind: kind, Members: ms})
	}
	member := func(id int) Member {
		m := Member{Server: uint32(id), Zone: uint8(id % 2), Cell: uint16(id % 4), Mode: Mode(1 + rng.IntN(5)/4),
			Size: 1}
		if rng.IntN(3) == 0 {
			m.StartedAt = c.now - Time(rng.Int64N(int64(set.Rules.WarmupTime)))
		}
		return m
	}
	var all []Member
	for i := range 12 {
		m := member(i)
		m.StartedAt = 0
		all = append(all, m)
	}
	list(MembershipCached, all)

	next := uint64(1)
	var ids []uint64
	for step := 0; step < 1500; step++ {
		c.now += rng.Int64N(12_000)
		// What is due comes first: timers, then attempts at their limit.
		for i := 0; i < len(c.timers); i++ {
			if tm := c.timers[i]; tm.at <= c.now {
				c.timers = append(c.timers[:i], c.timers[i+1:]...)
				i--
				handle(Event{Kind: TimerFired, ID: tm.id})
			}
		}
		live := ids[:0]
		for _, id := range ids {
			q := c.requests[id]
			if q.answered && q.inFlight == 0 {
				continue
			}
			live = append(live, id)
			for i := range q.attempts {
				if q.attempts[i].inFlight && (c.now >= q.attempts[i].limit || rng.IntN(25) == 0) {
					c.finish(handle, rng, id, i)
				}
			}
			if !q.answered && c.now > q.deadline+set.AnswerSlack() {
				c.fatalf("request %d is overdue", id)
			}
		}
		ids = live
		switch k := rng.IntN(40); {
		case k < 24:
			cl := rng.IntN(3)
			patience := Time(rng.Int64N(int64(set.Classes[cl].ClientTimeout)))
			if rng.IntN(20) == 0 {
				patience = rng.Int64N(30_000)
			}
			c.requests[next] = &checkedRequest{class: set.Classes[cl], deadline: c.now + patience}
			ids = append(ids, next)
			handle(Event{Kind: RequestArrived, ID: next, Class: uint8(cl), ClientTimeout: patience})
			next++
		case k < 27:
			list(MembershipDelta, []Member{member(rng.IntN(16))})
		case k == 27:
			m := member(rng.IntN(16))
			m.Mode = ModeGone
			list(MembershipDelta, []Member{m})
		case k == 28 && rng.IntN(20) == 0:
			list(MembershipFull, nil) // shrunk to nothing
		case k == 29 && rng.IntN(10) == 0:
			var ms []Member
			for i := range 16 {
				m := member(i)
				m.StartedAt = c.now - rng.Int64N(1_000_000) // nearly all redeployed
				ms = append(ms, m)
			}
			list(MembershipFull, ms)
		case k == 30:
			handle(Event{Kind: DiscoveryFailed})
		case k == 31: // odd: outcomes for what never was, and repeats
			handle(Event{Kind: AttemptEnded, ID: uint64(rng.IntN(int(next))) + 1e6, Server: 3, Outcome: OK})
			handle(Event{Kind: TimerFired, ID: rng.Uint64()})
			handle(Event{Kind: LoadPolled, Server: uint32(rng.IntN(20)), Report: report(5, 0.5, 0)})
			handle(Event{Kind: RequestAbandoned, ID: 1 << 50})
		case k == 32 && len(ids) > 0:
			id := ids[rng.IntN(len(ids))]
			c.requests[id].answered = true // the client left; from here any action for it is wrong
			handle(Event{Kind: RequestAbandoned, ID: id})
		}
	}
	if set.SubscribeDiscovery && c.subscribes == 0 {
		c.fatalf("discovery was never asked")
	}
}

// ResponseGrace is a helper for readability: an unanswered request is overdue past it.
func (s Settings) AnswerSlack() Time { return s.Rules.ResponseGrace }

// finish ends attempt i of a request in a random way, or by time-out at its limit.
func (c *ruleChecker) finish(handle func(Event), rng *rand.Rand, id uint64, i int) {
	q := c.requests[id]
	t := &q.attempts[i]
	out := []Outcome{OK, OK, OK, ErrorResponse, Rejected, ConnectFailed, ConnectionReset, NotSent}[rng.IntN(8)]
	if c.now >= t.limit {
		out = TimedOut
	}
	t.inFlight = false
	q.inFlight--
	if out == Rejected || out == ConnectFailed || out == NotSent {
		t.mayHaveExecuted = false
	}
	if out == OK {
		q.answered = true
	}
	ev := Event{Kind: AttemptEnded, ID: id, Attempt: uint8(i), Server: t.server, Outcome: out, Final: q.answered,
		Elapsed: c.now - t.sentAt, Report: report(warmServerRate/2, 0.5, 0)}
	handle(ev)
	if rng.IntN(10) == 0 {
		handle(ev) // delivered twice
	}
}

// Servers in a drain or gone get nothing from the moment the news arrives, whatever was planned for them.
func TestDrainStopsAtOnce(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(3))
	b.Handle(b.now, &Event{Kind: MembershipDelta, Members: []Member{{Server: 100, Mode: ModeDraining},
		{Server: 101, Mode: ModeGone}}}, nil)
	for id := range uint64(20) {
		out := b.Handle(b.now, &Event{Kind: RequestArrived, ID: id, ClientTimeout: 1e6}, nil)
		if len(out) == 0 || out[0].Kind != SendAttempt || out[0].Server != 102 {
			t.Fatalf("request %d: %v", id, out)
		}
	}
}

// A start common to all balancers must not become a stampede on discovery, nor may one go unasked too long.
func TestCallsToDiscoveryAreSpread(t *testing.T) {
	set := testSettings()
	set.SubscribeDiscovery = true
	first := map[Time]int{}
	for seed := range uint64(200) {
		b, _ := New(set, seed)
		for _, a := range b.Handle(1e9, &Event{Kind: MembershipCached, Members: testMembers(2)}, nil) {
			if a.Kind == SetTimer && a.ID == timerSubscribe {
				if a.After > set.Rules.SubscribeWithin/2 {
					t.Fatalf("first call only after %d", a.After)
				}
				first[a.After/(set.Rules.SubscribeWithin/40)]++
			}
		}
	}
	for slot, n := range first {
		if n > 50 {
			t.Errorf("%d of 200 balancers call in slot %d", n, slot)
		}
	}
	if len(first) < 5 {
		t.Errorf("all calls fall into %d slots", len(first))
	}
}

// Held requests end in a refusal in good time when no server comes.
func TestEmptyListEndsInRefusal(t *testing.T) {
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
	t.Error("not refused before the deadline")
}

// A shared slowness must not suspend most servers.
func TestSharedTroubleSuspendsFew(t *testing.T) {
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

// A hung server keeps its connections; only its silence gives it away.
func TestHungServerStalls(t *testing.T) {
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
		t.Errorf("the hung server holds %d attempts", n)
	}
}

// A request that can be sent nowhere is refused while its client has half of its time left, also where the aim is as far
// off as the deadline.
func TestHeldNoLongerThanHalfOfTheTime(t *testing.T) {
	set := testSettings()
	set.Classes[0].LatencyTarget = set.Classes[0].ClientTimeout
	b := newBalancer(t, set, nil)
	b.Handle(b.now, &Event{Kind: RequestArrived, ID: 1, ClientTimeout: 2_000_000}, nil)
	for begun := b.now; ; {
		for _, a := range b.Handle(b.now+queueCheckPeriod, &Event{Kind: TimerFired, ID: timerQueue}, nil) {
			if a.Kind == RejectRequest {
				if took := b.now - begun; took > 1_000_000 || took < 500_000 {
					t.Errorf("refused after %d", took)
				}
				return
			}
		}
		if b.now-begun > 2_000_000 {
			t.Fatal("not refused")
		}
	}
}

// A queue shows before its answers are late: the window narrows when three in ten take over half of the aim, and holds when
// one in ten does.
func TestWindowNarrowsEarly(t *testing.T) {
	for _, c := range []struct {
		slow    int
		narrows bool
	}{{1, false}, {3, true}} {
		b := newBalancer(t, testSettings(), testMembers(1))
		s := b.members[0]
		for i := range 300 { // the first of them teach what answers take
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
		if narrows := b.concurrencyLimit < 50; narrows != c.narrows {
			t.Errorf("%d of 10 slow: window %v", c.slow, b.concurrencyLimit)
		}
	}
}

// Where answers take most of the aim with nothing queued, because of work or of waits on others, that is no queue: taken for one,
// it narrowed the window until 94% was refused by servers that stood idle. The same world at any pace is judged alike, a queue on top
// of it shows, and what is late speaks of one in any case. With none the window follows what comes, from 10 as after a start, within
// 200 answers: it took six seconds, in which half was refused.
func TestWhatAnswersTakeIsNoQueue(t *testing.T) {
	for _, pace := range []float64{0.25, 1, 4} {
		for _, c := range []struct {
			calm, queue float64 // in aims
			narrows     bool
		}{{0.1, 0, false}, {0.55, 0, false}, {0.7, 0, false}, {0.1, 0.5, true}, {0.45, 0.6, true}, {1.1, 0, true}} {
			set := testSettings()
			set.Classes[0].LatencyTarget = Time(500_000 * pace)
			b := newBalancer(t, set, testMembers(1))
			for i := range 400 {
				took := c.calm * (0.8 + 0.2*float64(i%4)/3)
				if i == 200 {
					b.concurrencyLimit = 10
				} else if i > 200 {
					took += c.queue
				}
				b.now += 10_000
				b.inFlight = int(b.concurrencyLimit)
				b.adjustLimit(&request{class: &b.settings.Classes[0]}, &attempt{server: b.members[0], cost: 1},
					&Event{Outcome: OK, Elapsed: Time(took * float64(set.Classes[0].LatencyTarget))})
			}
			if c.narrows && b.concurrencyLimit >= 10 || !c.narrows && b.concurrencyLimit < 100 {
				t.Errorf("pace %v, %v of the aim and a queue of %v: window %.0f", pace, c.calm, c.queue, b.concurrencyLimit)
			}
		}
	}
}

// A server that could not be reached for a moment has not started anew: were it cold then, a network that resets some of
// all connections would hold back the whole fleet.
func TestMomentOfLostConnectionsIsNoStart(t *testing.T) {
	for _, c := range []struct {
		away Time
		cold bool
	}{{300_000, false}, {1_500_000, true}} {
		b := newBalancer(t, testSettings(), testMembers(1))
		s := b.members[0]
		for _, o := range []Outcome{OK, ConnectFailed, ConnectFailed, OK} {
			if s.ejected {
				s.ejectedUntil = b.now + c.away
				b.advance(c.away)
			}
			s.inFlight++
			b.inFlight++
			b.observeOutcome(s, &attempt{cost: 1}, &Event{Outcome: o, Elapsed: 1000})
		}
		if s.warmingUp != c.cold || s.ejected || s.onProbation {
			t.Errorf("away for %d: cold %v, suspended %v", c.away, s.warmingUp, s.ejected)
		}
	}
}

// A request that has less time left than an attempt takes goes to no server, at its arrival or as a repeat.
func TestDoomedRequestsAreNotSent(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(3))
	b.medianAttemptTime = 100_000
	if out := b.Handle(b.now, &Event{Kind: RequestArrived, ID: 1, ClientTimeout: 60_000}, nil); len(out) != 1 || out[0].Kind != RejectRequest {
		t.Errorf("with 60 ms left: %v", out)
	}
	out := b.Handle(b.now, &Event{Kind: RequestArrived, ID: 2, ClientTimeout: 200_000}, nil)
	if len(out) != 1 || out[0].Kind != SendAttempt {
		t.Fatalf("with 200 ms left: %v", out)
	}
	out = b.Handle(b.now+150_000, &Event{Kind: AttemptEnded, ID: 2, Server: out[0].Server, Outcome: ErrorResponse}, nil)
	if len(out) != 1 || out[0].Kind != RejectRequest {
		t.Errorf("a repeat with 50 ms left: %v", out)
	}
}

// A server that answers nothing is left out after a few attempts, although each one that is given up makes room there; an
// answer in between clears it. When it goes, it is no longer counted among those left out.
func TestSilentServerIsLeftOut(t *testing.T) {
	for _, answers := range []bool{false, true} {
		b := newBalancer(t, testSettings(), testMembers(10))
		b.medianAttemptTime = 100_000
		s := b.members[0]
		for i := range 2 * maxTimeouts {
			o := TimedOut
			if answers && i%2 == 1 {
				o = OK
			}
			b.inFlight++
			s.inFlight++
			b.observeOutcome(s, &attempt{cost: 1}, &Event{Outcome: o, Elapsed: 600_000})
		}
		if s.ejected == answers {
			t.Errorf("answers in between %v: left out %v", answers, s.ejected)
		}
		if s.ejected {
			s.mode, s.listed = ModeGone, false
			b.removeGoneServers()
			if b.ejected != 0 || len(b.members) != 9 {
				t.Errorf("%d left out of %d", b.ejected, len(b.members))
			}
		}
	}
}

// MaxAttempts that end early because their clients had little time are no sign of a queue, and speak neither for nor against
// a server; ones that took long are a sign.
func TestImpatientTimeouts(t *testing.T) {
	for _, c := range []struct {
		elapsed Time
		sign    bool
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
		if (b.concurrencyLimit < 50) != c.sign || (b.medianAttemptTime != 100_000) != c.sign || (slow > 0) != c.sign {
			t.Errorf("after timeouts of %d: window %v, usual %v, %d slow servers", c.elapsed, b.concurrencyLimit, b.medianAttemptTime, slow)
		}
	}
}

// A server whose attempts fail or break, without a report that would tell, loses turns, and has them back once it serves.
func TestFaultyServerLosesTurns(t *testing.T) {
	for _, outcome := range []Outcome{ErrorResponse, ConnectionReset} {
		b := newBalancer(t, testSettings(), testMembers(1))
		b.advance(refreshPeriod)
		bad := b.members[0]
		end := func(o Outcome) {
			for range 20 {
				b.inFlight++
				bad.inFlight++
				b.observeOutcome(bad, &attempt{cost: 1}, &Event{Outcome: o, Elapsed: 1000})
			}
			b.advance(refreshPeriod)
		}
		before := bad.weight
		end(outcome)
		if bad.weight > before/5 {
			t.Errorf("outcome %d: weight %v became %v", outcome, before, bad.weight)
		}
		end(OK)
		assertNear(t, "weight after it has served", bad.weight/before, 1, 0.1)
	}
}

func TestFailureToConnectLeavesAndComesBackCold(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(1))
	s := b.members[0]
	// An answer in between shows that the server is there: a connection that fails now and then is no start anew.
	for _, o := range []Outcome{ConnectFailed, OK, ConnectFailed, ErrorResponse} {
		s.inFlight++
		b.inFlight++
		b.observeOutcome(s, &attempt{cost: 1}, &Event{Outcome: o, Elapsed: 1000})
	}
	if b.advance(refreshPeriod); !s.Waits() || s.warmingUp {
		t.Fatal("a server that answers is left out, or cold")
	}
	out := b.Handle(b.now, &Event{Kind: RequestArrived, ID: 1, ClientTimeout: 1e7}, nil)
	for i := range maxConnectFailures {
		if !s.Waits() || len(out) == 0 || out[0].Kind != SendAttempt {
			t.Fatalf("after %d failures: %v", i, out)
		}
		out = b.Handle(b.now, &Event{Kind: AttemptEnded, ID: 1, Server: s.id, Attempt: uint8(i), Outcome: ConnectFailed}, nil)
	}
	if s.Waits() {
		t.Fatal("still in the schedule after failures to connect")
	}
	b.advance(2_000_000)
	if !s.onProbation || !s.Waits() {
		t.Fatal("no trial came")
	}
	out = b.Handle(b.now, &Event{Kind: RequestArrived, ID: 2, ClientTimeout: 1e7}, nil)
	if out[0].Kind != SendAttempt || s.Waits() {
		t.Fatalf("the trial is not a single attempt: %v", out)
	}
	b.Handle(b.now, &Event{Kind: AttemptEnded, ID: 2, Server: s.id, Elapsed: 1000, Final: true}, nil)
	if s.readySince != b.now || !s.warmingUp {
		t.Error("ready_since was not set by the successful trial")
	}
}

func TestSettingsThatCannotBeActedOn(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no classes":        func(s *Settings) { s.Classes = nil },
		"cold share":        func(s *Settings) { s.Rules.InitialCapacity = 1.5 },
		"negative time":     func(s *Settings) { s.Rules.WarmupTime = -1 },
		"negative count":    func(s *Settings) { s.GroupSize = -1 },
		"class semantics":   func(s *Settings) { s.Classes[0].Semantics = 9 },
		"negative multiple": func(s *Settings) { s.Rules.OverloadFactor = -1 },
	} {
		set := testSettings()
		change(&set)
		if _, err := New(set, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := New(Settings{Classes: []Class{{}}}, 1); err != nil {
		t.Errorf("settings with the least that is needed: %v", err)
	}
}

// When there is not room for all, requests within a tenant's share go before what another sends beyond its own.
func TestTenantsBeyondTheirShareGiveWay(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{QuotaPerS: 20}, {QuotaPerS: 20}}
	set.OverQuotaValue = 0.1
	b := newBalancer(t, set, testMembers(2))
	b.advance(1_000_000)
	b.concurrencyLimit = 1
	id := uint64(0)
	take := func(tenant uint32) {
		id++
		b.Handle(b.now, &Event{Kind: RequestArrived, ID: id, Tenant: tenant, ClientTimeout: 2e6}, nil)
	}
	for range 60 {
		take(0) // three times its share of a second
	}
	take(1)
	last := b.queue[len(b.queue)-1]
	if worst := b.queue[len(b.queue)-2]; last.priority <= worst.priority {
		t.Errorf("a request within its share is worth %v, one beyond %v", last.priority, worst.priority)
	}
}

// While discovery is down each balancer's calls must thin out; a failed call that leaves two plans behind
// would double them.
func TestCallsBackOffWhileDiscoveryFails(t *testing.T) {
	for _, within := range []Time{8_000_000, 0} {
		set := testSettings()
		set.SubscribeDiscovery, set.Rules.SubscribeWithin = true, within
		b, err := New(set, 5)
		if err != nil {
			t.Fatal(err)
		}
		start := Time(1e9)
		var timers []Time
		calls := map[Time]int{}
		take := func(acts []Action) {
			for _, a := range acts {
				if a.Kind == SetTimer && a.ID == timerSubscribe {
					timers = append(timers, b.now+a.After)
				}
			}
		}
		take(b.Handle(start, &Event{Kind: MembershipCached, Members: testMembers(2)}, nil))
		for now := start; now < start+120_000_000; now += 10_000 {
			for i := 0; i < len(timers); i++ {
				if timers[i] > now {
					continue
				}
				timers = append(timers[:i], timers[i+1:]...)
				i--
				acts := b.Handle(now, &Event{Kind: TimerFired, ID: timerSubscribe}, nil)
				take(acts)
				for _, a := range acts {
					if a.Kind == SubscribeDiscovery {
						calls[(now-start)/60_000_000]++
						take(b.Handle(now, &Event{Kind: DiscoveryFailed}, nil))
					}
				}
			}
		}
		if calls[0] == 0 || calls[1] == 0 || calls[0] > 25 || calls[1] > 15 {
			t.Errorf("ask within %d: calls by minute are %v", within, calls)
		}
	}
}

// A refused client is told when to come back: never later than it heeds, later the more is held, not all at once.
func TestRefusalsSayWhenToComeBack(t *testing.T) {
	set := testSettings()
	set.Limits.MaxRetryAfter = 2_500_000
	b := newBalancer(t, set, nil)
	b.medianAttemptTime, b.concurrencyLimit = 200_000, 10
	idle, spans := Time(0), map[Time]bool{}
	for range 100 {
		span := b.retryAfter()
		if span < 100_000 || span > 300_000 {
			t.Errorf("span %d with nothing held", span)
		}
		idle += span
		spans[span] = true
	}
	if len(spans) < 90 {
		t.Errorf("only %d different spans", len(spans))
	}
	b.queue = make([]*request, 20)
	crowded := Time(0)
	for range 100 {
		crowded += b.retryAfter()
	}
	if crowded < 2*idle {
		t.Errorf("%d when crowded, %d when not", crowded, idle)
	}
	b.queue = make([]*request, 1e6)
	if span := b.retryAfter(); span != set.Limits.MaxRetryAfter {
		t.Errorf("span %d is over what clients heed", span)
	}
	b.settings.Limits.MaxRetryAfter = 0
	if span := b.retryAfter(); span != 0 {
		t.Errorf("span %d where none may be told", span)
	}
}
