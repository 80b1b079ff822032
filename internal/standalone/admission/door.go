// Package admission decides which of the requests that have come in may go on to the decision module now, which wait, and
// which are refused: fair queueing over tenants by their shares, within a tenant over classes by their worth, and within
// those over clients, under a limit on what is inside at once that adapts to measured service.
//
// A Door is a state machine like decide.Balancer: it has no clock, no goroutine and does no I/O; the caller's now is the
// only time it knows, in microseconds, never going back. Which server gets a request, whether it is repeated, and refusals
// for want of servers stay the module's. The door never holds what the module could take: it bounds what is inside, so that
// what must wait does so here, where turns are fair and a refusal is harmless, as nothing has been sent.
//
// Memory is bounded by the settings alone: places are fixed in number, clients have no state of their own (they share
// hashed queues), and what is promised to those refused is remembered in sums.
//
// A Door is not safe for concurrent use.
package admission

import (
	"fmt"
	"math"
)

// Time is a moment or a span in microseconds.
type Time = int64

// Tenant is a customer of the service.
type Tenant struct {
	Name  string
	Share float64 // its part of the service against the others'; 0: only what nobody else wants
	Rate  float64 // requests a second of its that count as within its share at this proxy; 0: all
}

// Class is a class of requests.
type Class struct {
	Name  string
	Worth float64 // of a unit of its work, against the other classes
	Work  Time    // expected of a request that gives no hint
	Aim   Time    // an answer within this earns the full worth; 0: the deadline is all that counts
}

// Settings are what the operators set.
type Settings struct {
	Tenants   []Tenant
	Classes   []Class
	OverShare float64 // worth of what goes past a tenant's rate, as a part of its class's

	Waiting  int     // places in all
	Buckets  int     // queues that the clients of one tenant and class share
	Least    float64 // the limit's bounds, in requests of mean work inside at once
	Most     float64
	Start    float64 // the limit before anything is known
	Patience float64 // of the expected time that must be left when a request goes in; under it, it is refused

	Repeats     float64 // repeats by clients that a tenant may have, as a share of its first tries
	RepeatBurst float64 // and at once
	MaxComeBack Time    // the longest that a client is told to stay away
	RotateSalt  Time    // clients are dealt anew to the queues after this
	Seed        uint64
}

// Defaults are settings that suit a proxy of some hundreds of requests a second. Tenants and Classes are left out.
func Defaults() Settings {
	return Settings{OverShare: 0.1, Waiting: 2048, Buckets: 32, Least: 4, Most: 4096, Start: 64, Patience: 0.8, Repeats: 0.3, RepeatBurst: 20,
		MaxComeBack: 2_500_000, RotateSalt: 10_000_000}
}

// Check says which setting cannot be: its key and why, or nothing.
func (s *Settings) Check() (key, why string) {
	finite := func(x float64) bool { return x >= 0 && x <= 1e12 }
	switch {
	case len(s.Classes) == 0 || len(s.Classes) > 250:
		return "classes", fmt.Sprintf("%d classes", len(s.Classes))
	case len(s.Tenants) == 0 || len(s.Tenants) > 100_000:
		return "tenants", fmt.Sprintf("%d tenants", len(s.Tenants))
	case !(s.OverShare >= 0 && s.OverShare <= 1):
		return "over_share", fmt.Sprintf("%v is not within 0 and 1", s.OverShare)
	case s.Waiting < 1 || s.Waiting > 1<<20:
		return "waiting", fmt.Sprintf("%d is not within 1 and %d", s.Waiting, 1<<20)
	case s.Buckets < 1 || s.Buckets > 4096:
		return "buckets", fmt.Sprintf("%d is not within 1 and 4096", s.Buckets)
	case !(s.Least >= 1 && finite(s.Least)):
		return "least", fmt.Sprintf("%v is under 1", s.Least)
	case !(s.Most >= s.Least && finite(s.Most)):
		return "most", fmt.Sprintf("%v is under least", s.Most)
	case !(s.Start >= s.Least && s.Start <= s.Most):
		return "start", fmt.Sprintf("%v is not within least and most", s.Start)
	case !finite(s.Patience) || s.Patience > 10:
		return "patience", fmt.Sprintf("%v is not within 0 and 10", s.Patience)
	case !finite(s.Repeats):
		return "repeats", fmt.Sprintf("%v is no share", s.Repeats)
	case !finite(s.RepeatBurst):
		return "repeat_burst", fmt.Sprintf("%v is no number of requests", s.RepeatBurst)
	case s.MaxComeBack < slotSpan || s.MaxComeBack > 3_600_000_000:
		return "max_come_back", "it is not within 100ms and 1h"
	case s.RotateSalt < 1_000_000:
		return "rotate", "it is under 1s"
	}
	for i, t := range s.Tenants {
		if !finite(t.Share) {
			return fmt.Sprintf("tenants.%d.share", i), fmt.Sprintf("%v is no share", t.Share)
		}
		if !finite(t.Rate) {
			return fmt.Sprintf("tenants.%d.rate", i), fmt.Sprintf("%v is no rate", t.Rate)
		}
	}
	for i, c := range s.Classes {
		if !finite(c.Worth) {
			return fmt.Sprintf("classes.%d.worth", i), fmt.Sprintf("%v is no worth", c.Worth)
		}
		if c.Work < 1 || c.Work > 3_600_000_000 {
			return fmt.Sprintf("classes.%d.work", i), "it is not within 1us and 1h"
		}
		if c.Aim < 0 || c.Aim > 3_600_000_000 {
			return fmt.Sprintf("classes.%d.aim", i), "it is not within 0 and 1h"
		}
	}
	return "", ""
}

