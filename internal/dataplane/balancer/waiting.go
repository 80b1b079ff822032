package balancer

import (
	"slices"
	"sort"
	"time"

	"pumiceline/internal/message"
)

// Arrive takes a request, or one whose attempt came to nothing. The request is granted at once, or it waits.
func (b *Balancer) Arrive(request *Request, now time.Time) {
	request.work = b.pace.work(request)
	if !request.counted {
		request.counted = true
		if request.Model != "" {
			b.countDemand(request).arrivals++
		}
	}
	if b.tryGrant(request, now) {
		return
	}
	if len(b.waiting) >= maxWaiting {
		b.refuse(request, time.Second, "too many wait")
		return
	}
	request.waits = true
	b.waiting = append(b.waiting, request)
	b.sortWaiting()
}

func (b *Balancer) sortWaiting() {
	sort.SliceStable(b.waiting, func(i, j int) bool {
		x, y := b.waiting[i], b.waiting[j]
		if x.Priority != y.Priority {
			return x.Priority < y.Priority
		}
		return x.Deadline.Before(y.Deadline)
	})
}

// Leave takes out a request whose client has gone; false means that it was granted already.
func (b *Balancer) Leave(request *Request) bool {
	if !request.waits {
		return false
	}
	request.waits = false
	b.waiting = slices.DeleteFunc(b.waiting, func(r *Request) bool { return r == request })
	return true
}

// Tick looks after those that wait.
func (b *Balancer) Tick(now time.Time) { b.serveWaiting(now) }

func (b *Balancer) serveWaiting(now time.Time) {
	if len(b.waiting) == 0 {
		return
	}
	still := b.waiting[:0]
	for _, request := range b.waiting {
		if b.tryGrant(request, now) {
			request.waits = false
			continue
		}
		still = append(still, request)
	}
	clear(b.waiting[len(still):])
	b.waiting = still
}

// tryGrant answers a request where that is possible now; false means that it has to wait.
func (b *Balancer) tryGrant(request *Request, now time.Time) bool {
	candidates, held := b.candidates(request, now)
	if len(candidates) == 0 {
		return b.refuseWhereHopeless(request, held, now)
	}
	if request.sends > 0 && !b.budget.TryRepeat(now) {
		b.refuse(request, refusedPause, "no retries left")
		return true
	}
	chosen := b.choose(request, candidates, now)
	choice := Choice{
		Candidates: len(candidates), Running: chosen.running + chosen.others,
		Queued: time.Duration((chosen.queued + chosen.queuedOut) * float64(time.Millisecond)), Waited: request.reason,
	}
	b.grantTo(request, chosen, choice, now)
	return true
}

// Times after which refused clients are told to come back, and of waiting.
const (
	refusedPause   = 400 * time.Millisecond
	placeWaitShare = 0.25 // of the aim: so long a request waits for a place
	adapterLoad    = 500 * time.Millisecond
	loadSlack      = 2 * time.Second        // from the end of a load until proxies know of it
	serviceSlack   = 300 * time.Millisecond // what the answer itself takes at least
	orderWaitShare = 0.2                    // of the aim: so long a request waits to hear whether its model is ordered
	warmLoad       = 1500 * time.Millisecond
	leavingPause   = 50 * time.Millisecond
	unknownLoad    = 12 * time.Second // a load that is not even ordered yet
)

// refuseWhereHopeless refuses a request that cannot be served in time by waiting; false means that it waits.
func (b *Balancer) refuseWhereHopeless(request *Request, held bool, now time.Time) bool {
	if held || request.Model == "" {
		request.reason = WaitPlace
		if now.Sub(request.Arrived) >= time.Duration(placeWaitShare*float64(request.Aim)) {
			b.refuse(request, refusedPause, "no place is free")
			return true
		}
		return false
	}
	if request.reason != WaitModel {
		request.reason = WaitModel
		b.urgent = true
	}
	if b.leaving {
		b.refuse(request, leavingPause, "this proxy is stopping")
		return true
	}
	ready := b.expected(request, now)
	if ready.Add(serviceSlack).After(request.Patience) {
		b.countDemand(request).missed++
		b.refuse(request, max(refusedPause, ready.Sub(now)), "the model is nowhere")
		return true
	}
	return false
}

// expected is when the request's model should be there.
func (b *Balancer) expected(request *Request, now time.Time) time.Time {
	for _, order := range b.orders {
		if order.Service == request.Service && (order.Model == request.Model || order.Model == message.ModelOf(request.Model)) {
			return order.at.Add(loadSlack / 2)
		}
	}
	runtime := b.runtime(request.Service)
	if runtime == nil {
		return now.Add(unknownLoad)
	}
	if now.Sub(request.Arrived) < time.Duration(orderWaitShare*float64(request.Aim)) {
		return now.Add(warmLoad) // the order may come yet, and may be for a load from a backend's own disk
	}
	for _, model := range runtime.Models {
		if model.Name == message.ModelOf(request.Model) {
			if b.heldAnywhere(request.Service, model.Name, now) {
				return now.Add(adapterLoad) // only its adapter is missing
			}
			return now.Add(model.Load + loadSlack)
		}
	}
	return now.Add(unknownLoad)
}

// SetLeaving refuses those that wait for a model, now and later: the process may end before it is there.
func (b *Balancer) SetLeaving(now time.Time) {
	b.leaving = true
	b.serveWaiting(now)
}

func (b *Balancer) heldAnywhere(name string, model message.ModelName, now time.Time) bool {
	s := b.services[name]
	return s != nil && slices.ContainsFunc(s.backends, func(backend *Backend) bool { return backend.has(model, now) })
}

func (b *Balancer) refuse(request *Request, after time.Duration, reason string) {
	request.grant <- Grant{RetryAfter: after, Reason: reason, Choice: Choice{Waited: request.reason}}
}
