package checker

import (
	"fmt"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

// attempt is what the referee saw of one.
type attempt struct {
	server uint32
	zone   uint8
	cell   uint16
	sent   Time
	out    bool
	mayRun bool
}

type push struct {
	at    Time
	work  float64
	proxy int32
}

// sent judges an attempt by rules 1 to 3.
func (r *Referee) sent(rec *model.Record) {
	if rec.Flag {
		r.crossed++
	}
	t := r.open[rec.ID]
	if t == nil || t.answered {
		r.breach(rec, RuleAnswer, "sent to server %d after its final answer", rec.Server)
		return
	}
	c := &r.classes[t.class]
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.out && !r.w.Told.Copies {
			r.breach(rec, RuleEffect, "two attempts out at once, where copies are not allowed")
		}
		if !a.mayRun || c.Semantics == policy.Idempotent {
			continue
		}
		switch {
		case c.Semantics == policy.NonIdempotent:
			r.breach(rec, RuleEffect, "an unsafe request sent again though attempt %d may have run", i)
		case !same(c.DedupScope, a, rec):
			r.breach(rec, RuleEffect, "a keyed request sent outside the group of attempt %d, which may have run", i)
		case rec.At-a.sent > c.DedupWindow:
			r.breach(rec, RuleEffect, "a keyed request sent again %.3f s after attempt %d, past the window of %.3f s", secs(rec.At-a.sent), i,
				secs(c.DedupWindow))
		}
	}
	t.attempts = append(t.attempts, attempt{server: rec.Server, zone: rec.Zone, cell: rec.Cell, sent: rec.At, out: true, mayRun: true})
	t.out++
	r.drained(rec)
}

func same(g policy.DedupScope, a *attempt, rec *model.Record) bool {
	switch g {
	case policy.DedupPerZone:
		return a.zone == rec.Zone
	case policy.DedupPerCell:
		return a.cell == rec.Cell
	}
	return true
}

// drained judges a send by what its proxy was told of the server, or counts as told of.
func (r *Referee) drained(rec *model.Record) {
	p := &r.proxies[rec.Proxy]
	grace := Time(r.w.Told.DrainGrace)
	if told, ok := p.gone[rec.Server]; ok && rec.At > told+grace {
		r.breach(rec, RuleDrain, "sent to server %d, %.3f s after the proxy was told that it drains or is gone", rec.Server,
			secs(rec.At-told))
		return
	}
	if span := r.deemed(p, rec.At); span > 0 {
		if known, ok := r.gone[rec.Server]; ok && rec.At > known+span+grace {
			r.breach(rec, RuleDrain, "sent to server %d, which had been listed as draining or gone for %.3f s while the proxy did not ask",
				rec.Server, secs(rec.At-known))
		}
	}
}

// deemed is how old a list a proxy counts as told of though it did not ask; 0: it asked, or hears by itself.
func (r *Referee) deemed(p *proxy, now Time) Time {
	span := Time(r.w.Told.AskWithin)
	if p.failed {
		span *= 4
	}
	if p.watching || now-p.asked <= span {
		return 0
	}
	return span
}

func (r *Referee) proven(rec *model.Record) {
	t := r.open[rec.ID]
	if t == nil || int(rec.Attempt) >= len(t.attempts) {
		return
	}
	a := &t.attempts[rec.Attempt]
	a.out = false
	t.out--
	switch rec.Outcome {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent:
		a.mayRun = false
	}
	r.drop(rec.ID, t)
}

// reached adds up what comes to a cold server from all proxies.
func (r *Referee) reached(rec *model.Record) {
	c := r.colds[rec.Server]
	if c == nil {
		return
	}
	over := Time(r.w.Tip.Over)
	for c.head < len(c.pushes) && c.pushes[c.head].at <= rec.At-over {
		c.sum -= c.pushes[c.head].work
		c.head++
	}
	if c.head > 64 && 2*c.head > len(c.pushes) {
		c.pushes = append(c.pushes[:0], c.pushes[c.head:]...)
		c.head = 0
	}
	c.pushes = append(c.pushes, push{rec.At, float64(rec.Work), rec.Proxy})
	c.sum += float64(rec.Work)
	able := rec.Capacity * float64(over)
	r.rep.ColdPeak = max(r.rep.ColdPeak, c.sum/(able+r.w.Tip.Slack*r.mean/r.w.Told.TipMultiple))
	past := c.sum > r.w.Told.TipMultiple*able+r.w.Tip.Slack*r.mean
	if past && !c.over {
		r.rep.Overdriven++
	}
	c.over = past
}

// fell judges who pushed a cold server over: the rule is broken if two thirds of the work came from proxies that
// knew of its start or should have.
func (r *Referee) fell(rec *model.Record) {
	r.rep.Fallen++
	c := r.colds[rec.Server]
	if c == nil {
		return
	}
	total, blamed := 0.0, 0.0
	var last int32
	for _, p := range c.pushes[c.head:] {
		total += p.work
		told := r.proxies[p.proxy].starts[rec.Server] >= c.started
		if span := r.deemed(&r.proxies[p.proxy], rec.At); !told && span > 0 {
			told = r.starts[rec.Server] >= c.started && rec.At > r.heard[rec.Server]+span
		}
		if told {
			blamed += p.work
			last = p.proxy
		}
	}
	if total > 0 && blamed >= 2.0/3*total {
		rec.Proxy = last
		r.breach(rec, RuleCold, "cold server %d fell over, %.1f s after its start, under %.2f s of work within %.2f s, %.0f%% of it from proxies that knew",
			rec.Server, secs(rec.At-c.started), total/1e6, secs(Time(r.w.Tip.Over)), 100*blamed/total)
	}
	delete(r.colds, rec.Server)
}

func (r *Referee) twice(rec *model.Record) {
	r.rep.Twice++
	if len(r.rep.TwiceCauses) >= mostKept {
		return
	}
	cause := "its proxy sent it again"
	if c := r.calls[rec.Call]; c == nil || c.tries > 1 {
		cause = "its client asked again while an earlier copy ran or may have run"
	}
	r.rep.TwiceCauses = append(r.rep.TwiceCauses, Breach{At: rec.At, Server: rec.Server, ID: rec.ID,
		Cause: fmt.Sprintf("call %d had its effect again after %.3f s: %s", rec.Call, secs(rec.Span), cause)})
}
