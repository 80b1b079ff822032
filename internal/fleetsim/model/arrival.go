package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

// dedupLookupWork bounds the work, in microseconds, of a repeated request that the server deduplicates.
const dedupLookupWork = 500

// arriveAtServer handles the arrival of an attempt at its server.
func (sm *simulation) arriveAtServer(attemptIndex int32) {
	attempt := sm.serverAttempts.at(attemptIndex)
	s := sm.servers[attempt.server]
	s.workInTransit -= attempt.work
	switch {
	case sm.isServerPartitioned(attempt.proxy, s) || attempt.newConnection && attempt.abandoned:
		sm.loseAtServer(attemptIndex)
		return
	case s.state == stateDown || s.generation != attempt.serverGeneration && !attempt.newConnection:
		outcome := policy.ConnectionReset // sent on a connection to a process that has ended
		if attempt.newConnection {
			outcome = policy.ConnectFailed
		}
		sm.returnAttempt(attemptIndex, outcome, connectionLost)
		return
	case attempt.newConnection && !sm.acceptConnection(attempt, s):
		sm.returnAttempt(attemptIndex, policy.ConnectFailed, connectionLost)
		return
	}
	attempt.stage = stageAtServer
	if sm.crashesFromOverload(attempt, s) {
		sm.returnAttempt(attemptIndex, policy.ConnectionReset, connectionLost)
		sm.overloadServer(s)
		return
	}
	if outcome := sm.admitAtServer(s); outcome != policy.OK {
		sm.returnAttempt(attemptIndex, outcome, respondedByServer)
		return
	}
	sm.startProcessing(attemptIndex, s)
}

// loseAtServer drops an attempt that does not reach its server: a partition started while it was in transit, or its
// proxy abandoned it during the handshake.
func (sm *simulation) loseAtServer(attemptIndex int32) {
	attempt := sm.serverAttempts.at(attemptIndex)
	if !attempt.abandoned {
		if attempt.newConnection {
			sm.scheduleFailure(attempt, policy.ConnectFailed, attempt.sentAt+Time(sm.scenario.Connections.DialTimeout))
		} else {
			sm.detach(attempt)
		}
		sm.releaseConnection(attempt, closeConnection)
	}
	sm.releaseServerAttempt(attemptIndex)
}

// acceptConnection completes a handshake. It returns false if the server's connection table is full.
func (sm *simulation) acceptConnection(attempt *serverAttempt, s *server) bool {
	if s.generation != attempt.serverGeneration { // the server process was replaced during the handshake
		p := &sm.proxies[attempt.proxy]
		if pool := p.connections[attempt.server]; pool != nil && p.generation == attempt.proxyGeneration {
			if pool.generation != s.generation {
				*pool = connectionPool{generation: s.generation}
			}
			pool.inUse++
		}
		attempt.serverGeneration = s.generation
	}
	if s.connections >= sm.scenario.Connections.MaxPerCore*s.instanceType.Cores {
		return false
	}
	s.connections++
	attempt.work += float64(sm.scenario.Connections.HandshakeWork)
	sm.observe(Record{Kind: ConnectionOpened, Proxy: attempt.proxy, Server: s.id})
	return true
}

// crashesFromOverload adds an arriving attempt to the work of a cold server. It reports whether the work that arrived
// within Window now exceeds the bound: Factor times the current capacity over Window, plus the slack.
func (sm *simulation) crashesFromOverload(attempt *serverAttempt, s *server) bool {
	if !s.cold {
		return false
	}
	capacity := s.warmCapacity() * sm.warmth(s) // may set s.cold to false
	sm.observe(Record{Kind: ColdServerReached, Proxy: attempt.proxy, Server: s.id, Work: Time(attempt.work),
		Capacity: capacity})
	overload := &sm.scenario.Overload
	if !s.cold || overload.Factor <= 0 {
		return false
	}
	bound := overload.Factor*capacity*float64(overload.Window) + overload.SlackRequests*sm.scenario.MeanWork()
	return s.arrivedWork.add(sm.now, Time(overload.Window), attempt.work) > bound
}

