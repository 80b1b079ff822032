// Package admission decides which requests may be forwarded now, which are queued, and which are rejected: fair
// queueing over tenants by their shares, within a tenant over classes by their value, and within those over clients,
// under a limit on the work in flight that adapts to the measured latency.
//
// A Controller is a state machine like policy.Balancer: it has no clock, no goroutine and no I/O. The caller's now,
// in microseconds and never going back, is the only time that it knows. Which backend gets a request, whether it is
// retried, and rejections for want of backends are the policy's. The Controller does not queue what the policy could
// take: it bounds what is in flight, so that what must wait does so here, where the order is fair and a rejection is
// harmless, as nothing has been sent.
//
// Memory is bounded by the settings alone: the number of entries is fixed, clients have no state of their own (they
// share hashed queues), and what is reserved for rejected requests is kept as sums.
//
// controller.go has the Controller and the events of a request, settings.go the settings and reload.go their change,
// entry.go the table of requests, queue.go the queues and fairqueue.go their order, limit.go the concurrency limit,
// retryafter.go the reservations for rejected requests, evict.go the choice when the queue is full.
package admission

import (
	"fmt"
	"math"

	"pumiceline/internal/splitmix"
)

// Request is a request that has arrived. Tenant and Class are indexes in the settings.
type Request struct {
	Tenant   int
	Class    int
	Client   uint64 // a hash of who sends it, such as its address
	Work     Time   // the client's hint; 0: none
	Deadline Time   // absolute
	IsRetry  bool   // the client says that it has sent the request before
}

// Kind says what is to be done with a request.
type Kind uint8

// What is to be done with a request.
const (
	Admit  Kind = iota + 1 // it is to be forwarded
	Reject                 // it is to be answered at once
)

// Reason is why a request is rejected. Clients see its String, and it is a part of log keys.
type Reason uint8

// Why a request is rejected.
const (
	QueueFull            Reason = iota // the queue is full, and its tenant has its share of it
	TooLate                            // it could not be served within its client's time
	RetryBudgetExhausted               // its tenant's clients send more retries than they may
	reasonCount
)

// String returns the reason as clients see it.
func (r Reason) String() string { return [reasonCount]string{"no room", "too late", "repeats"}[r] }

// Action is a decision about a request that was queued, or has just arrived.
type Action struct {
	Ticket     Ticket
	Kind       Kind
	Reason     Reason // of a rejection
	RetryAfter Time   // of a rejection: when there should be capacity; 0: unknown
}

// TenantStats counts what a tenant got.
type TenantStats struct {
	Arrived, Admitted, Finished uint64
	Rejected                    [reasonCount]uint64
	AdmittedWork                float64 // in microseconds on a standard core
	Queued                      int     // now
	Reserved                    uint64  // rejections with a RetryAfter
	Returned                    uint64  // retries that came at their RetryAfter
	ReturnsAdmitted             uint64  // and were admitted
}

// State is what a Controller limits.
type State struct {
	Limit    float64 // on the work in flight, in requests of mean work
	InFlight int     // requests that are admitted and not finished
	Queued   int     // requests that wait
}

const (
	// rateInterval is how often the rates of admission are updated.
	rateInterval = 100_000
	// rateTimeConstant is that of their exponential smoothing.
	rateTimeConstant = 1e6
	// meanWorkSamples is over how many requests the mean work is taken.
	meanWorkSamples = 1024
	// maxWorkRatio bounds how far a request's work may be from the mean: a wrong hint must neither gain capacity nor
	// keep its client waiting for ever.
	maxWorkRatio = 16
)

// Controller decides. It is not safe for concurrent use. See the package comment.
type Controller struct {
	settings Settings
	now      Time
	limit    concurrencyLimit

	entries      []entry
	freeList     int32     // the first free entry
	tenants      []tenant  // by their index in the settings
	tenantOrder  fairQueue // of tenants with queued requests
	admitByHeap  []int32   // queued entries by admitBy
	queued       int
	inFlight     int
	inFlightWork float64

	meanWork          float64 // of a request
	admitRate         float64 // admitted work a microsecond, of late
	admittedSinceTick float64 // work
	lastTick          Time    // in whole reservation slots from the first

	salt          uint64 // assigns clients to queues
	saltRotatedAt Time   // 0: no event yet
}

// tenant is one tenant's state.
type tenant struct {
	lanes             fairQueue   // of the lanes with queued requests
	buckets           []fairQueue // of each lane's queues; nil until the first request is queued
	queues            [][]list    // of each lane
	queued            int
	queuedWork        float64
	admitRate         float64 // admitted work a microsecond, of late
	admittedSinceTick float64 // work

	retryTokens     float64
	quotaTokens     float64
	quotaRefilledAt Time
	reservedWork    []float64 // by slot; the first is the present one
	stats           TenantStats
}

