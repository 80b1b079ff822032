package model

import "pumiceline/internal/standalone/policy"

// event is a scheduled event. Its payload is a few numbers, so that millions of events can be pending without a pointer
// for the garbage collector to follow. The meaning of the numbers depends on the kind.
type event struct {
	at      Time
	seq     uint64 // order of scheduling; orders events of the same microsecond
	kind    eventKind
	code    uint8 // a small number beside the subject: an attempt's number, an outcome, a mode, a phase
	subject int32 // index of the client request, proxy request, server attempt, proxy, server or fault
	number  int32 // mostly the subject's generation: events of an earlier generation are ignored
	id      uint64
}

// before reports whether e is handled before f.
func (e *event) before(f *event) bool { return e.at < f.at || e.at == f.at && e.seq < f.seq }

func (e *event) outcome() policy.Outcome { return policy.Outcome(e.code) }

// eventKind is a kind of event. The brackets list the fields that are used besides at and subject.
type eventKind uint8

// Events of clients. The subject is a client request.
const (
	evArrival         eventKind = iota + 1 // the next client request starts []
	evRetry                                // a client sends its request again [id=its number]
	evReceiveResponse                      // a response arrives [number=Retry-After code=outcome id=proxy request]
	evClientTimeout                        // the client's attempt times out [id=proxy request]
)

// Events of proxies. The subject is a proxy unless the brackets name another.
const (
	evReceiveRequest  eventKind = iota + 32 // a request arrives at its proxy [subject=proxy request id]
	evReceiveOutcome                        // a response or failure arrives at its proxy [subject=server attempt]
	evAttemptTimeout                        // an attempt times out [subject=proxy request code=attempt id]
	evAttemptFailed                         // an attempt has failed [subject=proxy request code=attempt number=outcome id]
	evRequestExpired                        // the response grace has passed [subject=proxy request id]
	evTimer                                 // a node's timer fires [number=generation id=the node's]
	evCloseIdle                             // idle connections are closed [number=generation]
	evPollResult                            // a load poll's result arrives [number=generation id=server]
	evPeerMessage                           // a message of another proxy arrives [number=message]
	evNotifyProxy                           // a discovery watch delivers changes [number=generation]
	evSubscribeResult                       // a subscribe call ends [number=generation code=1: it failed]
	evWatchBreaks                           // a discovery watch breaks [number=generation]
	evProxyStop                             // a stopping proxy exits [number=generation]
	evProxyStart                            // a proxy starts []
)

// Events of servers, discovery and the simulation. The subject is a server unless the brackets name another.
const (
	evArriveAtServer     eventKind = iota + 64 // an attempt arrives at its server [subject=server attempt]
	evServerProgress                           // a server may have completed an attempt []
	evDownstreamWaitOver                       // other services have answered [subject=server attempt code=outcome]
	evPauseStart                               // the server's pause starts [number=generation]
	evPauseEnd                                 // the server's pause ends [number=generation]
	evServerStart                              // a server process starts []
	evServerStop                               // a draining process exits [number=generation code=1: a successor starts]
	evDiscoveryUpdate                          // discovery learns of a change [number=generation code=mode id=start]
	evFault                                    // a step of a fault [subject=fault code=phase number=step]
	evSampleLoad                               // the servers' load is recorded, once a second []
)

// handleEvent carries out one event.
func (sm *simulation) handleEvent(e *event) {
	switch {
	case e.kind <= evClientTimeout:
		sm.handleClientEvent(e)
	case e.kind <= evProxyStart:
		sm.handleProxyEvent(e)
	default:
		sm.handleServerEvent(e)
	}
}

func (sm *simulation) handleClientEvent(e *event) {
	switch e.kind {
	case evArrival:
		sm.startClientRequest()
	case evRetry:
		if c := sm.clientRequests.at(e.subject); c.number == e.id && !c.ended {
			sm.sendToProxy(e.subject)
		}
	case evReceiveResponse:
		sm.receiveResponse(e.subject, e.id, e.outcome(), Time(e.number))
	case evClientTimeout:
		sm.abandonProxyRequest(e.subject, e.id)
	}
}

func (sm *simulation) handleProxyEvent(e *event) {
	switch e.kind {
	case evReceiveRequest:
		sm.receiveRequest(e.subject, e.id)
	case evReceiveOutcome:
		sm.receiveOutcome(e.subject)
	case evAttemptTimeout:
		sm.timeOutAttempt(e)
	case evAttemptFailed:
		if request := sm.proxyRequests.at(e.subject); request.id == e.id && request.attempts[e.code].inFlight {
			sm.endAttempt(e.subject, e.code, policy.Outcome(e.number), sm.now-request.attempts[e.code].sentAt, nil)
		}
	case evRequestExpired:
		sm.expireRequest(e.subject, e.id)
	case evTimer:
		if sm.isRunning(e.subject, e.number) {
			sm.policyEvent = policy.Event{Kind: policy.TimerFired, ID: e.id}
			sm.deliver(e.subject)
		}
	case evCloseIdle:
		sm.closeIdleConnections(e.subject, e.number)
	case evPollResult:
		sm.receivePollResult(e.subject, e.number, uint32(e.id))
	case evPeerMessage:
		sm.deliverMessage(e.subject, e.number)
	case evNotifyProxy:
		sm.notifyProxy(e.subject, e.number)
	case evSubscribeResult:
		sm.receiveSubscribeResult(e)
	case evWatchBreaks:
		sm.endWatch(e.subject, e.number, watchBroken)
	case evProxyStop:
		sm.stopProxy(e.subject, e.number)
	case evProxyStart:
		sm.startProxy(e.subject)
	}
}

func (sm *simulation) handleServerEvent(e *event) {
	switch e.kind {
	case evArriveAtServer:
		sm.arriveAtServer(e.subject)
	case evServerProgress:
		if s := sm.servers[e.subject]; s.nextWakeup == e.at { // otherwise it was rescheduled to an earlier time
			s.nextWakeup = 0
			sm.processServer(s)
		}
	case evDownstreamWaitOver:
		sm.endDownstreamWait(e.subject, e.outcome())
	case evPauseStart:
		sm.startPause(sm.servers[e.subject], e.number)
	case evPauseEnd:
		sm.endPause(sm.servers[e.subject], e.number)
	case evServerStart:
		sm.startServer(sm.servers[e.subject])
	case evServerStop:
		if s := sm.servers[e.subject]; s.generation == e.number && s.state != stateDown {
			sm.stopServer(s, orderlyExit)
			if e.code == 1 {
				sm.startSuccessor(s)
			}
		}
	case evDiscoveryUpdate:
		sm.updateDiscovery(e)
	case evFault:
		sm.applyFault(e)
	case evSampleLoad:
		sm.sampleLoad()
		sm.schedule(sm.now+microsPerSecond, event{kind: evSampleLoad})
	}
}
