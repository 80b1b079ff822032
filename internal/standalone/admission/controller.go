// Package admission decides which requests may be forwarded now, which are queued, and which are rejected. It applies
// fair queueing over tenants by their shares, within a tenant over classes by their value, and within a class over
// clients, under a limit on the work in flight that adapts to the measured latency.
//
// A Controller is a state machine like policy.Balancer: it has no clock, no goroutine and no I/O. The only time that it
// uses is the caller's now, in microseconds, which must not go back. The policy decides which backend gets a
// request, whether it is retried, and when to reject for lack of backends. The Controller bounds the work in flight, so
// that requests queue here and not at the backends: here their order is fair, and a rejection is harmless, as nothing
// has been sent.
//
// A tenant's requests are queued in lanes: one for each class, one for requests that return at their Retry-After, and
// one for each class beyond the tenant's quota. A lane has a fixed number of queues; a hash assigns all requests of a
// client to one of them. So fairQueue is used on three levels: tenants, the lanes of a tenant, and the queues of a
// lane.
//
// Memory is bounded by the settings alone: there is an entry for each request that is queued or in flight, clients have
// no state of their own, and reservations for rejected requests are kept as sums.
//
// controller.go has the Controller and the events of a request, settings.go the settings and reload.go their change,
// entry.go the table of requests, queue.go the queues and fairqueue.go their order, limit.go the concurrency limit,
// retryafter.go the reservations for rejected requests, and evict.go the choice of the request to reject when the queue
// is full.
package admission

import (
	"fmt"
	"math"

	"pumiceline/internal/splitmix"
)

// Request is a request that has arrived. Tenant and Class are indexes into the settings.
type Request struct {
	Tenant   int
	Class    int
	Client   uint64 // a hash that identifies the client, for example of its address
	Work     Time   // the client's hint, in microseconds on a standard core; 0: none, Class.Work is used
	Deadline Time   // when the client's time-out ends
	IsRetry  bool   // the client has marked the request as a retry
}

// Kind is the kind of a Decision.
type Kind uint8

// The kinds of decisions.
const (
	Admit  Kind = iota + 1 // forward the request
	Reject                 // answer it at once with a rejection
)

// Reason is why a request is rejected. Its String is sent to clients and is part of log keys.
type Reason uint8

// The reasons of rejections.
const (
	QueueFull            Reason = iota // the queue is full, see evictionVictim, or its tenant has been removed
	TooLate                            // it could not be served within its client's time or its latency target
	RetryBudgetExhausted               // its tenant's clients send more retries than the budget allows
	reasonCount
)

// String returns the reason in the form that is sent to clients.
func (r Reason) String() string { return [reasonCount]string{"no room", "too late", "repeats"}[r] }

// Decision is the decision on a request that was queued or has just arrived.
type Decision struct {
	Ticket     Ticket
	Kind       Kind
	Reason     Reason // of a rejection
	RetryAfter Time   // of a rejection: the time until there should be capacity; 0: unknown
}

// TenantStats are the statistics of one tenant.
type TenantStats struct {
	Arrived, Admitted, Finished uint64
	Rejected                    [reasonCount]uint64
	AdmittedWork                float64 // in microseconds on a standard core
	Queued                      int     // requests queued now
	Reserved                    uint64  // rejections with a RetryAfter
	Returned                    uint64  // retries that came at their RetryAfter
	ReturnsAdmitted             uint64  // returned retries that were admitted
}

// State is the current limit of a Controller and its use.
type State struct {
	Limit    float64 // on the work in flight, in requests of mean work
	InFlight int     // requests that are admitted and not finished
	Queued   int     // requests that are queued
}

const (
	// rateInterval is the interval at which the admission rates are updated, in microseconds.
	rateInterval = 100_000
	// rateTimeConstant is the time constant of the exponential smoothing of these rates, in microseconds.
	rateTimeConstant = 1e6
	// meanWorkSamples is the number of requests that the moving average of work covers.
	meanWorkSamples = 1024
	// maxWorkRatio bounds the ratio of a request's work to the mean, and its inverse: a client must neither gain
	// capacity by a hint that is too low nor wait indefinitely because of a hint that is too high.
	maxWorkRatio = 16
	// minWaitDivisor sets the minimum time that a request may be queued, even if the expected latency leaves less: its
	// class's latency target divided by this.
	minWaitDivisor = 8
	// maxElapsedSlots bounds the number of reservation slots that pass in one update. It is far above the number of
	// slots that can exist.
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

	meanWork          float64 // moving average of the work of a request
	admitRate         float64 // admitted work per microsecond, smoothed
	admittedSinceTick float64 // work admitted since lastTick
	lastTick          Time    // last update of the rates; a multiple of reservationSlot after the first event

	salt          uint64 // of the hash that assigns clients to queues
	saltRotatedAt Time   // time of the latest change of salt; 0: no event yet
}

