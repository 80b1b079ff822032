package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

// proxyRequest is one try of a client at one proxy.
type proxyRequest struct {
	id            uint64
	clientRequest int32
	proxy         int32
	deadline      Time
	answered      bool
	inFlight      uint8
	attemptCount  uint8
	attempts      [maxAttempts]proxyAttempt
}

type proxy struct {
	node                Node
	messenger           PeerMessenger
	incarnation         int32
	zone                uint8
	up                  bool
	downSince           Time
	stopsAt             Time // it was told to stop, and gets no new clients from then; 0: it was not
	version             int  // of the list that its node has
	notificationPending bool
	watching            bool
	subscribing         bool
	openRequests        int
	connections         map[int32]*connectionPool
	timersThisSecond    int
	timerSecond         int64
	cutFromDiscovery    bool // from discovery
}

func (r *simulation) releaseProxyRequest(m int32) {
	r.releaseClientRequest(r.proxyRequests[m].clientRequest)
	r.proxyRequests[m].id = 0
	r.freeProxyRequests = append(r.freeProxyRequests, m)
}

// startProxy starts a proxy with nothing but the list as its zone's place had it last.
func (r *simulation) startProxy(n int32) {
	p := &r.proxies[n]
	if p.up {
		return
	}
	w := r.scenario
	set := w.settings(int(n), int(p.zone), r.capacity)
	node, err := r.newNode(set, mix(r.seed^uint64(n)<<32^uint64(p.incarnation)<<16^0xa5a5), r.oracle)
	if err != nil {
		r.fail(n, "can't start: %v", err)
		return
	}
	p.node, p.up, p.openRequests, p.watching, p.subscribing, p.notificationPending, p.timersThisSecond = node, true, 0, false, false, false, 0
	p.stopsAt = 0
	p.messenger, _ = node.(PeerMessenger)
	p.connections = map[int32]*connectionPool{}
	members := r.discovery.listAt(p.version)
	r.observe(Record{Kind: ProxyStarted, Proxy: n, Members: members, Version: p.version})
	r.policyEvent = policy.Event{Kind: policy.MembershipCached, Members: members}
	r.deliver(n)
	r.schedule(r.now+1_000_000+Time(n)*997%1_000_000, event{kind: evCloseIdle, subject: n, number: p.incarnation})
}

// killProxy ends a proxy: its connections break, its requests are their clients' again, its nodes' memory is gone.
func (r *simulation) killProxy(n int32) {
	p := &r.proxies[n]
	if !p.up {
		return
	}
	r.observe(Record{Kind: ProxyStopped, Proxy: n})
	p.up, p.downSince, p.node, p.messenger = false, r.now, nil, nil
	p.incarnation++
	for m := range r.proxyRequests {
		j := &r.proxyRequests[m]
		if j.id == 0 || j.proxy != n {
			continue
		}
		for i := range j.attempts[:j.attemptCount] {
			if j.attempts[i].inFlight {
				r.abandonServerAttempt(&j.attempts[i])
			}
		}
		if !j.answered {
			r.schedule(r.now+Time(r.scenario.Network.Client), event{kind: evReceiveAnswer, subject: j.clientRequest, code: uint8(policy.ConnectionReset), id: j.id})
		}
		r.releaseProxyRequest(int32(m))
	}
	for s, k := range p.connections {
		if k.epoch == r.servers[s].epoch {
			r.servers[s].connections -= len(k.idle)
		}
	}
	p.connections = nil
}

// deliver hands the event in r.ev to a proxy's node and carries out what it says.
func (r *simulation) deliver(n int32) {
	p := &r.proxies[n]
	r.stats.Handled++
	r.actions = p.node.Handle(r.now, &r.policyEvent, r.actions[:0])
	r.executeActions(n)
}

