package balancer

import (
	"slices"
	"sort"
	"time"

	"pumiceline/internal/controlplane/configuration"
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

// candidates are the backends that may get the request now; held reports whether any backend has its model at all.
func (b *Balancer) candidates(request *Request, now time.Time) (out []*Backend, held bool) {
	s := b.services[request.Service]
	if s == nil {
		return nil, false
	}
	for _, backend := range s.backends {
		if backend.Draining || !backend.has(request.Model, now) {
			continue
		}
		held = true
		if slices.Contains(request.tried, backend.ID) || now.Before(backend.shedUntil) {
			continue
		}
		if backend.lost && (backend.trialOut || now.Before(backend.retryAt)) {
			continue
		}
		if backend.running >= backend.MaxConnections || !b.hasRoom(backend, request) {
			continue
		}
		out = append(out, backend)
	}
	return out, held
}

// has reports whether the backend holds a model, and its adapter where one is named.
func (backend *Backend) has(model string, now time.Time) bool {
	if model == "" {
		return true
	}
	if until, ok := backend.missing[model]; ok {
		if now.Before(until) {
			return false
		}
		delete(backend.missing, model)
	}
	_, ok := backend.holds[model]
	return ok
}

// hasRoom reports whether the backend can run the request beside what it is known to run.
func (b *Balancer) hasRoom(backend *Backend, request *Request) bool {
	if backend.running+backend.others >= max(1, backend.Capacity) {
		return false
	}
	if queued := backend.queued + backend.queuedOut; queued > 0 && queued+request.work > queueShare*milliseconds(request.Patience.Sub(request.Arrived)) {
		return false // its client would leave before its first event
	}
	runtime := b.runtime(request.Service)
	if runtime == nil || runtime.CacheTokens == 0 {
		return true
	}
	need := request.PromptTokens + request.OutputTokens
	used := backend.tokens
	if backend.running > 0 {
		used += backend.others * backend.tokens / backend.running
	} else {
		used += backend.others * need
	}
	return used == 0 || float64(used+need) <= memoryShare*float64(runtime.CacheTokens)
}

func (b *Balancer) runtime(name string) *configuration.Runtime {
	if b.config == nil || b.config.Services[name] == nil {
		return nil
	}
	return b.config.Services[name].Runtime
}

// choose takes the least loaded of the backends whose turns are due next, and gives the turn away. Where the others'
// loads are fresh, the turns of all count as due: by older ones many proxies would choose the same backend.
func (b *Balancer) choose(request *Request, candidates []*Backend, now time.Time) *Backend {
	s := b.services[request.Service]
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].due != candidates[j].due {
			return candidates[i].due < candidates[j].due
		}
		return candidates[i].ID < candidates[j].ID
	})
	best := candidates[0]
	compared := lookAhead
	if now.Sub(best.freshAt) <= freshLifetime {
		compared = len(candidates)
	}
	least := b.cost(best, request, now)
	for _, backend := range candidates[1:min(compared, len(candidates))] {
		if cost := b.cost(backend, request, now); cost < least {
			best, least = backend, cost
		}
	}
	s.time = max(s.time, min(candidates[0].due, best.due))
	best.due = max(best.due, s.time) + 1/best.weightFor(request, now)
	return best
}

// cost ranks backends among the due turns: what runs there against what it can do, and whether a connection would have to
// be made. Equals keep the order of their turns, so that without load the shares are those of the weights.
func (b *Balancer) cost(backend *Backend, request *Request, now time.Time) float64 {
	running := float64(backend.running + backend.others)
	waiting := running*runningCost + backend.queued + backend.queuedOut
	if b.hasConnection != nil && !b.hasConnection(backend.ID) {
		waiting += connectionCost
	}
	return waiting / backend.weightFor(request, now)
}

// weightFor is the backend's weight for a request: slow start counts from when it first showed what is requested, too.
func (backend *Backend) weightFor(request *Request, now time.Time) float64 {
	factor := min(ramp(backend.holds[message.ModelOf(request.Model)], now), ramp(backend.holds[request.Model], now))
	return max(minWeight, backend.weight*factor)
}