// Request is one that has come in. Tenant and Class are places in the settings.
type Request struct {
	Tenant   int
	Class    int
	Client   uint64 // a hash of who sends it, such as its address
	Work     Time   // the client's hint; 0: none
	Deadline Time   // absolute
	Repeat   bool   // the client says that it asked before
}

// Ticket names a request from its arrival to its end. 0 names none.
type Ticket uint64

// Kind says what is to be done with a request.
type Kind uint8

// What is to be done.
const (
	Enter  Kind = iota + 1 // it goes on to the module
	Refuse                 // it is answered at once; After says when there should be room
)

// Reason is why a request is refused.
type Reason uint8

// Why a request is refused.
const (
	NoRoom  Reason = iota // all places are taken, and its tenant has its part of them
	TooLate               // it could not be served within its client's time
	Repeats               // its tenant's clients repeat more than they may
	reasons
)

func (r Reason) String() string { return [...]string{"no room", "too late", "repeats"}[r] }

// Action is what is to be done with a request that waited, or has just come.
type Action struct {
	Ticket Ticket
	Kind   Kind
	Reason Reason
	After  Time
}

// state of an item.
const (
	free uint8 = iota
	waiting
	inside
)

// item is one request.
type item struct {
	gen     uint32
	state   uint8
	repeat  bool // one that came back when it was told to
	tenant  int32
	lane    int32
	bucket  int32
	next    int32 // in its queue
	prev    int32
	place   int32 // in the heap of ends
	client  uint64
	work    float64
	ends    Time // the last moment at which it may go in
	arrived Time
	entered Time
}

// tenant is one tenant's state.
type tenant struct {
	lanes   sched
	buckets []sched // by lane; empty until the first of its requests waits
	heads   [][]list
	waiting int
	backlog float64 // work that waits
	drain   float64 // work a microsecond that goes in, of late
	went    float64 // since the last tick

	repeats  float64   // tokens
	within   float64   // tokens of its rate
	filled   Time      // when they were last
	promised []float64 // work told to come back, by slot
	stats    TenantStats
}

type list struct{ head, tail int32 }

// TenantStats counts what a tenant got. Work is in microseconds on a standard core.
type TenantStats struct {
	Came, Entered, Left uint64
	Refused             [reasons]uint64
	Work                float64 // that has gone in
	Waiting             int
	Promised            uint64 // refusals that named a time with room kept
	Returned            uint64 // repeats that came when they were told to
	ReturnsIn           uint64 // and went in
}

// Door decides. See the package comment.
type Door struct {
	set     Settings
	now     Time
	items   []item
	free    int32
	tenants []tenant
	order   sched // of tenants
	ends    []int32
	waits   int
	inside  int
	load    float64 // work inside

	limit  float64 // in mean requests
	mean   float64 // work of a request
	base   float64 // time inside for a unit of work, where nothing queues
	short  float64 // of late
	sum    float64 // of the times since the limit was last changed
	seen   int     // and how many
	drain  float64
	went   float64
	ticked Time
	salt   uint64
	salted Time
}

