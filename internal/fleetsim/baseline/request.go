package baseline

import "pumiceline/internal/standalone/policy"

// request is an open request of this proxy.
type request struct {
	id             uint64
	class          *policy.Class
	work           Time
	deadline       Time
	attempts       []attempt
	inFlight       int
	ended          bool
	value          float64 // of a unit of its work
	attemptTimeout Time    // of the next attempt; 0: until the client's deadline
}

// attempt is an attempt that was sent for a request.
type attempt struct {
	server   int32 // index
	sentAt   Time
	inFlight bool
	mayRun   bool // the server may have executed it
}

func (n *node) onRequestArrived(ev *policy.Event) {
	r := &request{id: ev.ID, class: &n.settings.Classes[ev.Class], work: max(1, ev.Work),
		deadline: n.now + ev.ClientTimeout, value: n.valuePerWork(ev)}
	n.open[ev.ID] = r
	n.send(r)
}

// valuePerWork takes a token of the tenant's quota and returns the value of a unit of the request's work, which is
// reduced if there was no token.
func (n *node) valuePerWork(ev *policy.Event) float64 {
	elapsed := float64(n.now-n.quotaTokensAt) / 1e6
	n.quotaTokensAt = n.now
	for i, t := range n.settings.Tenants {
		rate := t.QuotaPerS / float64(max(1, n.settings.GroupSize))
		n.quotaTokens[i] = min(max(1, rate), n.quotaTokens[i]+rate*elapsed)
	}
	value := n.settings.Classes[ev.Class].Value
	if int(ev.Tenant) < len(n.quotaTokens) {
		if n.quotaTokens[ev.Tenant] < 1 {
			return value * n.settings.OverQuotaValue
		}
		n.quotaTokens[ev.Tenant]--
	}
	return value
}

// send sends the next attempt, or ends the request if no further attempt is allowed or no server is available.
func (n *node) send(r *request) {
	r.attemptTimeout = 0
	chosen := int32(noServer)
	if n.mayAttempt(r) && len(n.ready) > 0 {
		chosen = n.pick(n, r)
	}
	if chosen == noServer {
		n.rejectOrFail(r)
		return
	}
	r.attempts = append(r.attempts, attempt{server: chosen, sentAt: n.now, inFlight: true, mayRun: true})
	r.inFlight++
	n.changeInFlight(chosen, 1)
	n.actions = append(n.actions, policy.Action{Kind: policy.SendAttempt, ID: r.id, Server: n.servers[chosen].Server,
		After: r.attemptTimeout})
}

// mayAttempt says whether a further attempt of the request is allowed, regardless of the server.
func (n *node) mayAttempt(r *request) bool {
	if len(r.attempts) >= n.settings.Limits.MaxAttempts || n.now >= r.deadline || r.inFlight > 0 {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.mayRun {
			continue
		}
		switch r.class.Semantics {
		case policy.NonIdempotent:
			return false
		case policy.Deduplicated:
			if n.now-a.sentAt >= r.class.DedupWindow*7/8 { // an eighth is for the network: it must arrive in the window
				return false
			}
		}
	}
	return true
}

// maySendTo says whether the request may go to the server: not if an earlier attempt went there, and only within the
// dedup scope of earlier attempts that may have been executed.
func (n *node) maySendTo(r *request, index int32) bool {
	s := &n.servers[index]
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == index {
			return false
		}
		if !a.mayRun || r.class.Semantics != policy.Deduplicated {
			continue
		}
		earlier := &n.servers[a.server]
		if r.class.DedupScope == policy.DedupPerZone && earlier.Zone != s.Zone ||
			r.class.DedupScope == policy.DedupPerCell && earlier.Cell != s.Cell {
			return false
		}
	}
	return true
}

func (n *node) onAttemptEnded(ev *policy.Event) {
	r := n.open[ev.ID]
	if r == nil || int(ev.Attempt) >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.inFlight = false
	r.inFlight--
	n.changeInFlight(a.server, -1)
	switch ev.Outcome {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent:
		a.mayRun = false
	}
	if ev.Final {
		r.ended = true
	}
	if !r.ended {
		n.send(r)
	}
	n.removeIfDone(r)
}

// rejectOrFail ends a request without a response from a server. It rejects the request if the client may safely retry
// it anywhere, and fails it otherwise.
func (n *node) rejectOrFail(r *request) {
	if r.ended || r.inFlight > 0 {
		return
	}
	kind := policy.RejectRequest
	for i := range r.attempts {
		if r.attempts[i].mayRun && (r.class.Semantics == policy.NonIdempotent ||
			r.class.Semantics == policy.Deduplicated && r.class.DedupScope != policy.DedupEverywhere) {
			kind = policy.FailRequest
		}
	}
	n.actions = append(n.actions, policy.Action{Kind: kind, ID: r.id})
	r.ended = true
	n.removeIfDone(r)
}

func (n *node) removeIfDone(r *request) {
	if r.ended && r.inFlight == 0 {
		delete(n.open, r.id)
	}
}
