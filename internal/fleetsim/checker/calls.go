package checker

import (
	"math"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

type clientRequest struct {
	startedAt     Time
	latencyTarget Time
	value         float64
	class         uint8
	tenant        uint16
	withinQuota   bool // its tenant's share
	attempts      int
}

func (r *Checker) observeAnswer(rec *model.Record) {
	t := r.open[rec.ID]
	if t == nil || t.answered {
		return // the model lets only the first one through
	}
	t.answered = true
	switch rec.Outcome {
	case policy.OK:
		r.report.Answers.Served++
	case policy.Rejected:
		r.report.Answers.Refused++
		c := &r.classes[t.class]
		for i := range t.attempts {
			if a := &t.attempts[i]; a.mayRun && (c.Semantics == policy.NonIdempotent || c.Semantics == policy.Deduplicated && c.DedupScope != policy.DedupEverywhere) {
				r.addViolation(rec, RuleRetrySemantics, "refused as harmless to repeat though attempt %d may have run", i)
				break
			}
		}
	default:
		r.report.Answers.Failed++
	}
	r.releaseIfDone(rec.ID, t)
}

func (r *Checker) observeRequestStarted(rec *model.Record) {
	var c *clientRequest
	if n := len(r.freeClientRequests) - 1; n >= 0 {
		c = r.freeClientRequests[n]
		r.freeClientRequests = r.freeClientRequests[:n]
	} else {
		c = &clientRequest{}
	}
	*c = clientRequest{startedAt: rec.At, latencyTarget: r.classes[rec.Class].LatencyTarget, value: rec.Value, class: rec.Class, tenant: rec.Tenant, withinQuota: true}
	if dt := float64(rec.At - r.quotaTokensAt); dt > 0 && len(r.quotaTokens) > 0 {
		r.quotaTokensAt = rec.At
		for i, q := range r.quota {
			r.quotaTokens[i] = min(max(1, q*microsPerSecond), r.quotaTokens[i]+q*dt)
		}
	}
	if int(rec.Tenant) < len(r.quotaTokens) {
		if r.quotaTokens[rec.Tenant] >= 1 {
			r.quotaTokens[rec.Tenant]--
		} else {
			c.withinQuota = false
			c.value *= r.scenario.Clients.OverQuotaValue
		}
	}
	r.clientRequests[rec.Request] = c
	r.requests++
	r.requestedWork += float64(rec.Work)
}

func (r *Checker) observeRequestEnded(rec *model.Record) {
	c := r.clientRequests[rec.Request]
	if c == nil {
		return
	}
	delete(r.clientRequests, rec.Request)
	r.freeClientRequests = append(r.freeClientRequests, c)
	worth := 0.0
	switch {
	case rec.Flag && rec.Span <= c.latencyTarget:
		worth = c.value
		r.report.InTime++
	case rec.Flag:
		worth = c.value * r.scenario.Classes[c.class].LateValueShare
		r.report.Late++
	default:
		r.report.Unserved++
	}
	if rec.Flag {
		r.latencies[c.class].RecordValue(max(1, rec.Span)) // an error would say that a call took longer than a minute
	}
	if c.startedAt < microsPerSecond {
		return
	}
	if !rec.Flag && rec.Span > c.latencyTarget {
		r.lateFail += c.value
	}
	for s := int(c.startedAt / microsPerSecond); s >= len(r.valueOffered); {
		r.valueOffered, r.valueServed = append(r.valueOffered, 0), append(r.valueServed, 0)
	}
	r.valueOffered[c.startedAt/microsPerSecond] += c.value
	r.valueServed[c.startedAt/microsPerSecond] += worth
	r.valueByClass[c.class][0] += c.value
	r.valueByClass[c.class][1] += worth
	if int(c.tenant) < len(r.valueByTenant) && c.withinQuota {
		r.valueByTenant[c.tenant][0] += c.value
		r.valueByTenant[c.tenant][1] += worth
	}
}

// loadQuantiles are the quantiles of the servers' use that a Sample keeps.
var loadQuantiles = []float64{0.05, 0.25, 0.5, 0.75, 0.95, 1}

func (r *Checker) observeLoad(rec *model.Record) {
	band := make([]float64, len(loadQuantiles))
	if n := len(rec.Load); n > 0 {
		for i, q := range loadQuantiles {
			band[i] = math.Round(rec.Load[min(n-1, int(q*float64(n)))]*1000) / 1000
		}
	}
	r.report.LoadBands = append(r.report.LoadBands, band)
}
