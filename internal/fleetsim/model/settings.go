package model

import "pumiceline/internal/standalone/policy"

// The names of settings in scenario files. An empty name selects the default.
var (
	semanticsByName = map[string]policy.Semantics{
		"safe":   policy.Idempotent,
		"keyed":  policy.Deduplicated,
		"unsafe": policy.NonIdempotent,
	}
	dedupScopeByName = map[string]policy.DedupScope{
		"":     policy.DedupEverywhere,
		"all":  policy.DedupEverywhere,
		"zone": policy.DedupPerZone,
		"cell": policy.DedupPerCell,
	}
	reportDeliveryByName = map[string]policy.ReportDelivery{
		"":        policy.ReportsInResponses,
		"answers": policy.ReportsInResponses,
		"probe":   policy.ReportsByPolling,
		"none":    policy.ReportsNone,
	}
)

// semantics returns how a request that may have been executed can be repeated.
func (c *Class) semantics() policy.Semantics { return semanticsByName[c.Semantics] }

// dedupScope returns which servers deduplicate a repeat, for a deduplicated class.
func (c *Class) dedupScope() policy.DedupScope { return dedupScopeByName[c.DedupScope] }

// delivery returns how policies get load reports.
func (r *Reports) delivery() policy.ReportDelivery { return reportDeliveryByName[r.Delivery] }

// QuotaOfCapacity is the share of the fleet's capacity that is sold as tenants' quotas.
const QuotaOfCapacity = 0.8

// policySettings returns the settings for the policy of one proxy. capacity is that of the warm fleet, in requests per
// second.
func (sc *Scenario) policySettings(ordinal, zone int, capacity float64) policy.Settings {
	published := &sc.Published
	settings := policy.Settings{
		ReportColumns:  []policy.ReportColumn{policy.ColumnUtilization, policy.ColumnQPS, policy.ColumnEPS},
		ReportDelivery: sc.Reports.delivery(), KeyAffinity: sc.Keys.Count > 0 && sc.Keys.HitSavings > 0,
		SubscribeDiscovery: true, SizesKnown: true, ValuePerWork: true, OverQuotaValue: sc.Clients.OverQuotaValue,
		GroupSize: sc.Proxies, Ordinal: ordinal, Zone: zone, Zones: sc.Zones, BatchPeriod: Time(sc.Tick),
		Rules: policy.Rules{ResponseGrace: Time(published.ResponseGrace), SubscribeWithin: Time(published.SubscribeWithin),
			WarmupTime: Time(published.WarmupTime), InitialCapacity: published.InitialCapacity,
			OverloadFactor: published.OverloadFactor, OverloadTime: Time(sc.Overload.Window)},
		Limits: policy.Limits{MaxAttempts: published.MaxAttempts, MaxOpenRequests: published.MaxOpenRequests,
			AllowCancel: published.AllowCancel, AllowLoadPolls: sc.Reports.delivery() == policy.ReportsByPolling,
			AllowHedging: published.AllowHedging, ConnIdleTimeout: Time(sc.Connections.IdleTimeout),
			MaxRetryAfter: Time(sc.Clients.MaxRetryAfter)},
		Prices:  policy.Prices{CrossZone: sc.Prices.CrossZone},
		Classes: sc.PolicyClasses(),
	}
	for _, t := range sc.Tenants {
		settings.Tenants = append(settings.Tenants, policy.Tenant{QuotaPerS: t.QuotaShare * capacity * QuotaOfCapacity})
	}
	return settings
}

// PolicyClasses returns the classes in the form that policies are given.
func (sc *Scenario) PolicyClasses() []policy.Class {
	var classes []policy.Class
	for i := range sc.Classes {
		c := &sc.Classes[i]
		classes = append(classes, policy.Class{Semantics: c.semantics(), DedupScope: c.dedupScope(),
			DedupWindow: Time(c.DedupWindow), LatencyTarget: Time(c.LatencyTarget), ClientTimeout: Time(c.Deadline),
			Value: c.Value})
	}
	return classes
}
