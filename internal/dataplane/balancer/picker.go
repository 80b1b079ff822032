package balancer

import (
	"cmp"
	"slices"
	"time"
)

// candidates returns the backends that may get the request now. isModelLoaded reports whether any backend has loaded
// its model at all, with or without capacity.
func (b *Balancer) candidates(request *Request, now time.Time) (eligible []*Backend, isModelLoaded bool) {
	s := b.services[request.Service]
	if s == nil {
		return nil, false
	}
	for _, backend := range s.backends {
		if backend.Draining || !backend.hasModel(request.Model, now) {
			continue
		}
		isModelLoaded = true
		if slices.Contains(request.triedBackends, backend.ID) || backend.isEjected(now) {
			continue
		}
		if backend.inFlight >= backend.maxConnections || !b.hasCapacity(backend, request) {
			continue
		}
		eligible = append(eligible, backend)
	}
	return eligible, isModelLoaded
}

// hasCapacity reports whether the backend can run the request beside what it is known to run. A backend where no
// prefill is queued takes a prompt of any length: no other one would be faster.
func (b *Balancer) hasCapacity(backend *Backend, request *Request) bool {
	if backend.inFlight+backend.peersInFlight >= max(1, backend.Capacity) {
		return false
	}
	clientTimeoutMs := milliseconds(request.ClientTimeoutAt.Sub(request.Arrived))
	if queuedMs := backend.queuedPrefillMs + backend.peersQueuedPrefillMs; queuedMs > 0 &&
		queuedMs+request.prefillMs > maxPrefillWaitShare*clientTimeoutMs {
		return false // its client would leave before its first event
	}
	return b.hasCacheSpace(backend, request)
}

// hasCacheSpace reports whether the backend's KV cache has space for the request. The tokens of other proxies' requests
// are not known: they are taken to have as many as this proxy's there, or as this one. An empty cache takes any request.
func (b *Balancer) hasCacheSpace(backend *Backend, request *Request) bool {
	runtime := b.runtime(request.Service)
	if runtime == nil || runtime.CacheTokens == 0 {
		return true
	}
	needed := request.tokens()
	used := backend.inFlightTokens
	if backend.inFlight > 0 {
		used += backend.peersInFlight * backend.inFlightTokens / backend.inFlight
	} else {
		used += backend.peersInFlight * needed
	}
	return used == 0 || float64(used+needed) <= maxCacheUtilization*float64(runtime.CacheTokens)
}

// pick takes the backend with the least cost among those with the earliest deadlines, and moves its deadline on by
// 1/weight. Where the peers' loads are fresh, all candidates are compared. With older ones they must not be: all
// proxies would see the same backend as the least loaded and send to it at the same time.
func (b *Balancer) pick(request *Request, candidates []*Backend, now time.Time) *Backend {
	s := b.services[request.Service]
	slices.SortFunc(candidates, func(x, y *Backend) int {
		return cmp.Or(cmp.Compare(x.deadline, y.deadline), cmp.Compare(x.ID, y.ID))
	})
	first := candidates[0]
	compared := pickWindow
	if now.Sub(first.peersUpdatedAt) <= peerLoadLifetime { // and so of all: a query is for all backends with the model
		compared = len(candidates)
	}
	best, least := first, b.cost(first, request, now)
	for _, backend := range candidates[1:min(compared, len(candidates))] {
		if cost := b.cost(backend, request, now); cost < least {
			best, least = backend, cost
		}
	}
	s.virtualTime = max(s.virtualTime, first.deadline) // a backend that had no turn for long gets no burst of them
	best.deadline = max(best.deadline, s.virtualTime) + 1/best.weightFor(request, now)
	return best
}

// cost is what the request would wait for at the backend, in milliseconds of queued prefill, over the backend's weight.
// Equal costs keep the order of the schedule, so that without load the shares are those of the weights.
func (b *Balancer) cost(backend *Backend, request *Request, now time.Time) float64 {
	inFlight := float64(backend.inFlight + backend.peersInFlight)
	costMs := inFlight*inFlightCostMs + backend.queuedPrefillMs + backend.peersQueuedPrefillMs
	if b.hasIdleConnection != nil && !b.hasIdleConnection(backend.ID) {
		costMs += dialCostMs
	}
	return costMs / backend.weightFor(request, now)
}

// weightFor is the backend's weight for a request. Slow start (gRFC A100) also begins with the load of the model and of
// the adapter: their caches are empty though the backend is warm.
func (b *Backend) weightFor(request *Request, now time.Time) float64 {
	model, adapter := b.modelReadySince[request.Model.Base()], b.modelReadySince[request.Model]
	factor := min(slowStartFactor(model, now), slowStartFactor(adapter, now))
	return max(minWeight, b.weight*factor)
}

// assign sends the request to the backend: its load counts from now on, until Finish.
func (b *Balancer) assign(request *Request, backend *Backend, decision Decision, now time.Time) {
	if request.sentAttempts == 0 {
		b.budget.AddRequest(now)
	}
	request.sentAttempts++
	request.triedBackends = append(request.triedBackends, backend.ID)
	backend.inFlight++
	request.isPrefilling = request.PromptTokens > 0
	if request.isPrefilling {
		backend.queuedPrefillMs += request.prefillMs
	}
	backend.inFlightTokens += request.tokens()
	if backend.isUnreachable {
		backend.probeInFlight = true
	}
	if request.Model != "" {
		b.demandFor(request).inFlight++
		b.changedLoads[backend.ID] = backend
	}
	request.result <- PickResult{Backend: backend, BackendID: backend.ID, Address: backend.Address, Decision: decision}
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
