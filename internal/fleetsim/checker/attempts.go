package checker

import (
	"fmt"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

// attempt is what the referee saw of one.
type attempt struct {
	server   uint32
	zone     uint8
	cell     uint16
	sentAt   Time
	inFlight bool
	mayRun   bool
}

type coldArrival struct {
	at    Time
	work  float64
	proxy int32
}

// sentAt judges an attempt by rules 1 to 3.
func (r *Checker) observeAttemptSent(rec *model.Record) {
	if rec.Flag {
		r.crossZoneAttempts++
	}
	t := r.open[rec.ID]
	if t == nil || t.answered {
		r.addViolation(rec, RuleAnswerInTime, "sent to server %d after its final answer", rec.Server)
		return
	}
	c := &r.classes[t.class]
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.inFlight && !r.scenario.Published.AllowHedging {
			r.addViolation(rec, RuleRetrySemantics, "two attempts out at once, where copies are not allowed")
		}
		if !a.mayRun || c.Semantics == policy.Idempotent {
			continue
		}
		switch {
		case c.Semantics == policy.NonIdempotent:
			r.addViolation(rec, RuleRetrySemantics, "an unsafe request sent again though attempt %d may have run", i)
		case !isSameDedupScope(c.DedupScope, a, rec):
			r.addViolation(rec, RuleRetrySemantics, "a keyed request sent outside the group of attempt %d, which may have run", i)
		case rec.At-a.sentAt > c.DedupWindow:
			r.addViolation(rec, RuleRetrySemantics, "a keyed request sent again %.3f s after attempt %d, past the window of %.3f s", seconds(rec.At-a.sentAt), i,
				seconds(c.DedupWindow))
		}
	}
	t.attempts = append(t.attempts, attempt{server: rec.Server, zone: rec.Zone, cell: rec.Cell, sentAt: rec.At, inFlight: true, mayRun: true})
	t.inFlight++
	r.checkDrainRule(rec)
}

func isSameDedupScope(g policy.DedupScope, a *attempt, rec *model.Record) bool {
	switch g {
	case policy.DedupPerZone:
		return a.zone == rec.Zone
	case policy.DedupPerCell:
		return a.cell == rec.Cell
	}
	return true
}

// checkDrainRule judges a send by what its proxy was told of the server, or counts as told of.
func (r *Checker) checkDrainRule(rec *model.Record) {
	p := &r.proxies[rec.Proxy]
	grace := Time(r.scenario.Published.DrainGrace)
	if told, ok := p.goneSince[rec.Server]; ok && rec.At > told+grace {
		r.addViolation(rec, RuleDrainingServers, "sent to server %d, %.3f s after the proxy was told that it drains or is gone", rec.Server,
			seconds(rec.At-told))
		return
	}
	if span := r.assumedListAge(p, rec.At); span > 0 {
		if known, ok := r.goneSince[rec.Server]; ok && rec.At > known+span+grace {
			r.addViolation(rec, RuleDrainingServers, "sent to server %d, which had been listed as draining or gone for %.3f s while the proxy did not ask",
				rec.Server, seconds(rec.At-known))
		}
	}
}

// assumedListAge is how old a list a proxy counts as told of though it did not ask; 0: it asked, or hears by itself.
func (r *Checker) assumedListAge(p *proxyState, now Time) Time {
	span := Time(r.scenario.Published.SubscribeWithin)
	if p.lastCallFailed {
		span *= 4
	}
	if p.watching || now-p.lastContact <= span {
		return 0
	}
	return span
}

func (r *Checker) observeAttemptEnded(rec *model.Record) {
	t := r.open[rec.ID]
	if t == nil || int(rec.Attempt) >= len(t.attempts) {
		return
	}
	a := &t.attempts[rec.Attempt]
	a.inFlight = false
	t.inFlight--
	switch rec.Outcome {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent:
		a.mayRun = false
	}
	r.releaseIfDone(rec.ID, t)
}

// observeColdArrival adds up what comes to a cold server from all proxies.
func (r *Checker) observeColdArrival(rec *model.Record) {
	c := r.coldServers[rec.Server]
	if c == nil {
		return
	}
	over := Time(r.scenario.Overload.Window)
	for c.head < len(c.arrivals) && c.arrivals[c.head].at <= rec.At-over {
		c.work -= c.arrivals[c.head].work
		c.head++
	}
	if c.head > 64 && 2*c.head > len(c.arrivals) {
		c.arrivals = append(c.arrivals[:0], c.arrivals[c.head:]...)
		c.head = 0
	}
	c.arrivals = append(c.arrivals, coldArrival{rec.At, float64(rec.Work), rec.Proxy})
	c.work += float64(rec.Work)
	able := rec.Capacity * float64(over)
	r.report.PeakColdLoad = max(r.report.PeakColdLoad, c.work/(able+r.scenario.Overload.SlackRequests*r.meanWork/r.scenario.Published.OverloadFactor))
	past := c.work > r.scenario.Published.OverloadFactor*able+r.scenario.Overload.SlackRequests*r.meanWork
	if past && !c.isOverBound {
		r.report.ColdBoundExceeded++
	}
	c.isOverBound = past
}

// checkColdRule judges who pushed a cold server over: the rule is broken if two thirds of the work came from proxies that
// knew of its start or should have.
func (r *Checker) checkColdRule(rec *model.Record) {
	r.report.ColdOverloads++
	c := r.coldServers[rec.Server]
	if c == nil {
		return
	}
	total, blamed := 0.0, 0.0
	var last int32
	for _, p := range c.arrivals[c.head:] {
		total += p.work
		told := r.proxies[p.proxy].knownStart[rec.Server] >= c.started
		if span := r.assumedListAge(&r.proxies[p.proxy], rec.At); !told && span > 0 {
			told = r.listedStart[rec.Server] >= c.started && rec.At > r.startListedAt[rec.Server]+span
		}
		if told {
			blamed += p.work
			last = p.proxy
		}
	}
	if total > 0 && blamed >= 2.0/3*total {
		rec.Proxy = last
		r.addViolation(rec, RuleColdServers, "cold server %d fell over, %.1f s after its start, under %.2f s of work within %.2f s, %.0f%% of it from proxies that knew",
			rec.Server, seconds(rec.At-c.started), total/1e6, seconds(Time(r.scenario.Overload.Window)), 100*blamed/total)
	}
	delete(r.coldServers, rec.Server)
}

func (r *Checker) observeEffectRepeated(rec *model.Record) {
	r.report.RepeatedEffects++
	if len(r.report.RepeatedEffectCauses) >= maxViolationsKept {
		return
	}
	cause := "its proxy sent it again"
	if c := r.clientRequests[rec.Request]; c == nil || c.attempts > 1 {
		cause = "its client asked again while an earlier copy ran or may have run"
	}
	r.report.RepeatedEffectCauses = append(r.report.RepeatedEffectCauses, Violation{At: rec.At, Server: rec.Server, ID: rec.ID,
		Cause: fmt.Sprintf("call %d had its effect again after %.3f s: %s", rec.Request, seconds(rec.Span), cause)})
}
