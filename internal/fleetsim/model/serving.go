package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

type reportOf struct {
	at     Time
	values [3]float32
}

// reach is an attempt's coming to its server.
func (r *run) reach(t int32) {
	k := &r.tasks[t]
	s := r.servers[k.server]
	s.coming -= k.work
	if r.parted(k.proxy, s) || k.fresh && k.dropped {
		// Cut off on the way, or given up while its connection was made.
		if !k.dropped {
			if k.fresh {
				r.failLater(k, policy.ConnectFailed, k.sent+Time(r.w.Conn.DialWithin))
			} else {
				r.jobs[k.job].tries[k.attempt].task = -1
			}
			r.release(k, false)
		}
		r.freeTask(t)
		return
	}
	if s.state == down || s.epoch != k.epoch && !k.fresh {
		out := policy.ConnectionReset // written to a connection whose other end is gone
		if k.fresh {
			out = policy.ConnectFailed
		}
		r.returned(t, out, false)
		return
	}
	if k.fresh {
		if s.epoch != k.epoch { // another process has come up behind the address meanwhile
			if pool := r.proxies[k.proxy].conns[k.server]; pool != nil && r.proxies[k.proxy].inc == k.inc {
				if pool.epoch != s.epoch {
					*pool = conns{epoch: s.epoch}
				}
				pool.used++
			}
			k.epoch = s.epoch
		}
		if s.conns >= r.w.Conn.CapPerCore*s.kind.Cores {
			r.returned(t, policy.ConnectFailed, false)
			return
		}
		s.conns++
		k.work += float64(r.w.Conn.Work)
		r.see(Record{Kind: Opened, Proxy: k.proxy, Server: s.id})
	}
	k.stage = held
	if s.cold {
		able := s.full() * r.warmth(s)
		r.see(Record{Kind: Reached, Proxy: k.proxy, Server: s.id, Work: Time(k.work), Capacity: able})
		if tip := &r.w.Tip; s.cold && tip.Multiple > 0 {
			bears := tip.Multiple*able*float64(tip.Over) + tip.Slack*r.w.meanWork()
			if s.pushed.add(r.now, Time(tip.Over), k.work) > bears {
				r.returned(t, policy.ConnectionReset, false)
				r.fall(s)
				return
			}
		}
	}
	if s.state == draining {
		r.returned(t, policy.Rejected, true)
		return
	}
	if s.failing > 0 && r.chance.Float64() < s.failing {
		s.done++
		s.errors++
		r.returned(t, policy.ErrorResponse, true)
		return
	}
	if len(s.slots) >= s.kind.Slots && len(s.queue)-s.head >= s.kind.Room {
		r.returned(t, policy.Rejected, true)
		return
	}
	if r.meets(s, r.calls[k.call].key) {
		k.work *= 1 - r.w.Keys.Gain
	}
	r.begin(s, k)
	r.advance(s)
	s.owed += k.work
	if len(s.slots) < s.kind.Slots {
		pushSlot(&s.slots, slot{s.v + k.work, t})
	} else {
		s.queue = append(s.queue, t)
	}
	r.settle(s)
}

// begin lets an attempt have its effect. Servers of the class's group know its key for a while and carry a repeat
// out no second time; where it is carried out again, the record says so.
func (r *run) begin(s *server, k *task) {
	c := &r.calls[k.call]
	class := &r.w.Classes[c.class]
	effect := *effects[class.Effect]
	if effect == policy.Idempotent {
		return
	}
	if c.effectAt < 0 {
		c.effectAt, c.effect.zone, c.effect.cell = r.now, s.zone, s.cell
		return
	}
	if effect == policy.Deduplicated && r.now-c.effectAt <= Time(class.Window) {
		switch *groups[class.Group] {
		case policy.DedupPerZone:
			effect = known(c.effect.zone == s.zone)
		case policy.DedupPerCell:
			effect = known(c.effect.cell == s.cell)
		default:
			effect = policy.Idempotent
		}
		if effect == policy.Idempotent {
			k.work = math.Min(k.work, 500) // looked up, not done
			return
		}
	}
	r.see(Record{Kind: Twice, Server: s.id, ID: k.id, Call: c.no, Span: r.now - c.effectAt, Class: c.class})
}

func known(same bool) policy.Semantics {
	if same {
		return policy.Idempotent
	}
	return policy.NonIdempotent
}

// reply sends an attempt's end back to its proxy with the server's load report.
func (r *run) reply(t int32, out policy.Outcome) { r.returned(t, out, true) }

// returned sends an attempt's end back. answered: the server says it itself, on a connection that stays.
func (r *run) returned(t int32, out policy.Outcome, answered bool) {
	k := &r.tasks[t]
	s := r.servers[k.server]
	if k.dropped {
		r.freeTask(t)
		return
	}
	if r.parted(k.proxy, s) { // silence: the proxy finds out when its time is up
		r.jobs[k.job].tries[k.attempt].task = -1
		r.release(k, false)
		r.freeTask(t)
		return
	}
	k.outcome = out
	if answered {
		if k.report, k.reports = r.reportOf(s); reportVias[r.w.Reports.Via] != policy.ReportsInResponses {
			k.reports = false
		}
	} else {
		r.release(k, false)
		k.dropped = true // its connection is gone; only the news is under way
	}
	k.stage = returning
	r.at(r.tick(r.now+r.delay(s.zone, r.proxies[k.proxy].zone)), event{kind: evOutcome, a: t})
}

// outcome is the coming of an attempt's end at its proxy.
func (r *run) outcome(t int32) {
	k := &r.tasks[t]
	j := &r.jobs[k.job]
	if k.dropped && k.outcome != policy.ConnectionReset && k.outcome != policy.ConnectFailed || j.id != k.id || !j.tries[k.attempt].out ||
		j.tries[k.attempt].task != t {
		r.freeTask(t) // given up in the meantime
		return
	}
	if !k.dropped {
		r.release(k, true)
	}
	m, at, out, elapsed := k.job, k.attempt, k.outcome, r.now-k.sent
	var report []float32
	if k.reports {
		r.report = append(r.report[:0], k.report[:]...)
		report = r.report
	}
	r.freeTask(t)
	r.proven(m, at, out, elapsed, report)
}

// reportOf is the load report that a server's answer carries now: refreshed now and then, and late.
func (r *run) reportOf(s *server) ([3]float32, bool) {
	rep := &r.w.Reports
	if since := r.now - s.reported; since >= Time(rep.Every) {
		r.advance(s)
		dt := float64(since)
		noise := func() float64 { return math.Max(0, 1+rep.Noise*r.chance.NormFloat64()) }
		util := math.Min(1, s.busy/dt/float64(s.kind.Cores)*(1-s.stolen)+s.stolen)
		s.reportN++
		s.reports[s.reportN%len(s.reports)] = reportOf{r.now,
			[3]float32{float32(util * noise()), float32(s.done / dt * 1e6 * noise()), float32(s.errors / dt * 1e6 * noise())}}
		s.busy, s.done, s.errors, s.reported = 0, 0, 0, r.now
	}
	for i := 0; i < min(s.reportN, len(s.reports)); i++ {
		if v := &s.reports[(s.reportN-i)%len(s.reports)]; v.at <= r.now-Time(rep.Delay)-s.late {
			return v.values, true
		}
	}
	return [3]float32{}, false
}
