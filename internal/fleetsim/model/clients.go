package model

import (
	"math"
	"slices"

	"pumiceline/internal/standalone/policy"
)

// clientRequest is one request of a client, with all its attempts. Each attempt that reaches a proxy is a proxyRequest.
type clientRequest struct {
	number          uint64 // 0: the pool entry is free
	currentAttempt  uint64 // id of the current proxyRequest, or a constant below
	startedAt       Time
	deadline        Time
	work            float64
	workHint        Time // the client's estimate, 0: none
	key             uint64
	behaviour       uint64 // random bits that fix this client's choices, whatever the policy does
	value           float64
	firstEffectAt   Time // -1: none yet
	firstEffectZone uint8
	firstEffectCell uint16
	references      int32 // one for each proxyRequest and serverAttempt, and one until it has ended
	zone            uint8
	class           uint8
	tenant          uint16
	attempts        uint8
	ended           bool
}

// Values of clientRequest.currentAttempt that are not ids.
const (
	attemptWithoutProxy = 0 // no proxy was available
	attemptOver         = 1 // the client no longer waits for an attempt: a late response is ignored
)

// Purposes of clientRequest.draw. chooseProxy uses proxy<<8 + attempt as well. For proxy 0 those numbers overlap with
// some of these. Do not renumber: a changed number changes the results of every seed.
const (
	drawUnsafeRetry   = 3
	drawRetryAfter    = 4
	drawImpatient     = 7
	drawResponseDelay = 9
	drawTravelTime    = 1 << 40
)

// burstIntervalFactor is the mean time between bursts, in mean lengths of a burst: bursts take a tenth of the time.
const burstIntervalFactor = 9

// goldenGamma is the increment of SplitMix64: 2^64 over the golden ratio.
const goldenGamma = 0x9e3779b97f4a7c15

// draw returns a number from 0 to 1 that depends only on the client and the purpose, so that a client makes the same
// choices under every policy.
func (c *clientRequest) draw(purpose uint64) float64 {
	return unitFloat(mix(c.behaviour + purpose*goldenGamma))
}

// startClientRequest starts a client request and schedules the next one. Both are drawn from a random stream of their
// own, so that every policy gets the same requests.
func (sm *simulation) startClientRequest() {
	rate := sm.currentArrivalRate() // may draw; must be called before the draw in the next line
	next := sm.now + max(1, Time(sm.arrivalRand.ExpFloat64()/rate+0.5))
	if next < Time(sm.scenario.Duration) {
		sm.schedule(next, event{kind: evArrival})
	}
	index := sm.clientRequests.acquire()
	c := sm.clientRequests.at(index)
	sm.drawClientRequest(c)
	sm.openClientRequests++
	sm.stats.Requests++
	sm.observe(Record{Kind: RequestStarted, Request: c.number, Class: c.class, Tenant: c.tenant, Work: Time(c.work),
		Value: c.value, Duration: c.deadline - c.startedAt, Zone: c.zone})
	sm.sendToProxy(index)
}

// currentArrivalRate returns the arrival rate now, in requests per microsecond, including the load wave, bursts and a
// tenant flood.
func (sm *simulation) currentArrivalRate() float64 {
	sc := sm.scenario
	rate := sm.arrivalRate
	if sc.WavePeriod > 0 {
		rate *= 1 + sc.WaveAmplitude*math.Sin(2*math.Pi*float64(sm.now)/float64(sc.WavePeriod))
	}
	if sc.BurstFactor > 0 {
		if sm.now >= sm.burstEnd {
			sm.inBurst = !sm.inBurst
			mean := float64(sc.BurstTime)
			if !sm.inBurst {
				mean *= burstIntervalFactor
			}
			sm.burstEnd = sm.now + 1 + Time(sm.arrivalRand.ExpFloat64()*mean)
		}
		if sm.inBurst {
			rate *= sc.BurstFactor
		}
	}
	if len(sm.tenantShares) > 0 {
		rate *= 1 + (sm.floodFactor-1)*sm.tenantShares[0]
	}
	return rate
}

