package policy

import "slices"

const (
	// queueCheckPeriod is the time in microseconds between two checks of the queue for requests whose time in
	// the queue has expired.
	queueCheckPeriod = 10_000
	// minQueueDivisor sets the minimum time that a request may be queued, however long its attempt will take:
	// the latency target divided by it.
	minQueueDivisor = 8
)

// enqueue queues r until a server can take it and the concurrency limit allows it. r is rejected or failed at
// once if all servers are draining or gone, too many requests are open, or its time in the queue ends before
// the next check.
func (b *Balancer) enqueue(r *request) {
	r.queuedUntil = b.queueDeadline(r)
	if b.hasNoReadyServer() || b.hasTooManyRequests() || b.now+queueCheckPeriod > r.queuedUntil {
		b.rejectOrFail(r)
		return
	}
	r.queued = true
	b.queue = append(b.queue, r)
	b.armQueueTimer()
}

// queueDeadline returns until when r stays in the queue. Its response must still reach the client in time,
// and a response past the latency target has little value, so r leaves the queue two attempt times before the
// target. A request that no server can have executed is rejected while the client still has half of its time
// left for a retry elsewhere.
func (b *Balancer) queueDeadline(r *request) Time {
	margin := queueCheckPeriod + 2*b.settings.BatchPeriod
	target := r.class.LatencyTarget
	longest := max(target/minQueueDivisor, target-Time(2*b.medianAttemptTime))
	deadline := min(r.deadline-margin, r.arrivedAt+longest)
	if !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveExecuted }) {
		deadline = min(deadline, r.arrivedAt+(r.deadline-r.arrivedAt)/2-margin)
	}
	return deadline
}

// hasNoReadyServer reports whether the membership has servers and all of them are draining or gone, so that
// queueing is useless.
func (b *Balancer) hasNoReadyServer() bool {
	return len(b.members) > 0 && !slices.ContainsFunc(b.members, (*server).isReady)
}

// hasTooManyRequests reports whether more than half of the allowed number of requests are open. The other
// half is reserved for requests that can be sent at once.
func (b *Balancer) hasTooManyRequests() bool {
	limit := b.settings.Limits.MaxOpenRequests
	return limit > 0 && 2*len(b.requests) > limit
}

// armQueueTimer sets the timer of the next check unless it is set or the queue is empty.
func (b *Balancer) armQueueTimer() {
	if len(b.queue) > 0 && !b.queueTimerSet {
		b.queueTimerSet = true
		b.setTimer(timerQueue, queueCheckPeriod)
	}
}

// expireQueued rejects queued requests whose time in the queue has expired and removes those that have ended
// otherwise.
func (b *Balancer) expireQueued() {
	kept := b.queue[:0]
	for _, r := range b.queue {
		if !r.done && b.now+queueCheckPeriod <= r.queuedUntil {
			kept = append(kept, r)
			continue
		}
		r.queued = false
		if r.done {
			b.recycle(r)
		} else {
			b.rejectOrFail(r)
		}
	}
	clear(b.queue[len(kept):])
	b.queue = kept
	b.dispatchQueued()
	b.armQueueTimer()
}

// dispatchQueued sends queued requests as far as the concurrency limit allows.
func (b *Balancer) dispatchQueued() {
	for len(b.queue) > 0 && b.hasCapacity() {
		next := b.nextQueued()
		if next < 0 {
			return
		}
		r := b.queue[next]
		b.queue = slices.Delete(b.queue, next, next+1)
		r.queued = false
		if !b.dispatch(r) {
			return
		}
	}
}

// nextQueued returns the index of the open request with the highest priority; -1 if there is none. Among
// equals it is the newest, which is the most likely to be answered in time.
func (b *Balancer) nextQueued() int {
	best := -1
	for i, r := range b.queue {
		if !r.done && (best < 0 || r.priority >= b.queue[best].priority) {
			best = i
		}
	}
	return best
}

// retryAfter estimates when a rejected client may find capacity:
//
//	medianAttemptTime * (1 + queued/concurrencyLimit)
//
// times a random factor from 0.5 to 1.5, so that rejected clients do not return at the same time; at most
// MaxRetryAfter.
func (b *Balancer) retryAfter() Time {
	wait := max(b.medianAttemptTime, queueCheckPeriod) * (1 + float64(len(b.queue))/b.concurrencyLimit)
	wait *= 0.5 + b.rng.Float64()
	return min(Time(wait), b.settings.Limits.MaxRetryAfter)
}
