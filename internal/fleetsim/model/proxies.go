package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

// job is one try of a client at one proxy.
type job struct {
	id       uint64
	call     int32
	proxy    int32
	deadline Time
	over     bool
	out      uint8
	n        uint8
	tries    [maxAttempts]try
}

type proxy struct {
	node     Node
	talker   Talker
	inc      int32
	zone     uint8
	up       bool
	diedAt   Time
	stopsAt  Time // it was told to stop, and gets no new clients from then; 0: it was not
	version  int  // of the list that its node has
	pending  bool
	watching bool
	calling  bool
	open     int
	conns    map[int32]*conns
	timers   int
	second   int64
	cut      bool // from discovery
}

func (r *run) freeJob(m int32) {
	r.unref(r.jobs[m].call)
	r.jobs[m].id = 0
	r.freeJ = append(r.freeJ, m)
}

// startProxy starts a proxy with nothing but the list as its zone's place had it last.
func (r *run) startProxy(n int32) {
	p := &r.proxies[n]
	if p.up {
		return
	}
	w := r.w
	set := w.settings(int(n), int(p.zone), r.capacity)
	node, err := r.make(set, mix(r.seed^uint64(n)<<32^uint64(p.inc)<<16^0xa5a5), r.truth)
	if err != nil {
		r.fail(n, "can't start: %v", err)
		return
	}
	p.node, p.up, p.open, p.watching, p.calling, p.pending, p.timers = node, true, 0, false, false, false, 0
	p.stopsAt = 0
	p.talker, _ = node.(Talker)
	p.conns = map[int32]*conns{}
	members := r.reg.cached(p.version)
	r.see(Record{Kind: ProxyUp, Proxy: n, Members: members, Version: p.version})
	r.ev = policy.Event{Kind: policy.MembershipCached, Members: members}
	r.give(n)
	r.at(r.now+1_000_000+Time(n)*997%1_000_000, event{kind: evSweep, a: n, b: p.inc})
}

// killProxy ends a proxy: its connections break, its requests are their clients' again, its nodes' memory is gone.
func (r *run) killProxy(n int32) {
	p := &r.proxies[n]
	if !p.up {
		return
	}
	r.see(Record{Kind: ProxyDown, Proxy: n})
	p.up, p.diedAt, p.node, p.talker = false, r.now, nil, nil
	p.inc++
	for m := range r.jobs {
		j := &r.jobs[m]
		if j.id == 0 || j.proxy != n {
			continue
		}
		for i := range j.tries[:j.n] {
			if j.tries[i].out {
				r.drop(&j.tries[i])
			}
		}
		if !j.over {
			r.at(r.now+Time(r.w.Net.Client), event{kind: evBack, a: j.call, n: uint8(policy.ConnectionReset), id: j.id})
		}
		r.freeJob(int32(m))
	}
	for s, k := range p.conns {
		if k.epoch == r.servers[s].epoch {
			r.servers[s].conns -= len(k.idle)
		}
	}
	p.conns = nil
}

// give hands the event in r.ev to a proxy's node and carries out what it says.
func (r *run) give(n int32) {
	p := &r.proxies[n]
	r.stats.Handled++
	r.actions = p.node.Handle(r.now, &r.ev, r.actions[:0])
	r.carryOut(n)
}