// admitAtServer returns OK if the server accepts a request, else the outcome that it answers without executing it.
func (sm *simulation) admitAtServer(s *server) policy.Outcome {
	switch {
	case s.state == stateDraining:
		return policy.Rejected
	case s.errorRate > 0 && sm.serverRand.Float64() < s.errorRate:
		s.completed++
		s.errors++
		return policy.ErrorResponse
	case len(s.slots) >= s.instanceType.Slots && s.queue.len() >= s.instanceType.QueueCapacity:
		return policy.Rejected
	}
	return policy.OK
}

// startProcessing puts an attempt into a free slot, or into the queue if there is none.
func (sm *simulation) startProcessing(attemptIndex int32, s *server) {
	attempt := sm.serverAttempts.at(attemptIndex)
	if sm.lookUpKey(s, sm.clientRequests.at(attempt.clientRequest).key) {
		attempt.work *= 1 - sm.scenario.Keys.HitSavings
	}
	sm.applyEffect(s, attempt)
	sm.advanceServer(s)
	if len(s.slots) < s.instanceType.Slots {
		s.slots.push(slot{s.virtualTime + attempt.work, attemptIndex})
	} else {
		s.queue.push(attemptIndex)
	}
	sm.rescheduleServer(s)
}

// applyEffect applies the side effect of an attempt whose class is not idempotent. If the class is deduplicated, the
// servers within its scope keep the request's deduplication key for the window, and a repeat there costs a lookup only.
// Any other repeat applies the effect again and is recorded as EffectRepeated.
func (sm *simulation) applyEffect(s *server, attempt *serverAttempt) {
	c := sm.clientRequests.at(attempt.clientRequest)
	class := &sm.scenario.Classes[c.class]
	if class.semantics() == policy.Idempotent {
		return
	}
	if c.firstEffectAt < 0 {
		c.firstEffectAt, c.firstEffectZone, c.firstEffectCell = sm.now, s.zone, s.cell
		return
	}
	if class.semantics() == policy.Deduplicated && sm.now-c.firstEffectAt <= Time(class.DedupWindow) &&
		sharesDedupKeys(c, class, s) {
		attempt.work = math.Min(attempt.work, dedupLookupWork)
		return
	}
	sm.observe(Record{Kind: EffectRepeated, Server: s.id, ID: attempt.id, Request: c.number,
		Duration: sm.now - c.firstEffectAt, Class: c.class})
}

// sharesDedupKeys reports whether the server is within the scope that shares the deduplication key of the first effect.
func sharesDedupKeys(c *clientRequest, class *Class, s *server) bool {
	switch class.dedupScope() {
	case policy.DedupPerZone:
		return c.firstEffectZone == s.zone
	case policy.DedupPerCell:
		return c.firstEffectCell == s.cell
	}
	return true
}

// lookUpKey reports whether a request's key is in the server's cache and not past its TTL, and adds or refreshes it. A
// full cache evicts the least recently used key; among equals, the lowest key.
func (sm *simulation) lookUpKey(s *server, key uint64) (hit bool) {
	keys := &sm.scenario.Keys
	capacity := keys.CapacityPerCore * s.instanceType.Cores
	if keys.Count == 0 || capacity == 0 {
		return false
	}
	if s.keyCache == nil {
		s.keyCache = make(map[uint64]Time, capacity)
	}
	lastUse, isCached := s.keyCache[key]
	if !isCached && len(s.keyCache) >= capacity {
		oldest, oldestUse := uint64(0), sm.now+1
		for other, use := range s.keyCache {
			if use < oldestUse || use == oldestUse && other < oldest { // a tie must not depend on the map's order
				oldest, oldestUse = other, use
			}
		}
		delete(s.keyCache, oldest)
	}
	s.keyCache[key] = sm.now
	return isCached && sm.now-lastUse <= Time(keys.TTL)
}
