package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

// proxy is one proxy, and under the same index its successors.
type proxy struct {
	node        Node
	messenger   PeerMessenger // the node, if it exchanges messages
	incarnation int32
	zone        uint8
	up          bool
	downSince   Time
	stopsAt     Time // when a stopping proxy gets no new clients; 0: it does not stop

	openRequests   int
	connections    map[int32]*connectionPool // by server index
	timersInSecond int
	timerSecond    int64

	listVersion         int // of discovery's list, as its node has it
	watching            bool
	notificationPending bool
	cutFromDiscovery    bool // by a fault
}

// canAccept says whether the proxy takes a further request; maxOpen 0: any number.
func (p *proxy) canAccept(maxOpen int) bool {
	return p.up && (maxOpen <= 0 || p.openRequests < maxOpen)
}

// isRunning says whether the proxy runs in this incarnation: what is for an earlier one is void.
func (sm *simulation) isRunning(proxyIndex, incarnation int32) bool {
	p := &sm.proxies[proxyIndex]
	return p.up && p.incarnation == incarnation
}

// startProxy starts a proxy with nothing but the cached list of its place, as its predecessor had it last.
func (sm *simulation) startProxy(proxyIndex int32) {
	p := &sm.proxies[proxyIndex]
	if p.up {
		return
	}
	settings := sm.scenario.policySettings(int(proxyIndex), int(p.zone), sm.capacity)
	node, err := sm.newNode(settings, mix(sm.seed^uint64(proxyIndex)<<32^uint64(p.incarnation)<<16^0xa5a5), sm.oracle)
	if err != nil {
		sm.fail(proxyIndex, "can't start: %v", err)
		return
	}
	p.node, p.up, p.stopsAt = node, true, 0
	p.messenger, _ = node.(PeerMessenger)
	p.openRequests, p.timersInSecond, p.watching, p.notificationPending = 0, 0, false, false
	p.connections = map[int32]*connectionPool{}
	members := sm.discovery.listAt(p.listVersion)
	sm.observe(Record{Kind: ProxyStarted, Proxy: proxyIndex, Members: members, Version: p.listVersion})
	sm.policyEvent = policy.Event{Kind: policy.MembershipCached, Members: members}
	sm.deliver(proxyIndex)
	offset := Time(proxyIndex) * 997 % microsPerSecond // proxies do not all do it at once
	sm.schedule(sm.now+microsPerSecond+offset, event{kind: evCloseIdle, subject: proxyIndex, number: p.incarnation})
}

// stopProxy ends a stopping proxy's process.
func (sm *simulation) stopProxy(proxyIndex, incarnation int32) {
	if p := &sm.proxies[proxyIndex]; p.incarnation == incarnation {
		sm.killProxy(proxyIndex)
		p.downSince = p.stopsAt // the front layer has known since then
	}
}

// killProxy ends a proxy's process: its connections break, its requests are left to their clients, its node's state is
// lost.
func (sm *simulation) killProxy(proxyIndex int32) {
	p := &sm.proxies[proxyIndex]
	if !p.up {
		return
	}
	sm.observe(Record{Kind: ProxyStopped, Proxy: proxyIndex})
	p.up, p.downSince, p.node, p.messenger = false, sm.now, nil, nil
	p.incarnation++
	for i := range sm.proxyRequests.items {
		request := &sm.proxyRequests.items[i]
		if request.id == 0 || request.proxy != proxyIndex {
			continue
		}
		for k := range request.attempts[:request.attemptCount] {
			if attempt := &request.attempts[k]; attempt.inFlight {
				sm.abandonServerAttempt(attempt)
			}
		}
		if !request.answered {
			sm.schedule(sm.now+Time(sm.scenario.Network.Client),
				event{kind: evReceiveAnswer, subject: request.clientRequest,
					code: uint8(policy.ConnectionReset), id: request.id})
		}
		sm.releaseProxyRequest(int32(i))
	}
	sm.closeAllIdle(p)
	p.connections = nil
}