// New returns a Controller. An error wraps a *SettingError.
func New(settings Settings) (*Controller, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("admission settings: %w", err)
	}
	c := &Controller{limit: concurrencyLimit{value: settings.InitialLimit}, freeList: noIndex}
	c.useSettings(settings)
	return c, nil
}

// Submit reports a request: it is admitted, queued or rejected, and others may be rejected to make room for it. The
// actions that follow are appended to out; the request's own, if it has one already, has the ticket that is returned.
func (c *Controller) Submit(now Time, r Request, out []Action) (Ticket, []Action) {
	out = c.advanceTo(now, out)
	t := &c.tenants[r.Tenant]
	t.stats.Arrived++
	index, ticket := c.allocate()
	e := &c.entries[index]
	c.initialise(e, r)
	if !c.chargeRetry(t, e, r.IsRetry) {
		return ticket, c.reject(index, RetryBudgetExhausted, out)
	}
	if !e.isReturning && !c.takeQuotaToken(r.Tenant) {
		e.lane = overQuotaLane(len(c.settings.Classes), e.lane)
	}
	if c.queued == 0 && c.hasCapacity(e.work) {
		return ticket, c.admit(index, out)
	}
	if float64(c.now)+c.expectedWait(t, e) > float64(e.admitBy) {
		return ticket, c.reject(index, TooLate, out)
	}
	if c.queued >= c.settings.MaxQueued {
		victim := c.evictionVictim(e)
		if victim == noIndex {
			return ticket, c.reject(index, QueueFull, out)
		}
		c.removeQueued(victim)
		out = c.reject(victim, QueueFull, out)
	}
	c.enqueue(index)
	return ticket, c.admitQueued(out)
}

// initialise fills in a new request's entry.
func (c *Controller) initialise(e *entry, r Request) {
	class := &c.settings.Classes[r.Class]
	work := float64(r.Work)
	if work <= 0 {
		work = float64(class.Work)
	}
	e.work = math.Min(math.Max(work, c.meanWork/maxWorkRatio), c.meanWork*maxWorkRatio)
	c.meanWork += (e.work - c.meanWork) / meanWorkSamples
	e.tenant, e.lane, e.client, e.arrivedAt = int32(r.Tenant), int32(r.Class), r.Client, c.now
	// A queue in which each request may wait until its deadline serves none in time once it is full: the latency target
	// counts, unless the work alone takes longer.
	latency := c.expectedLatency(e.work)
	e.admitBy = r.Deadline - Time(c.settings.RequiredTimeFactor*latency)
	if target := float64(class.LatencyTarget); target > 0 {
		e.admitBy = min(e.admitBy, c.now+Time(math.Max(target/8, target-latency)))
	}
}

// chargeRetry accounts for a retry, or earns the tenant a part of one. It returns false if its tenant has no retries
// left. A retry at the time of a reservation is free and goes to the returning lane.
func (c *Controller) chargeRetry(t *tenant, e *entry, isRetry bool) bool {
	e.isReturning = isRetry && t.takeReservation(e.work)
	switch {
	case e.isReturning:
		t.stats.Returned++
		e.lane = returningLane(len(c.settings.Classes))
	case isRetry && t.retryTokens < 1:
		return false
	case isRetry:
		t.retryTokens--
	default:
		t.retryTokens = math.Min(c.settings.RetryBurst, t.retryTokens+c.settings.RetryRatio)
	}
	return true
}

// takeQuotaToken counts a request against its tenant's rate and reports whether it is within the rate.
func (c *Controller) takeQuotaToken(tenantIndex int) bool {
	t, rate := &c.tenants[tenantIndex], c.settings.Tenants[tenantIndex].Rate
	if rate == 0 {
		return true
	}
	t.quotaTokens = math.Min(math.Max(1, rate), t.quotaTokens+rate*float64(c.now-t.quotaRefilledAt)/1e6)
	t.quotaRefilledAt = c.now
	if t.quotaTokens < 1 {
		return false
	}
	t.quotaTokens--
	return true
}

// Finish reports the end of an admitted request. served says whether a backend has answered, so that the time in
// flight is a measurement. A request that is not in flight, or not any more, is ignored.
func (c *Controller) Finish(now Time, ticket Ticket, served bool, out []Action) []Action {
	out = c.advanceTo(now, out)
	index := c.lookup(ticket)
	if index == noIndex || c.entries[index].state != stateInFlight {
		return out
	}
	e := &c.entries[index]
	c.inFlight--
	c.inFlightWork -= e.work
	c.tenants[e.tenant].stats.Finished++
	if c.inFlight == 0 {
		c.inFlightWork = 0 // sums of fractions must not drift
	}
	if served {
		c.adaptLimit(float64(c.now-e.admittedAt) / e.work)
	}
	c.free(index)
	return c.admitQueued(out)
}

