package model

import "pumiceline/internal/standalone/policy"

// proxyAttempt is the proxy's state of an attempt at a server.
type proxyAttempt struct {
	serverAttempt int32 // noServerAttempt: nothing on the network or at the server belongs to it
	server        int32
	inFlight      bool
	sentAt        Time
}

// noServerAttempt is the value of proxyAttempt.serverAttempt without a serverAttempt.
const noServerAttempt = -1

// serverAttempt is an attempt on the network and at its server. It continues there after its proxy has abandoned it.
type serverAttempt struct {
	id               uint64 // of the proxyRequest; 0: the pool entry is free
	work             float64
	sentAt           Time
	clientRequest    int32
	proxyRequest     int32
	proxy            int32
	proxyGeneration  int32 // of the proxy
	server           int32
	serverGeneration int32 // of the server process that it is for
	attempt          uint8
	outcome          policy.Outcome
	stage            attemptStage
	newConnection    bool
	abandoned        bool // its proxy has abandoned it and closed the connection, or the connection broke
	hasReport        bool
	report           [reportColumns]float32
}

type attemptStage uint8

const (
	stageTravelling attemptStage = iota // to its server
	stageAtServer                       // executing or queued
	stageReturning
)

func (sm *simulation) releaseServerAttempt(attemptIndex int32) {
	attempt := sm.serverAttempts.at(attemptIndex)
	sm.releaseClientRequest(attempt.clientRequest)
	attempt.id = 0
	sm.serverAttempts.release(attemptIndex)
}

// sendAttempt carries out a node's SendAttempt.
func (sm *simulation) sendAttempt(proxyIndex int32, action *policy.Action) {
	s := sm.findServer(action.Server)
	if s == nil {
		sm.fail(proxyIndex, "sends to server %d, which no list has named", action.Server)
		return
	}
	p := &sm.proxies[proxyIndex]
	requestIndex := sm.findProxyRequest(proxyIndex, action.ID)
	if sm.failure != nil {
		return
	}
	if requestIndex < 0 || sm.proxyRequests.at(requestIndex).responded { // the checker counts this as a violation
		sm.observe(Record{Kind: AttemptSent, Proxy: proxyIndex, ID: action.ID, Server: action.Server, Zone: s.zone,
			Cell: s.cell, Flag: p.zone != s.zone})
		return
	}
	request := sm.proxyRequests.at(requestIndex)
	if request.attemptCount >= maxAttempts || int(request.attemptCount) >= sm.scenario.Published.MaxAttempts {
		sm.fail(proxyIndex, "makes attempt %d of a request that may have %d", request.attemptCount+1,
			sm.scenario.Published.MaxAttempts)
		return
	}
	attemptIndex := sm.newAttempt(requestIndex, s)
	attempt := sm.serverAttempts.at(attemptIndex)
	sm.observe(Record{Kind: AttemptSent, Proxy: proxyIndex, ID: request.id, Attempt: attempt.attempt, Server: action.Server,
		Zone: s.zone, Cell: s.cell, Work: Time(attempt.work), Flag: p.zone != s.zone})
	sm.scheduleAttemptTimeout(requestIndex, attempt.attempt, action.After)
	travelTime := sm.networkDelay(p.zone, s.zone)
	connections := sm.openConnections(p, s)
	if attempt.newConnection = len(connections.idleSince) == 0; attempt.newConnection {
		travelTime += Time(sm.scenario.Connections.HandshakeRoundTrips * 2 * float64(travelTime))
	} else {
		connections.idleSince = connections.idleSince[:len(connections.idleSince)-1]
	}
	if sm.isServerPartitioned(proxyIndex, s) {
		sm.loseSentAttempt(attemptIndex, s)
		return
	}
	connections.inUse++
	s.workInTransit += attempt.work
	sm.schedule(sm.now+travelTime, event{kind: evArriveAtServer, subject: attemptIndex})
}

// newAttempt adds an attempt at server s to a proxy's request.
func (sm *simulation) newAttempt(requestIndex int32, s *server) (attemptIndex int32) {
	request := sm.proxyRequests.at(requestIndex)
	number := request.attemptCount
	request.attemptCount++
	request.inFlight++
	client := sm.clientRequests.at(request.clientRequest)
	client.references++
	attemptIndex = sm.serverAttempts.acquire()
	*sm.serverAttempts.at(attemptIndex) = serverAttempt{
		id:               request.id,
		proxyRequest:     requestIndex,
		clientRequest:    request.clientRequest,
		proxy:            request.proxy,
		proxyGeneration:  sm.proxies[request.proxy].generation,
		server:           s.index,
		serverGeneration: s.generation,
		attempt:          number,
		sentAt:           sm.now,
		work:             lognormal(sm.networkRand, client.work, sm.scenario.Classes[client.class].AttemptCV),
	}
	request.attempts[number] = proxyAttempt{serverAttempt: attemptIndex, server: s.index, inFlight: true, sentAt: sm.now}
	return attemptIndex
}

