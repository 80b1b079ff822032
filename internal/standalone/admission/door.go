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
	Name          string
	Value         float64 // of a unit of its work, against the other classes
	Work          Time    // expected of a request that gives no hint
	LatencyTarget Time    // an answer within this earns the full worth; 0: the deadline is all that counts
}

// Settings are what the operators set.
type Settings struct {
	Tenants         []Tenant
	Classes         []Class
	OverQuotaFactor float64 // worth of what goes past a tenant's rate, as a part of its class's

	MaxQueued          int     // places in all
	QueuesPerClass     int     // queues that the clients of one tenant and class share
	MinLimit           float64 // the limit's bounds, in requests of mean work inside at once
	MaxLimit           float64
	InitialLimit       float64 // the limit before anything is known
	RequiredTimeFactor float64 // of the expected time that must be left when a request goes in; under it, it is refused

	RetryRatio    float64 // repeats by clients that a tenant may have, as a share of its first tries
	RetryBurst    float64 // and at once
	MaxRetryAfter Time    // the longest that a client is told to stay away
	SaltRotation  Time    // clients are dealt anew to the queues after this
	Seed          uint64
}

// Defaults are settings that suit a proxy of some hundreds of requests a second. Tenants and Classes are left out.
func Defaults() Settings {
	return Settings{OverQuotaFactor: 0.1, MaxQueued: 2048, QueuesPerClass: 32, MinLimit: 4, MaxLimit: 4096, InitialLimit: 64, RequiredTimeFactor: 0.8, RetryRatio: 0.3, RetryBurst: 20,
		MaxRetryAfter: 2_500_000, SaltRotation: 10_000_000}
}