// Cancel removes a queued request whose client has disconnected. A request that is not queued is ignored.
func (c *Controller) Cancel(now Time, ticket Ticket, out []Action) []Action {
	out = c.advanceTo(now, out)
	if index := c.lookup(ticket); index != noIndex && c.entries[index].state == stateQueued {
		c.removeQueued(index)
		c.free(index)
	}
	return c.admitQueued(out)
}

// Tick advances the time. It should be called each 10 to 100 ms while anything is queued.
func (c *Controller) Tick(now Time, out []Action) []Action {
	return c.admitQueued(c.advanceTo(now, out))
}

// Stats returns the statistics of a tenant, by its index in the settings.
func (c *Controller) Stats(tenantIndex int) TenantStats {
	stats := c.tenants[tenantIndex].stats
	stats.Queued = c.tenants[tenantIndex].queued
	return stats
}

// State returns the limit, and how much is in flight and queued now.
func (c *Controller) State() State {
	return State{Limit: c.limit.value, InFlight: c.inFlight, Queued: c.queued}
}

// NextTick returns when Tick is due at the latest; 0: not as long as nothing is queued.
func (c *Controller) NextTick() Time {
	if len(c.admitByHeap) == 0 {
		return 0
	}
	return max(c.now, c.entries[c.admitByHeap[0]].admitBy) + 1
}

// advanceTo advances the time: it updates the rates and rejects queued requests that could not be served any more.
func (c *Controller) advanceTo(now Time, out []Action) []Action {
	c.now = max(c.now, now)
	if c.saltRotatedAt == 0 {
		c.saltRotatedAt, c.lastTick = c.now, c.now
	}
	if c.now-c.saltRotatedAt >= c.settings.SaltRotation {
		c.saltRotatedAt, c.salt = c.now, splitmix.Mix(c.salt)
	}
	c.updateRates()
	for len(c.admitByHeap) > 0 && c.entries[c.admitByHeap[0]].admitBy < c.now {
		index := c.admitByHeap[0]
		c.removeQueued(index)
		out = c.reject(index, TooLate, out)
	}
	return out
}

// updateRates updates the rates of admission, and moves the reservations on by the slots that have passed.
func (c *Controller) updateRates() {
	elapsed := float64(c.now - c.lastTick)
	if elapsed < rateInterval {
		return
	}
	gain := 1 - math.Exp(-elapsed/rateTimeConstant)
	c.admitRate += gain * (c.admittedSinceTick/elapsed - c.admitRate)
	c.admittedSinceTick = 0
	slots := min(int((c.now-c.lastTick)/reservationSlot), 1<<20)
	for i := range c.tenants {
		t := &c.tenants[i]
		t.admitRate += gain * (t.admittedSinceTick/elapsed - t.admitRate)
		t.admittedSinceTick = 0
		t.passReservations(slots)
	}
	c.lastTick += Time(slots) * reservationSlot
}

// hasCapacity reports whether a request may be admitted now. One always may if nothing is in flight, or a request of
// more work than the limit would wait for ever.
func (c *Controller) hasCapacity(work float64) bool {
	return c.inFlight == 0 || c.inFlightWork+work <= c.limit.value*c.meanWork
}

// admitQueued admits queued requests in fair order while there is capacity.
func (c *Controller) admitQueued(out []Action) []Action {
	for c.queued > 0 {
		t := &c.tenants[c.tenantOrder.next()]
		lane := t.lanes.next()
		index := t.queues[lane][t.buckets[lane].next()].head
		if !c.hasCapacity(c.entries[index].work) {
			return out
		}
		c.dequeue(index)
		out = c.admit(index, out)
	}
	return out
}

func (c *Controller) admit(index int32, out []Action) []Action {
	e := &c.entries[index]
	e.state, e.admittedAt = stateInFlight, c.now
	c.inFlight++
	c.inFlightWork += e.work
	c.admittedSinceTick += e.work
	t := &c.tenants[e.tenant]
	t.admittedSinceTick += e.work
	t.stats.Admitted++
	t.stats.AdmittedWork += e.work
	if e.isReturning {
		t.stats.ReturnsAdmitted++
	}
	return append(out, Action{Ticket: c.ticket(index), Kind: Admit})
}

func (c *Controller) reject(index int32, reason Reason, out []Action) []Action {
	e := &c.entries[index]
	t := &c.tenants[e.tenant]
	t.stats.Rejected[reason]++
	retryAfter := c.reserveRetryAfter(t, e)
	out = append(out, Action{Ticket: c.ticket(index), Kind: Reject, Reason: reason, RetryAfter: retryAfter})
	c.free(index)
	return out
}