const none = -1

// The first slot of a tenant's promises is that of the present; each is slotSpan long.
const (
	slotSpan  = 100_000
	tickSpan  = 100_000
	returning = 8.0 // how much more than the most valuable class those weigh that come back when told to
)

// New returns a door. Settings must pass Check.
func New(set Settings) (*Door, error) {
	if key, why := set.Check(); key != "" {
		return nil, fmt.Errorf("door: %s: %s", key, why)
	}
	d := &Door{limit: set.Start, free: none}
	d.adopt(set)
	return d, nil
}

// adopt takes over settings and makes empty queues for them.
func (d *Door) adopt(set Settings) {
	d.set = set
	d.tenants = make([]tenant, len(set.Tenants))
	d.order = newSched(len(set.Tenants))
	sum := 0.0
	for i := range d.tenants {
		d.order.flows[i].weight = weight(set.Tenants[i].Share)
		d.tenants[i] = tenant{repeats: set.RepeatBurst, promised: make([]float64, 1+int(set.MaxComeBack/slotSpan))}
		t := &d.tenants[i]
		t.within = math.Max(1, set.Tenants[i].Rate)
		t.filled = d.now
		// A lane for each class, one for those that come back when told to, and one for each class past the rate.
		t.lanes = newSched(2*len(set.Classes) + 1)
		most := 0.0
		for k, c := range set.Classes {
			t.lanes.flows[k].weight = weight(c.Worth)
			t.lanes.flows[len(set.Classes)+1+k].weight = weight(c.Worth * set.OverShare)
			most = math.Max(most, c.Worth)
		}
		t.lanes.flows[len(set.Classes)].weight = weight(most * returning)
	}
	for _, c := range set.Classes {
		sum += float64(c.Work)
	}
	d.mean = sum / float64(len(set.Classes))
	d.limit = math.Min(math.Max(d.limit, set.Least), set.Most)
	d.salt = mix(set.Seed + 1)
}

// leastWeight lets a flow without a share have what nobody else wants.
const leastWeight = 1e-6

func weight(x float64) float64 { return math.Max(x, leastWeight) }

// Arrive takes a request: it goes in, waits, or is refused, and others may be refused to make room for it. The actions
// that follow are appended to out; the request's own, if it has one already, names the ticket that is returned.
func (d *Door) Arrive(now Time, r Request, out []Action) (Ticket, []Action) {
	out = d.advance(now, out)
	t := &d.tenants[r.Tenant]
	t.stats.Came++
	n, ticket := d.grab()
	it := &d.items[n]
	work := float64(r.Work)
	if work <= 0 {
		work = float64(d.set.Classes[r.Class].Work)
	}
	// A wild hint must neither buy turns nor bar its client for ever.
	it.work = math.Min(math.Max(work, d.mean/16), d.mean*16)
	d.mean += (it.work - d.mean) / 1024
	it.tenant, it.lane, it.arrived = int32(r.Tenant), int32(r.Class), d.now
	// A queue that lets each wait till its deadline serves nobody in time once it is full: what counts is the aim, unless the
	// work alone takes longer than that.
	lasts := d.expected(it.work)
	it.ends = r.Deadline - Time(d.set.Patience*lasts)
	if aim := float64(d.set.Classes[r.Class].Aim); aim > 0 {
		it.ends = min(it.ends, d.now+Time(math.Max(aim/8, aim-lasts)))
	}
	it.repeat = r.Repeat && d.kept(t, it.work)
	switch {
	case it.repeat:
		t.stats.Returned++
		it.lane = int32(len(d.set.Classes))
	case r.Repeat && t.repeats < 1:
		return ticket, d.refuse(n, Repeats, out)
	case r.Repeat:
		t.repeats--
	default:
		t.repeats = math.Min(d.set.RepeatBurst, t.repeats+d.set.Repeats)
	}
	if !it.repeat && !d.withinShare(r.Tenant) {
		it.lane += int32(len(d.set.Classes)) + 1
	}
	if d.waits == 0 && d.room(it.work) {
		return ticket, d.enter(n, out)
	}
	if float64(d.now)+d.wait(t, it) > float64(it.ends) {
		return ticket, d.refuse(n, TooLate, out)
	}
	if d.waits >= d.set.Waiting {
		loser := d.loser(it)
		if loser == none {
			return ticket, d.refuse(n, NoRoom, out)
		}
		d.unqueue(loser)
		out = d.refuse(loser, NoRoom, out)
	}
	it.client = r.Client
	d.queue(n)
	return ticket, d.release(out)
}

