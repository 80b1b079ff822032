package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// ruleChecker checks the actions of a run against the service rules, using only the balancer's events and
// earlier actions.
type ruleChecker struct {
	t          *testing.T
	settings   Settings
	run        int
	now        Time
	requests   map[uint64]*checkedRequest
	servers    map[uint32]*checkedServer
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
	zone            uint8
	cell            uint16
	sentAt, limit   Time
	inFlight        bool
	mayHaveExecuted bool
}

type checkedServer struct {
	member      Member
	warmupSends []Time
}

type checkedTimer struct {
	id uint64
	at Time
}

func (c *ruleChecker) fatalf(format string, a ...any) {
	c.t.Helper()
	c.t.Fatalf("run %d at %d: %s", c.run, c.now, fmt.Sprintf(format, a...))
}

// checkActions checks the actions that follow an event and records them.
func (c *ruleChecker) checkActions(actions []Action) {
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case SendAttempt:
			c.checkSend(a)
		case RejectRequest, FailRequest:
			c.checkFinalResponse(a)
		case SetTimer:
			c.timers = append(c.timers, checkedTimer{a.ID, c.now + a.After})
		case SubscribeDiscovery:
			c.subscribes++
		}
	}
}

func (c *ruleChecker) checkSend(a *Action) {
	r, s := c.requests[a.ID], c.servers[a.Server]
	switch {
	case r == nil || r.answered:
		c.fatalf("sent request %d after its end", a.ID)
	case s == nil:
		c.fatalf("sent to server %d, which was never listed", a.Server)
	case s.member.Mode != ModeReady:
		c.fatalf("sent to server %d, which is listed with mode %d", a.Server, s.member.Mode)
	case r.inFlight > 0 && !c.settings.Limits.AllowHedging:
		c.fatalf("request %d has two attempts in flight", a.ID)
	case len(r.attempts) >= c.settings.Limits.MaxAttempts:
		c.fatalf("request %d has too many attempts", a.ID)
	}
	for i := range r.attempts {
		c.checkRetry(r, &r.attempts[i], a, s)
	}
	limit := r.deadline
	if a.After > 0 {
		limit = min(limit, c.now+a.After)
	}
	r.attempts = append(r.attempts, checkedAttempt{server: a.Server, zone: s.member.Zone, cell: s.member.Cell,
		sentAt: c.now, limit: limit, inFlight: true, mayHaveExecuted: true})
	r.inFlight++
	c.checkSlowStart(s)
}

// checkRetry checks that another attempt of r on s after an earlier attempt conforms to the semantics of its
// class.
func (c *ruleChecker) checkRetry(r *checkedRequest, earlier *checkedAttempt, a *Action, s *checkedServer) {
	if !earlier.mayHaveExecuted || r.class.Semantics == Idempotent {
		return
	}
	windowEnd := earlier.sentAt + r.class.DedupWindow
	switch {
	case r.class.Semantics == NonIdempotent:
		c.fatalf("non-idempotent request %d sent again", a.ID)
	case c.now >= windowEnd:
		c.fatalf("deduplicated request %d sent again past its window", a.ID)
	case a.SendBefore <= c.now || a.SendBefore >= windowEnd: // connecting may delay the write
		c.fatalf("deduplicated request %d sent at %d may be written until %d", a.ID, earlier.sentAt, a.SendBefore)
	case r.class.DedupScope == DedupPerZone && earlier.zone != s.member.Zone:
		c.fatalf("deduplicated request %d left its zone", a.ID)
	case r.class.DedupScope == DedupPerCell && earlier.cell != s.member.Cell:
		c.fatalf("deduplicated request %d left its cell", a.ID)
	}
}

func (c *ruleChecker) checkFinalResponse(a *Action) {
	r := c.requests[a.ID]
	if r == nil || r.answered {
		c.fatalf("request %d answered twice", a.ID)
	}
	if c.now > r.deadline+c.settings.Rules.ResponseGrace {
		c.fatalf("request %d answered %d late", a.ID, c.now-r.deadline)
	}
	for _, attempt := range r.attempts {
		if a.Kind == RejectRequest && attempt.mayHaveExecuted && (r.class.Semantics == NonIdempotent ||
			r.class.Semantics == Deduplicated && r.class.DedupScope != DedupEverywhere) {
			c.fatalf("request %d rejected though it may have executed", a.ID)
		}
	}
	r.answered = true
}

