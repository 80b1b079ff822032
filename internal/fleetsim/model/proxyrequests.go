package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

// proxyRequest is one attempt of a client at one proxy. The proxy handles each as a separate request.
type proxyRequest struct {
	id            uint64 // 0: the pool entry is free
	clientRequest int32
	proxy         int32
	deadline      Time // when its client stops waiting
	responded     bool
	inFlight      uint8 // attempts in flight
	attemptCount  uint8 // attempts sent
	attempts      [maxAttempts]proxyAttempt
}

func (sm *simulation) releaseProxyRequest(requestIndex int32) {
	request := sm.proxyRequests.at(requestIndex)
	sm.releaseClientRequest(request.clientRequest)
	request.id = 0
	sm.proxyRequests.release(requestIndex)
}

// releaseIfDone releases a request that has been answered and has no attempt in flight.
func (sm *simulation) releaseIfDone(requestIndex int32) {
	if request := sm.proxyRequests.at(requestIndex); request.responded && request.inFlight == 0 && request.id != 0 {
		sm.releaseProxyRequest(requestIndex)
	}
}

// findProxyRequest returns the index of a request of the proxy that has not been released, or -1. An id that the proxy
// was never given ends the run with an error.
func (sm *simulation) findProxyRequest(proxyIndex int32, id uint64) int32 {
	requestIndex := int32(id & (1<<indexBits - 1))
	if number := id >> indexBits; number == 0 || number > sm.lastProxyRequestNumber ||
		int(requestIndex) >= len(sm.proxyRequests.items) {
		sm.fail(proxyIndex, "names request %d, which it was never given", id)
		return -1
	}
	request := sm.proxyRequests.at(requestIndex)
	if request.id != id {
		return -1
	}
	if request.proxy != proxyIndex {
		sm.fail(proxyIndex, "names request %d, which proxy %d has", id, request.proxy)
		return -1
	}
	return requestIndex
}

// receiveRequest handles the arrival of a client's attempt at its proxy.
func (sm *simulation) receiveRequest(requestIndex int32, id uint64) {
	request := sm.proxyRequests.at(requestIndex)
	if request.id != id {
		return
	}
	p, c := &sm.proxies[request.proxy], sm.clientRequests.at(request.clientRequest)
	if !p.up {
		sm.schedule(sm.now+Time(sm.scenario.Network.Client), event{kind: evReceiveResponse, subject: request.clientRequest,
			code: uint8(policy.ConnectFailed), id: id})
		sm.releaseProxyRequest(requestIndex)
		return
	}
	p.openRequests++
	timeout := max(1, request.deadline-sm.now)
	sm.observe(Record{Kind: RequestReceived, Proxy: request.proxy, ID: id, Request: c.number, Class: c.class,
		Duration: timeout})
	sm.schedule(request.deadline+Time(sm.scenario.Published.ResponseGrace)+1,
		event{kind: evRequestExpired, subject: requestIndex, id: id})
	sm.policyEvent = policy.Event{
		Kind:          policy.RequestArrived,
		ID:            id,
		Class:         c.class,
		Tenant:        uint32(c.tenant),
		AffinityKey:   c.key,
		Work:          c.workHint,
		ClientTimeout: timeout,
		ClientRetry:   sm.scenario.Clients.MarkRetries && c.attempts > 1,
	}
	sm.deliver(request.proxy)
}

// rejectOrFailRequest carries out a node's RejectRequest or FailRequest. It does nothing for a request that has been
// answered.
func (sm *simulation) rejectOrFailRequest(proxyIndex int32, action *policy.Action) {
	requestIndex := sm.findProxyRequest(proxyIndex, action.ID)
	if requestIndex < 0 || sm.proxyRequests.at(requestIndex).responded {
		return
	}
	outcome := policy.ErrorResponse
	if action.Kind == policy.RejectRequest {
		outcome = policy.Rejected
	}
	sm.respondToClient(requestIndex, outcome, action.After)
	sm.releaseIfDone(requestIndex)
}

// respondToClient sends a request's final response to its client.
func (sm *simulation) respondToClient(requestIndex int32, outcome policy.Outcome, retryAfter Time) {
	request := sm.proxyRequests.at(requestIndex)
	c := sm.clientRequests.at(request.clientRequest)
	request.responded = true
	sm.proxies[request.proxy].openRequests--
	sm.observe(Record{Kind: ResponseSent, Proxy: request.proxy, ID: request.id, Outcome: outcome, Request: c.number,
		Duration: retryAfter})
	network := &sm.scenario.Network
	travelTime := Time(float64(network.Client) * (1 + network.Jitter*c.draw(drawResponseDelay)))
	sm.schedule(sm.now+travelTime, event{kind: evReceiveResponse, subject: request.clientRequest,
		number: int32(min(retryAfter, math.MaxInt32)), code: uint8(outcome), id: request.id})
}

// expireRequest ends a request that its proxy has not answered within ResponseGrace after its deadline.
func (sm *simulation) expireRequest(requestIndex int32, id uint64) {
	request := sm.proxyRequests.at(requestIndex)
	if request.id != id || request.responded {
		return
	}
	proxyIndex := request.proxy
	request.responded = true
	sm.proxies[proxyIndex].openRequests--
	sm.observe(Record{Kind: ResponseOverdue, Proxy: proxyIndex, ID: id})
	sm.releaseIfDone(requestIndex)
	sm.policyEvent = policy.Event{Kind: policy.RequestAbandoned, ID: id}
	sm.deliver(proxyIndex)
}
