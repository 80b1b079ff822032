package policy

// Types, events and actions are in api.go. Here are dispatch and a request's life; weights.go has the A58
// weights, A100's ramp and the cold budget, schedule.go the turns, health.go list, evidence and admission.

import (
	"math"
	"math/rand/v2"
	"slices"

	"pumiceline/internal/edf"
	"pumiceline/internal/standalone/affinity"
	"pumiceline/internal/standalone/latencybaseline"
)

const (
	refreshEvery = 100_000 // how often means, weights and budgets are brought up to date
	heldEvery    = 10_000  // how often held requests are tried again

	tagRefresh = 0 // timers: the two low bits tell what for, the rest is a request's id
	tagHeld    = 1
	tagAsk     = 2
	tagBits    = 2

	maxAttempts = 8 // attempts remembered of a request; more are never made
)

// Balancer decides for one load balancer. See the package comment.
type Balancer struct {
	set Settings
	rng *rand.Rand
	now Time
	out []Action

	servers  map[uint32]*server
	order    []*server         // in the order of their listing, so that nothing depends on the map's
	turns    edf.Queue[server] // each is due one every 1/weight, and the earliest due goes next
	turn     float64           // virtual time: the deadline of the turn given out last
	keys     affinity.Table
	passed   []*server // scratch of pick
	lost     [256]int  // failures to connect in each zone since the last success
	benched  int       // servers suspended
	inflight int       // attempts out
	window   float64   // the most that may be
	signs    float64   // share of recent answers that spoke of a queue
	lastEnd  Time      // of an attempt
	warmTill Time      // until then the window is not narrowed to what is in use
	remote   float64   // the part of their weight that servers of other zones keep
	kinds    []kindMean
	mean     kindMean

	open  map[uint64]*request
	spare []*request
	held  []*request

	started, refreshed Time
	heldTimer          bool
	arrivals           float64                     // since the last refresh
	arrivalRate        float64                     // requests a second, smoothed
	meanWork           float64                     // of the requests that tell theirs
	retries            float64                     // tokens of the retry budget
	shares             []float64                   // tokens of each tenant's share
	usual              float64                     // time of a served attempt, median
	calm               []latencybaseline.Estimator // by class: what answers take where nothing queues
	disc               discovery
}

// attempt is what is remembered of one send. mayHaveRun holds until an outcome proves the opposite, so it
// covers attempts that are still out.
type attempt struct {
	server     *server
	id         uint32
	zone       uint8
	cell       uint16
	out        bool
	mayHaveRun bool
	slow       bool // its client still sends: no server holds it, and it counts nowhere
	sent       Time
	cost       float64
}

// request is one that this balancer has taken. It is kept until answered and until each attempt has ended.
type request struct {
	id       uint64
	class    *Class
	number   uint8 // of its class
	key      uint64
	homes    [2]uint32 // servers that most likely met its key
	miss     float64   // what it counts to go to any other
	cost     float64   // work, in mean requests
	value    float64   // worth for each unit of work
	arrived  Time
	deadline Time
	holdTill Time // when held: the last moment to wait for
	over     bool
	held     bool
	streams  bool
	slow     bool // its body is still coming
	out      int
	attempts int // the most it may have
	tries    []attempt
}

// New returns a balancer for the given settings. The seed drives all its random choices.
func New(set Settings, seed uint64) (*Balancer, error) {
	b := &Balancer{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), started: -1,
		servers: map[uint32]*server{}, open: map[uint64]*request{}, retries: retryBurst, window: math.Inf(1)}
	return b, b.ApplySettings(set)
}

// ApplySettings takes over other settings, or none with an error. Requests keep the class and attempts they had.
func (b *Balancer) ApplySettings(set Settings) error {
	if err := set.complete(); err != nil {
		return err
	}
	shares := make([]float64, len(set.Tenants))
	copy(shares, b.shares)
	calms := make([]latencybaseline.Estimator, len(set.Classes))
	copy(calms, b.calm)
	b.set, b.shares, b.calm = set, shares, calms
	return nil
}