// checkSlowStart checks how many requests this balancer sends to a server that warms up: within the overload
// time at most its part of what all balancers may send, plus two requests, for the random initial budget and
// for rounding up a token.
func (c *ruleChecker) checkSlowStart(s *checkedServer) {
	rules := &c.settings.Rules
	age := c.now - s.member.StartedAt
	if s.member.StartedAt == 0 || age >= rules.WarmupTime {
		return
	}
	s.warmupSends = append(s.warmupSends, c.now)
	count := 0
	for _, at := range s.warmupSends {
		if at > c.now-rules.OverloadTime {
			count++
		}
	}
	capacity := rules.InitialCapacity + (1-rules.InitialCapacity)*float64(age)/float64(rules.WarmupTime)
	share := rules.OverloadFactor * warmServerRate * capacity * float64(rules.OverloadTime) / 1e6 /
		float64(c.settings.GroupSize)
	if float64(count) > share+2 {
		c.fatalf("warming-up server %d of age %d was sent %d in %d, this balancer's part is %.2f", s.member.Server, age,
			count, rules.OverloadTime, share)
	}
}

// warmServerRate is the capacity that every server of the random runs reports, in requests per second.
const warmServerRate = 20

// Runs with random events, in usual and unusual orders, must keep the rules. The behaviour of servers is
// random: there is no model of service times.
func TestRandomRunsKeepRules(t *testing.T) {
	for run := range 300 {
		newRandomRun(t, run).play()
	}
}

// randomRun generates random events for one balancer.
type randomRun struct {
	*ruleChecker
	balancer *Balancer
	rng      *rand.Rand
	nextID   uint64
	open     []uint64 // requests that have not ended
}

func newRandomRun(t *testing.T, run int) *randomRun {
	t.Helper()
	settings := testSettings()
	settings.SubscribeDiscovery = run%2 == 0
	settings.GroupSize = 1 + run%7
	settings.Limits.AllowHedging = run%3 != 0
	settings.Limits.MaxAttempts = 1 + run%5
	settings.Classes[1].DedupScope = DedupScope(run % 3)
	settings.Classes[1].DedupWindow = []Time{300_000, 4_000_000}[run%2]
	b, err := New(settings, uint64(run))
	if err != nil {
		t.Fatal(err)
	}
	checker := &ruleChecker{t: t, settings: settings, run: run, now: 5_000_000_000,
		requests: map[uint64]*checkedRequest{}, servers: map[uint32]*checkedServer{}}
	return &randomRun{ruleChecker: checker, balancer: b, rng: rand.New(rand.NewPCG(uint64(run), 7)), nextID: 1}
}

func (r *randomRun) play() {
	var members []Member
	for i := range 12 {
		m := r.drawMember(i)
		m.StartedAt = 0
		members = append(members, m)
	}
	r.updateMembers(MembershipCached, members)
	for range 1500 {
		r.now += r.rng.Int64N(12_000)
		r.fireTimers()
		r.endAttempts()
		r.drawEvent()
	}
	if r.settings.SubscribeDiscovery && r.subscribes == 0 {
		r.fatalf("the balancer never called discovery")
	}
}

// handle passes an event to the balancer and checks the actions that follow.
func (r *randomRun) handle(ev Event) {
	r.checkActions(r.balancer.Handle(r.now, &ev, nil))
}

func (r *randomRun) drawMember(id int) Member {
	m := Member{Server: uint32(id), Zone: uint8(id % 2), Cell: uint16(id % 4), Mode: Mode(1 + r.rng.IntN(5)/4), Size: 1}
	if r.rng.IntN(3) == 0 {
		m.StartedAt = r.now - r.rng.Int64N(r.settings.Rules.WarmupTime)
	}
	return m
}

func (r *randomRun) updateMembers(kind EventKind, members []Member) {
	if kind != MembershipDelta {
		for _, s := range r.servers {
			s.member.Mode = ModeGone
		}
	}
	for _, m := range members {
		s := r.servers[m.Server]
		if s == nil {
			s = &checkedServer{}
			r.servers[m.Server] = s
		}
		if m.StartedAt != s.member.StartedAt {
			s.warmupSends = nil
		}
		s.member = m
	}
	r.handle(Event{Kind: kind, Members: members})
}

