// Package settings holds the JSON form of a deployment's settings, and converts it into the settings of package policy.
// Both the proxy and package simlink, the adapter for the simulator, use it, so that each key has the same meaning in
// both.
package settings

import (
	"encoding/json"
	"fmt"

	"pumiceline/internal/standalone/policy"
)

// Settings is the JSON form of the settings. Times are in microseconds. Unknown keys are ignored, absent ones are zero.
// The platform defines the JSON keys: they must not change when a field is renamed.
type Settings struct {
	Classes        []Class     `json:"Classes"`
	Tenants        []Tenant    `json:"Projects"`
	DiscoveryMode  string      `json:"RegistryMode"` // "subscribe": discovery sends the membership to subscribers only
	GroupSize      int         `json:"GroupSize"`    // balancers in the group
	Ordinal        int         `json:"Ordinal"`      // of this balancer, from 0
	Limits         Limits      `json:"Limits"`
	LoadReports    LoadReports `json:"LoadInfo"`
	Affinity       Affinity    `json:"FamilyInfo"`
	InstanceTypes  []string    `json:"Flavors"`
	Zone           int         `json:"Locality"`       // index into Zones
	OverQuotaValue float64     `json:"OverShareWorth"` // factor on the value of requests beyond a tenant's quota
	Prices         Prices      `json:"Prices"`
	BatchPeriod    float64     `json:"Round"` // events closer together than this may be delivered in one batch
	Rules          Rules       `json:"Rules"`
	SizeReporting  string      `json:"Weights"` // "silent" or empty: listed sizes are not comparable between servers
	ValueBasis     string      `json:"WorthBy"` // "work": values of classes are per unit of work
	Zones          []string    `json:"Zones"`
}

// Class is a request class.
type Class struct {
	Name          string  `json:"Name"`
	Semantics     string  `json:"Semantics"` // "pure", "token" or "side_effect"
	DedupScope    string  `json:"Group"`     // "all" (also if empty), "zone" or "cell"
	DedupWindow   float64 `json:"Window"`
	LatencyTarget float64 `json:"OnTime"`
	ClientTimeout float64 `json:"HardLimit"`
	Value         float64 `json:"Worth"`
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name      string  `json:"Name"`
	QuotaPerS float64 `json:"QuotaPerS"` // requests per second
}

// Limits holds the limits and permissions of the deployment.
type Limits struct {
	AllowCancel     bool    `json:"Cancelling"`
	DialTimeout     float64 `json:"DialTimeout"`
	ConnIdleTimeout float64 `json:"IdleClose"`
	MaxRetryAfter   float64 `json:"MaxRetryAfter"`
	AllowHedging    bool    `json:"MayDuplicate"`
	AllowLoadPolls  bool    `json:"MayProbe"`
	MaxOpenRequests int     `json:"MostHeld"`
	MaxAttempts     int     `json:"TryLimit"`
}

// LoadReports describes which load figures servers report, and how.
type LoadReports struct {
	Columns  []string `json:"Columns"` // "rps", "cpu" and "err_rps" are used
	Delivery string   `json:"How"`     // "piggyback": in responses; "pull": by polling; else not at all
}

// Affinity holds the settings for affinity keys.
type Affinity struct {
	KeyAffinity bool `json:"WarmKeys"` // a server that executed a request of the same key recently needs less work
}

// Prices are what the deployment charges for choices of a balancer, as fractions of the value of all requests.
type Prices struct {
	CrossZone float64 `json:"CrossZone"`
}

// Rules are the service rules of the deployment, see policy.Rules.
type Rules struct {
	ResponseGrace   float64 `json:"AnswerSlack"`
	SubscribeWithin float64 `json:"AskWithin"`
	WarmupTime      float64 `json:"Cold"`
	OverloadTime    float64 `json:"TipAfter"`
	InitialCapacity float64 `json:"ColdShare"`
	OverloadFactor  float64 `json:"TipMultiple"`
}

// maxMicros is the longest duration that can be added to any time without overflow.
const maxMicros = 1e15

// Micros converts a time of the JSON form, in microseconds, into a policy.Time of at most maxMicros. Negative times
// become -1, which policy.New rejects.
func Micros(v float64) policy.Time { return policy.Time(max(-1, min(v, maxMicros))) }

