// Package admission decides which requests may be forwarded now, which are queued, and which are rejected: fair
// queueing over tenants by their shares, within a tenant over classes by their value, and within those over clients,
// under a limit on the work in flight that adapts to the measured latency.
//
// A Controller is a state machine like policy.Balancer: it has no clock, no goroutine and no I/O. The caller's now,
// in microseconds and never going back, is the only time that it knows. Which backend gets a request, whether it is
// retried, and rejections for lack of backends are decided by the policy. The Controller bounds the work in flight, so
// that requests queue here and not at the backends: here their order is fair, and a rejection is harmless, as nothing
// has been sent.
//
// A tenant's requests are queued in lanes: one for each class, one for requests that return at their Retry-After, and
// one for each class past the tenant's quota. A lane has a fixed number of queues, and a client's requests are all in
// one of them, by a hash. So fairQueue orders three levels: tenants, the lanes of a tenant, and the queues of a lane.
//
// Memory is bounded by the settings alone: there is an entry for each request that is queued or in flight, clients have
// no state of their own, and reservations for rejected requests are kept as sums.
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
	Client   uint64 // a hash that identifies the client, such as of its address
	Work     Time   // the client's hint, in microseconds on a standard core; 0: none, Class.Work counts
	Deadline Time   // when the client's time-out ends
	IsRetry  bool   // the client says that it has sent the request before
}

// Kind is the kind of a Decision.
type Kind uint8

// The kinds of decisions.
const (
	Admit  Kind = iota + 1 // forward the request
	Reject                 // answer it at once with a rejection
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

// Decision is a decision about a request that was queued, or has just arrived.
type Decision struct {
	Ticket     Ticket
	Kind       Kind
	Reason     Reason // of a rejection
	RetryAfter Time   // of a rejection: after what time there should be capacity; 0: unknown
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
	// rateInterval is how often the rates of admission are updated, in microseconds.
	rateInterval = 100_000
	// rateTimeConstant is the time constant of their exponential smoothing, in microseconds.
	rateTimeConstant = 1e6
	// meanWorkSamples is the number of requests over which the moving average of work is taken.
	meanWorkSamples = 1024
	// maxWorkRatio bounds the ratio of a request's work to the mean, and its inverse: a client must neither gain capacity
	// by a hint that is too low nor wait for ever for one that is too high.
	maxWorkRatio = 16
	// minWaitDivisor: a request may be queued for its class's latency target divided by this even where the expected
	// latency leaves less.
	minWaitDivisor = 8
	// maxElapsedSlots bounds the reservation slots that pass in one update, far over the number that there can be.
	maxElapsedSlots = 1 << 20
)

// Controller admits, queues and rejects requests. It is not safe for concurrent use. See the package comment.
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

	meanWork          float64 // moving average of a request's work
	admitRate         float64 // admitted work a microsecond, smoothed
	admittedSinceTick float64 // work
	lastTick          Time    // of the rates; a multiple of reservationSlot after the first event

	salt          uint64 // of the hash that assigns clients to queues
	saltRotatedAt Time   // 0: no event yet
}

