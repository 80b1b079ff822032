package model

import (
	"pumiceline/internal/standalone/policy"
)

// serverDown ends a server's process; what it held breaks, and its connections do.
func (r *run) serverDown(s *server, known bool) {
	if s.state == down {
		return
	}
	r.advance(s)
	s.state = down
	lag := r.w.Discovery.Silent
	if known {
		lag = r.w.Discovery.Notice / 4 // an orderly end is told of soon
	}
	r.notice(s, policy.ModeGone, Time(lag))
	broken := make([]int32, 0, len(s.slots)+len(s.queue)-s.head)
	for _, e := range s.slots {
		broken = append(broken, e.task)
	}
	broken = append(broken, s.queue[s.head:]...)
	s.slots, s.queue, s.head, s.owed, s.nextAt = s.slots[:0], s.queue[:0], 0, 0, 0
	for _, t := range broken {
		r.returned(t, policy.ConnectionReset, false)
	}
	s.conns = 0
	s.epoch++
}

// serverUp starts a process behind a server's id, cold.
func (r *run) serverUp(s *server) {
	if s.state != down {
		return
	}
	s.state, s.started, s.cold, s.warmWork, s.pushed = up, max(1, r.now), true, 0, tally{}
	s.vAt, s.busy, s.done, s.errors, s.reported, s.reportN = r.now, 0, 0, 0, r.now, 0
	s.paused, s.replacing, s.met = 0, false, nil
	r.see(Record{Kind: Started, Server: s.id, Zone: s.zone})
	r.notice(s, policy.ModeReady, Time(r.w.Discovery.Add))
	r.pauseLater(s.n)
}

// fall is the end of a cold server that was sent too much.
func (r *run) fall(s *server) {
	r.see(Record{Kind: Fell, Server: s.id})
	again := s.replacing
	r.serverDown(s, false)
	if again {
		r.succeed(s)
	} else if r.w.Tip.Down > 0 {
		r.at(r.now+Time(r.w.Tip.Down), event{kind: evServerUp, a: s.n})
	}
}

// drain lets a server finish what it has; its successor follows.
func (r *run) drain(s *server, within Time, fresh bool) {
	if s.state != up {
		return
	}
	s.state, s.replacing, s.fresh = draining, true, fresh
	r.notice(s, policy.ModeDraining, Time(r.w.Discovery.Notice)/4)
	r.at(r.now+within, event{kind: evServerDown, a: s.n, b: s.epoch, n: 1})
}

// succeed starts a server's successor, under its id or a new one, half a second after its end.
func (r *run) succeed(s *server) {
	s.replacing = false
	if s.fresh {
		next := r.addServer(int32(s.zone), s.kindNo, s.kind, s.speed)
		next.cell, next.state = s.cell, down
		r.reg.known = append(r.reg.known, policy.Member{Server: next.id, Zone: next.zone, Cell: next.cell,
			InstanceType: uint16(next.kindNo), Mode: policy.ModeGone, Size: float64(next.kind.Cores)})
		r.reg.epochs = append(r.reg.epochs, -1) // nothing of it is known: its first start is news
		s = next
	}
	r.at(r.now+500_000, event{kind: evServerUp, a: s.n})
}

func (r *run) pauseLater(n int32) {
	if s := r.servers[n]; s.kind.PauseEvery > 0 && s.kind.Pause > 0 {
		r.at(r.now+1+Time(r.chance.ExpFloat64()*float64(s.kind.PauseEvery)), event{kind: evPause, a: n, b: s.epoch})
	}
}

// pause is a stop of the whole server, such as a collector's, or its end. It grows with what is held.
func (r *run) pause(e *event) {
	s := r.servers[e.a]
	if s.epoch != e.b || s.state == down {
		return
	}
	r.advance(s)
	if e.kind == evResume {
		s.paused--
		r.work(s)
		r.pauseLater(s.n)
		return
	}
	s.paused++
	r.settle(s)
	grow := 1 + float64(len(s.slots)+len(s.queue)-s.head)/float64(2*s.kind.Slots)
	r.at(r.now+1+Time(float64(s.kind.Pause)*grow*r.chance.ExpFloat64()), event{kind: evResume, a: e.a, b: e.b})
}
