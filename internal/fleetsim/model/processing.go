package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

const (
	// downstreamWaitCV is the coefficient of variation of the waits for other services.
	downstreamWaitCV = 0.25
	// finishTolerance is how far virtual time may miss a finish by rounding.
	finishTolerance = 1e-6
	// stalledRate is the rate up to which a server counts as stalled.
	stalledRate = 1e-9
)

// warmth is the share of its capacity that a server has.
func (sm *simulation) warmth(s *server) float64 {
	if !s.cold {
		return 1
	}
	t := s.instanceType
	age := float64(sm.now - s.startedAt)
	progress := 1.0
	if t.WarmupTime > 0 {
		progress = age / float64(t.WarmupTime)
	}
	if t.WarmByWork {
		// At half use it is warm after WarmupTime: over the warm-up its mean capacity is (1+InitialCapacity)/2 of the warm
		// one, and half of that is used. Without work it is warm after the published time.
		needed := s.warmCapacity() * float64(t.WarmupTime) * (1 + t.InitialCapacity) / 4
		progress = math.Max(s.warmupWork/math.Max(needed, 1), age/math.Max(1, float64(sm.scenario.Published.WarmupTime)))
	}
	if progress >= 1 {
		s.cold = false
		return 1
	}
	return t.InitialCapacity + (1-t.InitialCapacity)*progress
}

// advanceServer accounts a server's work up to now.
func (sm *simulation) advanceServer(s *server) {
	if elapsed := float64(sm.now - s.virtualTimeAt); elapsed > 0 {
		s.virtualTime += s.ratePerRequest * elapsed
		s.busyTime += math.Min(float64(len(s.slots)), float64(s.instanceType.Cores)) * elapsed
	}
	s.virtualTimeAt = sm.now
}

// rescheduleServer is called after each change of what a server executes or of its capacity: it sets the new rate and
// schedules the next completion.
func (sm *simulation) rescheduleServer(s *server) {
	s.ratePerRequest = 0
	if len(s.slots) == 0 {
		return
	}
	if s.hangs == 0 && s.pauses == 0 && s.state != stateDown {
		s.ratePerRequest = sm.currentRate(s)
	}
	if s.ratePerRequest <= stalledRate {
		return // it is rescheduled when the fault or the pause that stalls it ends
	}
	next := sm.now + max(1, Time(math.Ceil((s.slots[0].finish-s.virtualTime)/s.ratePerRequest)))
	if s.nextWakeup == 0 || next < s.nextWakeup {
		s.nextWakeup = next
		sm.schedule(next, event{kind: evServerProgress, subject: s.index})
	}
}

// coreRate is the rate of one core of a server, in standard cores, as its warm-up and faults leave it.
func (sm *simulation) coreRate(s *server) float64 {
	return s.speed * sm.warmth(s) * (1 - s.stolenShare) * (1 - s.slowdown)
}

// currentRate is the rate of each request in a slot, in standard cores: a core, or its part of the cores, less what
// crowding beyond the knee and the connection table take.
func (sm *simulation) currentRate(s *server) float64 {
	t := s.instanceType
	executing := len(s.slots)
	rate := sm.coreRate(s)
	rate *= math.Min(1, float64(t.Cores)/float64(executing))
	if crowd := s.openRequests() - t.Knee; crowd > 0 {
		rate /= 1 + t.Crowding*float64(crowd)
	}
	maxConnections := float64(sm.scenario.Connections.MaxPerCore * t.Cores)
	rate *= 1 - sm.scenario.Connections.CapacityTax*math.Min(1, float64(s.connections)/maxConnections)
	return math.Max(0, rate)
}

// processServer completes the requests whose finish has passed and starts queued ones in their slots.
func (sm *simulation) processServer(s *server) {
	sm.advanceServer(s)
	for len(s.slots) > 0 && s.slots[0].finish <= s.virtualTime+finishTolerance {
		sm.completeAttempt(s, s.slots.pop())
	}
	for s.queue.len() > 0 && len(s.slots) < s.instanceType.Slots {
		attemptIndex := s.queue.pop()
		s.slots.push(slot{s.virtualTime + sm.serverAttempts.at(attemptIndex).work, attemptIndex})
	}
	s.queue.compact()
	sm.rescheduleServer(s)
}

