package model

import (
	"pumiceline/internal/standalone/policy"
)

// proxyAttempt is an attempt of a job, as its proxy has it.
type proxyAttempt struct {
	serverAttempt int32 // -1: nothing is under way on the network
	server        int32
	inFlight      bool
	ran           bool
	sentAt        Time
}

// serverAttempt is an attempt on its way and at its server, where it outlives what its proxy does about it.
type serverAttempt struct {
	id            uint64 // the job's
	work          float64
	finish        float64 // in the server's virtual time
	sentAt        Time
	clientRequest int32
	proxyRequest  int32
	proxy         int32
	incarnation   int32
	server        int32
	epoch         int32
	attempt       uint8
	outcome       policy.Outcome
	stage         attemptStage
	newConnection bool // on a new connection
	abandoned     bool // its proxy has given it up and closed the connection
	report        [3]float32
	hasReport     bool
}

type attemptStage uint8

const (
	stageTravelling attemptStage = iota // to its server
	stageAtServer                       // by its server: in work or waiting
	stageReturning
)

func (r *simulation) releaseServerAttempt(t int32) {
	r.releaseClientRequest(r.serverAttempts[t].clientRequest)
	r.serverAttempts[t].id = 0
	r.freeServerAttempts = append(r.freeServerAttempts, t)
}

// sendAttempt starts an attempt.
func (r *simulation) sendAttempt(n int32, a *policy.Action) {
	s := r.findServer(a.Server)
	if s == nil {
		r.fail(n, "sends to server %d, which no list has named", a.Server)
		return
	}
	p := &r.proxies[n]
	m := r.findProxyRequest(n, a.ID)
	if r.failure != nil {
		return
	}
	crosses := p.zone != s.zone
	if m < 0 || r.proxyRequests[m].answered { // the referee will have a word
		r.observe(Record{Kind: AttemptSent, Proxy: n, ID: a.ID, Server: a.Server, Zone: s.zone, Cell: s.cell, Flag: crosses})
		return
	}
	j := &r.proxyRequests[m]
	if j.attemptCount >= maxAttempts || int(j.attemptCount) >= r.scenario.Published.MaxAttempts {
		r.fail(n, "makes attempt %d of a request that may have %d", j.attemptCount+1, r.scenario.Published.MaxAttempts)
		return
	}
	at := j.attemptCount
	j.attemptCount++
	j.inFlight++
	c := &r.clientRequests[j.clientRequest]
	t := acquire(&r.serverAttempts, &r.freeServerAttempts)
	k := &r.serverAttempts[t]
	*k = serverAttempt{id: j.id, proxyRequest: m, clientRequest: j.clientRequest, proxy: n, incarnation: p.incarnation, server: s.index, epoch: s.epoch, attempt: at, sentAt: r.now}
	k.work = lognormal(r.networkRand, c.work, r.scenario.Classes[c.class].AttemptCV)
	c.refs++
	j.attempts[at] = proxyAttempt{serverAttempt: t, server: s.index, inFlight: true, sentAt: r.now}
	r.observe(Record{Kind: AttemptSent, Proxy: n, ID: j.id, Attempt: at, Server: a.Server, Zone: s.zone, Cell: s.cell, Work: Time(k.work), Flag: crosses})
	limit := j.deadline
	if a.After > 0 {
		limit = min(limit, r.now+a.After)
	} else if a.After < 0 {
		limit = r.now
	}
	r.schedule(r.nextTick(max(limit, r.now+1)), event{kind: evAttemptTimeout, subject: m, code: at, id: j.id})
	travel := r.networkDelay(p.zone, s.zone)
	pool := p.connections[s.index]
	if pool == nil {
		pool = &connectionPool{}
		p.connections[s.index] = pool
	}
	if pool.epoch != s.epoch { // another process: the old connections are gone
		*pool = connectionPool{epoch: s.epoch}
	}
	r.closeExpired(pool, s)
	if k.newConnection = len(pool.idle) == 0; k.newConnection {
		travel += Time(r.scenario.Connections.HandshakeRoundTrips * 2 * float64(travel))
	} else {
		pool.idle = pool.idle[:len(pool.idle)-1]
	}
	if r.isServerPartitioned(n, s) { // nothing passes: a connection does not come up, a request on an old one is never seen
		if k.newConnection {
			r.scheduleFailure(k, policy.ConnectFailed, r.now+Time(r.scenario.Connections.DialTimeout))
		} else {
			s.connections--
			j.attempts[at].serverAttempt = -1
		}
		r.releaseServerAttempt(t)
		return
	}
	pool.used++
	s.workInTransit += k.work
	r.schedule(r.now+travel, event{kind: evArriveAtServer, subject: t})
}

// scheduleFailure plans an outcome for an attempt that no server has.
func (r *simulation) scheduleFailure(k *serverAttempt, out policy.Outcome, at Time) {
	r.proxyRequests[k.proxyRequest].attempts[k.attempt].serverAttempt = -1
	r.schedule(r.nextTick(at), event{kind: evAttemptFailed, subject: k.proxyRequest, code: k.attempt, number: int32(out), id: k.id})
}

// abandonServerAttempt gives up an attempt: its connection is closed, its work goes on.
func (r *simulation) abandonServerAttempt(t *proxyAttempt) {
	if t.serverAttempt < 0 {
		return
	}
	if k := &r.serverAttempts[t.serverAttempt]; !k.abandoned {
		r.releaseConnection(k, false)
		k.abandoned = true
	}
	t.serverAttempt = -1
}

// endAttempt tells a proxy how an attempt ended.
func (r *simulation) endAttempt(m int32, at uint8, out policy.Outcome, elapsed Time, report []float32) {
	j := &r.proxyRequests[m]
	t := &j.attempts[at]
	t.inFlight, t.serverAttempt = false, -1
	j.inFlight--
	n, id := j.proxy, j.id
	server := r.servers[t.server].id
	r.observe(Record{Kind: AttemptEnded, Proxy: n, ID: id, Attempt: at, Server: server, Outcome: out, Span: elapsed})
	if out == policy.OK && !j.answered {
		r.answerClient(m, policy.OK, 0)
	}
	r.policyEvent = policy.Event{Kind: policy.AttemptEnded, ID: id, Attempt: at, Server: server, Outcome: out, Elapsed: elapsed, Final: j.answered,
		Report: report}
	r.releaseIfDone(m)
	r.deliver(n)
}