// ParsePolicy converts the JSON text of the settings into the settings of package policy. policy.New validates them.
func ParsePolicy(text []byte) (policy.Settings, error) {
	var s Settings
	if err := json.Unmarshal(text, &s); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s.Policy()
}

// Policy returns the settings of package policy. policy.New validates them; an error of Policy names a string value
// that its key does not allow.
func (s *Settings) Policy() (policy.Settings, error) {
	out := policy.Settings{
		ReportColumns:      s.LoadReports.policyColumns(),
		ReportDelivery:     s.LoadReports.policyDelivery(),
		SubscribeDiscovery: s.DiscoveryMode == "subscribe",
		SizesKnown:         s.SizeReporting != "silent" && s.SizeReporting != "",
		ValuePerWork:       s.ValueBasis == "work",
		KeyAffinity:        s.Affinity.KeyAffinity,
		OverQuotaValue:     s.OverQuotaValue,
		GroupSize:          s.GroupSize,
		Ordinal:            s.Ordinal,
		Zone:               s.Zone,
		Zones:              len(s.Zones),
		BatchPeriod:        Micros(s.BatchPeriod),
		Rules:              s.Rules.policy(),
		Limits:             s.Limits.policy(),
		Prices:             policy.Prices{CrossZone: s.Prices.CrossZone},
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, policy.Tenant{QuotaPerS: t.QuotaPerS})
	}
	for i := range s.Classes {
		class, err := s.Classes[i].policy()
		if err != nil {
			return out, fmt.Errorf("settings: class %d: %w", i, err)
		}
		out.Classes = append(out.Classes, class)
	}
	return out, nil
}

func (r *Rules) policy() policy.Rules {
	return policy.Rules{ResponseGrace: Micros(r.ResponseGrace), SubscribeWithin: Micros(r.SubscribeWithin),
		WarmupTime: Micros(r.WarmupTime), InitialCapacity: r.InitialCapacity, OverloadFactor: r.OverloadFactor,
		OverloadTime: Micros(r.OverloadTime)}
}

func (l *Limits) policy() policy.Limits {
	return policy.Limits{MaxAttempts: l.MaxAttempts, MaxOpenRequests: l.MaxOpenRequests, AllowCancel: l.AllowCancel,
		AllowLoadPolls: l.AllowLoadPolls, AllowHedging: l.AllowHedging, ConnIdleTimeout: Micros(l.ConnIdleTimeout),
		MaxRetryAfter: Micros(l.MaxRetryAfter)}
}

func (r *LoadReports) policyDelivery() policy.ReportDelivery {
	switch r.Delivery {
	case "piggyback":
		return policy.ReportsInResponses
	case "pull":
		return policy.ReportsByPolling
	}
	return policy.ReportsNone
}

func (r *LoadReports) policyColumns() (columns []policy.ReportColumn) {
	for _, name := range r.Columns {
		column := policy.ColumnOther
		switch name {
		case "rps":
			column = policy.ColumnQPS
		case "cpu":
			column = policy.ColumnUtilization
		case "err_rps":
			column = policy.ColumnEPS
		}
		columns = append(columns, column)
	}
	return columns
}

func (c *Class) policy() (policy.Class, error) {
	out := policy.Class{DedupWindow: Micros(c.DedupWindow), LatencyTarget: Micros(c.LatencyTarget),
		ClientTimeout: Micros(c.ClientTimeout), Value: c.Value}
	switch c.Semantics {
	case "pure":
		out.Semantics = policy.Idempotent
	case "token":
		out.Semantics = policy.Deduplicated
	case "side_effect":
		out.Semantics = policy.NonIdempotent
	default:
		return out, fmt.Errorf("unknown semantics %q", c.Semantics)
	}
	switch c.DedupScope {
	case "all", "":
		out.DedupScope = policy.DedupEverywhere
	case "zone":
		out.DedupScope = policy.DedupPerZone
	case "cell":
		out.DedupScope = policy.DedupPerCell
	default:
		return out, fmt.Errorf("unknown group %q", c.DedupScope)
	}
	return out, nil
}
