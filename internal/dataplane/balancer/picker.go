package balancer

import (
	"cmp"
	"slices"
	"time"
)

// candidates returns the backends that may get the request now. hasHolder reports whether any backend has loaded its
// model at all, with or without capacity.
func (b *Balancer) candidates(request *Request, now time.Time) (eligible []*Backend, hasHolder bool) {
	s := b.services[request.Service]
	if s == nil {
		return nil, false
	}
	for _, backend := range s.backends {
		if backend.Draining || !backend.hasModel(request.Model, now) {
			continue
		}
		hasHolder = true
		if slices.Contains(request.triedBackends, backend.ID) || backend.isEjected(now) {
			continue
		}
		if backend.inFlight >= backend.maxConnections || !b.hasCapacity(backend, request) {
			continue
		}
		eligible = append(eligible, backend)
	}
	return eligible, hasHolder
}

// hasCapacity reports whether the backend can run the request beside what it is known to run.
func (b *Balancer) hasCapacity(backend *Backend, request *Request) bool {
	if backend.inFlight+backend.othersInFlight >= max(1, backend.Capacity) {
		return false
	}
	clientTimeoutMs := milliseconds(request.ClientTimeoutAt.Sub(request.Arrived))
	if queuedMs := backend.queuedPrefillMs + backend.othersQueuedPrefillMs; queuedMs > 0 &&
		queuedMs+request.prefillMs > maxPrefillWaitShare*clientTimeoutMs {
		return false // its client would leave before its first event
	}
	return b.hasCacheSpace(backend, request)
}

// hasCacheSpace reports whether the backend's KV cache has space for the request. The tokens of other proxies' requests
// are not known: they are taken to be as long as this proxy's.
func (b *Balancer) hasCacheSpace(backend *Backend, request *Request) bool {
	runtime := b.runtime(request.Service)
	if runtime == nil || runtime.CacheTokens == 0 {
		return true
	}
	needed := request.tokens()
	used := backend.inFlightTokens
	if backend.inFlight > 0 {
		used += backend.othersInFlight * backend.inFlightTokens / backend.inFlight
	} else {
		used += backend.othersInFlight * needed
	}
	return used == 0 || float64(used+needed) <= maxCacheUtilization*float64(runtime.CacheTokens)
}

// pick takes the backend with the least cost among those with the earliest deadlines, and moves its deadline on. Where
// the peers' loads are fresh, all candidates are compared: by older ones many proxies would pick the same backend.
func (b *Balancer) pick(request *Request, candidates []*Backend, now time.Time) *Backend {
	s := b.services[request.Service]
	slices.SortFunc(candidates, func(x, y *Backend) int {
		return cmp.Or(cmp.Compare(x.deadline, y.deadline), cmp.Compare(x.ID, y.ID))
	})
	first := candidates[0]
	compared := pickWindow
	if now.Sub(first.othersUpdatedAt) <= peerLoadLifetime {
		compared = len(candidates)
	}
	best, least := first, b.cost(first, request, now)
	for _, backend := range candidates[1:min(compared, len(candidates))] {
		if cost := b.cost(backend, request, now); cost < least {
			best, least = backend, cost
		}
	}
	s.virtualTime = max(s.virtualTime, min(first.deadline, best.deadline))
	best.deadline = max(best.deadline, s.virtualTime) + 1/best.weightFor(request, now)
	return best
}

// cost is what the request would wait for at the backend, in milliseconds of queued prefill, over the backend's weight.
// Equal costs keep the order of the schedule, so that without load the shares are those of the weights.
func (b *Balancer) cost(backend *Backend, request *Request, now time.Time) float64 {
	inFlight := float64(backend.inFlight + backend.othersInFlight)
	costMs := inFlight*inFlightCostMs + backend.queuedPrefillMs + backend.othersQueuedPrefillMs
	if b.hasIdleConnection != nil && !b.hasIdleConnection(backend.ID) {
		costMs += dialCostMs
	}
	return costMs / backend.weightFor(request, now)
}

// weightFor is the backend's weight for a request. Slow start counts from the load of the model or adapter, too.
func (b *Backend) weightFor(request *Request, now time.Time) float64 {
	model, adapter := b.readySince[request.Model.Base()], b.readySince[request.Model]
	factor := min(slowStartFactor(model, now), slowStartFactor(adapter, now))
	return max(minWeight, b.weight*factor)
}

// assign sends the request to the backend: its load counts from now on, until Finish.
func (b *Balancer) assign(request *Request, backend *Backend, decision Decision, now time.Time) {
	if request.delivered == 0 {
		b.budget.AddRequest(now)
	}
	request.delivered++
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
