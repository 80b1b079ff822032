package balancer

import (
	"slices"
	"sort"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

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
func (backend *Backend) has(model message.ModelName, now time.Time) bool {
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