// Handle takes the next event, which happens at now, and appends the actions that follow to out.
func (b *Balancer) Handle(now Time, ev *Event, out []Action) []Action {
	b.now, b.out = max(now, b.now), out
	if b.started < 0 {
		b.started, b.refreshed = b.now, b.now
		b.timer(tagRefresh, b.jitter(refreshEvery))
		b.askSoon()
	}
	switch ev.Kind {
	case RequestArrived:
		b.arrive(ev)
	case AttemptEnded:
		b.ended(ev)
	case ResponseStarted:
		if r := b.open[ev.ID]; r != nil {
			r.streams = true // from here the answer is the client's and no deadline runs
		}
	case BodySent:
		if r := b.open[ev.ID]; r != nil && int(ev.Attempt) < len(r.tries) && r.tries[ev.Attempt].slow {
			r.slow = false
			b.handed(&r.tries[ev.Attempt])
		}
	case RequestAbandoned:
		if r := b.open[ev.ID]; r != nil {
			b.conclude(r)
		}
	case TimerFired:
		b.fired(ev.ID)
	case LoadPolled:
		if s := b.servers[ev.Server]; s != nil {
			b.report(s, ev.Report)
		}
	case MembershipFull, MembershipCached, MembershipDelta, DiscoveryFailed, DiscoverySilent:
		b.listed(ev)
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) timer(tag uint64, after Time) {
	b.do(Action{Kind: SetTimer, ID: tag, After: max(1, after)})
}

// jitter is a random time between half of t and t and a half.
func (b *Balancer) jitter(t Time) Time { return t/2 + Time(b.rng.Float64()*float64(t)) }

func (b *Balancer) fired(tag uint64) {
	switch tag & (1<<tagBits - 1) {
	case tagRefresh:
		b.refresh()
		b.timer(tagRefresh, refreshEvery)
	case tagHeld:
		b.heldTimer = false
		b.expireHeld()
	case tagAsk:
		b.ask()
	}
}

// arrive takes a request and sends it on, holds it or refuses it.
func (b *Balancer) arrive(ev *Event) {
	if b.open[ev.ID] != nil || int(ev.Class) >= len(b.set.Classes) {
		return // a repeated id, or a class that the settings do not know: nothing sensible can be owed
	}
	b.arrivals++
	b.retries = min(retryBurst, b.retries+retryShare)
	if len(b.spare) == 0 {
		b.spare = append(b.spare, &request{})
	}
	r := b.spare[len(b.spare)-1]
	b.spare = b.spare[:len(b.spare)-1]
	*r = request{id: ev.ID, class: &b.set.Classes[ev.Class], number: ev.Class, key: ev.AffinityKey, cost: 1,
		arrived: b.now, deadline: b.now + ev.ClientTimeout, attempts: b.set.Limits.MaxAttempts, tries: r.tries[:0],
		slow: ev.BodyPending}
	if ev.Work > 0 {
		w := float64(ev.Work)
		if b.meanWork == 0 {
			b.meanWork = w
		}
		b.meanWork += (w - b.meanWork) / 256
		r.cost = w / b.meanWork
	}
	r.value = r.class.Value
	if !b.set.ValuePerWork {
		r.value /= r.cost
	}
	// What a tenant sends beyond its share is worth little, and must not push out what others send within
	// theirs when there is not room for all.
	if int(ev.Tenant) < len(b.shares) {
		if b.shares[ev.Tenant] >= 1 {
			b.shares[ev.Tenant]--
		} else {
			r.value *= b.set.OverQuotaValue
		}
	}
	b.open[r.id] = r
	if len(b.held) > 0 || !b.room() {
		b.hold(r)
		b.releaseHeld()
		return
	}
	b.dispatch(r)
}

// permits says whether r may be sent to s now, and whether any further send is possible at all: the rules on
// effects, from what each earlier attempt proves, and the limits of the deployment.
func (b *Balancer) permits(r *request, s *server) bool {
	if !b.another(r) || s.mode != ModeReady || !s.listed {
		return false
	}
	for i := range r.tries {
		t := &r.tries[i]
		if !t.mayHaveRun || r.class.Semantics != Deduplicated {
			continue
		}
		if r.class.DedupScope == DedupPerZone && t.zone != s.zone || r.class.DedupScope == DedupPerCell && t.cell != s.cell {
			return false
		}
	}
	return true
}

// another says whether r may have a further attempt on any server.
func (b *Balancer) another(r *request) bool {
	if r.over || r.streams || len(r.tries) >= r.attempts || b.now >= r.deadline {
		return false
	}
	if r.out > 0 && !b.set.Limits.AllowHedging {
		return false
	}
	return b.now < r.repeatBy()
}

// repeatBy is when a further attempt may be written no more; never for what may run any number of times. The
// group forgets a key a window after the attempt was issued; a server may take up the new one some time after
// it is sent, so the last eighth of the window is left unused.
func (r *request) repeatBy() Time {
	by := Time(math.MaxInt64)
	for i := range r.tries {
		if t := &r.tries[i]; t.mayHaveRun && r.class.Semantics == NonIdempotent {
			return 0
		} else if t.mayHaveRun && r.class.Semantics == Deduplicated {
			by = min(by, t.sent+r.class.DedupWindow-r.class.DedupWindow/8)
		}
	}
	return by
}

// mayRefuse says whether the client may be told that trying again is harmless.
func (r *request) mayRefuse() bool {
	for i := range r.tries {
		if r.tries[i].mayHaveRun && (r.class.Semantics == NonIdempotent ||
			r.class.Semantics == Deduplicated && r.class.DedupScope != DedupEverywhere) {
			return false
		}
	}
	return true
}

// dispatch sends r to the server whose turn it is; without one it holds r for a while, or settles it. It
// reports whether r was sent.
func (b *Balancer) dispatch(r *request) bool {
	if !b.another(r) || r.out == 0 && b.doomed(r) {
		b.settle(r)
		return false
	}
	if s := b.pick(r); s != nil {
		b.send(r, s)
		return true
	}
	b.hold(r)
	return false
}

// doomed says whether r has less time left than an attempt would most likely take. Clients that leave before
// their answer ask again, and a few of them can have the servers work twice for each request, for nobody.
func (b *Balancer) doomed(r *request) bool {
	return float64(r.deadline-b.now) < doomedPart*b.usual*(1+r.cost)/2
}

const doomedPart = 0.8

func (b *Balancer) send(r *request, s *server) {
	by := r.repeatBy()
	if by == math.MaxInt64 {
		by = 0
	}
	r.tries = append(r.tries, attempt{server: s, id: s.id, zone: s.zone, cell: s.cell, out: true,
		mayHaveRun: true, slow: true, sent: b.now, cost: r.cost})
	r.out++
	s.slow++
	b.charge(s, r.cost)
	if b.now-s.lastSend >= b.set.Limits.ConnIdleTimeout {
		s.conns = s.inflight
	}
	s.lastSend = b.now
	if !r.slow {
		b.handed(&r.tries[len(r.tries)-1])
	}
	b.place(s)
	b.do(Action{Kind: SendAttempt, ID: r.id, Server: s.id, SendBefore: by})
}

// handed counts an attempt as one that its server has.
func (b *Balancer) handed(t *attempt) {
	s := t.server
	t.slow = false
	s.slow--
	if s.inflight == 0 {
		s.waiting = b.now
	}
	s.inflight++
	s.conns = max(s.conns, s.inflight)
	if !s.stalled { // else its end adds all that is out there
		b.inflight++
	}
	b.place(s)
}

// hold keeps r until a server can take it and the window has room. It ends by itself while a refusal is
// still in time: what counts is the client's patience, and an answer past the aim is worth little.
func (b *Balancer) hold(r *request) {
	margin := heldEvery + 2*b.set.BatchPeriod
	r.holdTill = min(r.deadline-margin, r.arrived+max(r.class.LatencyTarget/8, r.class.LatencyTarget-Time(2*b.usual)))
	if !slices.ContainsFunc(r.tries, func(t attempt) bool { return t.mayHaveRun }) {
		// Sent nowhere, it is owed its refusal while the client has half of its time left to do better.
		r.holdTill = min(r.holdTill, r.arrived+(r.deadline-r.arrived)/2-margin)
	}
	// With every server drained or taken out there is nothing to wait for.
	out := len(b.order) > 0 &&
		!slices.ContainsFunc(b.order, func(s *server) bool { return s.listed && s.mode == ModeReady })
	crowded := b.set.Limits.MaxOpenRequests > 0 && 2*len(b.open) > b.set.Limits.MaxOpenRequests
	if out || crowded || b.now+heldEvery > r.holdTill {
		b.settle(r)
		return
	}
	r.held = true
	b.held = append(b.held, r)
	b.watchHeld()
}

func (b *Balancer) watchHeld() {
	if len(b.held) > 0 && !b.heldTimer {
		b.heldTimer = true
		b.timer(tagHeld, heldEvery)
	}
}

// expireHeld settles the held requests whose time has come, and forgets those that ended otherwise.
func (b *Balancer) expireHeld() {
	kept := b.held[:0]
	for _, r := range b.held {
		if !r.over && b.now+heldEvery <= r.holdTill {
			kept = append(kept, r)
			continue
		}
		r.held = false
		if r.over {
			b.release(r)
		} else {
			b.settle(r)
		}
	}
	clear(b.held[len(kept):])
	b.held = kept
	b.releaseHeld()
	b.watchHeld()
}

// releaseHeld sends held requests as far as the window allows: the most valuable for its work first, and of
// equals the newest, which is the likeliest to be answered in time.
func (b *Balancer) releaseHeld() {
	for len(b.held) > 0 && b.room() {
		best := -1
		for i, r := range b.held {
			if !r.over && (best < 0 || r.value >= b.held[best].value) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		r := b.held[best]
		b.held = slices.Delete(b.held, best, best+1)
		r.held = false
		if !b.dispatch(r) {
			return
		}
	}
}

// settle gives r its final answer when no attempt is left that could: a refusal where that is a promise that
// can be kept, else a failure.
func (b *Balancer) settle(r *request) {
	if r.over || r.out > 0 {
		return
	}
	if r.mayRefuse() {
		b.do(Action{Kind: RejectRequest, ID: r.id, After: b.comeBack()})
	} else {
		b.do(Action{Kind: FailRequest, ID: r.id})
	}
	b.conclude(r)
}

// comeBack is when a refused client may find room: an answer's time for each windowful held, spread out.
func (b *Balancer) comeBack() Time {
	wait := max(b.usual, heldEvery) * (1 + float64(len(b.held))/b.window)
	wait *= 0.5 + b.rng.Float64()
	return min(Time(wait), b.set.Limits.MaxRetryAfter)
}

// conclude marks r answered and calls off what is still out for it.
func (b *Balancer) conclude(r *request) {
	r.over = true
	if b.set.Limits.AllowCancel && r.out > 0 && !r.streams {
		for i := range r.tries {
			if r.tries[i].out {
				b.do(Action{Kind: CancelAttempt, ID: r.id, Attempt: uint8(i)})
			}
		}
	}
	b.release(r)
}

// release forgets r once nothing refers to it any more.
func (b *Balancer) release(r *request) {
	if !r.over || r.out > 0 || r.held || b.open[r.id] != r {
		return
	}
	delete(b.open, r.id)
	clear(r.tries)
	b.spare = append(b.spare, r)
}

// ended takes the outcome of an attempt.
func (b *Balancer) ended(ev *Event) {
	r := b.open[ev.ID]
	if r == nil || int(ev.Attempt) >= len(r.tries) {
		return
	}
	t := &r.tries[ev.Attempt]
	if !t.out || t.id != ev.Server {
		return // a repeated or confused outcome
	}
	if t.out = false; t.slow {
		b.handed(t)
	}
	r.out--
	b.lastEnd = b.now
	t.mayHaveRun = t.mayHaveRun && !ev.Outcome.neverRan()
	b.observe(t.server, t, ev)
	b.pace(r, t, ev)
	defer b.releaseHeld()
	switch {
	case r.over:
		b.release(r)
	case ev.Final || ev.Outcome == OK:
		b.conclude(r)
	case r.out > 0 || r.held: // another copy may still answer
	case b.another(r) && b.afford(t):
		b.dispatch(r)
	default:
		b.settle(r)
	}
}

// The retry budget: attempts after one that may have run add work that serves nobody if all is slow, so
// they are a small share of the arrivals. A server that turned a request away unseen cost little.
const (
	retryShare = 0.2
	retryBurst = 10.0
)

func (b *Balancer) afford(t *attempt) bool {
	if !t.mayHaveRun {
		return true
	}
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