// completeAttempt ends the server's own work for an attempt, which may wait for other services then.
func (sm *simulation) completeAttempt(s *server, attemptIndex int32) {
	attempt := sm.serverAttempts.at(attemptIndex)
	c := sm.clientRequests.at(attempt.clientRequest)
	s.completed++
	if s.cold {
		s.warmupWork += attempt.work
	}
	outcome := policy.OK
	if s.instanceType.ErrorRate > 0 && sm.serverRand.Float64() < s.instanceType.ErrorRate {
		outcome = policy.ErrorResponse
		s.errors++
	}
	sm.observe(Record{Kind: AttemptExecuted, Server: s.id, ID: attempt.id, Attempt: attempt.attempt, Request: c.number,
		Work: Time(attempt.work), Flag: !attempt.abandoned && !c.ended && outcome == policy.OK})
	if wait := sm.scenario.Classes[c.class].DownstreamWait; wait > 0 {
		sm.schedule(sm.now+Time(lognormal(sm.serverRand, float64(wait), downstreamWaitCV)),
			event{kind: evDownstreamWaitOver, subject: attemptIndex, code: uint8(outcome)})
		return
	}
	sm.returnAttempt(attemptIndex, outcome, respondedByServer)
}

// endDownstreamWait answers an attempt that has waited for other services.
func (sm *simulation) endDownstreamWait(attemptIndex int32, outcome policy.Outcome) {
	if attempt := sm.serverAttempts.at(attemptIndex); sm.servers[attempt.server].generation != attempt.serverGeneration {
		sm.returnAttempt(attemptIndex, policy.ConnectionReset, connectionLost) // its process has ended meanwhile
		return
	}
	sm.returnAttempt(attemptIndex, outcome, respondedByServer)
}

// returnMode is how an attempt ends.
type returnMode bool

const (
	respondedByServer returnMode = true  // on a connection that stays
	connectionLost    returnMode = false // the network: the connection is gone
)

// returnAttempt sends an attempt's end back to its proxy, with the server's load report if it is the server's response.
func (sm *simulation) returnAttempt(attemptIndex int32, outcome policy.Outcome, mode returnMode) {
	attempt := sm.serverAttempts.at(attemptIndex)
	s := sm.servers[attempt.server]
	if attempt.abandoned {
		sm.releaseServerAttempt(attemptIndex)
		return
	}
	if sm.isServerPartitioned(attempt.proxy, s) { // the proxy finds out by its timeout
		sm.detach(attempt)
		sm.releaseConnection(attempt, closeConnection)
		sm.releaseServerAttempt(attemptIndex)
		return
	}
	attempt.outcome = outcome
	if mode == respondedByServer {
		attempt.report, attempt.hasReport = sm.currentReport(s)
		attempt.hasReport = attempt.hasReport && sm.scenario.Reports.delivery() == policy.ReportsInResponses
	} else {
		sm.releaseConnection(attempt, closeConnection)
		attempt.abandoned = true // only the reset is under way
	}
	attempt.stage = stageReturning
	sm.schedule(sm.nextTick(sm.now+sm.networkDelay(s.zone, sm.proxies[attempt.proxy].zone)),
		event{kind: evReceiveOutcome, subject: attemptIndex})
}

// receiveOutcome is the arrival of an attempt's end at its proxy.
func (sm *simulation) receiveOutcome(attemptIndex int32) {
	attempt := sm.serverAttempts.at(attemptIndex)
	if sm.isGivenUp(attemptIndex) {
		sm.releaseServerAttempt(attemptIndex)
		return
	}
	if !attempt.abandoned {
		sm.releaseConnection(attempt, keepConnection)
	}
	requestIndex, number, outcome, elapsed := attempt.proxyRequest, attempt.attempt, attempt.outcome, sm.now-attempt.sentAt
	var report []float32
	if attempt.hasReport {
		sm.reportBuffer = append(sm.reportBuffer[:0], attempt.report[:]...)
		report = sm.reportBuffer
	}
	sm.releaseServerAttempt(attemptIndex)
	sm.endAttempt(requestIndex, number, outcome, elapsed, report)
}

// isGivenUp says whether a returning attempt's proxy no longer waits for it.
func (sm *simulation) isGivenUp(attemptIndex int32) bool {
	attempt := sm.serverAttempts.at(attemptIndex)
	if attempt.abandoned && attempt.outcome != policy.ConnectionReset && attempt.outcome != policy.ConnectFailed {
		return true
	}
	request := sm.proxyRequests.at(attempt.proxyRequest)
	if request.id != attempt.id {
		return true
	}
	atProxy := &request.attempts[attempt.attempt]
	return !atProxy.inFlight || atProxy.serverAttempt != attemptIndex
}
