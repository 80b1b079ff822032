package model

import (
	"pumiceline/internal/standalone/policy"
)

// stopServer ends a server's process; what it held breaks, and its connections do.
func (r *simulation) stopServer(s *server, known bool) {
	if s.state == stateDown {
		return
	}
	r.advanceServer(s)
	s.state = stateDown
	lag := r.scenario.Discovery.CrashDelay
	if known {
		lag = r.scenario.Discovery.DrainDelay / 4 // an orderly end is told of soon
	}
	r.scheduleDiscoveryUpdate(s, policy.ModeGone, Time(lag))
	broken := make([]int32, 0, len(s.slots)+len(s.queue)-s.head)
	for _, e := range s.slots {
		broken = append(broken, e.task)
	}
	broken = append(broken, s.queue[s.head:]...)
	s.slots, s.queue, s.head, s.workQueued, s.nextWakeup = s.slots[:0], s.queue[:0], 0, 0, 0
	for _, t := range broken {
		r.returnAttempt(t, policy.ConnectionReset, false)
	}
	s.connections = 0
	s.epoch++
}

// startServer starts a process behind a server's id, cold.
func (r *simulation) startServer(s *server) {
	if s.state != stateDown {
		return
	}
	s.state, s.started, s.cold, s.warmWork, s.arrivedWork = stateUp, max(1, r.now), true, 0, workWindow{}
	s.virtualTimeAt, s.busy, s.completed, s.errors, s.reportedAt, s.reportCount = r.now, 0, 0, 0, r.now, 0
	s.pauses, s.replacing, s.keyHits = 0, false, nil
	r.observe(Record{Kind: ServerStarted, Server: s.id, Zone: s.zone})
	r.scheduleDiscoveryUpdate(s, policy.ModeReady, Time(r.scenario.Discovery.StartDelay))
	r.schedulePause(s.index)
}

// overloadServer is the end of a cold server that was sent too much.
func (r *simulation) overloadServer(s *server) {
	r.observe(Record{Kind: ServerOverloaded, Server: s.id})
	again := s.replacing
	r.stopServer(s, false)
	if again {
		r.startSuccessor(s)
	} else if r.scenario.Overload.Downtime > 0 {
		r.schedule(r.now+Time(r.scenario.Overload.Downtime), event{kind: evServerUp, subject: s.index})
	}
}

// drainServer lets a server finish what it has; its successor follows.
func (r *simulation) drainServer(s *server, within Time, fresh bool) {
	if s.state != stateUp {
		return
	}
	s.state, s.replacing, s.successorHasNewID = stateDraining, true, fresh
	r.scheduleDiscoveryUpdate(s, policy.ModeDraining, Time(r.scenario.Discovery.DrainDelay)/4)
	r.schedule(r.now+within, event{kind: evServerDown, subject: s.index, number: s.epoch, code: 1})
}

// startSuccessor starts a server's successor, under its id or a new one, half a second after its end.
func (r *simulation) startSuccessor(s *server) {
	s.replacing = false
	if s.successorHasNewID {
		next := r.addServer(int32(s.zone), s.instanceTypeIndex, s.instanceType, s.speed)
		next.cell, next.state = s.cell, stateDown
		r.discovery.current = append(r.discovery.current, policy.Member{Server: next.id, Zone: next.zone, Cell: next.cell,
			InstanceType: uint16(next.instanceTypeIndex), Mode: policy.ModeGone, Size: float64(next.instanceType.Cores)})
		r.discovery.epochs = append(r.discovery.epochs, -1) // nothing of it is known: its first start is news
		s = next
	}
	r.schedule(r.now+500_000, event{kind: evServerUp, subject: s.index})
}

func (r *simulation) schedulePause(n int32) {
	if s := r.servers[n]; s.instanceType.PauseInterval > 0 && s.instanceType.PauseTime > 0 {
		r.schedule(r.now+1+Time(r.serverRand.ExpFloat64()*float64(s.instanceType.PauseInterval)), event{kind: evPauseStart, subject: n, number: s.epoch})
	}
}

// changePause is a stop of the whole server, such as a collector's, or its end. It grows with what is held.
func (r *simulation) changePause(e *event) {
	s := r.servers[e.subject]
	if s.epoch != e.number || s.state == stateDown {
		return
	}
	r.advanceServer(s)
	if e.kind == evPauseEnd {
		s.pauses--
		r.processServer(s)
		r.schedulePause(s.index)
		return
	}
	s.pauses++
	r.rescheduleServer(s)
	grow := 1 + float64(len(s.slots)+len(s.queue)-s.head)/float64(2*s.instanceType.Slots)
	r.schedule(r.now+1+Time(float64(s.instanceType.PauseTime)*grow*r.serverRand.ExpFloat64()), event{kind: evPauseEnd, subject: e.subject, number: e.number})
}
