package model

import (
	"math"
	"slices"

	"pumiceline/internal/standalone/policy"
)

// clientRequest is what one client wants, over all its tries.
type clientRequest struct {
	number        uint64
	currentID     uint64 // the present try's id
	startedAt     Time
	aim, deadline Time // absolute
	work          float64
	key           uint64
	behaviour     uint64 // random bits that fix how this client behaves
	effectAt      Time   // -1: none yet
	hint          Time
	value         float64
	refs          int32
	zone          uint8
	class         uint8
	tenant        uint16
	attempts      uint8
	ended         bool
	firstEffect   struct {
		zone uint8
		cell uint16
	}
}

// startClientRequest begins a client's first try and plans the next. Arrivals are drawn from a stream of their own, so every
// policy gets the same ones.
func (r *simulation) startClientRequest() {
	w, g := r.scenario, r.arrivalRand
	rate := r.arrivalRate
	if w.WavePeriod > 0 {
		rate *= 1 + w.WaveAmplitude*math.Sin(2*math.Pi*float64(r.now)/float64(w.WavePeriod))
	}
	if w.BurstFactor > 0 {
		if r.now >= r.burstEnd {
			r.inBurst = !r.inBurst
			mean := float64(w.BurstTime)
			if !r.inBurst {
				mean *= 9
			}
			r.burstEnd = r.now + 1 + Time(g.ExpFloat64()*mean)
		}
		if r.inBurst {
			rate *= w.BurstFactor
		}
	}
	if len(r.tenantShares) > 0 {
		rate *= 1 + (r.floodFactor-1)*r.tenantShares[0]
	}
	next := r.now + max(1, Time(g.ExpFloat64()/rate+0.5))
	if next < Time(w.Duration) {
		r.schedule(next, event{kind: evArrival})
	}
	n := acquire(&r.clientRequests, &r.freeClientRequests)
	c := &r.clientRequests[n]
	r.lastRequestNumber++
	class := indexAt(r.classShares, g.Float64())
	k := &w.Classes[class]
	c.number, c.startedAt, c.effectAt, c.class, c.attempts, c.refs = r.lastRequestNumber, r.now, -1, uint8(class), 0, 1
	c.aim, c.deadline = r.now+Time(k.LatencyTarget), r.now+Time(k.Deadline)
	c.zone = uint8(indexAt(r.zoneShares, g.Float64()))
	c.work = lognormal(g, float64(k.Work), k.WorkCV)
	c.behaviour, c.key = g.Uint64(), g.Uint64()
	if len(r.keyShares) > 0 {
		at, _ := slices.BinarySearch(r.keyShares, float64(mix(c.key)>>11)/(1<<53))
		c.key = mix(r.seed + uint64(at) + 1)
	}
	c.hint = 0
	if guess := lognormal(g, c.work, max(0, w.WorkHintCV)); w.WorkHintCV >= 0 {
		c.hint = max(1, Time(guess))
	}
	c.value = k.Value * c.work
	if u := g.Float64(); len(r.tenantShares) > 0 {
		x := u * (1 + (r.floodFactor-1)*r.tenantShares[0]) // a flood adds to the first tenant's part
		if x -= (r.floodFactor - 1) * r.tenantShares[0]; x >= 0 {
			c.tenant = uint16(indexAt(r.tenantShares, x))
		}
	}
	r.openClientRequests++
	r.stats.Requests++
	r.observe(Record{Kind: RequestStarted, Request: c.number, Class: c.class, Tenant: c.tenant, Work: Time(c.work), Value: c.value, Span: Time(k.Deadline),
		Zone: c.zone})
	r.sendToProxy(n)
}

// sendToProxy sends a client's next try to a proxy of its zone that the front layer holds for alive.
func (r *simulation) sendToProxy(n int32) {
	c := &r.clientRequests[n]
	c.attempts++
	c.currentID = 0
	zone := c.zone
	chosen, seen := int32(-1), 0.0
	for pass := 0; pass < 2 && chosen < 0; pass++ {
		for i := range r.proxies {
			p := &r.proxies[i]
			if pass == 0 && p.zone != zone || !p.up && r.now-p.downSince > Time(r.scenario.Clients.ProxyFailoverDelay) || p.stopsAt > 0 && r.now >= p.stopsAt {
				continue
			}
			if seen++; c.draw(uint64(i)<<8+uint64(c.attempts))*seen < 1 { // each of them is as likely
				chosen = int32(i)
			}
		}
	}
	travel := Time(float64(r.scenario.Network.Client) * (1 + r.scenario.Network.Jitter*c.draw(uint64(c.attempts)+1<<40)))
	if chosen < 0 || !r.proxies[chosen].up || r.proxies[chosen].openRequests >= r.scenario.Published.MaxOpenRequests && r.scenario.Published.MaxOpenRequests > 0 {
		r.schedule(r.now+2*travel, event{kind: evReceiveAnswer, subject: n, code: uint8(policy.ConnectFailed), id: 0})
		return
	}
	k := &r.scenario.Classes[c.class]
	patience := min(Time(r.scenario.Clients.AttemptTimeoutShare*float64(k.Deadline)), c.deadline-r.now)
	if c.draw(7) < r.scenario.Clients.ImpatientShare {
		patience = min(patience, Time(k.LatencyTarget))
	}
	m := acquire(&r.proxyRequests, &r.freeProxyRequests)
	if m >= 1<<indexBits {
		r.fail(chosen, "has a part in over %d requests open at once", 1<<indexBits)
		return
	}
	r.lastProxyRequestNumber++
	j := &r.proxyRequests[m]
	j.id, j.clientRequest, j.proxy, j.deadline = r.lastProxyRequestNumber<<indexBits|uint64(m), n, chosen, r.now+patience
	c.currentID = j.id
	c.refs++
	r.schedule(r.nextTick(r.now+travel), event{kind: evReceiveRequest, subject: m, id: j.id})
	r.schedule(j.deadline, event{kind: evAbandonAttempt, subject: n, id: j.id})
}

