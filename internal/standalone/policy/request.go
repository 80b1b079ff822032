package policy

// request is a request that has arrived. It is kept until it is done and all its attempts have ended.
type request struct {
	id              uint64
	class           *Class
	classIndex      uint8
	affinityKey     uint64
	homes           [2]ServerID // servers preferred for affinityKey, see pickHome
	affinityPenalty float64     // load score added for any other server; 0: no affinity
	cost            float64     // work, in mean requests
	priority        float64     // value per unit of work; the highest is dispatched first
	arrivedAt       Time
	deadline        Time
	queuedUntil     Time
	done            bool // answered, or abandoned by its client
	queued          bool
	streaming       bool // its response is streaming to the client
	bodyPending     bool // its client is still sending the body
	inFlight        int
	maxAttempts     int
	attempts        []attempt
}

// attempt is one send of a request to a server.
type attempt struct {
	server           *server
	serverID         ServerID
	zone             uint8
	cell             uint16
	inFlight         bool
	mayHaveExecuted  bool // true until an outcome proves otherwise, also while in flight
	bodyPending      bool // its client is still sending the body: not counted as load or against the limit
	signalledOverdue bool // it was counted as a congestion signal while in flight, see detectOverdue
	sentAt           Time
	countedAt        Time // when its server had received all of the request
	cost             float64
}

// onRequestArrived handles a new request, which is sent, queued or rejected.
func (b *Balancer) onRequestArrived(ev *Event) {
	if b.requests[ev.ID] != nil || int(ev.Class) >= len(b.settings.Classes) {
		return // a repeated ID or an unknown class: a caller error, ignored
	}
	b.arrivals++
	if b.isStarting() {
		b.startArrivals++
	}
	b.retryTokens = min(retryBurst, b.retryTokens+retryRatio)
	r := b.newRequest(ev)
	b.requests[r.id] = r
	if len(b.queue) > 0 || !b.hasCapacity() {
		b.enqueue(r)
		b.dispatchQueued()
		return
	}
	b.dispatch(r)
}

func (b *Balancer) newRequest(ev *Event) *request {
	if len(b.freeRequests) == 0 {
		b.freeRequests = append(b.freeRequests, &request{})
	}
	r := b.freeRequests[len(b.freeRequests)-1]
	b.freeRequests = b.freeRequests[:len(b.freeRequests)-1]
	*r = request{
		id: ev.ID, class: &b.settings.Classes[ev.Class], classIndex: ev.Class, affinityKey: ev.AffinityKey,
		cost: b.relativeCost(ev.Work), arrivedAt: b.now, deadline: b.now + ev.ClientTimeout,
		maxAttempts: b.settings.Limits.MaxAttempts, attempts: r.attempts[:0], bodyPending: ev.BodyPending,
	}
	r.priority = b.priorityOf(r, ev.Tenant)
	return r
}

// meanWorkSamples is the number of requests that meanWork averages over.
const meanWorkSamples = 256

// relativeCost returns work in units of the mean work of a request; 1 if it is unknown.
func (b *Balancer) relativeCost(work Time) float64 {
	if work <= 0 {
		return 1
	}
	w := float64(work)
	if b.meanWork == 0 {
		b.meanWork = w
	}
	b.meanWork += (w - b.meanWork) / meanWorkSamples
	return w / b.meanWork
}

// priorityOf returns the value of r per unit of work. Requests beyond a tenant's quota have a low value: when
// there is no capacity for all requests, they must not displace requests that other tenants send within their
// quotas.
func (b *Balancer) priorityOf(r *request, tenant uint32) float64 {
	priority := r.class.Value
	if !b.settings.ValuePerWork {
		priority /= r.cost
	}
	if int(tenant) < len(b.tenantTokens) && !b.takeTenantToken(tenant) {
		priority *= b.settings.OverQuotaValue
	}
	return priority
}

// takeTenantToken counts a request against the tenant's quota; false means that the quota is used up.
func (b *Balancer) takeTenantToken(tenant uint32) bool {
	if b.tenantTokens[tenant] < 1 {
		return false
	}
	b.tenantTokens[tenant]--
	return true
}

