package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

const (
	// downstreamWaitCV is the coefficient of variation of a wait for other services.
	downstreamWaitCV = 0.25
	// finishTolerance is the rounding error allowed when virtual time is compared with a finish.
	finishTolerance = 1e-6
	// stalledRate is the rate at or below which a server counts as stalled.
	stalledRate = 1e-9
)

// warmth returns the share of its warm capacity that a server has now. It clears s.cold once the server is warm.
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
		// A server at half utilization is warm after WarmupTime: its mean capacity during the warm-up is
		// (1+InitialCapacity)/2 of the warm capacity, and half of that is used. Without work it is warm after the
		// published time.
		needed := s.warmCapacity() * float64(t.WarmupTime) * (1 + t.InitialCapacity) / 4
		progress = math.Max(s.warmupWork/math.Max(needed, 1), age/math.Max(1, float64(sm.scenario.Published.WarmupTime)))
	}
	if progress >= 1 {
		s.cold = false
		return 1
	}
	return t.InitialCapacity + (1-t.InitialCapacity)*progress
}

// advanceServer accounts for a server's work up to now.
func (sm *simulation) advanceServer(s *server) {
	if elapsed := float64(sm.now - s.virtualTimeAt); elapsed > 0 {
		s.virtualTime += s.ratePerRequest * elapsed
		s.busyTime += math.Min(float64(len(s.slots)), float64(s.instanceType.Cores)) * elapsed
	}
	s.virtualTimeAt = sm.now
}

// rescheduleServer sets a server's rate and schedules its next completion. It must be called after each change of the
// requests that the server executes or of its capacity.
func (sm *simulation) rescheduleServer(s *server) {
	s.ratePerRequest = 0
	if len(s.slots) == 0 {
		return
	}
	if s.hangs == 0 && s.pauses == 0 && s.state != stateDown {
		s.ratePerRequest = sm.currentRate(s)
	}
	if s.ratePerRequest <= stalledRate {
		return // rescheduled when the fault or pause that stalls the server ends
	}
	next := sm.now + max(1, Time(math.Ceil((s.slots[0].finish-s.virtualTime)/s.ratePerRequest)))
	if s.nextWakeup == 0 || next < s.nextWakeup {
		s.nextWakeup = next
		sm.schedule(next, event{kind: evServerProgress, subject: s.index})
	}
}

// coreRate returns the rate of one core of a server, in standard cores, reduced by its warm-up and by faults.
func (sm *simulation) coreRate(s *server) float64 {
	return s.speed * sm.warmth(s) * (1 - s.stolenShare) * (1 - s.slowdown)
}

// currentRate returns the rate of each request in a slot, in standard cores: one core, or an equal share of the cores
// if there are more requests than cores, reduced by crowding beyond the knee and by the connection table.
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

// processServer completes the requests whose finish has passed and moves queued requests into the free slots.
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

// completeAttempt ends the server's own work for an attempt. The attempt then waits for other services, if its class
// has such a wait, or is answered.
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

// endDownstreamWait answers an attempt after its wait for other services.
func (sm *simulation) endDownstreamWait(attemptIndex int32, outcome policy.Outcome) {
	if attempt := sm.serverAttempts.at(attemptIndex); sm.servers[attempt.server].generation != attempt.serverGeneration {
		sm.returnAttempt(attemptIndex, policy.ConnectionReset, connectionLost) // the server process ended during the wait
		return
	}
	sm.returnAttempt(attemptIndex, outcome, respondedByServer)
}

// returnMode says whether an attempt ends with a response or with a broken connection.
type returnMode bool

const (
	respondedByServer returnMode = true  // the connection stays open
	connectionLost    returnMode = false // the connection broke or was never established
)

// returnAttempt sends an attempt's response or failure to its proxy. A response carries the server's load report if
// reports are delivered in responses.
func (sm *simulation) returnAttempt(attemptIndex int32, outcome policy.Outcome, mode returnMode) {
	attempt := sm.serverAttempts.at(attemptIndex)
	s := sm.servers[attempt.server]
	if attempt.abandoned {
		sm.releaseServerAttempt(attemptIndex)
		return
	}
	if sm.isServerPartitioned(attempt.proxy, s) { // nothing reaches the proxy: its time-out ends the attempt
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
		attempt.abandoned = true // nothing but the reset is in transit
	}
	attempt.stage = stageReturning
	sm.schedule(sm.nextTick(sm.now+sm.networkDelay(s.zone, sm.proxies[attempt.proxy].zone)),
		event{kind: evReceiveOutcome, subject: attemptIndex})
}

// receiveOutcome handles the arrival of an attempt's response or failure at its proxy.
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

// isGivenUp reports whether the proxy no longer waits for a returning attempt.
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