// tenant is one tenant's state. Work is in microseconds on a standard core.
type tenant struct {
	lanes             fairQueue     // over the tenant's lanes
	buckets           []fairQueue   // by lane, over the lane's queues; nil until the first request is queued
	queues            [][]entryList // by lane and bucket: the queued entries
	queued            int
	queuedWork        float64
	admitRate         float64 // admitted work per microsecond, smoothed
	admittedSinceTick float64 // work admitted since Controller.lastTick

	retryTokens     float64 // retries that its clients may send now, up to Settings.RetryBurst
	quotaTokens     float64 // requests that it may send now within its quota
	quotaRefilledAt Time
	reservedWork    []float64 // work reserved for rejected requests, by slot; the first slot is the present one
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

// Submit reports a new request, which is admitted, queued or rejected; a queued request may be rejected to make room
// for it. All decisions that follow are appended to out. If there is one on the new request, it has the ticket that is
// returned.
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

// initialise sets the entry of a new request.
func (c *Controller) initialise(e *entry, r Request) {
	class := &c.settings.Classes[r.Class]
	work := float64(r.Work)
	if work <= 0 {
		work = float64(class.Work)
	}
	e.work = math.Min(math.Max(work, c.meanWork/maxWorkRatio), c.meanWork*maxWorkRatio)
	c.meanWork += (e.work - c.meanWork) / meanWorkSamples
	e.tenant, e.lane, e.client, e.arrivedAt = int32(r.Tenant), int32(r.Class), r.Client, c.now
	// If requests were queued until their deadlines, all responses would be past the latency target once the queue is
	// full. So a request is queued only while it can be served within the target, or for a part of the target if the
	// expected latency alone exceeds it.
	latency := c.expectedLatency(e.work)
	e.admitBy = r.Deadline - Time(c.settings.RequiredTimeFactor*latency)
	if target := float64(class.LatencyTarget); target > 0 {
		e.admitBy = min(e.admitBy, c.now+Time(math.Max(target/minWaitDivisor, target-latency)))
	}
}

// chargeRetry takes a retry token of the tenant for a retry, and adds RetryRatio of a token for a first attempt. It
// returns false for a retry if there is no token. A retry at the time of a reservation needs no token and goes to the
// returning lane.
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

// takeQuotaToken counts a request against its tenant's quota and reports whether it is within the quota: a token bucket
// with a burst of one second.
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
// flight a sample for the concurrency limit. A request that is not, or no longer, in flight is ignored.
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

// Tick advances the time. It should be called every 10 to 100 ms while anything is queued.
func (c *Controller) Tick(now Time, out []Decision) []Decision {
	return c.admitQueued(c.advanceTo(now, out))
}

// Stats returns the statistics of a tenant, by its index in the settings.
func (c *Controller) Stats(tenantIndex int) TenantStats {
	stats := c.tenants[tenantIndex].stats
	stats.Queued = c.tenants[tenantIndex].queued
	return stats
}

// State returns the limit and the number of requests that are in flight and queued.
func (c *Controller) State() State {
	return State{Limit: c.limit.value, InFlight: c.inFlight, Queued: c.queued}
}

// NextTick returns the time at which Tick must be called at the latest; 0: nothing is queued, and Tick is not needed.
func (c *Controller) NextTick() Time {
	if len(c.admitByHeap) == 0 {
		return 0
	}
	return max(c.now, c.entries[c.admitByHeap[0]].admitBy) + 1
}

// advanceTo advances the time: it updates the rates and rejects queued requests whose admitBy has passed.
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

// updateRates updates the admission rates and drops the reservations of slots that have passed.
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

// hasCapacity reports whether a request may be admitted now. If nothing is in flight, any request may: otherwise a
// request with more work than the limit would never be admitted.
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

// admit admits a request that is not, or no longer, in a queue.
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

// reject rejects a request that is not, or no longer, in a queue, and frees its entry.
func (c *Controller) reject(index int32, reason Reason, out []Decision) []Decision {
	e := &c.entries[index]
	t := &c.tenants[e.tenant]
	t.stats.Rejected[reason]++
	retryAfter := c.reserveRetryAfter(t, e)
	out = append(out, Decision{Ticket: c.ticket(index), Kind: Reject, Reason: reason, RetryAfter: retryAfter})
	c.free(index)
	return out
}
