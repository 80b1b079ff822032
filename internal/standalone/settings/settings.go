// Package settings holds the one JSON form of a deployment's settings. The bench's adapter and the proxy both
// read it from here, so they cannot come to differ in what they understand by a key.
package settings

import (
	"encoding/json"
	"fmt"
	"math"

	"pumiceline/internal/standalone/policy"
)

// Settings is the settings object as it is written: its names, and times in microseconds. Unknown keys are
// ignored, absent ones stay zero. The keys are the platform's and stay as they are, whatever the fields are named.
type Settings struct {
	Classes       []Class  `json:"Classes"`
	Tenants       []Tenant `json:"Projects"`
	DiscoveryMode string   `json:"RegistryMode"`
	GroupSize     int      `json:"GroupSize"`
	Ordinal       int      `json:"Ordinal"`
	Limits        struct {
		Cancelling    bool    `json:"Cancelling"`
		DialTimeout   float64 `json:"DialTimeout"`
		IdleClose     float64 `json:"IdleClose"`
		MaxRetryAfter float64 `json:"MaxRetryAfter"`
		MayDuplicate  bool    `json:"MayDuplicate"`
		MayProbe      bool    `json:"MayProbe"`
		MostHeld      int     `json:"MostHeld"`
		TryLimit      int     `json:"TryLimit"`
	} `json:"Limits"`
	LoadReports struct {
		Columns []string `json:"Columns"`
		How     string   `json:"How"`
	} `json:"LoadInfo"`
	Affinity struct {
		WarmKeys bool `json:"WarmKeys"`
	} `json:"FamilyInfo"`
	InstanceTypes  []string `json:"Flavors"`
	Zone           int      `json:"Locality"`
	OverQuotaValue float64  `json:"OverShareWorth"`
	Prices         struct {
		CrossZone float64 `json:"CrossZone"`
	} `json:"Prices"`
	BatchPeriod float64 `json:"Round"`
	Rules       struct {
		AnswerSlack float64 `json:"AnswerSlack"`
		AskWithin   float64 `json:"AskWithin"`
		Cold        float64 `json:"Cold"`
		TipAfter    float64 `json:"TipAfter"`
		ColdShare   float64 `json:"ColdShare"`
		TipMultiple float64 `json:"TipMultiple"`
	} `json:"Rules"`
	SizeReporting string   `json:"Weights"`
	ValueBasis    string   `json:"WorthBy"`
	Zones         []string `json:"Zones"`
}

// Class is a request class.
type Class struct {
	Name          string  `json:"Name"`
	Semantics     string  `json:"Semantics"`
	DedupScope    string  `json:"Group"`
	DedupWindow   float64 `json:"Window"`
	LatencyTarget float64 `json:"OnTime"`
	ClientTimeout float64 `json:"HardLimit"`
	Value         float64 `json:"Worth"`
}

// Tenant is a tenant.
type Tenant struct {
	Name      string  `json:"Name"`
	QuotaPerS float64 `json:"QuotaPerS"`
}

// Micros turns a time as written into the module's unit, within what the module can add up.
func Micros(v float64) policy.Time { return policy.Time(math.Max(-1, math.Min(v, 1e15))) }

// Policy reads the JSON text of the settings straight into the module's form.
func ParsePolicy(text []byte) (policy.Settings, error) {
	var s Settings
	if err := json.Unmarshal(text, &s); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s.Policy()
}

// Policy returns the settings in the module's form. Package decide judges whether it can act on the result.
func (t *Settings) Policy() (policy.Settings, error) {
	s := policy.Settings{
		SubscribeDiscovery: t.DiscoveryMode == "subscribe", SizesKnown: t.SizeReporting != "silent" && t.SizeReporting != "",
		ValuePerWork: t.ValueBasis == "work", KeyAffinity: t.Affinity.WarmKeys, OverQuotaValue: t.OverQuotaValue,
		GroupSize: t.GroupSize, Ordinal: t.Ordinal, Zone: t.Zone, Zones: len(t.Zones),
		BatchPeriod: Micros(t.BatchPeriod),
		Rules: policy.Rules{ResponseGrace: Micros(t.Rules.AnswerSlack), SubscribeWithin: Micros(t.Rules.AskWithin),
			WarmupTime: Micros(t.Rules.Cold), InitialCapacity: t.Rules.ColdShare,
			OverloadFactor: t.Rules.TipMultiple, OverloadTime: Micros(t.Rules.TipAfter)},
		Limits: policy.Limits{MaxAttempts: t.Limits.TryLimit, MaxOpenRequests: t.Limits.MostHeld,
			AllowCancel: t.Limits.Cancelling, AllowLoadPolls: t.Limits.MayProbe, AllowHedging: t.Limits.MayDuplicate,
			ConnIdleTimeout: Micros(t.Limits.IdleClose), MaxRetryAfter: Micros(t.Limits.MaxRetryAfter)},
		Prices: policy.Prices{CrossZone: t.Prices.CrossZone},
	}
	switch t.LoadReports.How {
	case "piggyback":
		s.ReportDelivery = policy.ReportsInResponses
	case "pull":
		s.ReportDelivery = policy.ReportsByPolling
	}
	for _, c := range t.LoadReports.Columns {
		col := policy.ColumnOther
		switch c {
		case "rps":
			col = policy.ColumnQPS
		case "cpu":
			col = policy.ColumnUtilization
		case "err_rps":
			col = policy.ColumnEPS
		}
		s.ReportColumns = append(s.ReportColumns, col)
	}
	for _, p := range t.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerS: p.QuotaPerS})
	}
	for i, c := range t.Classes {
		k := policy.Class{DedupWindow: Micros(c.DedupWindow), LatencyTarget: Micros(c.LatencyTarget), ClientTimeout: Micros(c.ClientTimeout),
			Value: c.Value}
		switch c.Semantics {
		case "pure":
			k.Semantics = policy.Idempotent
		case "token":
			k.Semantics = policy.Deduplicated
		case "side_effect":
			k.Semantics = policy.NonIdempotent
		default:
			return s, fmt.Errorf("settings: class %d has unknown semantics %q", i, c.Semantics)
		}
		switch c.DedupScope {
		case "all", "":
			k.DedupScope = policy.DedupEverywhere
		case "zone":
			k.DedupScope = policy.DedupPerZone
		case "cell":
			k.DedupScope = policy.DedupPerCell
		default:
			return s, fmt.Errorf("settings: class %d has unknown group %q", i, c.DedupScope)
		}
		s.Classes = append(s.Classes, k)
	}
	return s, nil
}