func (r *simulation) executeActions(n int32) {
	p := &r.proxies[n]
	if len(r.actions) > maxActionsPerEvent {
		r.fail(n, "answers one event with %d actions", len(r.actions))
	}
	for i := 0; i < len(r.actions) && r.failure == nil; i++ {
		a := &r.actions[i]
		switch a.Kind {
		case policy.SendAttempt:
			r.sendAttempt(n, a)
		case policy.RejectRequest, policy.FailRequest:
			r.answerRequest(n, a)
		case policy.CancelAttempt:
			m := r.findProxyRequest(n, a.ID)
			if m < 0 {
				continue // it ended before
			}
			j := &r.proxyRequests[m]
			if int(a.Attempt) >= int(j.attemptCount) {
				r.fail(n, "cancels attempt %d of a request that has had %d", a.Attempt, j.attemptCount)
			} else if t := &j.attempts[a.Attempt]; t.inFlight && r.scenario.Published.AllowCancel {
				r.abandonServerAttempt(t)
				r.schedule(r.nextTick(r.now+1), event{kind: evAttemptFailed, subject: m, code: a.Attempt, number: int32(policy.Cancelled), id: j.id})
			}
		case policy.SetTimer:
			if second := r.now / 1_000_000; second != p.timerSecond {
				p.timerSecond, p.timersThisSecond = second, 0
			}
			if p.timersThisSecond++; p.timersThisSecond > maxTimersPerSecond {
				r.fail(n, "sets timers without end: %d within a second", p.timersThisSecond)
			}
			r.schedule(r.nextTick(r.now+max(1, a.After)), event{kind: evTimer, subject: n, number: p.incarnation, id: a.ID})
		case policy.SubscribeDiscovery:
			r.subscribe(n)
		case policy.CloseIdleConns:
			if s := r.findServer(a.Server); s != nil {
				if k := p.connections[s.index]; k != nil && k.epoch == s.epoch {
					s.connections -= len(k.idle)
					k.idle = k.idle[:0]
				}
			}
		case policy.LogMessage:
		case policy.PollLoad:
			r.probeServer(n, a.Server)
		default:
			r.fail(n, "wants action %d, which this world does not know", a.Kind)
		}
	}
	if p.messenger != nil {
		for _, l := range p.messenger.TakeMessages() {
			r.sendMessage(n, l)
		}
	}
}

// findProxyRequest finds an open request of the proxy; -1: it has ended. One that never was ends the run.
func (r *simulation) findProxyRequest(n int32, id uint64) int32 {
	m := int32(id & (1<<indexBits - 1))
	if no := id >> indexBits; no == 0 || no > r.lastProxyRequestNumber || int(m) >= len(r.proxyRequests) {
		r.fail(n, "names request %d, which it was never given", id)
		return -1
	}
	j := &r.proxyRequests[m]
	if j.id != id {
		return -1
	}
	if j.proxy != n {
		r.fail(n, "names request %d, which proxy %d has", id, j.proxy)
		return -1
	}
	return m
}

func (r *simulation) findServer(id uint32) *server {
	if n := int(id ^ r.serverIDMask); n >= 0 && n < len(r.servers) {
		return r.servers[n]
	}
	return nil
}

// answerClient is a try's final answer.
func (r *simulation) answerClient(m int32, out policy.Outcome, after Time) {
	j := &r.proxyRequests[m]
	j.answered = true
	r.proxies[j.proxy].openRequests--
	r.observe(Record{Kind: RequestAnswered, Proxy: j.proxy, ID: j.id, Outcome: out, Request: r.clientRequests[j.clientRequest].number, Span: after})
	travel := Time(float64(r.scenario.Network.Client) * (1 + r.scenario.Network.Jitter*r.clientRequests[j.clientRequest].draw(9)))
	r.schedule(r.now+travel, event{kind: evReceiveAnswer, subject: j.clientRequest, number: int32(min(after, math.MaxInt32)), code: uint8(out), id: j.id})
}

// releaseIfDone forgets a job that is over with nothing out.
func (r *simulation) releaseIfDone(m int32) {
	if j := &r.proxyRequests[m]; j.answered && j.inFlight == 0 && j.id != 0 {
		r.releaseProxyRequest(m)
	}
}

func (r *simulation) answerRequest(n int32, a *policy.Action) {
	m := r.findProxyRequest(n, a.ID)
	if m < 0 || r.proxyRequests[m].answered {
		return // ended already: disregarded, as the wire does
	}
	out := policy.ErrorResponse
	if a.Kind == policy.RejectRequest {
		out = policy.Rejected
	}
	r.answerClient(m, out, a.After)
	r.releaseIfDone(m)
}

func (r *simulation) expireRequest(m int32, id uint64) {
	j := &r.proxyRequests[m]
	if j.id != id || j.answered {
		return
	}
	n := j.proxy
	j.answered = true
	r.proxies[n].openRequests--
	r.observe(Record{Kind: ResponseOverdue, Proxy: n, ID: id})
	r.releaseIfDone(m)
	r.policyEvent = policy.Event{Kind: policy.RequestAbandoned, ID: id}
	r.deliver(n)
}
