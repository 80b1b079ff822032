package checker

import (
	"math"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

type call struct {
	made   Time
	aim    Time
	worth  float64
	class  uint8
	tenant uint16
	within bool // its tenant's share
	tries  int
}

func (r *Referee) answered(rec *model.Record) {
	t := r.open[rec.ID]
	if t == nil || t.answered {
		return // the model lets only the first one through
	}
	t.answered = true
	switch rec.Outcome {
	case policy.OK:
		r.rep.Answers.Served++
	case policy.Rejected:
		r.rep.Answers.Refused++
		c := &r.classes[t.class]
		for i := range t.attempts {
			if a := &t.attempts[i]; a.mayRun && (c.Semantics == policy.NonIdempotent || c.Semantics == policy.Deduplicated && c.DedupScope != policy.DedupEverywhere) {
				r.breach(rec, RuleEffect, "refused as harmless to repeat though attempt %d may have run", i)
				break
			}
		}
	default:
		r.rep.Answers.Failed++
	}
	r.drop(rec.ID, t)
}

func (r *Referee) callMade(rec *model.Record) {
	var c *call
	if n := len(r.free) - 1; n >= 0 {
		c = r.free[n]
		r.free = r.free[:n]
	} else {
		c = &call{}
	}
	*c = call{made: rec.At, aim: r.classes[rec.Class].LatencyTarget, worth: rec.Worth, class: rec.Class, tenant: rec.Tenant, within: true}
	if dt := float64(rec.At - r.tokensAt); dt > 0 && len(r.tokens) > 0 {
		r.tokensAt = rec.At
		for i, q := range r.quota {
			r.tokens[i] = min(max(1, q*second), r.tokens[i]+q*dt)
		}
	}
	if int(rec.Tenant) < len(r.tokens) {
		if r.tokens[rec.Tenant] >= 1 {
			r.tokens[rec.Tenant]--
		} else {
			c.within = false
			c.worth *= r.w.Clients.OverShare
		}
	}
	r.calls[rec.Call] = c
	r.firsts++
	r.work += float64(rec.Work)
}

func (r *Referee) callOver(rec *model.Record) {
	c := r.calls[rec.Call]
	if c == nil {
		return
	}
	delete(r.calls, rec.Call)
	r.free = append(r.free, c)
	worth := 0.0
	switch {
	case rec.Flag && rec.Span <= c.aim:
		worth = c.worth
		r.rep.InTime++
	case rec.Flag:
		worth = c.worth * r.w.Classes[c.class].Late
		r.rep.Late++
	default:
		r.rep.Unserved++
	}
	if rec.Flag {
		r.hist[c.class].RecordValue(max(1, rec.Span)) // an error would say that a call took longer than a minute
	}
	if c.made < second {
		return
	}
	if !rec.Flag && rec.Span > c.aim {
		r.lateFail += c.worth
	}
	for s := int(c.made / second); s >= len(r.asked); {
		r.asked, r.got = append(r.asked, 0), append(r.got, 0)
	}
	r.asked[c.made/second] += c.worth
	r.got[c.made/second] += worth
	r.class[c.class][0] += c.worth
	r.class[c.class][1] += worth
	if int(c.tenant) < len(r.tenant) && c.within {
		r.tenant[c.tenant][0] += c.worth
		r.tenant[c.tenant][1] += worth
	}
}

// bandsAt are the quantiles of the servers' use that a Sample keeps.
var bandsAt = []float64{0.05, 0.25, 0.5, 0.75, 0.95, 1}

func (r *Referee) sample(rec *model.Record) {
	band := make([]float64, len(bandsAt))
	if n := len(rec.Load); n > 0 {
		for i, q := range bandsAt {
			band[i] = math.Round(rec.Load[min(n-1, int(q*float64(n)))]*1000) / 1000
		}
	}
	r.rep.Bands = append(r.rep.Bands, band)
}
