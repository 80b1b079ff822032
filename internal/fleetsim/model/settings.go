package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

var effects = map[string]*policy.Semantics{"safe": ref(policy.Idempotent), "keyed": ref(policy.Deduplicated), "unsafe": ref(policy.NonIdempotent)}

var groups = map[string]*policy.DedupScope{"": ref(policy.DedupEverywhere), "all": ref(policy.DedupEverywhere), "zone": ref(policy.DedupPerZone),
	"cell": ref(policy.DedupPerCell)}

var reportVias = map[string]policy.ReportDelivery{"": policy.ReportsInResponses, "answers": policy.ReportsInResponses,
	"probe": policy.ReportsByPolling, "none": policy.ReportsNone}

func ref[T any](v T) *T { return &v }

// meanWork is the mean work of a request, in microseconds on a standard core.
func (w *World) meanWork() float64 {
	sum, share := 0.0, 0.0
	for _, c := range w.Classes {
		sum, share = sum+c.Share*float64(c.Work), share+c.Share
	}
	return sum / math.Max(share, 1e-9)
}

// Settings is what the decider of one proxy is told. quota is what the fleet can do, in requests a second.
func (w *World) settings(ordinal, zone int, quota float64) policy.Settings {
	s := policy.Settings{ReportColumns: []policy.ReportColumn{policy.ColumnUtilization, policy.ColumnQPS, policy.ColumnEPS},
		ReportDelivery: reportVias[w.Reports.Via], KeyAffinity: w.Keys.Count > 0 && w.Keys.Gain > 0, SubscribeDiscovery: true, SizesKnown: true, ValuePerWork: true,
		OverQuotaValue: w.Clients.OverShare, GroupSize: w.Proxies, Ordinal: ordinal, Zone: zone, Zones: w.Zones,
		BatchPeriod: Time(w.Tick),
		Rules: policy.Rules{ResponseGrace: Time(w.Told.AnswerSlack), SubscribeWithin: Time(w.Told.AskWithin), WarmupTime: Time(w.Told.Cold),
			InitialCapacity: w.Told.ColdShare, OverloadFactor: w.Told.TipMultiple, OverloadTime: Time(w.Tip.Over)},
		Limits: policy.Limits{MaxAttempts: w.Told.Attempts, MaxOpenRequests: w.Told.MostHeld, AllowCancel: w.Told.Cancel,
			AllowLoadPolls: reportVias[w.Reports.Via] == policy.ReportsByPolling,
			AllowHedging:   w.Told.Copies, ConnIdleTimeout: Time(w.Conn.Idle), MaxRetryAfter: Time(w.Clients.MostHeeded)},
		Prices: policy.Prices{CrossZone: w.Prices.Cross},
	}
	for _, c := range w.Classes {
		s.Classes = append(s.Classes, policy.Class{Semantics: *effects[c.Effect], DedupScope: *groups[c.Group], DedupWindow: Time(c.Window),
			LatencyTarget: Time(c.Aim), ClientTimeout: Time(c.Deadline), Value: c.Worth})
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerS: t.Share * quota * quotaOfCapacity})
	}
	return s
}

// quotaOfCapacity is how much of the fleet's capacity is sold as tenants' shares.
const quotaOfCapacity = 0.8

// DecideClasses are the classes as deciders are told of them.
func (w *World) DecideClasses() []policy.Class { return w.settings(0, 0, 0).Classes }
