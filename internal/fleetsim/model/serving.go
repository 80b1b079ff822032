package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

type loadReport struct {
	at     Time
	values [3]float32
}

// arriveAtServer is an attempt's coming to its server.
func (r *simulation) arriveAtServer(t int32) {
	k := &r.serverAttempts[t]
	s := r.servers[k.server]
	s.workInTransit -= k.work
	if r.isServerPartitioned(k.proxy, s) || k.newConnection && k.abandoned {
		// Cut off on the way, or given up while its connection was made.
		if !k.abandoned {
			if k.newConnection {
				r.scheduleFailure(k, policy.ConnectFailed, k.sentAt+Time(r.scenario.Connections.DialTimeout))
			} else {
				r.proxyRequests[k.proxyRequest].attempts[k.attempt].serverAttempt = -1
			}
			r.releaseConnection(k, false)
		}
		r.releaseServerAttempt(t)
		return
	}
	if s.state == stateDown || s.epoch != k.epoch && !k.newConnection {
		out := policy.ConnectionReset // written to a connection whose other end is gone
		if k.newConnection {
			out = policy.ConnectFailed
		}
		r.returnAttempt(t, out, false)
		return
	}
	if k.newConnection {
		if s.epoch != k.epoch { // another process has come up behind the address meanwhile
			if pool := r.proxies[k.proxy].connections[k.server]; pool != nil && r.proxies[k.proxy].incarnation == k.incarnation {
				if pool.epoch != s.epoch {
					*pool = connectionPool{epoch: s.epoch}
				}
				pool.used++
			}
			k.epoch = s.epoch
		}
		if s.connections >= r.scenario.Connections.MaxPerCore*s.instanceType.Cores {
			r.returnAttempt(t, policy.ConnectFailed, false)
			return
		}
		s.connections++
		k.work += float64(r.scenario.Connections.HandshakeWork)
		r.observe(Record{Kind: ConnectionOpened, Proxy: k.proxy, Server: s.id})
	}
	k.stage = stageAtServer
	if s.cold {
		able := s.warmCapacity() * r.warmth(s)
		r.observe(Record{Kind: ColdServerReached, Proxy: k.proxy, Server: s.id, Work: Time(k.work), Capacity: able})
		if tip := &r.scenario.Overload; s.cold && tip.Factor > 0 {
			bears := tip.Factor*able*float64(tip.Window) + tip.SlackRequests*r.scenario.meanWork()
			if s.arrivedWork.add(r.now, Time(tip.Window), k.work) > bears {
				r.returnAttempt(t, policy.ConnectionReset, false)
				r.overloadServer(s)
				return
			}
		}
	}
	if s.state == stateDraining {
		r.returnAttempt(t, policy.Rejected, true)
		return
	}
	if s.errorRate > 0 && r.serverRand.Float64() < s.errorRate {
		s.completed++
		s.errors++
		r.returnAttempt(t, policy.ErrorResponse, true)
		return
	}
	if len(s.slots) >= s.instanceType.Slots && len(s.queue)-s.head >= s.instanceType.QueueCapacity {
		r.returnAttempt(t, policy.Rejected, true)
		return
	}
	if r.touchKey(s, r.clientRequests[k.clientRequest].key) {
		k.work *= 1 - r.scenario.Keys.HitSavings
	}
	r.applyEffect(s, k)
	r.advanceServer(s)
	s.workQueued += k.work
	if len(s.slots) < s.instanceType.Slots {
		pushSlot(&s.slots, slot{s.virtualTime + k.work, t})
	} else {
		s.queue = append(s.queue, t)
	}
	r.rescheduleServer(s)
}

// applyEffect lets an attempt have its effect. Servers of the class's group know its key for a while and carry a repeat
// out no second time; where it is carried out again, the record says so.
func (r *simulation) applyEffect(s *server, k *serverAttempt) {
	c := &r.clientRequests[k.clientRequest]
	class := &r.scenario.Classes[c.class]
	effect := *semanticsByName[class.Semantics]
	if effect == policy.Idempotent {
		return
	}
	if c.effectAt < 0 {
		c.effectAt, c.firstEffect.zone, c.firstEffect.cell = r.now, s.zone, s.cell
		return
	}
	if effect == policy.Deduplicated && r.now-c.effectAt <= Time(class.DedupWindow) {
		switch *dedupScopeByName[class.DedupScope] {
		case policy.DedupPerZone:
			effect = known(c.firstEffect.zone == s.zone)
		case policy.DedupPerCell:
			effect = known(c.firstEffect.cell == s.cell)
		default:
			effect = policy.Idempotent
		}
		if effect == policy.Idempotent {
			k.work = math.Min(k.work, 500) // looked up, not done
			return
		}
	}
	r.observe(Record{Kind: EffectRepeated, Server: s.id, ID: k.id, Request: c.number, Span: r.now - c.effectAt, Class: c.class})
}