// Check says which setting cannot be: its key and why, or nothing.
func (s *Settings) Check() (key, why string) {
	finite := func(x float64) bool { return x >= 0 && x <= 1e12 }
	switch {
	case len(s.Classes) == 0 || len(s.Classes) > 250:
		return "classes", fmt.Sprintf("%d classes", len(s.Classes))
	case len(s.Tenants) == 0 || len(s.Tenants) > 100_000:
		return "tenants", fmt.Sprintf("%d tenants", len(s.Tenants))
	case !(s.OverQuotaFactor >= 0 && s.OverQuotaFactor <= 1):
		return "over_share", fmt.Sprintf("%v is not within 0 and 1", s.OverQuotaFactor)
	case s.MaxQueued < 1 || s.MaxQueued > 1<<20:
		return "waiting", fmt.Sprintf("%d is not within 1 and %d", s.MaxQueued, 1<<20)
	case s.QueuesPerClass < 1 || s.QueuesPerClass > 4096:
		return "buckets", fmt.Sprintf("%d is not within 1 and 4096", s.QueuesPerClass)
	case !(s.MinLimit >= 1 && finite(s.MinLimit)):
		return "least", fmt.Sprintf("%v is under 1", s.MinLimit)
	case !(s.MaxLimit >= s.MinLimit && finite(s.MaxLimit)):
		return "most", fmt.Sprintf("%v is under least", s.MaxLimit)
	case !(s.InitialLimit >= s.MinLimit && s.InitialLimit <= s.MaxLimit):
		return "start", fmt.Sprintf("%v is not within least and most", s.InitialLimit)
	case !finite(s.RequiredTimeFactor) || s.RequiredTimeFactor > 10:
		return "patience", fmt.Sprintf("%v is not within 0 and 10", s.RequiredTimeFactor)
	case !finite(s.RetryRatio):
		return "repeats", fmt.Sprintf("%v is no share", s.RetryRatio)
	case !finite(s.RetryBurst):
		return "repeat_burst", fmt.Sprintf("%v is no number of requests", s.RetryBurst)
	case s.MaxRetryAfter < reservationSlot || s.MaxRetryAfter > 3_600_000_000:
		return "max_come_back", "it is not within 100ms and 1h"
	case s.SaltRotation < 1_000_000:
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
		if !finite(c.Value) {
			return fmt.Sprintf("classes.%d.worth", i), fmt.Sprintf("%v is no worth", c.Value)
		}
		if c.Work < 1 || c.Work > 3_600_000_000 {
			return fmt.Sprintf("classes.%d.work", i), "it is not within 1us and 1h"
		}
		if c.LatencyTarget < 0 || c.LatencyTarget > 3_600_000_000 {
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
	IsRetry  bool   // the client says that it asked before
}

// Ticket names a request from its arrival to its end. 0 names none.
type Ticket uint64

// Kind says what is to be done with a request.
type Kind uint8

// What is to be done.
const (
	Admit  Kind = iota + 1 // it goes on to the module
	Reject                 // it is answered at once; After says when there should be room
)

// Reason is why a request is refused.
type Reason uint8

// Why a request is refused.
const (
	QueueFull            Reason = iota // all places are taken, and its tenant has its part of them
	TooLate                            // it could not be served within its client's time
	RetryBudgetExhausted               // its tenant's clients repeat more than they may
	reasonCount
)

func (r Reason) String() string { return [...]string{"no room", "too late", "repeats"}[r] }

// Action is what is to be done with a request that waited, or has just come.
type Action struct {
	Ticket     Ticket
	Kind       Kind
	Reason     Reason
	RetryAfter Time
}

// state of an item.
const (
	stateFree uint8 = iota
	stateQueued
	stateInFlight
)

// entry is one request.
type entry struct {
	generation  uint32
	state       uint8
	isReturning bool // one that came back when it was told to
	tenant      int32
	lane        int32
	bucket      int32
	next        int32 // in its queue
	prev        int32
	heapIndex   int32 // in the heap of ends
	client      uint64
	work        float64
	admitBy     Time // the last moment at which it may go in
	arrivedAt   Time
	admittedAt  Time
}

// tenant is one tenant's state.
type tenant struct {
	lanes             fairQueue
	buckets           []fairQueue // by lane; empty until the first of its requests waits
	queues            [][]list
	queued            int
	queuedWork        float64 // work that waits
	admitRate         float64 // work a microsecond that goes in, of late
	admittedSinceTick float64 // since the last tick

	retryTokens     float64   // tokens
	quotaTokens     float64   // tokens of its rate
	quotaRefilledAt Time      // when they were last
	reservedWork    []float64 // work told to come back, by slot
	stats           TenantStats
}

type list struct{ head, tail int32 }

// TenantStats counts what a tenant got. Work is in microseconds on a standard core.
type TenantStats struct {
	Arrived, Admitted, Finished uint64
	Rejected                    [reasonCount]uint64
	AdmittedWork                float64 // that has gone in
	Queued                      int
	Reserved                    uint64 // refusals that named a time with room kept
	Returned                    uint64 // repeats that came when they were told to
	ReturnsAdmitted             uint64 // and went in
}

// Controller decides. See the package comment.
type Controller struct {
	settings     Settings
	now          Time
	entries      []entry
	freeList     int32
	tenants      []tenant
	tenantOrder  fairQueue // of tenants
	admitByHeap  []int32
	queued       int
	inFlight     int
	inFlightWork float64 // work inside

	limit             float64 // in mean requests
	meanWork          float64 // work of a request
	baselineRatio     float64 // time inside for a unit of work, where nothing queues
	recentRatio       float64 // of late
	ratioSum          float64 // of the times since the limit was last changed
	ratioCount        int     // and how many
	admitRate         float64
	admittedSinceTick float64
	lastTick          Time
	salt              uint64
	saltRotatedAt     Time
}

const noIndex = -1

// The first slot of a tenant's promises is that of the present; each is reservationSlot long.
const (
	reservationSlot      = 100_000
	rateInterval         = 100_000
	returningValueFactor = 8.0 // how much more than the most valuable class those weigh that come back when told to
)

// New returns a door. Settings must pass Check.
func New(set Settings) (*Controller, error) {
	if key, why := set.Check(); key != "" {
		return nil, fmt.Errorf("door: %s: %s", key, why)
	}
	d := &Controller{limit: set.InitialLimit, freeList: noIndex}
	d.useSettings(set)
	return d, nil
}

// useSettings takes over settings and makes empty queues for them.
func (d *Controller) useSettings(set Settings) {
	d.settings = set
	d.tenants = make([]tenant, len(set.Tenants))
	d.tenantOrder = newFairQueue(len(set.Tenants))
	sum := 0.0
	for i := range d.tenants {
		d.tenantOrder.flows[i].weight = positiveWeight(set.Tenants[i].Share)
		d.tenants[i] = tenant{retryTokens: set.RetryBurst, reservedWork: make([]float64, 1+int(set.MaxRetryAfter/reservationSlot))}
		t := &d.tenants[i]
		t.quotaTokens = math.Max(1, set.Tenants[i].Rate)
		t.quotaRefilledAt = d.now
		// A lane for each class, one for those that come back when told to, and one for each class past the rate.
		t.lanes = newFairQueue(2*len(set.Classes) + 1)
		most := 0.0
		for k, c := range set.Classes {
			t.lanes.flows[k].weight = positiveWeight(c.Value)
			t.lanes.flows[len(set.Classes)+1+k].weight = positiveWeight(c.Value * set.OverQuotaFactor)
			most = math.Max(most, c.Value)
		}
		t.lanes.flows[len(set.Classes)].weight = positiveWeight(most * returningValueFactor)
	}
	for _, c := range set.Classes {
		sum += float64(c.Work)
	}
	d.meanWork = sum / float64(len(set.Classes))
	d.limit = math.Min(math.Max(d.limit, set.MinLimit), set.MaxLimit)
	d.salt = splitMix64(set.Seed + 1)
}

// minWeight lets a flow without a share have what nobody else wants.
const minWeight = 1e-6

func positiveWeight(x float64) float64 { return math.Max(x, minWeight) }

// Submit takes a request: it goes in, waits, or is refused, and others may be refused to make room for it. The actions
// that follow are appended to out; the request's own, if it has one already, names the ticket that is returned.
func (d *Controller) Submit(now Time, r Request, out []Action) (Ticket, []Action) {
	out = d.advanceTo(now, out)
	t := &d.tenants[r.Tenant]
	t.stats.Arrived++
	n, ticket := d.allocate()
	it := &d.entries[n]
	work := float64(r.Work)
	if work <= 0 {
		work = float64(d.settings.Classes[r.Class].Work)
	}
	// A wild hint must neither buy turns nor bar its client for ever.
	it.work = math.Min(math.Max(work, d.meanWork/16), d.meanWork*16)
	d.meanWork += (it.work - d.meanWork) / 1024
	it.tenant, it.lane, it.arrivedAt = int32(r.Tenant), int32(r.Class), d.now
	// A queue that lets each wait till its deadline serves nobody in time once it is full: what counts is the aim, unless the
	// work alone takes longer than that.
	lasts := d.expectedLatency(it.work)
	it.admitBy = r.Deadline - Time(d.settings.RequiredTimeFactor*lasts)
	if aim := float64(d.settings.Classes[r.Class].LatencyTarget); aim > 0 {
		it.admitBy = min(it.admitBy, d.now+Time(math.Max(aim/8, aim-lasts)))
	}
	it.isReturning = r.IsRetry && d.takeReservation(t, it.work)
	switch {
	case it.isReturning:
		t.stats.Returned++
		it.lane = int32(len(d.settings.Classes))
	case r.IsRetry && t.retryTokens < 1:
		return ticket, d.reject(n, RetryBudgetExhausted, out)
	case r.IsRetry:
		t.retryTokens--
	default:
		t.retryTokens = math.Min(d.settings.RetryBurst, t.retryTokens+d.settings.RetryRatio)
	}
	if !it.isReturning && !d.takeQuotaToken(r.Tenant) {
		it.lane += int32(len(d.settings.Classes)) + 1
	}
	if d.queued == 0 && d.hasCapacity(it.work) {
		return ticket, d.admit(n, out)
	}
	if float64(d.now)+d.expectedWait(t, it) > float64(it.admitBy) {
		return ticket, d.reject(n, TooLate, out)
	}
	if d.queued >= d.settings.MaxQueued {
		loser := d.evictionVictim(it)
		if loser == noIndex {
			return ticket, d.reject(n, QueueFull, out)
		}
		d.removeQueued(loser)
		out = d.reject(loser, QueueFull, out)
	}
	it.client = r.Client
	d.enqueue(n)
	return ticket, d.admitQueued(out)
}

// takeQuotaToken counts a request against its tenant's rate, and says whether it is within.
func (d *Controller) takeQuotaToken(at int) bool {
	t, rate := &d.tenants[at], d.settings.Tenants[at].Rate
	if rate == 0 {
		return true
	}
	t.quotaTokens = math.Min(math.Max(1, rate), t.quotaTokens+rate*float64(d.now-t.quotaRefilledAt)/1e6)
	t.quotaRefilledAt = d.now
	if t.quotaTokens < 1 {
		return false
	}
	t.quotaTokens--
	return true
}

// Finish takes the end of a request that was inside: served says whether it was answered by a server, and so tells how
// long that took. What is not inside, or not any more, is ignored.
func (d *Controller) Finish(now Time, ticket Ticket, served bool, out []Action) []Action {
	out = d.advanceTo(now, out)
	n := d.lookup(ticket)
	if n == noIndex || d.entries[n].state != stateInFlight {
		return out
	}
	it := &d.entries[n]
	d.inFlight--
	d.inFlightWork -= it.work
	d.tenants[it.tenant].stats.Finished++
	if d.inFlight == 0 {
		d.inFlightWork = 0 // sums of fractions must not drift
	}
	if served {
		d.adaptLimit(float64(d.now-it.admittedAt) / it.work)
	}
	d.free(n)
	return d.admitQueued(out)
}

// Cancel takes a request that waits out of its queue: its client is gone.
func (d *Controller) Cancel(now Time, ticket Ticket, out []Action) []Action {
	out = d.advanceTo(now, out)
	if n := d.lookup(ticket); n != noIndex && d.entries[n].state == stateQueued {
		d.removeQueued(n)
		d.free(n)
	}
	return d.admitQueued(out)
}

// Tick lets time pass. It is to be called each 10 to 100 ms while anything waits.
func (d *Controller) Tick(now Time, out []Action) []Action {
	return d.admitQueued(d.advanceTo(now, out))
}

// ApplySettings takes over other settings, as one whole or not at all. What is inside stays; what waits is dealt to the new
// queues in the order of its coming, or refused where its tenant or class is no more or there is no place.
func (d *Controller) ApplySettings(now Time, set Settings, out []Action) ([]Action, error) {
	if key, why := set.Check(); key != "" {
		return out, fmt.Errorf("door: %s: %s", key, why)
	}
	out = d.advanceTo(now, out)
	old := d.settings
	var held []int32
	for n := range d.entries {
		if d.entries[n].state == stateQueued {
			held = append(held, int32(n))
		}
	}
	sortByArrival(d.entries, held)
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
	d.admitByHeap, d.queued = d.admitByHeap[:0], 0
	d.useSettings(set)
	lost := int32(noIndex)
	for i, t := range old.Tenants {
		if at, ok := tenants[t.Name]; ok {
			d.tenants[at].stats = stats[i]
			d.tenants[at].stats.Queued = 0
		}
	}
	for n := range d.entries {
		it := &d.entries[n]
		if it.state == stateFree {
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
		if it.state == stateInFlight && it.tenant == lost {
			it.tenant = 0 // only its statistics go there
		}
	}
	for _, n := range held {
		if d.entries[n].tenant == lost || d.queued >= d.settings.MaxQueued {
			if d.entries[n].tenant == lost {
				d.entries[n].tenant = 0
			}
			out = d.reject(n, QueueFull, out)
			continue
		}
		d.enqueue(n)
	}
	return d.admitQueued(out), nil
}

// Stats is what the door knows of one tenant's traffic, by its place.
func (d *Controller) Stats(at int) TenantStats {
	s := d.tenants[at].stats
	s.Queued = d.tenants[at].queued
	return s
}

// State is what a Controller limits.
type State struct {
	Limit    float64 // on the work in flight, in requests of mean work
	InFlight int     // requests that are admitted and not finished
	Queued   int     // requests that wait
}

// State returns the limit, and how much is in flight and queued now.
func (d *Controller) State() State {
	return State{Limit: d.limit, InFlight: d.inFlight, Queued: d.queued}
}

// Next is when Tick is due at the latest; 0: not at all while nothing happens.
func (d *Controller) Next() Time {
	if len(d.admitByHeap) == 0 {
		return 0
	}
	return max(d.now, d.entries[d.admitByHeap[0]].admitBy) + 1
}

// advanceTo brings time up to now: refuses what could not be served any more and keeps the rates.
func (d *Controller) advanceTo(now Time, out []Action) []Action {
	d.now = max(d.now, now)
	if d.saltRotatedAt == 0 {
		d.saltRotatedAt, d.lastTick = d.now, d.now
	}
	if d.now-d.saltRotatedAt >= d.settings.SaltRotation {
		d.saltRotatedAt, d.salt = d.now, splitMix64(d.salt)
	}
	if dt := float64(d.now - d.lastTick); dt >= rateInterval {
		gain := 1 - math.Exp(-dt/1e6)
		d.admitRate += gain * (d.admittedSinceTick/dt - d.admitRate)
		d.admittedSinceTick = 0
		slots := min(int((d.now-d.lastTick)/reservationSlot), 1<<20)
		for i := range d.tenants {
			t := &d.tenants[i]
			t.admitRate += gain * (t.admittedSinceTick/dt - t.admitRate)
			t.admittedSinceTick = 0
			if k := min(slots, len(t.reservedWork)); k > 0 {
				copy(t.reservedWork, t.reservedWork[k:])
				clear(t.reservedWork[len(t.reservedWork)-k:])
			}
		}
		d.lastTick += Time(slots) * reservationSlot
	}
	for len(d.admitByHeap) > 0 && d.entries[d.admitByHeap[0]].admitBy < d.now {
		n := d.admitByHeap[0]
		d.removeQueued(n)
		out = d.reject(n, TooLate, out)
	}
	return out
}

// hasCapacity says whether a request may go in now. One may always, or a heavy one could wait for ever.
func (d *Controller) hasCapacity(work float64) bool {
	return d.inFlight == 0 || d.inFlightWork+work <= d.limit*d.meanWork
}

// admitQueued lets in what there is room for, in fair order.
func (d *Controller) admitQueued(out []Action) []Action {
	for d.queued > 0 {
		t := &d.tenants[d.tenantOrder.next()]
		lane := t.lanes.next()
		n := t.queues[lane][t.buckets[lane].next()].head
		if !d.hasCapacity(d.entries[n].work) {
			return out
		}
		d.dequeue(n)
		out = d.admit(n, out)
	}
	return out
}

func (d *Controller) admit(n int32, out []Action) []Action {
	it := &d.entries[n]
	it.state, it.admittedAt = stateInFlight, d.now
	d.inFlight++
	d.inFlightWork += it.work
	d.admittedSinceTick += it.work
	t := &d.tenants[it.tenant]
	t.admittedSinceTick += it.work
	t.stats.Admitted++
	t.stats.AdmittedWork += it.work
	if it.isReturning {
		t.stats.ReturnsAdmitted++
	}
	return append(out, Action{Ticket: d.ticket(n), Kind: Admit})
}

func (d *Controller) reject(n int32, why Reason, out []Action) []Action {
	it := &d.entries[n]
	t := &d.tenants[it.tenant]
	t.stats.Rejected[why]++
	out = append(out, Action{Ticket: d.ticket(n), Kind: Reject, Reason: why, RetryAfter: d.reserveRetryAfter(t, it)})
	d.free(n)
	return out
}

// adaptLimit takes the time inside that a unit of work took, and adapts the limit by the gradient between what is usual where
// nothing queues and what is so of late (as in Netflix's concurrency-limits, 2018): where the two part, what is inside queues
// there. The limit grows by a part of its root while it is in use, so that it can find out that there is more room. Means of
// some tens of requests are compared and not single ones, which vary too much by themselves.
func (d *Controller) adaptLimit(took float64) {
	d.ratioSum += took
	if d.ratioCount++; float64(d.ratioCount) < math.Max(16, d.limit/4) {
		return
	}
	mean := d.ratioSum / float64(d.ratioCount)
	d.ratioSum, d.ratioCount = 0, 0
	if d.baselineRatio == 0 {
		d.baselineRatio, d.recentRatio = mean, mean
	}
	d.recentRatio += (mean - d.recentRatio) / 2
	inUse := d.queued > 0 || d.inFlightWork > 0.7*d.limit*d.meanWork
	switch {
	case mean < d.baselineRatio:
		d.baselineRatio += (mean - d.baselineRatio) / 4
	case inUse: // what queues under load must not come to be held for usual
		d.baselineRatio += (mean - d.baselineRatio) / 8192
	default:
		d.baselineRatio += (mean - d.baselineRatio) / 128
	}
	next := d.limit * math.Min(1, math.Max(0.5, latencyTolerance*d.baselineRatio/d.recentRatio))
	if inUse {
		next += math.Sqrt(d.limit) / 2
	}
	d.limit = math.Min(math.Max((d.limit+next)/2, d.settings.MinLimit), d.settings.MaxLimit)
}

// latencyTolerance is how many times the usual the time inside may be before the limit shrinks.
const latencyTolerance = 1.4

// expectedLatency is how long a request of this work takes inside: as long as its work, before anything is known.
func (d *Controller) expectedLatency(work float64) float64 {
	if d.recentRatio == 0 {
		return work
	}
	return d.recentRatio * work
}

// expectedWait is how long a request of the tenant would wait: what stands before it, and what the tenant's clients have been
// told to come back with meanwhile, at the rate at which its work goes in. Nothing is known of a tenant that has sent
// nothing of late: it has its share of what goes in.
func (d *Controller) expectedWait(t *tenant, it *entry) float64 {
	ahead := t.queuedWork
	if it.isReturning { // room has been kept for it
		ahead = 0
	} else {
		ahead += t.reservedWork[0]
	}
	if d.admitRate == 0 { // nothing is known yet
		return 0
	}
	return ahead / d.tenantAdmitRate(t, int(it.tenant))
}

// tenantAdmitRate is the work a microsecond that goes in for a tenant, or would.
func (d *Controller) tenantAdmitRate(t *tenant, at int) float64 {
	own := &d.tenantOrder.flows[at]
	sum := d.tenantOrder.activeWeight
	if own.queued == 0 {
		sum += own.weight
	}
	fair := d.admitRate * own.weight / math.Max(sum, own.weight)
	return math.Max(math.Max(t.admitRate, fair), 1e-9)
}

// evictionVictim is whose place a new request may have: the last in the longest queue of the least valuable class of the tenant whose
// places are most in excess of its share. Where that is the request's own tenant, a class of less worth than its own pays.
func (d *Controller) evictionVictim(it *entry) int32 {
	worst, most := it.tenant, d.queuedPerShare(it.tenant, 1)
	for _, i := range d.tenantOrder.heap {
		if e := d.queuedPerShare(i, 0); i != it.tenant && e > most {
			worst, most = i, e
		}
	}
	t := &d.tenants[worst]
	lane, least := int32(noIndex), math.Inf(1)
	for _, l := range t.lanes.heap {
		if w := t.lanes.flows[l].weight; w < least || w == least && l < lane {
			lane, least = l, w
		}
	}
	if lane == noIndex || worst == it.tenant && least >= t.lanes.flows[it.lane].weight {
		return noIndex
	}
	longest, n := int32(noIndex), 0
	for _, b := range t.buckets[lane].heap {
		if k := t.buckets[lane].flows[b].queued; k > n || k == n && b < longest {
			longest, n = b, k
		}
	}
	return t.queues[lane][longest].tail
}

// queuedPerShare is how many places a tenant holds for its share, with more of them.
func (d *Controller) queuedPerShare(at int32, more int) float64 {
	return float64(d.tenants[at].queued+more) / d.tenantOrder.flows[at].weight
}

// reserveRetryAfter is when a refused client should find room: the first slot in which its tenant's work, at the rate at which it
// goes in, leaves some for what has not been promised yet. The promise is remembered as a sum, so that others are sent
// elsewhere, and spread within the slot, so that those refused together do not come back together. 0: no slot within
// MaxRetryAfter has room, and a time that is named would be a lie.
func (d *Controller) reserveRetryAfter(t *tenant, it *entry) Time {
	rate := d.tenantAdmitRate(t, int(it.tenant)) * reservationSlot * reservableFraction
	first := 1 + int(math.Min(1e6, t.queuedWork/math.Max(rate, 1e-9)*reservableFraction))
	for at := first; at < len(t.reservedWork); at++ {
		if t.reservedWork[at] > 0 && t.reservedWork[at]+it.work > rate {
			continue
		}
		t.reservedWork[at] += it.work
		t.stats.Reserved++
		begin := d.lastTick + Time(at)*reservationSlot - d.now
		spread := Time(splitMix64(uint64(it.generation)<<32^uint64(it.arrivedAt)) % (reservationSlot * 9 / 10))
		return min(max(1, begin+spread), d.settings.MaxRetryAfter)
	}
	return 0
}

// reservableFraction is the part of a tenant's rate that is promised to those told to come back; the rest is for those who come
// for the first time.
const reservableFraction = 0.7

// takeReservation says whether a repeat comes when some of its tenant's clients were told to, and takes it off what was promised.
func (d *Controller) takeReservation(t *tenant, work float64) bool {
	for s := range t.reservedWork[:min(2, len(t.reservedWork))] {
		if t.reservedWork[s] >= work/2 {
			t.reservedWork[s] = math.Max(0, t.reservedWork[s]-work)
			return true
		}
	}
	return false
}