// withinShare counts a request against its tenant's rate, and says whether it is within.
func (d *Door) withinShare(at int) bool {
	t, rate := &d.tenants[at], d.set.Tenants[at].Rate
	if rate == 0 {
		return true
	}
	t.within = math.Min(math.Max(1, rate), t.within+rate*float64(d.now-t.filled)/1e6)
	t.filled = d.now
	if t.within < 1 {
		return false
	}
	t.within--
	return true
}

// Leave takes the end of a request that was inside: served says whether it was answered by a server, and so tells how
// long that took. What is not inside, or not any more, is ignored.
func (d *Door) Leave(now Time, ticket Ticket, served bool, out []Action) []Action {
	out = d.advance(now, out)
	n := d.find(ticket)
	if n == none || d.items[n].state != inside {
		return out
	}
	it := &d.items[n]
	d.inside--
	d.load -= it.work
	d.tenants[it.tenant].stats.Left++
	if d.inside == 0 {
		d.load = 0 // sums of fractions must not drift
	}
	if served {
		d.learn(float64(d.now-it.entered) / it.work)
	}
	d.drop(n)
	return d.release(out)
}

// Abandon takes a request that waits out of its queue: its client is gone.
func (d *Door) Abandon(now Time, ticket Ticket, out []Action) []Action {
	out = d.advance(now, out)
	if n := d.find(ticket); n != none && d.items[n].state == waiting {
		d.unqueue(n)
		d.drop(n)
	}
	return d.release(out)
}

// Tick lets time pass. It is to be called each 10 to 100 ms while anything waits.
func (d *Door) Tick(now Time, out []Action) []Action { return d.release(d.advance(now, out)) }

// Change takes over other settings, as one whole or not at all. What is inside stays; what waits is dealt to the new
// queues in the order of its coming, or refused where its tenant or class is no more or there is no place.
func (d *Door) Change(now Time, set Settings, out []Action) ([]Action, error) {
	if key, why := set.Check(); key != "" {
		return out, fmt.Errorf("door: %s: %s", key, why)
	}
	out = d.advance(now, out)
	old := d.set
	var held []int32
	for n := range d.items {
		if d.items[n].state == waiting {
			held = append(held, int32(n))
		}
	}
	sortByArrival(d.items, held)
	tenants, classes := map[string]int32{}, map[string]int32{}
	for i, t := range set.Tenants {
		tenants[t.Name] = int32(i)
	}
	for i, c := range set.Classes {
		classes[c.Name] = int32(i)
	}
	stats := make([]TenantStats, len(d.tenants))
	for i := range d.tenants {
		stats[i] = d.tenants[i].stats
	}
	d.ends, d.waits = d.ends[:0], 0
	d.adopt(set)
	lost := int32(none)
	for i, t := range old.Tenants {
		if at, ok := tenants[t.Name]; ok {
			d.tenants[at].stats = stats[i]
			d.tenants[at].stats.Waiting = 0
		}
	}
	for n := range d.items {
		it := &d.items[n]
		if it.state == free {
			continue
		}
		at, ok := tenants[old.Tenants[it.tenant].Name]
		if !ok {
			at = lost
		}
		it.tenant = at
		class, past := int(it.lane), int32(0)
		if class > len(old.Classes) {
			class, past = class-len(old.Classes)-1, int32(len(set.Classes))+1
		}
		it.lane = int32(len(set.Classes)) // of those that came back, or of a class that is no more: they go first
		if class < len(old.Classes) {
			if lane, ok := classes[old.Classes[class].Name]; ok {
				it.lane = lane + past
			}
		}
		if it.state == inside && it.tenant == lost {
			it.tenant = 0 // only its statistics go there
		}
	}
	for _, n := range held {
		if d.items[n].tenant == lost || d.waits >= d.set.Waiting {
			if d.items[n].tenant == lost {
				d.items[n].tenant = 0
			}
			out = d.refuse(n, NoRoom, out)
			continue
		}
		d.queue(n)
	}
	return d.release(out), nil
}