func (r *run) carryOut(n int32) {
	p := &r.proxies[n]
	if len(r.actions) > mostActions {
		r.fail(n, "answers one event with %d actions", len(r.actions))
	}
	for i := 0; i < len(r.actions) && r.err == nil; i++ {
		a := &r.actions[i]
		switch a.Kind {
		case policy.SendAttempt:
			r.send(n, a)
		case policy.RejectRequest, policy.FailRequest:
			r.answer(n, a)
		case policy.CancelAttempt:
			m := r.jobOf(n, a.ID)
			if m < 0 {
				continue // it ended before
			}
			j := &r.jobs[m]
			if int(a.Attempt) >= int(j.n) {
				r.fail(n, "cancels attempt %d of a request that has had %d", a.Attempt, j.n)
			} else if t := &j.tries[a.Attempt]; t.out && r.w.Told.Cancel {
				r.drop(t)
				r.at(r.tick(r.now+1), event{kind: evFailed, a: m, n: a.Attempt, b: int32(policy.Cancelled), id: j.id})
			}
		case policy.SetTimer:
			if second := r.now / 1_000_000; second != p.second {
				p.second, p.timers = second, 0
			}
			if p.timers++; p.timers > mostTimers {
				r.fail(n, "sets timers without end: %d within a second", p.timers)
			}
			r.at(r.tick(r.now+max(1, a.After)), event{kind: evTimer, a: n, b: p.inc, id: a.ID})
		case policy.SubscribeDiscovery:
			r.subscribe(n)
		case policy.CloseIdleConns:
			if s := r.serverOf(a.Server); s != nil {
				if k := p.conns[s.n]; k != nil && k.epoch == s.epoch {
					s.conns -= len(k.idle)
					k.idle = k.idle[:0]
				}
			}
		case policy.LogMessage:
		case policy.PollLoad:
			r.probe(n, a.Server)
		default:
			r.fail(n, "wants action %d, which this world does not know", a.Kind)
		}
	}
	if p.talker != nil {
		for _, l := range p.talker.Post() {
			r.post(n, l)
		}
	}
}

// jobOf finds an open request of the proxy; -1: it has ended. One that never was ends the run.
func (r *run) jobOf(n int32, id uint64) int32 {
	m := int32(id & (1<<idBits - 1))
	if no := id >> idBits; no == 0 || no > r.jobNo || int(m) >= len(r.jobs) {
		r.fail(n, "names request %d, which it was never given", id)
		return -1
	}
	j := &r.jobs[m]
	if j.id != id {
		return -1
	}
	if j.proxy != n {
		r.fail(n, "names request %d, which proxy %d has", id, j.proxy)
		return -1
	}
	return m
}

func (r *run) serverOf(id uint32) *server {
	if n := int(id ^ r.salt); n >= 0 && n < len(r.servers) {
		return r.servers[n]
	}
	return nil
}

// finish is a try's final answer.
func (r *run) finish(m int32, out policy.Outcome, after Time) {
	j := &r.jobs[m]
	j.over = true
	r.proxies[j.proxy].open--
	r.see(Record{Kind: Answered, Proxy: j.proxy, ID: j.id, Outcome: out, Call: r.calls[j.call].no, Span: after})
	travel := Time(float64(r.w.Net.Client) * (1 + r.w.Net.Jitter*r.calls[j.call].draw(9)))
	r.at(r.now+travel, event{kind: evBack, a: j.call, b: int32(min(after, math.MaxInt32)), n: uint8(out), id: j.id})
}

// tidy forgets a job that is over with nothing out.
func (r *run) tidy(m int32) {
	if j := &r.jobs[m]; j.over && j.out == 0 && j.id != 0 {
		r.freeJob(m)
	}
}

func (r *run) answer(n int32, a *policy.Action) {
	m := r.jobOf(n, a.ID)
	if m < 0 || r.jobs[m].over {
		return // ended already: disregarded, as the wire does
	}
	out := policy.ErrorResponse
	if a.Kind == policy.RejectRequest {
		out = policy.Rejected
	}
	r.finish(m, out, a.After)
	r.tidy(m)
}

func (r *run) overdue(m int32, id uint64) {
	j := &r.jobs[m]
	if j.id != id || j.over {
		return
	}
	n := j.proxy
	j.over = true
	r.proxies[n].open--
	r.see(Record{Kind: Overdue, Proxy: n, ID: id})
	r.tidy(m)
	r.ev = policy.Event{Kind: policy.RequestAbandoned, ID: id}
	r.give(n)
}