// scheduleAttemptTimeout schedules the attempt's time-out: after timeout (0: none; negative: at once), or at the
// request's deadline if that is earlier.
func (sm *simulation) scheduleAttemptTimeout(requestIndex int32, number uint8, timeout Time) {
	request := sm.proxyRequests.at(requestIndex)
	limit := request.deadline
	if timeout > 0 {
		limit = min(limit, sm.now+timeout)
	} else if timeout < 0 {
		limit = sm.now
	}
	sm.schedule(sm.nextTick(max(limit, sm.now+1)), event{kind: evAttemptTimeout, subject: requestIndex, code: number,
		id: request.id})
}

func (sm *simulation) timeOutAttempt(e *event) {
	request := sm.proxyRequests.at(e.subject)
	if request.id != e.id || !request.attempts[e.code].inFlight {
		return
	}
	attempt := &request.attempts[e.code]
	sm.abandonServerAttempt(attempt)
	sm.endAttempt(e.subject, e.code, policy.TimedOut, sm.now-attempt.sentAt, nil)
}

// loseSentAttempt drops an attempt that a partition keeps from its server. A new connection fails after DialTimeout. A
// request on an existing connection is lost without an error, and only its time-out ends it at the proxy.
func (sm *simulation) loseSentAttempt(attemptIndex int32, s *server) {
	attempt := sm.serverAttempts.at(attemptIndex)
	if attempt.newConnection {
		sm.scheduleFailure(attempt, policy.ConnectFailed, sm.now+Time(sm.scenario.Connections.DialTimeout))
	} else {
		s.connections--
		sm.detach(attempt)
	}
	sm.releaseServerAttempt(attemptIndex)
}

// detach unlinks the proxy's attempt from its serverAttempt. The proxy still counts it as in flight until its time-out
// or a scheduled failure ends it.
func (sm *simulation) detach(attempt *serverAttempt) {
	sm.proxyRequests.at(attempt.proxyRequest).attempts[attempt.attempt].serverAttempt = noServerAttempt
}

// scheduleFailure detaches an attempt that has not reached its server and ends it with the outcome at the given time.
func (sm *simulation) scheduleFailure(attempt *serverAttempt, outcome policy.Outcome, at Time) {
	sm.detach(attempt)
	sm.schedule(sm.nextTick(at), event{kind: evAttemptFailed, subject: attempt.proxyRequest, code: attempt.attempt,
		number: int32(outcome), id: attempt.id})
}

// abandonServerAttempt closes the connection of an attempt that the proxy no longer waits for. The server does not
// detect the close and continues to execute the attempt.
func (sm *simulation) abandonServerAttempt(attempt *proxyAttempt) {
	if attempt.serverAttempt == noServerAttempt {
		return
	}
	if atServer := sm.serverAttempts.at(attempt.serverAttempt); !atServer.abandoned {
		sm.releaseConnection(atServer, closeConnection)
		atServer.abandoned = true
	}
	attempt.serverAttempt = noServerAttempt
}

// cancelAttempt carries out a node's CancelAttempt.
func (sm *simulation) cancelAttempt(proxyIndex int32, action *policy.Action) {
	requestIndex := sm.findProxyRequest(proxyIndex, action.ID)
	if requestIndex < 0 {
		return // the request has already ended
	}
	request := sm.proxyRequests.at(requestIndex)
	if int(action.Attempt) >= int(request.attemptCount) {
		sm.fail(proxyIndex, "cancels attempt %d of a request that has had %d", action.Attempt, request.attemptCount)
		return
	}
	if attempt := &request.attempts[action.Attempt]; attempt.inFlight && sm.scenario.Published.AllowCancel {
		sm.abandonServerAttempt(attempt)
		sm.schedule(sm.nextTick(sm.now+1), event{kind: evAttemptFailed, subject: requestIndex, code: action.Attempt,
			number: int32(policy.Canceled), id: request.id})
	}
}

// endAttempt ends an attempt at its proxy, responds to the client on the first success, and notifies the node.
func (sm *simulation) endAttempt(requestIndex int32, number uint8, outcome policy.Outcome, elapsed Time, report []float32) {
	request := sm.proxyRequests.at(requestIndex)
	attempt := &request.attempts[number]
	attempt.inFlight, attempt.serverAttempt = false, noServerAttempt
	request.inFlight--
	proxyIndex, id := request.proxy, request.id
	server := sm.servers[attempt.server].id
	sm.observe(Record{Kind: AttemptEnded, Proxy: proxyIndex, ID: id, Attempt: number, Server: server, Outcome: outcome,
		Duration: elapsed})
	if outcome == policy.OK && !request.responded {
		sm.respondToClient(requestIndex, policy.OK, 0)
	}
	sm.policyEvent = policy.Event{Kind: policy.AttemptEnded, ID: id, Attempt: number, Server: server, Outcome: outcome,
		Elapsed: elapsed, Final: request.responded, Report: report}
	sm.releaseIfDone(requestIndex)
	sm.deliver(proxyIndex)
}
