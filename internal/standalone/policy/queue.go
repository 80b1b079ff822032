package policy

import "slices"

const (
	// queueCheckPeriod is the time between two checks of the queue for requests whose time in it is over.
	queueCheckPeriod = 10_000
	// minQueueDivisor is the part of the latency target that a request may be queued for in any case.
	minQueueDivisor = 8
)

// enqueue keeps r until a server can take it and the concurrency limit allows. A request that cannot be answered in
// good time is rejected at once.
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

// queueDeadline is the last moment that r stays in the queue. Its response must still reach the client in time, and
// one past the latency target has little value. A request that no server can have executed is rejected while the
// client has half of its time left to try elsewhere.
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

// hasNoReadyServer reports whether servers are known and all of them are draining or gone: there is nothing to wait
// for.
func (b *Balancer) hasNoReadyServer() bool {
	return len(b.members) > 0 && !slices.ContainsFunc(b.members, (*server).isReady)
}

// hasTooManyRequests reports whether more than half of the allowed requests are open.
func (b *Balancer) hasTooManyRequests() bool {
	limit := b.settings.Limits.MaxOpenRequests
	return limit > 0 && 2*len(b.requests) > limit
}

func (b *Balancer) armQueueTimer() {
	if len(b.queue) > 0 && !b.queueTimerSet {
		b.queueTimerSet = true
		b.setTimer(timerQueue, queueCheckPeriod)
	}
}

// expireQueued rejects queued requests whose time in the queue is over and drops those that ended otherwise.
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

// nextQueued returns the index of the open request with the highest priority, of equals the newest, which is the most
// likely to be answered in time; -1 if there is none.
func (b *Balancer) nextQueued() int {
	best := -1
	for i, r := range b.queue {
		if !r.done && (best < 0 || r.priority >= b.queue[best].priority) {
			best = i
		}
	}
	return best
}

// retryAfter is when a rejected client may find capacity: the time of an attempt for each concurrency limit's worth of
// queued requests, randomized by a half.
func (b *Balancer) retryAfter() Time {
	wait := max(b.medianAttemptTime, queueCheckPeriod) * (1 + float64(len(b.queue))/b.concurrencyLimit)
	wait *= 0.5 + b.rng.Float64()
	return min(Time(wait), b.settings.Limits.MaxRetryAfter)
}