// Stats is what the door knows of one tenant's traffic, by its place.
func (d *Door) Stats(at int) TenantStats {
	s := d.tenants[at].stats
	s.Waiting = d.tenants[at].waiting
	return s
}

// State is the door's limit, what is inside and what waits.
func (d *Door) State() (limit float64, inside, waits int) { return d.limit, d.inside, d.waits }

// Next is when Tick is due at the latest; 0: not at all while nothing happens.
func (d *Door) Next() Time {
	if len(d.ends) == 0 {
		return 0
	}
	return max(d.now, d.items[d.ends[0]].ends) + 1
}

// advance brings time up to now: refuses what could not be served any more and keeps the rates.
func (d *Door) advance(now Time, out []Action) []Action {
	d.now = max(d.now, now)
	if d.salted == 0 {
		d.salted, d.ticked = d.now, d.now
	}
	if d.now-d.salted >= d.set.RotateSalt {
		d.salted, d.salt = d.now, mix(d.salt)
	}
	if dt := float64(d.now - d.ticked); dt >= tickSpan {
		gain := 1 - math.Exp(-dt/1e6)
		d.drain += gain * (d.went/dt - d.drain)
		d.went = 0
		slots := min(int((d.now-d.ticked)/slotSpan), 1<<20)
		for i := range d.tenants {
			t := &d.tenants[i]
			t.drain += gain * (t.went/dt - t.drain)
			t.went = 0
			if k := min(slots, len(t.promised)); k > 0 {
				copy(t.promised, t.promised[k:])
				clear(t.promised[len(t.promised)-k:])
			}
		}
		d.ticked += Time(slots) * slotSpan
	}
	for len(d.ends) > 0 && d.items[d.ends[0]].ends < d.now {
		n := d.ends[0]
		d.unqueue(n)
		out = d.refuse(n, TooLate, out)
	}
	return out
}

// room says whether a request may go in now. One may always, or a heavy one could wait for ever.
func (d *Door) room(work float64) bool { return d.inside == 0 || d.load+work <= d.limit*d.mean }

// release lets in what there is room for, in fair order.
func (d *Door) release(out []Action) []Action {
	for d.waits > 0 {
		t := &d.tenants[d.order.min()]
		lane := t.lanes.min()
		n := t.heads[lane][t.buckets[lane].min()].head
		if !d.room(d.items[n].work) {
			return out
		}
		d.unqueueServed(n)
		out = d.enter(n, out)
	}
	return out
}

func (d *Door) enter(n int32, out []Action) []Action {
	it := &d.items[n]
	it.state, it.entered = inside, d.now
	d.inside++
	d.load += it.work
	d.went += it.work
	t := &d.tenants[it.tenant]
	t.went += it.work
	t.stats.Entered++
	t.stats.Work += it.work
	if it.repeat {
		t.stats.ReturnsIn++
	}
	return append(out, Action{Ticket: d.ticket(n), Kind: Enter})
}

func (d *Door) refuse(n int32, why Reason, out []Action) []Action {
	it := &d.items[n]
	t := &d.tenants[it.tenant]
	t.stats.Refused[why]++
	out = append(out, Action{Ticket: d.ticket(n), Kind: Refuse, Reason: why, After: d.comeBack(t, it)})
	d.drop(n)
	return out
}

// learn takes the time inside that a unit of work took, and adapts the limit by the gradient between what is usual where
// nothing queues and what is so of late (as in Netflix's concurrency-limits, 2018): where the two part, what is inside queues
// there. The limit grows by a part of its root while it is in use, so that it can find out that there is more room. Means of
// some tens of requests are compared and not single ones, which vary too much by themselves.
func (d *Door) learn(took float64) {
	d.sum += took
	if d.seen++; float64(d.seen) < math.Max(16, d.limit/4) {
		return
	}
	mean := d.sum / float64(d.seen)
	d.sum, d.seen = 0, 0
	if d.base == 0 {
		d.base, d.short = mean, mean
	}
	d.short += (mean - d.short) / 2
	inUse := d.waits > 0 || d.load > 0.7*d.limit*d.mean
	switch {
	case mean < d.base:
		d.base += (mean - d.base) / 4
	case inUse: // what queues under load must not come to be held for usual
		d.base += (mean - d.base) / 8192
	default:
		d.base += (mean - d.base) / 128
	}
	next := d.limit * math.Min(1, math.Max(0.5, tolerance*d.base/d.short))
	if inUse {
		next += math.Sqrt(d.limit) / 2
	}
	d.limit = math.Min(math.Max((d.limit+next)/2, d.set.Least), d.set.Most)
}

