package checker

import (
	"fmt"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

// proxyRequest is a request at a proxy, with its attempts.
type proxyRequest struct {
	proxy         int32
	class         uint8
	clientRequest uint64
	responded     bool
	inFlight      int
	attempts      []attempt
}

// attempt is an attempt that a proxy sent to a server for one of its requests.
type attempt struct {
	zone     uint8 // of the server
	cell     uint16
	sentAt   Time
	inFlight bool
	mayRun   bool // the server may have executed it
}

func (c *Checker) observeRequestReceived(rec *model.Record) {
	r := c.newProxyRequest()
	r.proxy, r.class, r.clientRequest = rec.Proxy, rec.Class, rec.Request
	c.open[rec.ID] = r
	if client := c.clientRequests[rec.Request]; client != nil {
		client.attempts++
	}
}

func (c *Checker) newProxyRequest() *proxyRequest {
	if last := len(c.freeRequests) - 1; last >= 0 {
		r := c.freeRequests[last]
		c.freeRequests = c.freeRequests[:last]
		*r = proxyRequest{attempts: r.attempts[:0]}
		return r
	}
	return &proxyRequest{}
}

// releaseIfDone removes a request that has its final response and no attempt in flight. An attempt that is sent for it
// later is still reported as a violation, because observeAttemptSent finds no open request.
func (c *Checker) releaseIfDone(id uint64, r *proxyRequest) {
	if r.responded && r.inFlight == 0 {
		delete(c.open, id)
		c.freeRequests = append(c.freeRequests, r)
	}
}

// observeAttemptSent checks an attempt against the first three rules.
func (c *Checker) observeAttemptSent(rec *model.Record) {
	if rec.CrossesZones() {
		c.crossZoneAttempts++
	}
	r := c.open[rec.ID]
	if r == nil || r.responded {
		c.addViolation(rec, RuleResponseInTime, "sent to server %d after its final answer", rec.Server)
		return
	}
	for i := range r.attempts {
		c.checkRetryRule(rec, &c.classes[r.class], i, &r.attempts[i])
	}
	r.attempts = append(r.attempts, attempt{zone: rec.Zone, cell: rec.Cell, sentAt: rec.At, inFlight: true, mayRun: true})
	r.inFlight++
	c.checkDrainRule(rec)
}

// checkRetryRule checks an attempt against an earlier one of its request.
func (c *Checker) checkRetryRule(rec *model.Record, class *policy.Class, number int, earlier *attempt) {
	if earlier.inFlight && !c.scenario.Published.AllowHedging {
		c.addViolation(rec, RuleRetrySemantics, "two attempts out at once, where copies are not allowed")
	}
	if !earlier.mayRun || class.Semantics == policy.Idempotent {
		return
	}
	age := rec.At - earlier.sentAt
	switch {
	case class.Semantics == policy.NonIdempotent:
		c.addViolation(rec, RuleRetrySemantics, "an unsafe request sent again though attempt %d may have run", number)
	case !isSameDedupScope(class.DedupScope, earlier, rec):
		c.addViolation(rec, RuleRetrySemantics, "a keyed request sent outside the group of attempt %d, which may have run",
			number)
	case age > class.DedupWindow:
		c.addViolation(rec, RuleRetrySemantics, "a keyed request sent again %.3f s after attempt %d, past the window of %.3f s",
			seconds(age), number, seconds(class.DedupWindow))
	}
}

// isSameDedupScope says whether the server of the new attempt would drop it as a repeat of the earlier attempt.
func isSameDedupScope(scope policy.DedupScope, earlier *attempt, rec *model.Record) bool {
	switch scope {
	case policy.DedupPerZone:
		return earlier.zone == rec.Zone
	case policy.DedupPerCell:
		return earlier.cell == rec.Cell
	}
	return true
}

// checkDrainRule checks that the attempt's server has not been draining or gone for longer than DrainGrace, according
// to what the proxy was notified of, or would have been notified of if it had called discovery in time.
func (c *Checker) checkDrainRule(rec *model.Record) {
	p := &c.proxies[rec.Proxy]
	grace := Time(c.scenario.Published.DrainGrace)
	if notifiedAt, ok := p.goneSince[rec.Server]; ok && rec.At > notifiedAt+grace {
		c.addViolation(rec, RuleDrainingServers, "sent to server %d, %.3f s after the proxy was told that it drains or is gone",
			rec.Server, seconds(rec.At-notifiedAt))
		return
	}
	if age := c.assumedListAge(p, rec.At); age > 0 {
		if listedAt, ok := c.goneSince[rec.Server]; ok && rec.At > listedAt+age+grace {
			c.addViolation(rec, RuleDrainingServers,
				"sent to server %d, which had been listed as draining or gone for %.3f s while the proxy did not ask",
				rec.Server, seconds(rec.At-listedAt))
		}
	}
}

func (c *Checker) observeAttemptEnded(rec *model.Record) {
	r := c.open[rec.ID]
	if r == nil || int(rec.Attempt) >= len(r.attempts) {
		return
	}
	a := &r.attempts[rec.Attempt]
	a.inFlight = false
	r.inFlight--
	switch rec.Outcome {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent:
		a.mayRun = false
	}
	c.releaseIfDone(rec.ID, r)
}

func (c *Checker) observeResponse(rec *model.Record) {
	r := c.open[rec.ID]
	if r == nil || r.responded {
		return // the simulator delivers only the first response
	}
	r.responded = true
	switch rec.Outcome {
	case policy.OK:
		c.report.Responses.Served++
	case policy.Rejected:
		c.report.Responses.Rejected++
		c.checkRejection(rec, r)
	default:
		c.report.Responses.Failed++
	}
	c.releaseIfDone(rec.ID, r)
}

// checkRejection checks that the class allows a rejection, which tells clients that a retry is safe.
func (c *Checker) checkRejection(rec *model.Record, r *proxyRequest) {
	class := &c.classes[r.class]
	isRetrySafe := class.Semantics == policy.Idempotent ||
		class.Semantics == policy.Deduplicated && class.DedupScope == policy.DedupEverywhere
	if isRetrySafe {
		return
	}
	for i := range r.attempts {
		if r.attempts[i].mayRun {
			c.addViolation(rec, RuleRetrySemantics, "refused as harmless to repeat though attempt %d may have run", i)
			return
		}
	}
}

func (c *Checker) observeOverdue(rec *model.Record) {
	c.addViolation(rec, RuleResponseInTime, "no final answer within the slack after its client's deadline")
	if r := c.open[rec.ID]; r != nil {
		r.responded = true
		c.releaseIfDone(rec.ID, r)
	}
}

// observeEffectRepeated counts a repeated effect and records whether the proxy or the client sent the repeat.
func (c *Checker) observeEffectRepeated(rec *model.Record) {
	c.report.RepeatedEffects++
	if len(c.report.RepeatedEffectCauses) >= maxViolationsKept {
		return
	}
	cause := "its proxy sent it again"
	if client := c.clientRequests[rec.Request]; client == nil || client.attempts > 1 {
		cause = "its client asked again while an earlier copy ran or may have run"
	}
	c.report.RepeatedEffectCauses = append(c.report.RepeatedEffectCauses,
		Violation{At: rec.At, Server: rec.Server, ID: rec.ID,
			Cause: fmt.Sprintf("call %d had its effect again after %.3f s: %s", rec.Request, seconds(rec.Duration), cause)})
}
