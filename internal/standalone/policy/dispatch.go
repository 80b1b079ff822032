package policy

import "math"

// dispatch sends r to a server, or queues it if no server can take it. A request for which another attempt is
// not allowed, or would come too late, is rejected or failed. dispatch reports whether r was sent.
func (b *Balancer) dispatch(r *request) bool {
	if !b.mayAttempt(r) || r.inFlight == 0 && b.lacksTime(r) {
		b.rejectOrFail(r)
		return false
	}
	if s := b.pick(r); s != nil {
		b.send(r, s)
		return true
	}
	b.enqueue(r)
	return false
}

// minTimeShare is the fraction of an attempt's expected time that must be left before the deadline for the
// attempt to be sent.
const minTimeShare = 0.8

// lacksTime reports whether r has less time left than an attempt will most likely take. Its response would
// come after the client has given up, and the client's retry would cause the same work again: under load,
// time-outs that cause retries can keep servers busy with nothing else.
func (b *Balancer) lacksTime(r *request) bool {
	return float64(r.deadline-b.now) < minTimeShare*b.medianAttemptTime*timeFactor(r.cost)
}

// timeFactor returns the expected time of an attempt with this cost, relative to an attempt with a cost of 1.
// Half of an attempt's time is assumed to be fixed and half to grow with its cost.
func timeFactor(cost float64) float64 { return (1 + cost) / 2 }

// send starts an attempt of r on s.
func (b *Balancer) send(r *request, s *server) {
	sendBefore := r.retryDeadline()
	if sendBefore == math.MaxInt64 {
		sendBefore = 0 // no limit
	}
	r.attempts = append(r.attempts, attempt{
		server: s, serverID: s.id, zone: s.zone, cell: s.cell, inFlight: true,
		mayHaveExecuted: true, bodyPending: true, sentAt: b.now, cost: r.cost,
	})
	r.inFlight++
	s.uploading++
	b.chargeSlowStart(s, r.cost)
	if b.now-s.lastSentAt >= b.settings.Limits.ConnIdleTimeout {
		s.openConns = s.inFlight // the server has closed the idle connections
	}
	s.lastSentAt = b.now
	if !r.bodyPending {
		b.countInFlight(&r.attempts[len(r.attempts)-1])
	}
	b.updateSchedule(s)
	b.emit(Action{Kind: SendAttempt, ID: r.id, Server: s.id, SendBefore: sendBefore})
}

// countInFlight counts attempt a as in flight at its server, which has received the complete request: from
// now on the time of the attempt is the server's and not the client's.
func (b *Balancer) countInFlight(a *attempt) {
	s := a.server
	a.bodyPending, a.countedAt = false, b.now
	s.uploading--
	if s.inFlight == 0 {
		s.waitingSince = b.now
	}
	s.inFlight++
	s.openConns = max(s.openConns, s.inFlight)
	if !s.stalled { // countEnded counts the attempts of a stalled server when it recovers
		b.inFlight++
	}
	b.updateSchedule(s)
}