// breakConnections resets all connections of a proxy, with the attempts on them.
func (sm *simulation) breakConnections(proxyIndex int32) {
	p := &sm.proxies[proxyIndex]
	if !p.up {
		return
	}
	sm.closeAllIdle(p)
	for i := range sm.proxyRequests.items {
		request := &sm.proxyRequests.items[i]
		if request.id == 0 || request.proxy != proxyIndex {
			continue
		}
		for k := range request.attempts[:request.attemptCount] {
			if attempt := &request.attempts[k]; attempt.inFlight && attempt.serverAttempt != noServerAttempt {
				sm.abandonServerAttempt(attempt)
				sm.schedule(sm.nextTick(sm.now+1), event{kind: evAttemptFailed, subject: int32(i), code: uint8(k),
					number: int32(policy.ConnectionReset), id: request.id})
			}
		}
	}
}

func (sm *simulation) closeAllIdle(p *proxy) {
	for serverIndex, pool := range p.connections {
		if s := sm.servers[serverIndex]; pool.epoch == s.epoch {
			s.connections -= len(pool.idleSince)
		}
		pool.idleSince = pool.idleSince[:0]
	}
}

// deliver hands policyEvent to a proxy's node and carries out its actions.
func (sm *simulation) deliver(proxyIndex int32) {
	sm.stats.Handled++
	sm.actions = sm.proxies[proxyIndex].node.Handle(sm.now, &sm.policyEvent, sm.actions[:0])
	sm.executeActions(proxyIndex)
}

// executeActions carries out what a node returned, and sends its messages.
func (sm *simulation) executeActions(proxyIndex int32) {
	if len(sm.actions) > maxActionsPerEvent {
		sm.fail(proxyIndex, "answers one event with %d actions", len(sm.actions))
	}
	for i := 0; i < len(sm.actions) && sm.failure == nil; i++ {
		sm.executeAction(proxyIndex, &sm.actions[i])
	}
	if messenger := sm.proxies[proxyIndex].messenger; messenger != nil {
		for _, message := range messenger.TakeMessages() {
			sm.sendMessage(proxyIndex, message)
		}
	}
}

func (sm *simulation) executeAction(proxyIndex int32, action *policy.Action) {
	switch action.Kind {
	case policy.SendAttempt:
		sm.sendAttempt(proxyIndex, action)
	case policy.RejectRequest, policy.FailRequest:
		sm.answerRequest(proxyIndex, action)
	case policy.CancelAttempt:
		sm.cancelAttempt(proxyIndex, action)
	case policy.SetTimer:
		sm.setTimer(proxyIndex, action)
	case policy.SubscribeDiscovery:
		sm.subscribe(proxyIndex)
	case policy.CloseIdleConns:
		sm.closeIdleConnectionsTo(&sm.proxies[proxyIndex], action.Server)
	case policy.LogMessage: // nobody reads it here
	case policy.PollLoad:
		sm.pollLoad(proxyIndex, action.Server)
	default:
		sm.fail(proxyIndex, "wants action %d, which the simulator does not know", action.Kind)
	}
}

func (sm *simulation) setTimer(proxyIndex int32, action *policy.Action) {
	p := &sm.proxies[proxyIndex]
	if second := sm.now / microsPerSecond; second != p.timerSecond {
		p.timerSecond, p.timersInSecond = second, 0
	}
	if p.timersInSecond++; p.timersInSecond > maxTimersPerSecond {
		sm.fail(proxyIndex, "sets timers without end: %d within a second", p.timersInSecond)
	}
	sm.schedule(sm.nextTick(sm.now+max(1, action.After)),
		event{kind: evTimer, subject: proxyIndex, number: p.incarnation, id: action.ID})
}

// findServer returns the server of an id, nil if there is none.
func (sm *simulation) findServer(id uint32) *server {
	if index := int(id ^ sm.serverIDMask); index >= 0 && index < len(sm.servers) {
		return sm.servers[index]
	}
	return nil
}

