package balancer

import (
	"cmp"
	"slices"
	"time"
)

// candidates returns the backends that may get the request now. isModelLoaded is true if any backend that is not
// draining has loaded its model, even if it is ejected or has no capacity.
func (b *Balancer) candidates(request *Request, now time.Time) (eligible []*Backend, isModelLoaded bool) {
	s := b.services[request.Service]
	if s == nil {
		return nil, false
	}
	for _, backend := range s.backends {
		if backend.isDraining(now) || !backend.hasModel(request.Model, now) {
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

// hasCapacity reports whether the backend can run the request in addition to its known load. A backend without queued
// prefill can take a prompt of any length, because no other backend would be faster.
func (b *Balancer) hasCapacity(backend *Backend, request *Request) bool {
	if backend.inFlight+backend.peersInFlight >= max(1, backend.Capacity) {
		return false
	}
	clientTimeoutMs := milliseconds(request.ClientTimeoutAt.Sub(request.Arrived))
	if queuedMs := backend.queuedPrefillMs + backend.peersQueuedPrefillMs; queuedMs > 0 &&
		queuedMs+request.prefillMs > maxPrefillWaitShare*clientTimeoutMs {
		return false // the client would give up before the first event
	}
	return b.hasCacheSpace(backend, request)
}

// hasCacheSpace reports whether the backend's KV cache has space for the request. The tokens of other proxies'
// requests are unknown. Each is assumed to have the mean number of tokens of this proxy's requests there, or those of
// this request if there are none. An empty cache accepts any request.
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

// pick returns the backend with the lowest cost among those with the earliest deadlines, and moves its deadline on by
// 1/weight. If the peers' loads are fresh, it compares all candidates. With older loads it must not: all proxies
// would see the same backend as the least loaded and send their requests to it at the same time.
func (b *Balancer) pick(request *Request, candidates []*Backend, now time.Time) *Backend {
	s := b.services[request.Service]
	slices.SortFunc(candidates, func(x, y *Backend) int {
		return cmp.Or(cmp.Compare(x.deadline, y.deadline), cmp.Compare(x.ID, y.ID))
	})
	first := candidates[0]
	compared := pickWindow
	// A query updates all backends with the model, so the first candidate stands for all.
	if now.Sub(first.peersUpdatedAt) <= peerLoadLifetime {
		compared = len(candidates)
	}
	best, least := first, b.cost(first, request, now)
	for _, backend := range candidates[1:min(compared, len(candidates))] {
		if cost := b.cost(backend, request, now); cost < least {
			best, least = backend, cost
		}
	}
	// Otherwise a backend that was not picked for a long time would get a burst of picks.
	s.virtualTime = max(s.virtualTime, first.deadline)
	best.deadline = max(best.deadline, s.virtualTime) + 1/best.weightFor(request, now)
	return best
}

// cost is the load that the request would wait for at the backend, in milliseconds of queued prefill, divided by the
// backend's weight. For equal costs pick follows the schedule, so without load the shares of requests follow the
// weights.
func (b *Balancer) cost(backend *Backend, request *Request, now time.Time) float64 {
	inFlight := float64(backend.inFlight + backend.peersInFlight)
	costMs := inFlight*inFlightCostMs + backend.queuedPrefillMs + backend.peersQueuedPrefillMs
	if b.hasIdleConnection != nil && !b.hasIdleConnection(backend.ID) {
		costMs += dialCostMs
	}
	return costMs / backend.weightFor(request, now)
}

// weightFor returns the backend's weight for a request. Slow start (gRFC A100) also applies after the load of the
// model or of the adapter: their caches are empty even if the backend has been ready for a long time.
func (b *Backend) weightFor(request *Request, now time.Time) float64 {
	model, adapter := b.modelReadySince[request.Model.Base()], b.modelReadySince[request.Model]
	factor := min(slowStartFactor(model, now), slowStartFactor(adapter, now))
	return max(minWeight, b.weight*factor)
}

// assign answers the request with the backend, and counts its load at the backend until Finish.
func (b *Balancer) assign(request *Request, backend *Backend, decision Decision, now time.Time) {
	if !request.isBudgeted {
		request.isBudgeted = true
		b.budget.AddRequest(request.Service, now)
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