// receiveRequest gives a try to its proxy.
func (r *simulation) receiveRequest(m int32, id uint64) {
	j := &r.proxyRequests[m]
	if j.id != id {
		return
	}
	p, c := &r.proxies[j.proxy], &r.clientRequests[j.clientRequest]
	if !p.up {
		r.schedule(r.now+Time(r.scenario.Network.Client), event{kind: evReceiveAnswer, subject: j.clientRequest, code: uint8(policy.ConnectFailed), id: id})
		r.releaseProxyRequest(m)
		return
	}
	p.openRequests++
	patience := max(1, j.deadline-r.now)
	r.observe(Record{Kind: RequestReceived, Proxy: j.proxy, ID: id, Request: c.number, Class: c.class, Span: patience})
	r.schedule(j.deadline+Time(r.scenario.Published.ResponseGrace)+1, event{kind: evRequestExpired, subject: m, id: id})
	r.policyEvent = policy.Event{Kind: policy.RequestArrived, ID: id, Class: c.class, Tenant: uint32(c.tenant), AffinityKey: c.key, Work: c.hint,
		ClientTimeout: patience, ClientRetry: r.scenario.Clients.MarkRetries && c.attempts > 1}
	r.deliver(j.proxy)
}

// receiveAnswer brings a client the end of one of its tries; id 0: it reached no proxy.
func (r *simulation) receiveAnswer(n int32, id uint64, out policy.Outcome, after Time) {
	c := &r.clientRequests[n]
	if c.ended || c.currentID != id {
		return
	}
	if out == policy.OK {
		r.endClientRequest(n, true)
		return
	}
	r.retryOrGiveUp(n, out, after)
}

// abandonAttempt is a client's end of patience with a try.
func (r *simulation) abandonAttempt(n int32, id uint64) {
	if c := &r.clientRequests[n]; !c.ended && c.currentID == id {
		r.retryOrGiveUp(n, policy.TimedOut, 0)
	}
}

// retryOrGiveUp lets a client try once more, as its class allows: a safe request after any failure, a keyed one that all
// servers know by its key likewise, others only where nothing can have run. Reckless clients do not ask.
func (r *simulation) retryOrGiveUp(n int32, out policy.Outcome, after Time) {
	c := &r.clientRequests[n]
	k := &r.scenario.Classes[c.class]
	c.currentID = 1 // answers to the last try come too late from here
	may := out == policy.Rejected || out == policy.ConnectFailed || *semanticsByName[k.Semantics] == policy.Idempotent ||
		*semanticsByName[k.Semantics] == policy.Deduplicated && *dedupScopeByName[k.DedupScope] == policy.DedupEverywhere && r.now-c.startedAt < Time(k.DedupWindow)
	if !may && c.draw(3) < r.scenario.Clients.UnsafeRetryShare {
		may = true
	}
	wait := Time(r.scenario.Clients.Backoff)
	if r.retryAtOnce {
		wait = 0
	}
	if after > 0 && c.draw(4) < r.scenario.Clients.RetryAfterCompliance {
		wait = max(wait, min(after, Time(r.scenario.Clients.MaxRetryAfter)))
	}
	next := r.now + max(1, wait)
	if !may || int(c.attempts) > r.maxRetries || next >= c.deadline {
		r.endClientRequest(n, false)
		return
	}
	r.schedule(next, event{kind: evRetry, subject: n, id: c.number})
}

func (r *simulation) endClientRequest(n int32, served bool) {
	c := &r.clientRequests[n]
	c.ended = true
	r.openClientRequests--
	r.observe(Record{Kind: RequestEnded, Request: c.number, Flag: served, Span: r.now - c.startedAt, Class: c.class, Tenant: c.tenant})
	r.releaseClientRequest(n)
}

func (r *simulation) releaseClientRequest(n int32) {
	if c := &r.clientRequests[n]; c.refs > 1 {
		c.refs--
	} else {
		c.refs, c.number, c.ended = 0, 0, true
		r.freeClientRequests = append(r.freeClientRequests, n)
	}
}
