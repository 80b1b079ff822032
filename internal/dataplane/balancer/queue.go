package balancer

import (
	"cmp"
	"slices"
	"time"
)

// Submit answers a request at once or queues it. The request is new, or its last attempt may be retried.
func (b *Balancer) Submit(request *Request, now time.Time) {
	request.prefillMs = b.prefill.estimateMs(request)
	if !request.isCounted {
		request.isCounted = true
		if request.Model != "" {
			b.demandFor(request).arrivals++
		}
	}
	if b.tryAnswer(request, now) {
		return
	}
	if len(b.queue) >= maxQueued {
		b.reject(request, queueFullRetryAfter, RejectQueueFull)
		return
	}
	request.isQueued = true
	b.queue = append(b.queue, request)
	slices.SortStableFunc(b.queue, func(x, y *Request) int {
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), x.Deadline.Compare(y.Deadline))
	})
}

// Cancel removes a request from the queue. It returns false if the request is already answered.
func (b *Balancer) Cancel(request *Request) bool {
	if !request.isQueued {
		return false
	}
	request.isQueued = false
	b.queue = slices.DeleteFunc(b.queue, func(r *Request) bool { return r == request })
	return true
}

// Tick answers the queued requests that have waited long enough to be rejected, or whose backends are no longer
// ejected. It must be called periodically.
func (b *Balancer) Tick(now time.Time) { b.answerQueued(now) }

// FirstQueuedForCapacity returns the model of the first request with a model that waits for capacity. ok is false if
// there is none.
func (b *Balancer) FirstQueuedForCapacity() (key ModelKey, ok bool) {
	for _, request := range b.queue {
		if request.waitReason == WaitCapacity && request.Model != "" {
			return request.key(), true
		}
	}
	return ModelKey{}, false
}

// answerQueued answers the queued requests that can be answered now, in the order of the queue.
func (b *Balancer) answerQueued(now time.Time) {
	if len(b.queue) == 0 {
		return
	}
	remaining := b.queue[:0]
	for _, request := range b.queue {
		if b.tryAnswer(request, now) {
			request.isQueued = false
			continue
		}
		remaining = append(remaining, request)
	}
	clear(b.queue[len(remaining):])
	b.queue = remaining
}

// tryAnswer picks a backend for the request or rejects it. It returns false if the request has to wait.
func (b *Balancer) tryAnswer(request *Request, now time.Time) bool {
	candidates, isModelLoaded := b.candidates(request, now)
	if len(candidates) == 0 {
		return b.rejectIfTooLate(request, isModelLoaded, now)
	}
	if request.sentAttempts > 0 && !b.budget.TryRetry(request.Service, now) {
		b.reject(request, rejectedRetryAfter, RejectRetryBudget)
		return true
	}
	picked := b.pick(request, candidates, now)
	queuedMs := picked.queuedPrefillMs + picked.peersQueuedPrefillMs
	b.assign(request, picked, Decision{
		Candidates: len(candidates), InFlight: picked.inFlight + picked.peersInFlight,
		QueuedPrefill: time.Duration(queuedMs * float64(time.Millisecond)), WaitReason: request.waitReason,
	}, now)
	return true
}