// drawClientRequest draws a request and its client. The order of the draws must not change: it determines the results
// of a seed.
func (sm *simulation) drawClientRequest(c *clientRequest) {
	sc, rng := sm.scenario, sm.arrivalRand
	sm.lastRequestNumber++
	classIndex := indexAt(sm.classShares, rng.Float64())
	class := &sc.Classes[classIndex]
	c.number, c.startedAt, c.firstEffectAt, c.class, c.references = sm.lastRequestNumber, sm.now, -1, uint8(classIndex), 1
	c.deadline = sm.now + Time(class.Deadline)
	c.zone = uint8(indexAt(sm.zoneShares, rng.Float64()))
	c.work = lognormal(rng, float64(class.Work), class.WorkCV)
	c.behaviour, c.key = rng.Uint64(), rng.Uint64()
	if len(sm.keyShares) > 0 {
		key, _ := slices.BinarySearch(sm.keyShares, unitFloat(mix(c.key)))
		c.key = mix(sm.seed + uint64(key) + 1)
	}
	if estimate := lognormal(rng, c.work, max(0, sc.WorkHintCV)); sc.WorkHintCV >= 0 {
		c.workHint = max(1, Time(estimate))
	}
	c.value = class.Value * c.work
	if u := rng.Float64(); len(sm.tenantShares) > 0 {
		// A flood adds requests of the first tenant. Its part of the interval comes first: x < 0 leaves c.tenant at 0.
		flood := (sm.floodFactor - 1) * sm.tenantShares[0]
		if x := u*(1+flood) - flood; x >= 0 {
			c.tenant = uint16(indexAt(sm.tenantShares, x))
		}
	}
}

// sendToProxy sends a client's next attempt to a proxy that the front layer considers available.
func (sm *simulation) sendToProxy(clientIndex int32) {
	c := sm.clientRequests.at(clientIndex)
	c.attempts++
	c.currentAttempt = attemptWithoutProxy
	proxyIndex := sm.chooseProxy(c)
	network := &sm.scenario.Network
	travelTime := Time(float64(network.Client) * (1 + network.Jitter*c.draw(uint64(c.attempts)+drawTravelTime)))
	if proxyIndex < 0 || !sm.proxies[proxyIndex].canAccept(sm.scenario.Published.MaxOpenRequests) {
		sm.schedule(sm.now+2*travelTime, event{kind: evReceiveResponse, subject: clientIndex,
			code: uint8(policy.ConnectFailed), id: attemptWithoutProxy})
		return
	}
	requestIndex := sm.proxyRequests.acquire()
	if requestIndex >= 1<<indexBits {
		sm.fail(proxyIndex, "has a part in over %d requests open at once", 1<<indexBits)
		return
	}
	sm.lastProxyRequestNumber++
	request := sm.proxyRequests.at(requestIndex)
	request.id = sm.lastProxyRequestNumber<<indexBits | uint64(requestIndex)
	request.clientRequest, request.proxy, request.deadline = clientIndex, proxyIndex, sm.now+sm.attemptTimeout(c)
	c.currentAttempt = request.id
	c.references++
	sm.schedule(sm.nextTick(sm.now+travelTime), event{kind: evReceiveRequest, subject: requestIndex, id: request.id})
	sm.schedule(request.deadline, event{kind: evClientTimeout, subject: clientIndex, id: request.id})
}

// chooseProxy returns one of the available proxies in the client's zone, each with the same probability. If that zone
// has none, it chooses among those of all zones. It returns -1 if no proxy is available.
func (sm *simulation) chooseProxy(c *clientRequest) int32 {
	chosen, candidates := int32(-1), 0.0
	for _, anyZone := range []bool{false, true} {
		for i := range sm.proxies {
			p := &sm.proxies[i]
			if !anyZone && p.zone != c.zone || !sm.isAvailable(p) {
				continue
			}
			// Reservoir sampling: the n-th candidate replaces the chosen one with probability 1/n.
			if candidates++; c.draw(uint64(i)<<8+uint64(c.attempts))*candidates < 1 {
				chosen = int32(i)
			}
		}
		if chosen >= 0 {
			break
		}
	}
	return chosen
}

// isAvailable reports whether the front layer sends clients to the proxy. The front layer detects a crash after
// ProxyFailoverDelay, and an orderly stop without delay.
func (sm *simulation) isAvailable(p *proxy) bool {
	isKnownDown := !p.up && sm.now-p.downSince > Time(sm.scenario.Clients.ProxyFailoverDelay)
	isStopping := p.stopsAt > 0 && sm.now >= p.stopsAt
	return !isKnownDown && !isStopping
}