// tolerance is how many times the usual the time inside may be before the limit shrinks.
const tolerance = 1.4

// expected is how long a request of this work takes inside: as long as its work, before anything is known.
func (d *Door) expected(work float64) float64 {
	if d.short == 0 {
		return work
	}
	return d.short * work
}

// wait is how long a request of the tenant would wait: what stands before it, and what the tenant's clients have been
// told to come back with meanwhile, at the rate at which its work goes in. Nothing is known of a tenant that has sent
// nothing of late: it has its share of what goes in.
func (d *Door) wait(t *tenant, it *item) float64 {
	ahead := t.backlog
	if it.repeat { // room has been kept for it
		ahead = 0
	} else {
		ahead += t.promised[0]
	}
	if d.drain == 0 { // nothing is known yet
		return 0
	}
	return ahead / d.rate(t, int(it.tenant))
}

// rate is the work a microsecond that goes in for a tenant, or would.
func (d *Door) rate(t *tenant, at int) float64 {
	own := &d.order.flows[at]
	sum := d.order.sum
	if own.n == 0 {
		sum += own.weight
	}
	fair := d.drain * own.weight / math.Max(sum, own.weight)
	return math.Max(math.Max(t.drain, fair), 1e-9)
}

// loser is whose place a new request may have: the last in the longest queue of the least valuable class of the tenant whose
// places are most in excess of its share. Where that is the request's own tenant, a class of less worth than its own pays.
func (d *Door) loser(it *item) int32 {
	worst, most := it.tenant, d.excess(it.tenant, 1)
	for _, i := range d.order.heap {
		if e := d.excess(i, 0); i != it.tenant && e > most {
			worst, most = i, e
		}
	}
	t := &d.tenants[worst]
	lane, least := int32(none), math.Inf(1)
	for _, l := range t.lanes.heap {
		if w := t.lanes.flows[l].weight; w < least || w == least && l < lane {
			lane, least = l, w
		}
	}
	if lane == none || worst == it.tenant && least >= t.lanes.flows[it.lane].weight {
		return none
	}
	longest, n := int32(none), 0
	for _, b := range t.buckets[lane].heap {
		if k := t.buckets[lane].flows[b].n; k > n || k == n && b < longest {
			longest, n = b, k
		}
	}
	return t.heads[lane][longest].tail
}

// excess is how many places a tenant holds for its share, with more of them.
func (d *Door) excess(at int32, more int) float64 {
	return float64(d.tenants[at].waiting+more) / d.order.flows[at].weight
}

// comeBack is when a refused client should find room: the first slot in which its tenant's work, at the rate at which it
// goes in, leaves some for what has not been promised yet. The promise is remembered as a sum, so that others are sent
// elsewhere, and spread within the slot, so that those refused together do not come back together. 0: no slot within
// MaxComeBack has room, and a time that is named would be a lie.
func (d *Door) comeBack(t *tenant, it *item) Time {
	rate := d.rate(t, int(it.tenant)) * slotSpan * keptPart
	first := 1 + int(math.Min(1e6, t.backlog/math.Max(rate, 1e-9)*keptPart))
	for at := first; at < len(t.promised); at++ {
		if t.promised[at] > 0 && t.promised[at]+it.work > rate {
			continue
		}
		t.promised[at] += it.work
		t.stats.Promised++
		begin := d.ticked + Time(at)*slotSpan - d.now
		spread := Time(mix(uint64(it.gen)<<32^uint64(it.arrived)) % (slotSpan * 9 / 10))
		return min(max(1, begin+spread), d.set.MaxComeBack)
	}
	return 0
}

// keptPart is the part of a tenant's rate that is promised to those told to come back; the rest is for those who come
// for the first time.
const keptPart = 0.7

// kept says whether a repeat comes when some of its tenant's clients were told to, and takes it off what was promised.
func (d *Door) kept(t *tenant, work float64) bool {
	for s := range t.promised[:min(2, len(t.promised))] {
		if t.promised[s] >= work/2 {
			t.promised[s] = math.Max(0, t.promised[s]-work)
			return true
		}
	}
	return false
}