// tenant is one tenant's state. Work is in microseconds on a standard core.
type tenant struct {
	lanes             fairQueue     // over the tenant's lanes
	buckets           []fairQueue   // by lane, over the lane's queues; nil until the first request is queued
	queues            [][]entryList // by lane and bucket: the queued entries
	queued            int
	queuedWork        float64
	admitRate         float64 // admitted work a microsecond, smoothed
	admittedSinceTick float64 // work

	retryTokens     float64 // retries that its clients may send now, up to Settings.RetryBurst
	quotaTokens     float64 // requests within its quota now
	quotaRefilledAt Time
	reservedWork    []float64 // work reserved for rejected requests, by reservation slot; the first slot is the present one
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
func (c *Controller) Submit(now Time, r Request, out []Decision) (Ticket, []Decision) {
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
	// If requests were queued until their deadlines, all would be past the latency target once the queue is full. So a
	// request is queued only while it can be served within the target, or for a part of the target where the expected
	// latency alone is over it.
	latency := c.expectedLatency(e.work)
	e.admitBy = r.Deadline - Time(c.settings.RequiredTimeFactor*latency)
	if target := float64(class.LatencyTarget); target > 0 {
		e.admitBy = min(e.admitBy, c.now+Time(math.Max(target/minWaitDivisor, target-latency)))
	}
}

// chargeRetry takes a retry token of the tenant for a retry, and adds RetryRatio of one for a first attempt. It returns
// false for a retry without a token. A retry at the time of a reservation needs none and goes to the returning lane.
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

// takeQuotaToken counts a request against its tenant's rate and reports whether it is within the rate: a token bucket
// with the burst of one second.
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

// Finish reports the end of an admitted request. served says whether a backend has responded; only then is the time in
// flight a sample for the concurrency limit. A request that is not in flight, or not any more, is ignored.
func (c *Controller) Finish(now Time, ticket Ticket, served bool, out []Decision) []Decision {
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
		c.inFlightWork = 0 // rounding errors must not accumulate
	}
	if served {
		c.adaptLimit(float64(c.now-e.admittedAt) / e.work)
	}
	c.free(index)
	return c.admitQueued(out)
}

// Cancel removes a queued request whose client has disconnected. A request that is not queued is ignored.
func (c *Controller) Cancel(now Time, ticket Ticket, out []Decision) []Decision {
	out = c.advanceTo(now, out)
	if index := c.lookup(ticket); index != noIndex && c.entries[index].state == stateQueued {
		c.removeQueued(index)
		c.free(index)
	}
	return c.admitQueued(out)
}

// Tick advances the time. It should be called each 10 to 100 ms while anything is queued.
func (c *Controller) Tick(now Time, out []Decision) []Decision {
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

// NextTick returns when Tick is due at the latest; 0: nothing is queued, and Tick is not needed.
func (c *Controller) NextTick() Time {
	if len(c.admitByHeap) == 0 {
		return 0
	}
	return max(c.now, c.entries[c.admitByHeap[0]].admitBy) + 1
}

// advanceTo advances the time: it updates the rates and rejects queued requests that could not be served any more.
func (c *Controller) advanceTo(now Time, out []Decision) []Decision {
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
	slots := min(int((c.now-c.lastTick)/reservationSlot), maxElapsedSlots)
	for i := range c.tenants {
		t := &c.tenants[i]
		t.admitRate += gain * (t.admittedSinceTick/elapsed - t.admitRate)
		t.admittedSinceTick = 0
		t.passReservations(slots)
	}
	c.lastTick += Time(slots) * reservationSlot
}

// hasCapacity reports whether a request may be admitted now. If nothing is in flight any request may: else one of more
// work than the limit would never be admitted.
func (c *Controller) hasCapacity(work float64) bool {
	return c.inFlight == 0 || c.inFlightWork+work <= c.limit.value*c.meanWork
}

// admitQueued admits queued requests in fair order while there is capacity.
func (c *Controller) admitQueued(out []Decision) []Decision {
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

// admit admits a request that is not in a queue, or not any more.
func (c *Controller) admit(index int32, out []Decision) []Decision {
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
	return append(out, Decision{Ticket: c.ticket(index), Kind: Admit})
}

// reject rejects a request that is not in a queue, or not any more, and frees its entry.
func (c *Controller) reject(index int32, reason Reason, out []Decision) []Decision {
	e := &c.entries[index]
	t := &c.tenants[e.tenant]
	t.stats.Rejected[reason]++
	retryAfter := c.reserveRetryAfter(t, e)
	out = append(out, Decision{Ticket: c.ticket(index), Kind: Reject, Reason: reason, RetryAfter: retryAfter})
	c.free(index)
	return out
}