func known(same bool) policy.Semantics {
	if same {
		return policy.Idempotent
	}
	return policy.NonIdempotent
}

// returnAnswer sends an attempt's end back to its proxy with the server's load report.
func (r *simulation) returnAnswer(t int32, out policy.Outcome) { r.returnAttempt(t, out, true) }

// returnAttempt sends an attempt's end back. answered: the server says it itself, on a connection that stays.
func (r *simulation) returnAttempt(t int32, out policy.Outcome, answered bool) {
	k := &r.serverAttempts[t]
	s := r.servers[k.server]
	if k.abandoned {
		r.releaseServerAttempt(t)
		return
	}
	if r.isServerPartitioned(k.proxy, s) { // silence: the proxy finds out when its time is up
		r.proxyRequests[k.proxyRequest].attempts[k.attempt].serverAttempt = -1
		r.releaseConnection(k, false)
		r.releaseServerAttempt(t)
		return
	}
	k.outcome = out
	if answered {
		if k.report, k.hasReport = r.loadReport(s); reportDeliveryByName[r.scenario.Reports.Delivery] != policy.ReportsInResponses {
			k.hasReport = false
		}
	} else {
		r.releaseConnection(k, false)
		k.abandoned = true // its connection is gone; only the news is under way
	}
	k.stage = stageReturning
	r.schedule(r.nextTick(r.now+r.networkDelay(s.zone, r.proxies[k.proxy].zone)), event{kind: evReceiveOutcome, subject: t})
}

// receiveOutcome is the coming of an attempt's end at its proxy.
func (r *simulation) receiveOutcome(t int32) {
	k := &r.serverAttempts[t]
	j := &r.proxyRequests[k.proxyRequest]
	if k.abandoned && k.outcome != policy.ConnectionReset && k.outcome != policy.ConnectFailed || j.id != k.id || !j.attempts[k.attempt].inFlight ||
		j.attempts[k.attempt].serverAttempt != t {
		r.releaseServerAttempt(t) // given up in the meantime
		return
	}
	if !k.abandoned {
		r.releaseConnection(k, true)
	}
	m, at, out, elapsed := k.proxyRequest, k.attempt, k.outcome, r.now-k.sentAt
	var report []float32
	if k.hasReport {
		r.reportBuffer = append(r.reportBuffer[:0], k.report[:]...)
		report = r.reportBuffer
	}
	r.releaseServerAttempt(t)
	r.endAttempt(m, at, out, elapsed, report)
}

// loadReport is the load report that a server's answer carries now: refreshed now and then, and late.
func (r *simulation) loadReport(s *server) ([3]float32, bool) {
	rep := &r.scenario.Reports
	if since := r.now - s.reportedAt; since >= Time(rep.Interval) {
		r.advanceServer(s)
		dt := float64(since)
		noise := func() float64 { return math.Max(0, 1+rep.Noise*r.serverRand.NormFloat64()) }
		util := math.Min(1, s.busy/dt/float64(s.instanceType.Cores)*(1-s.stolenShare)+s.stolenShare)
		s.reportCount++
		s.reports[s.reportCount%len(s.reports)] = loadReport{r.now,
			[3]float32{float32(util * noise()), float32(s.completed / dt * 1e6 * noise()), float32(s.errors / dt * 1e6 * noise())}}
		s.busy, s.completed, s.errors, s.reportedAt = 0, 0, 0, r.now
	}
	for i := 0; i < min(s.reportCount, len(s.reports)); i++ {
		if v := &s.reports[(s.reportCount-i)%len(s.reports)]; v.at <= r.now-Time(rep.Delay)-s.reportDelay {
			return v.values, true
		}
	}
	return [3]float32{}, false
}
