package model

import (
	"pumiceline/internal/standalone/policy"
)

// try is an attempt of a job, as its proxy has it.
type try struct {
	task   int32 // -1: nothing is under way on the network
	server int32
	out    bool
	ran    bool
	sent   Time
}

// task is an attempt on its way and at its server, where it outlives what its proxy does about it.
type task struct {
	id      uint64 // the job's
	work    float64
	finish  float64 // in the server's virtual time
	sent    Time
	call    int32
	job     int32
	proxy   int32
	inc     int32
	server  int32
	epoch   int32
	attempt uint8
	outcome policy.Outcome
	stage   stage
	fresh   bool // on a new connection
	dropped bool // its proxy has given it up and closed the connection
	report  [3]float32
	reports bool
}

type stage uint8

const (
	travelling stage = iota // to its server
	held                    // by its server: in work or waiting
	returning
)

func (r *run) freeTask(t int32) {
	r.unref(r.tasks[t].call)
	r.tasks[t].id = 0
	r.freeT = append(r.freeT, t)
}

// send starts an attempt.
func (r *run) send(n int32, a *policy.Action) {
	s := r.serverOf(a.Server)
	if s == nil {
		r.fail(n, "sends to server %d, which no list has named", a.Server)
		return
	}
	p := &r.proxies[n]
	m := r.jobOf(n, a.ID)
	if r.err != nil {
		return
	}
	crosses := p.zone != s.zone
	if m < 0 || r.jobs[m].over { // the referee will have a word
		r.see(Record{Kind: Sent, Proxy: n, ID: a.ID, Server: a.Server, Zone: s.zone, Cell: s.cell, Flag: crosses})
		return
	}
	j := &r.jobs[m]
	if j.n >= maxAttempts || int(j.n) >= r.w.Told.Attempts {
		r.fail(n, "makes attempt %d of a request that may have %d", j.n+1, r.w.Told.Attempts)
		return
	}
	at := j.n
	j.n++
	j.out++
	c := &r.calls[j.call]
	t := grab(&r.tasks, &r.freeT)
	k := &r.tasks[t]
	*k = task{id: j.id, job: m, call: j.call, proxy: n, inc: p.inc, server: s.n, epoch: s.epoch, attempt: at, sent: r.now}
	k.work = lognormal(r.net, c.work, r.w.Classes[c.class].Noise)
	c.refs++
	j.tries[at] = try{task: t, server: s.n, out: true, sent: r.now}
	r.see(Record{Kind: Sent, Proxy: n, ID: j.id, Attempt: at, Server: a.Server, Zone: s.zone, Cell: s.cell, Work: Time(k.work), Flag: crosses})
	limit := j.deadline
	if a.After > 0 {
		limit = min(limit, r.now+a.After)
	} else if a.After < 0 {
		limit = r.now
	}
	r.at(r.tick(max(limit, r.now+1)), event{kind: evLimit, a: m, n: at, id: j.id})
	travel := r.delay(p.zone, s.zone)
	pool := p.conns[s.n]
	if pool == nil {
		pool = &conns{}
		p.conns[s.n] = pool
	}
	if pool.epoch != s.epoch { // another process: the old connections are gone
		*pool = conns{epoch: s.epoch}
	}
	r.expire(pool, s)
	if k.fresh = len(pool.idle) == 0; k.fresh {
		travel += Time(r.w.Conn.Trips * 2 * float64(travel))
	} else {
		pool.idle = pool.idle[:len(pool.idle)-1]
	}
	if r.parted(n, s) { // nothing passes: a connection does not come up, a request on an old one is never seen
		if k.fresh {
			r.failLater(k, policy.ConnectFailed, r.now+Time(r.w.Conn.DialWithin))
		} else {
			s.conns--
			j.tries[at].task = -1
		}
		r.freeTask(t)
		return
	}
	pool.used++
	s.coming += k.work
	r.at(r.now+travel, event{kind: evReach, a: t})
}

// failLater plans an outcome for an attempt that no server has.
func (r *run) failLater(k *task, out policy.Outcome, at Time) {
	r.jobs[k.job].tries[k.attempt].task = -1
	r.at(r.tick(at), event{kind: evFailed, a: k.job, n: k.attempt, b: int32(out), id: k.id})
}

// drop gives up an attempt: its connection is closed, its work goes on.
func (r *run) drop(t *try) {
	if t.task < 0 {
		return
	}
	if k := &r.tasks[t.task]; !k.dropped {
		r.release(k, false)
		k.dropped = true
	}
	t.task = -1
}

// proven tells a proxy how an attempt ended.
func (r *run) proven(m int32, at uint8, out policy.Outcome, elapsed Time, report []float32) {
	j := &r.jobs[m]
	t := &j.tries[at]
	t.out, t.task = false, -1
	j.out--
	n, id := j.proxy, j.id
	server := r.servers[t.server].id
	r.see(Record{Kind: Proven, Proxy: n, ID: id, Attempt: at, Server: server, Outcome: out, Span: elapsed})
	if out == policy.OK && !j.over {
		r.finish(m, policy.OK, 0)
	}
	r.ev = policy.Event{Kind: policy.AttemptEnded, ID: id, Attempt: at, Server: server, Outcome: out, Elapsed: elapsed, Final: j.over,
		Report: report}
	r.tidy(m)
	r.give(n)
}
