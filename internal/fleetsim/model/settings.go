package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

var semanticsByName = map[string]*policy.Semantics{"safe": pointerTo(policy.Idempotent), "keyed": pointerTo(policy.Deduplicated), "unsafe": pointerTo(policy.NonIdempotent)}

var dedupScopeByName = map[string]*policy.DedupScope{"": pointerTo(policy.DedupEverywhere), "all": pointerTo(policy.DedupEverywhere), "zone": pointerTo(policy.DedupPerZone),
	"cell": pointerTo(policy.DedupPerCell)}

var reportDeliveryByName = map[string]policy.ReportDelivery{"": policy.ReportsInResponses, "answers": policy.ReportsInResponses,
	"probe": policy.ReportsByPolling, "none": policy.ReportsNone}

func pointerTo[T any](v T) *T { return &v }

// meanWork is the mean work of a request, in microseconds on a standard core.
func (w *Scenario) meanWork() float64 {
	sum, share := 0.0, 0.0
	for _, c := range w.Classes {
		sum, share = sum+c.Share*float64(c.Work), share+c.Share
	}
	return sum / math.Max(share, 1e-9)
}

// Settings is what the decider of one proxy is told. quota is what the fleet can do, in requests a second.
func (w *Scenario) settings(ordinal, zone int, quota float64) policy.Settings {
	s := policy.Settings{ReportColumns: []policy.ReportColumn{policy.ColumnUtilization, policy.ColumnQPS, policy.ColumnEPS},
		ReportDelivery: reportDeliveryByName[w.Reports.Delivery], KeyAffinity: w.Keys.Count > 0 && w.Keys.HitSavings > 0, SubscribeDiscovery: true, SizesKnown: true, ValuePerWork: true,
		OverQuotaValue: w.Clients.OverQuotaValue, GroupSize: w.Proxies, Ordinal: ordinal, Zone: zone, Zones: w.Zones,
		BatchPeriod: Time(w.Tick),
		Rules: policy.Rules{ResponseGrace: Time(w.Published.ResponseGrace), SubscribeWithin: Time(w.Published.SubscribeWithin), WarmupTime: Time(w.Published.WarmupTime),
			InitialCapacity: w.Published.InitialCapacity, OverloadFactor: w.Published.OverloadFactor, OverloadTime: Time(w.Overload.Window)},
		Limits: policy.Limits{MaxAttempts: w.Published.MaxAttempts, MaxOpenRequests: w.Published.MaxOpenRequests, AllowCancel: w.Published.AllowCancel,
			AllowLoadPolls: reportDeliveryByName[w.Reports.Delivery] == policy.ReportsByPolling,
			AllowHedging:   w.Published.AllowHedging, ConnIdleTimeout: Time(w.Connections.IdleTimeout), MaxRetryAfter: Time(w.Clients.MaxRetryAfter)},
		Prices: policy.Prices{CrossZone: w.Prices.CrossZone},
	}
	for _, c := range w.Classes {
		s.Classes = append(s.Classes, policy.Class{Semantics: *semanticsByName[c.Semantics], DedupScope: *dedupScopeByName[c.DedupScope], DedupWindow: Time(c.DedupWindow),
			LatencyTarget: Time(c.LatencyTarget), ClientTimeout: Time(c.Deadline), Value: c.Value})
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerS: t.QuotaShare * quota * quotaOfCapacity})
	}
	return s
}

// quotaOfCapacity is how much of the fleet's capacity is sold as tenants' shares.
const quotaOfCapacity = 0.8

// PolicyClasses are the classes as deciders are told of them.
func (w *Scenario) PolicyClasses() []policy.Class { return w.settings(0, 0, 0).Classes }
