package model

import "pumiceline/internal/standalone/policy"

const (
	// successorDelay is the time from the end of a server to the start of its successor, in microseconds.
	successorDelay = 500_000
	// drainDelayDivisor divides Discovery.DrainDelay: discovery learns of a drain or an orderly exit after the
	// quotient. Stored scenarios contain the undivided value.
	drainDelayDivisor = 4
)

// exitKind is the way in which a server process ends.
type exitKind bool

const (
	orderlyExit exitKind = true // discovery is notified
	crash       exitKind = false
)

// stopServer ends a server's process and resets its requests and connections.
func (sm *simulation) stopServer(s *server, kind exitKind) {
	if s.state == stateDown {
		return
	}
	sm.advanceServer(s)
	s.state = stateDown
	delay := sm.scenario.Discovery.CrashDelay
	if kind == orderlyExit {
		delay = sm.scenario.Discovery.DrainDelay / drainDelayDivisor
	}
	sm.scheduleDiscoveryUpdate(s, policy.ModeGone, delay)
	broken := make([]int32, 0, s.openRequests())
	for _, executing := range s.slots {
		broken = append(broken, executing.attempt)
	}
	broken = append(broken, s.queue.waiting()...)
	s.slots, s.nextWakeup = s.slots[:0], 0
	s.queue.clear()
	for _, attemptIndex := range broken {
		sm.returnAttempt(attemptIndex, policy.ConnectionReset, connectionLost)
	}
	s.connections = 0
	s.generation++
}

// startServer starts a new, cold process of a server.
func (sm *simulation) startServer(s *server) {
	if s.state != stateDown {
		return
	}
	s.state, s.startedAt, s.cold, s.warmupWork, s.arrivedWork = stateUp, max(1, sm.now), true, 0, workWindow{}
	s.virtualTimeAt, s.reports.count = sm.now, 0
	s.resetCounts(sm.now)
	s.pauses, s.willBeReplaced, s.keyCache = 0, false, nil
	sm.observe(Record{Kind: ServerStarted, Server: s.id, Zone: s.zone})
	sm.scheduleDiscoveryUpdate(s, policy.ModeReady, sm.scenario.Discovery.StartDelay)
	sm.schedulePause(s)
}

// overloadServer crashes a cold server whose work exceeds the bound of crashesFromOverload. A draining server is
// followed by its successor after successorDelay. Any other server restarts after Downtime, if that is not 0.
func (sm *simulation) overloadServer(s *server) {
	sm.observe(Record{Kind: ServerOverloaded, Server: s.id})
	hasSuccessor := s.willBeReplaced
	sm.stopServer(s, crash)
	if hasSuccessor {
		sm.startSuccessor(s)
	} else if downtime := sm.scenario.Overload.Downtime; downtime > 0 {
		sm.schedule(sm.now+Time(downtime), event{kind: evServerStart, subject: s.index})
	}
}

// drainServer stops new requests to a server. It may complete its open requests for drainTime; then its process ends
// and its successor starts.
func (sm *simulation) drainServer(s *server, drainTime Time, successorHasNewID bool) {
	if s.state != stateUp {
		return
	}
	s.state, s.willBeReplaced, s.successorHasNewID = stateDraining, true, successorHasNewID
	sm.scheduleDiscoveryUpdate(s, policy.ModeDraining, sm.scenario.Discovery.DrainDelay/drainDelayDivisor)
	sm.schedule(sm.now+drainTime, event{kind: evServerStop, subject: s.index, number: s.generation, code: 1})
}

// startSuccessor schedules the start of a server's successor, with the same id or a new one.
func (sm *simulation) startSuccessor(s *server) {
	s.willBeReplaced = false
	if s.successorHasNewID {
		successor := sm.addServer(s.zone, s.instanceTypeIndex, s.instanceType, s.speed)
		successor.cell, successor.state = s.cell, stateDown
		sm.discovery.add(successor)
		s = successor
	}
	sm.schedule(sm.now+successorDelay, event{kind: evServerStart, subject: s.index})
}

// schedulePause schedules a server's next pause, if its type has any.
func (sm *simulation) schedulePause(s *server) {
	if t := s.instanceType; t.PauseInterval > 0 && t.PauseTime > 0 {
		sm.schedule(sm.now+1+Time(sm.serverRand.ExpFloat64()*float64(t.PauseInterval)),
			event{kind: evPauseStart, subject: s.index, number: s.generation})
	}
}

// startPause pauses all requests of a server, as a garbage collector does. The pause grows with the open requests:
// up to one and a half times as long with all slots in use, and longer with a queue.
func (sm *simulation) startPause(s *server, generation int32) {
	if s.generation != generation || s.state == stateDown {
		return
	}
	sm.advanceServer(s)
	s.pauses++
	sm.rescheduleServer(s)
	growth := 1 + float64(s.openRequests())/float64(2*s.instanceType.Slots)
	sm.schedule(sm.now+1+Time(float64(s.instanceType.PauseTime)*growth*sm.serverRand.ExpFloat64()),
		event{kind: evPauseEnd, subject: s.index, number: generation})
}

func (sm *simulation) endPause(s *server, generation int32) {
	if s.generation != generation || s.state == stateDown {
		return
	}
	sm.advanceServer(s)
	s.pauses--
	sm.processServer(s)
	sm.schedulePause(s)
}