func (r *randomRun) fireTimers() {
	for i := 0; i < len(r.timers); i++ {
		if timer := r.timers[i]; timer.at <= r.now {
			r.timers = append(r.timers[:i], r.timers[i+1:]...)
			i--
			r.handle(Event{Kind: TimerFired, ID: timer.id})
		}
	}
}

// endAttempts ends attempts that are at their limit, and others at random. It fails the test if a request has
// no response after its deadline and the grace.
func (r *randomRun) endAttempts() {
	open := r.open[:0]
	for _, id := range r.open {
		q := r.requests[id]
		if q.answered && q.inFlight == 0 {
			continue
		}
		open = append(open, id)
		for i := range q.attempts {
			if q.attempts[i].inFlight && (r.now >= q.attempts[i].limit || r.rng.IntN(25) == 0) {
				r.endAttempt(id, i)
			}
		}
		if !q.answered && r.now > q.deadline+r.settings.Rules.ResponseGrace {
			r.fatalf("request %d is overdue", id)
		}
	}
	r.open = open
}

// endAttempt ends attempt i of a request with a random outcome, or with a time-out at its limit.
func (r *randomRun) endAttempt(id uint64, i int) {
	q := r.requests[id]
	a := &q.attempts[i]
	outcome := []Outcome{OK, OK, OK, ErrorResponse, Rejected, ConnectFailed, ConnectionReset, NotSent}[r.rng.IntN(8)]
	if r.now >= a.limit {
		outcome = TimedOut
	}
	a.inFlight = false
	q.inFlight--
	if outcome == Rejected || outcome == ConnectFailed || outcome == NotSent {
		a.mayHaveExecuted = false
	}
	if outcome == OK {
		q.answered = true
	}
	ev := Event{Kind: AttemptEnded, ID: id, Attempt: uint8(i), Server: a.server, Outcome: outcome, Final: q.answered,
		Elapsed: r.now - a.sentAt, Report: loadReport(warmServerRate/2, 0.5, 0)}
	r.handle(ev)
	if r.rng.IntN(10) == 0 {
		r.handle(ev) // delivered twice
	}
}

// drawEvent passes a random event to the balancer, or none.
func (r *randomRun) drawEvent() {
	switch k := r.rng.IntN(40); {
	case k < 24:
		r.arrive()
	case k < 27:
		r.updateMembers(MembershipDelta, []Member{r.drawMember(r.rng.IntN(16))})
	case k == 27:
		m := r.drawMember(r.rng.IntN(16))
		m.Mode = ModeGone
		r.updateMembers(MembershipDelta, []Member{m})
	case k == 28 && r.rng.IntN(20) == 0:
		r.updateMembers(MembershipFull, nil)
	case k == 29 && r.rng.IntN(10) == 0:
		r.redeploy()
	case k == 30:
		r.handle(Event{Kind: DiscoveryFailed})
	case k == 31: // events of unknown requests, timers and servers
		r.handle(Event{Kind: AttemptEnded, ID: uint64(r.rng.IntN(int(r.nextID))) + 1e6, Server: 3, Outcome: OK})
		r.handle(Event{Kind: TimerFired, ID: r.rng.Uint64()})
		r.handle(Event{Kind: LoadPolled, Server: uint32(r.rng.IntN(20)), Report: loadReport(5, 0.5, 0)})
		r.handle(Event{Kind: RequestAbandoned, ID: 1 << 50})
	case k == 32 && len(r.open) > 0:
		id := r.open[r.rng.IntN(len(r.open))]
		r.requests[id].answered = true // disconnected: any further action for the request is an error
		r.handle(Event{Kind: RequestAbandoned, ID: id})
	}
}

func (r *randomRun) arrive() {
	class := r.rng.IntN(3)
	timeout := r.rng.Int64N(r.settings.Classes[class].ClientTimeout)
	if r.rng.IntN(20) == 0 {
		timeout = r.rng.Int64N(30_000)
	}
	id := r.nextID
	r.nextID++
	r.requests[id] = &checkedRequest{class: r.settings.Classes[class], deadline: r.now + timeout}
	r.open = append(r.open, id)
	r.handle(Event{Kind: RequestArrived, ID: id, Class: uint8(class), ClientTimeout: timeout})
}

// redeploy lists all servers as started within the last second.
func (r *randomRun) redeploy() {
	var members []Member
	for i := range 16 {
		m := r.drawMember(i)
		m.StartedAt = r.now - r.rng.Int64N(1_000_000)
		members = append(members, m)
	}
	r.updateMembers(MembershipFull, members)
}