// connectionCost is what a new connection counts beside prompts that wait, in milliseconds.
const connectionCost = 60.0

// runningCost is what one running request counts beside prompts that wait, in milliseconds.
const runningCost = 4.0

// freshLifetime is how long the word of others on their loads is fresh: shorter than a prompt takes to be read.
const freshLifetime = 50 * time.Millisecond

// queueShare is the part of a client's patience that prompts before its own may take.
const queueShare = 0.6

func milliseconds(span time.Duration) float64 { return span.Seconds() * 1000 }

func (b *Balancer) grantTo(request *Request, backend *Backend, choice Choice, now time.Time) {
	if request.sends == 0 {
		b.budget.Request(now)
	}
	request.sends++
	request.tried = append(request.tried, backend.ID)
	backend.running++
	request.queued = request.PromptTokens > 0
	if request.queued {
		backend.queued += request.work
	}
	backend.tokens += request.PromptTokens + request.OutputTokens
	if backend.lost {
		backend.trialOut = true
	}
	if request.Model != "" {
		b.countDemand(request).running++
		b.changed[backend.ID] = backend
	}
	request.grant <- Grant{Backend: backend, ID: backend.ID, Address: backend.Address, Choice: choice}
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

func (b *Balancer) heldAnywhere(name, model string, now time.Time) bool {
	s := b.services[name]
	return s != nil && slices.ContainsFunc(s.backends, func(backend *Backend) bool { return backend.has(model, now) })
}

func (b *Balancer) refuse(request *Request, after time.Duration, reason string) {
	request.grant <- Grant{RetryAfter: after, Reason: reason, Choice: Choice{Waited: request.reason}}
}

// Finish takes the outcome of an attempt.
func (b *Balancer) Finish(request *Request, backend *Backend, outcome Outcome, span time.Duration, now time.Time) {
	backend.running--
	b.dequeue(request, backend)
	backend.tokens -= request.PromptTokens + request.OutputTokens
	backend.trialOut = false
	if request.Model != "" {
		b.countDemand(request).running--
		b.changed[backend.ID] = backend
	}
	switch outcome {
	case Answered:
		backend.evidence.report(now, span, false)
		b.connected(backend, now)
	case Failed:
		backend.evidence.report(now, span, true)
	case NotRun:
		backend.shedUntil = now.Add(shedPause)
		b.connected(backend, now)
	case NotHere:
		backend.missing[request.Model] = now.Add(missingPause)
		b.connected(backend, now)
	case ConnectFailed:
		request.sends-- // nothing has arrived anywhere
		backend.backoff = min(maxBackoff, max(connectBackoff, backend.backoff*2))
		backend.lost, backend.retryAt = true, now.Add(backend.backoff)
	}
	b.reweigh(backend, now)
	b.serveWaiting(now)
}

// Began notes that a request's first event came after span.
func (b *Balancer) Began(request *Request, backend *Backend, span time.Duration) {
	b.dequeue(request, backend)
	b.pace.learn(request, span)
}

func (b *Balancer) dequeue(request *Request, backend *Backend) {
	if request.queued {
		b.changed[backend.ID] = backend
		request.queued = false
		backend.queued = max(0, backend.queued-request.work)
	}
}

// connected ends the time out of the schedule after a trial send that came through.
func (b *Balancer) connected(backend *Backend, now time.Time) {
	if backend.lost {
		backend.lost, backend.backoff = false, 0
		backend.evidence.readySince = now
	}
}

// reweigh brings the weights of a backend's service up to date.
func (b *Balancer) reweigh(changed *Backend, now time.Time) {
	s := b.services[changed.Service]
	if s == nil {
		return
	}
	total, count := 0.0, 0
	for _, backend := range s.backends {
		if weight, ok := backend.evidence.derived(now, backend.Capacity); ok {
			total += weight
			count++
		}
	}
	for _, backend := range s.backends {
		weight := 1.0
		if count > 0 {
			mean := total / float64(count)
			if derived, ok := backend.evidence.derived(now, backend.Capacity); ok {
				weight = derived / mean // relative to the mean, which is used in the blackout
			}
		}
		backend.weight = max(minWeight, weight*backend.evidence.ramp(now))
	}
}