// refillTenantTokens adds this balancer's part of each tenant's quota for elapsed seconds, up to the quota of
// one second.
func (b *Balancer) refillTenantTokens(elapsed float64) {
	for i, tenant := range b.settings.Tenants {
		rate := tenant.QuotaPerS / float64(b.settings.GroupSize)
		b.tenantTokens[i] = min(max(1, rate), b.tenantTokens[i]+rate*elapsed)
	}
}

// onResponseStarted records that the response streams to the client: from now on no deadline applies and no
// other attempt can answer the request.
func (b *Balancer) onResponseStarted(ev *Event) {
	if r := b.requests[ev.ID]; r != nil {
		r.streaming = true
	}
}

// onBodySent records that a server has received all of a request with BodyPending.
func (b *Balancer) onBodySent(ev *Event) {
	r := b.requests[ev.ID]
	if r == nil || int(ev.Attempt) >= len(r.attempts) || !r.attempts[ev.Attempt].bodyPending {
		return
	}
	r.bodyPending = false
	b.countInFlight(&r.attempts[ev.Attempt])
}

func (b *Balancer) onRequestAbandoned(ev *Event) {
	if r := b.requests[ev.ID]; r != nil {
		b.finish(r)
	}
}

// onAttemptEnded processes the outcome of an attempt. Repeated and mismatched outcomes are ignored.
func (b *Balancer) onAttemptEnded(ev *Event) {
	r := b.requests[ev.ID]
	if r == nil || int(ev.Attempt) >= len(r.attempts) {
		return
	}
	a := &r.attempts[ev.Attempt]
	if !a.inFlight || a.serverID != ev.Server {
		return
	}
	a.inFlight = false
	if a.bodyPending {
		b.countInFlight(a) // observeOutcome subtracts it again
	}
	r.inFlight--
	b.lastAttemptEnd = b.now
	a.mayHaveExecuted = a.mayHaveExecuted && !ev.Outcome.provesNotExecuted()
	b.observeOutcome(a.server, a, ev)
	b.adjustLimit(r, a, ev)
	b.afterAttempt(r, a, ev)
	b.dispatchQueued()
}

// afterAttempt finishes r after an attempt has ended, or retries it.
func (b *Balancer) afterAttempt(r *request, a *attempt, ev *Event) {
	switch {
	case r.done:
		b.recycle(r)
	case ev.Final || ev.Outcome == OK:
		b.finish(r)
	case r.inFlight > 0 || r.queued: // another attempt may still answer
	case b.mayAttempt(r) && b.takeRetryToken(a):
		b.dispatch(r)
	default:
		b.rejectOrFail(r)
	}
}

// rejectOrFail sends the final response to r, unless r is done or an attempt in flight can still answer it: a
// rejection if the client may safely retry, else a failure.
func (b *Balancer) rejectOrFail(r *request) {
	if r.done || r.inFlight > 0 {
		return
	}
	if r.mayReject() {
		b.emit(Action{Kind: RejectRequest, ID: r.id, After: b.retryAfter()})
	} else {
		b.emit(Action{Kind: FailRequest, ID: r.id})
	}
	b.finish(r)
}

// finish marks r as answered and cancels its attempts in flight.
func (b *Balancer) finish(r *request) {
	r.done = true
	if b.settings.Limits.AllowCancel && r.inFlight > 0 && !r.streaming {
		for i := range r.attempts {
			if r.attempts[i].inFlight {
				b.emit(Action{Kind: CancelAttempt, ID: r.id, Attempt: uint8(i)})
			}
		}
	}
	b.recycle(r)
}

// recycle deletes r once it is no longer in use, and keeps it for reuse.
func (b *Balancer) recycle(r *request) {
	if !r.done || r.inFlight > 0 || r.queued || b.requests[r.id] != r {
		return
	}
	delete(b.requests, r.id)
	clear(r.attempts)
	b.freeRequests = append(b.freeRequests, r)
}
