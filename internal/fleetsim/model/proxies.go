package model

import (
	"pumiceline/internal/standalone/policy"
)

const (
	// nodeSeedSalt keeps the nodes' seeds distinct from other numbers that are derived from the run's seed.
	nodeSeedSalt = 0xa5a5
	// closeIdleStagger, in microseconds, is a prime, so that proxies close their idle connections at different times.
	closeIdleStagger = 997
)

// proxy is the state of one proxy. After a restart, the new process has the same index.
type proxy struct {
	node       Node
	messenger  PeerMessenger // the node, if it exchanges messages
	generation int32         // counts the processes of this index
	zone       uint8
	up         bool
	downSince  Time
	stopsAt    Time // from when a stopping proxy gets no new clients; 0: it is not stopping

	openRequests   int
	connections    map[int32]*connectionPool // by server index
	timersInSecond int
	timerSecond    int64

	listVersion           int // version of discovery's list that the node has
	watching              bool
	notificationPending   bool
	isolatedFromDiscovery bool // by a fault
}

// canAccept reports whether the proxy accepts a further request. maxOpen 0 means no limit.
func (p *proxy) canAccept(maxOpen int) bool {
	return p.up && (maxOpen <= 0 || p.openRequests < maxOpen)
}

// isRunning reports whether the proxy is up with this generation. Events for an earlier generation are ignored.
func (sm *simulation) isRunning(proxyIndex, generation int32) bool {
	p := &sm.proxies[proxyIndex]
	return p.up && p.generation == generation
}

// startProxy starts a proxy. Its only state is the list that the previous process of the same index cached last.
func (sm *simulation) startProxy(proxyIndex int32) {
	p := &sm.proxies[proxyIndex]
	if p.up {
		return
	}
	settings := sm.scenario.policySettings(int(proxyIndex), int(p.zone), sm.capacity)
	node, err := sm.newNode(settings, mix(sm.seed^uint64(proxyIndex)<<32^uint64(p.generation)<<16^nodeSeedSalt), sm.oracle)
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
	offset := Time(proxyIndex) * closeIdleStagger % microsPerSecond
	sm.schedule(sm.now+microsPerSecond+offset, event{kind: evCloseIdle, subject: proxyIndex, number: p.generation})
}

// stopProxy ends the process of a proxy that a roll has stopped.
func (sm *simulation) stopProxy(proxyIndex, generation int32) {
	if p := &sm.proxies[proxyIndex]; p.generation == generation {
		sm.killProxy(proxyIndex)
		p.downSince = p.stopsAt // the front layer knows of an orderly stop from stopsAt on
	}
}

// killProxy ends a proxy's process: its connections break, its clients get a connection reset, and its node's state is
// lost.
func (sm *simulation) killProxy(proxyIndex int32) {
	p := &sm.proxies[proxyIndex]
	if !p.up {
		return
	}
	sm.observe(Record{Kind: ProxyStopped, Proxy: proxyIndex})
	p.up, p.downSince, p.node, p.messenger = false, sm.now, nil, nil
	p.generation++
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
		if !request.responded {
			sm.schedule(sm.now+Time(sm.scenario.Network.Client),
				event{kind: evReceiveResponse, subject: request.clientRequest,
					code: uint8(policy.ConnectionReset), id: request.id})
		}
		sm.releaseProxyRequest(int32(i))
	}
	sm.closeAllIdle(p)
	p.connections = nil
}

// breakConnections resets all connections of a proxy and the attempts on them.
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
		if s := sm.servers[serverIndex]; pool.generation == s.generation {
			s.connections -= len(pool.idleSince)
		}
		pool.idleSince = pool.idleSince[:0]
	}
}

// findServer returns the server with an id, or nil if there is none.
func (sm *simulation) findServer(id uint32) *server {
	if index := int(id ^ sm.serverIDMask); index >= 0 && index < len(sm.servers) {
		return sm.servers[index]
	}
	return nil
}