// proxyRequest is one attempt of a client at one proxy: a request, as the proxy sees it.
type proxyRequest struct {
	id            uint64 // 0: the place is free
	clientRequest int32
	proxy         int32
	deadline      Time // when its client gives it up
	answered      bool
	inFlight      uint8 // attempts
	attemptCount  uint8
	attempts      [maxAttempts]proxyAttempt
}

func (sm *simulation) releaseProxyRequest(requestIndex int32) {
	request := sm.proxyRequests.at(requestIndex)
	sm.releaseClientRequest(request.clientRequest)
	request.id = 0
	sm.proxyRequests.release(requestIndex)
}

// releaseIfDone forgets a request that is answered and has no attempt in flight.
func (sm *simulation) releaseIfDone(requestIndex int32) {
	if request := sm.proxyRequests.at(requestIndex); request.answered && request.inFlight == 0 && request.id != 0 {
		sm.releaseProxyRequest(requestIndex)
	}
}

// findProxyRequest returns the index of an open request of the proxy; -1: it has ended. One that it never had ends the
// run.
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

// receiveRequest is the arrival of a client's attempt at its proxy.
func (sm *simulation) receiveRequest(requestIndex int32, id uint64) {
	request := sm.proxyRequests.at(requestIndex)
	if request.id != id {
		return
	}
	p, c := &sm.proxies[request.proxy], sm.clientRequests.at(request.clientRequest)
	if !p.up {
		sm.schedule(sm.now+Time(sm.scenario.Network.Client), event{kind: evReceiveAnswer, subject: request.clientRequest,
			code: uint8(policy.ConnectFailed), id: id})
		sm.releaseProxyRequest(requestIndex)
		return
	}
	p.openRequests++
	timeout := max(1, request.deadline-sm.now)
	sm.observe(Record{Kind: RequestReceived, Proxy: request.proxy, ID: id, Request: c.number, Class: c.class,
		Span: timeout})
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

// answerRequest carries out a node's RejectRequest or FailRequest. It is void for a request that has ended.
func (sm *simulation) answerRequest(proxyIndex int32, action *policy.Action) {
	requestIndex := sm.findProxyRequest(proxyIndex, action.ID)
	if requestIndex < 0 || sm.proxyRequests.at(requestIndex).answered {
		return
	}
	outcome := policy.ErrorResponse
	if action.Kind == policy.RejectRequest {
		outcome = policy.Rejected
	}
	sm.answerClient(requestIndex, outcome, action.After)
	sm.releaseIfDone(requestIndex)
}

// answerClient sends a request's final answer to its client.
func (sm *simulation) answerClient(requestIndex int32, outcome policy.Outcome, retryAfter Time) {
	request := sm.proxyRequests.at(requestIndex)
	c := sm.clientRequests.at(request.clientRequest)
	request.answered = true
	sm.proxies[request.proxy].openRequests--
	sm.observe(Record{Kind: RequestAnswered, Proxy: request.proxy, ID: request.id, Outcome: outcome, Request: c.number,
		Span: retryAfter})
	network := &sm.scenario.Network
	travelTime := Time(float64(network.Client) * (1 + network.Jitter*c.draw(drawAnswerDelay)))
	sm.schedule(sm.now+travelTime, event{kind: evReceiveAnswer, subject: request.clientRequest,
		number: int32(min(retryAfter, math.MaxInt32)), code: uint8(outcome), id: request.id})
}

// expireRequest ends a request that its proxy has not answered within the grace after its deadline.
func (sm *simulation) expireRequest(requestIndex int32, id uint64) {
	request := sm.proxyRequests.at(requestIndex)
	if request.id != id || request.answered {
		return
	}
	proxyIndex := request.proxy
	request.answered = true
	sm.proxies[proxyIndex].openRequests--
	sm.observe(Record{Kind: ResponseOverdue, Proxy: proxyIndex, ID: id})
	sm.releaseIfDone(requestIndex)
	sm.policyEvent = policy.Event{Kind: policy.RequestAbandoned, ID: id}
	sm.deliver(proxyIndex)
}