// attemptTimeout returns how long the client waits for its current attempt.
func (sm *simulation) attemptTimeout(c *clientRequest) Time {
	class := &sm.scenario.Classes[c.class]
	timeout := min(Time(sm.scenario.Clients.AttemptTimeoutShare*float64(class.Deadline)), c.deadline-sm.now)
	if c.draw(drawImpatient) < sm.scenario.Clients.ImpatientShare {
		timeout = min(timeout, Time(class.LatencyTarget))
	}
	return timeout
}

// receiveResponse handles the response or failure of an attempt at its client. It is ignored if the client no longer
// waits for that attempt.
func (sm *simulation) receiveResponse(clientIndex int32, proxyRequestID uint64, outcome policy.Outcome, retryAfter Time) {
	c := sm.clientRequests.at(clientIndex)
	if c.ended || c.currentAttempt != proxyRequestID {
		return
	}
	if outcome == policy.OK {
		sm.endClientRequest(clientIndex, true)
		return
	}
	sm.retryOrGiveUp(clientIndex, outcome, retryAfter)
}

// abandonProxyRequest handles the client's time-out of an attempt.
func (sm *simulation) abandonProxyRequest(clientIndex int32, proxyRequestID uint64) {
	if c := sm.clientRequests.at(clientIndex); !c.ended && c.currentAttempt == proxyRequestID {
		sm.retryOrGiveUp(clientIndex, policy.TimedOut, 0)
	}
}

// retryOrGiveUp schedules a client's retry after a failure, or ends its request.
func (sm *simulation) retryOrGiveUp(clientIndex int32, outcome policy.Outcome, retryAfter Time) {
	c := sm.clientRequests.at(clientIndex)
	clients := &sm.scenario.Clients
	c.currentAttempt = attemptOver
	mayRetry := sm.mayRetry(c, outcome)
	wait := Time(clients.Backoff)
	if sm.retryAtOnce {
		wait = 0
	}
	if retryAfter > 0 && c.draw(drawRetryAfter) < clients.RetryAfterCompliance {
		wait = max(wait, min(retryAfter, Time(clients.MaxRetryAfter)))
	}
	next := sm.now + max(1, wait)
	if !mayRetry || int(c.attempts) > sm.maxRetries || next >= c.deadline {
		sm.endClientRequest(clientIndex, false)
		return
	}
	sm.schedule(next, event{kind: evRetry, subject: clientIndex, id: c.number})
}

// mayRetry reports whether the client retries after the outcome. Idempotent requests may be retried after any failure,
// and so may requests that all servers deduplicate, within the window. Others are retried only if they cannot have been
// executed, except by the UnsafeRetryShare of clients, which retry after any failure.
func (sm *simulation) mayRetry(c *clientRequest, outcome policy.Outcome) bool {
	class := &sm.scenario.Classes[c.class]
	switch {
	case outcome == policy.Rejected, outcome == policy.ConnectFailed, class.semantics() == policy.Idempotent:
		return true
	case class.semantics() == policy.Deduplicated && class.dedupScope() == policy.DedupEverywhere &&
		sm.now-c.startedAt < Time(class.DedupWindow):
		return true
	}
	return c.draw(drawUnsafeRetry) < sm.scenario.Clients.UnsafeRetryShare
}

func (sm *simulation) endClientRequest(clientIndex int32, served bool) {
	c := sm.clientRequests.at(clientIndex)
	c.ended = true
	sm.openClientRequests--
	sm.observe(Record{Kind: RequestEnded, Request: c.number, Flag: served, Duration: sm.now - c.startedAt, Class: c.class,
		Tenant: c.tenant})
	sm.releaseClientRequest(clientIndex)
}

// releaseClientRequest drops one reference. With the last one, the pool entry becomes free.
func (sm *simulation) releaseClientRequest(clientIndex int32) {
	c := sm.clientRequests.at(clientIndex)
	if c.references > 1 {
		c.references--
		return
	}
	c.references, c.number, c.ended = 0, 0, true
	sm.clientRequests.release(clientIndex)
}
