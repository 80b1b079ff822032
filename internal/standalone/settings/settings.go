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
	Classes      []Class   `json:"Classes"`
	Projects     []Project `json:"Projects"`
	RegistryMode string    `json:"RegistryMode"`
	GroupSize    int       `json:"GroupSize"`
	Ordinal      int       `json:"Ordinal"`
	Limits       struct {
		Cancelling    bool    `json:"Cancelling"`
		DialTimeout   float64 `json:"DialTimeout"`
		IdleClose     float64 `json:"IdleClose"`
		MaxRetryAfter float64 `json:"MaxRetryAfter"`
		MayDuplicate  bool    `json:"MayDuplicate"`
		MayProbe      bool    `json:"MayProbe"`
		MostHeld      int     `json:"MostHeld"`
		TryLimit      int     `json:"TryLimit"`
	} `json:"Limits"`
	LoadInfo struct {
		Columns []string `json:"Columns"`
		How     string   `json:"How"`
	} `json:"LoadInfo"`
	FamilyInfo struct {
		WarmKeys bool `json:"WarmKeys"`
	} `json:"FamilyInfo"`
	Flavors        []string `json:"Flavors"`
	Locality       int      `json:"Locality"`
	OverShareWorth float64  `json:"OverShareWorth"`
	Prices         struct {
		CrossZone float64 `json:"CrossZone"`
	} `json:"Prices"`
	Round float64 `json:"Round"`
	Rules struct {
		AnswerSlack float64 `json:"AnswerSlack"`
		AskWithin   float64 `json:"AskWithin"`
		Cold        float64 `json:"Cold"`
		TipAfter    float64 `json:"TipAfter"`
		ColdShare   float64 `json:"ColdShare"`
		TipMultiple float64 `json:"TipMultiple"`
	} `json:"Rules"`
	Weights string   `json:"Weights"`
	WorthBy string   `json:"WorthBy"`
	Zones   []string `json:"Zones"`
}

// Class is a request class.
type Class struct {
	Name      string  `json:"Name"`
	Semantics string  `json:"Semantics"`
	Group     string  `json:"Group"`
	Window    float64 `json:"Window"`
	OnTime    float64 `json:"OnTime"`
	HardLimit float64 `json:"HardLimit"`
	Worth     float64 `json:"Worth"`
}

// Project is a tenant.
type Project struct {
	Name      string  `json:"Name"`
	QuotaPerS float64 `json:"QuotaPerS"`
}

// Micros turns a time as written into the module's unit, within what the module can add up.
func Micros(v float64) policy.Time { return policy.Time(math.Max(-1, math.Min(v, 1e15))) }

// Module reads the JSON text of the settings straight into the module's form.
func Module(text []byte) (policy.Settings, error) {
	var s Settings
	if err := json.Unmarshal(text, &s); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s.Module()
}

// Module returns the settings in the module's form. Package decide judges whether it can act on the result.
func (t *Settings) Module() (policy.Settings, error) {
	s := policy.Settings{
		AskDiscovery: t.RegistryMode == "subscribe", SizesTold: t.Weights != "silent" && t.Weights != "",
		WorthByWork: t.WorthBy == "work", WarmKeys: t.FamilyInfo.WarmKeys, OverShareWorth: t.OverShareWorth,
		GroupSize: t.GroupSize, Ordinal: t.Ordinal, Zone: t.Locality, Zones: len(t.Zones),
		Round: Micros(t.Round),
		Rules: policy.Rules{AnswerSlack: Micros(t.Rules.AnswerSlack), AskWithin: Micros(t.Rules.AskWithin),
			Cold: Micros(t.Rules.Cold), ColdShare: t.Rules.ColdShare,
			TipMultiple: t.Rules.TipMultiple, TipAfter: Micros(t.Rules.TipAfter)},
		Limits: policy.Limits{Attempts: t.Limits.TryLimit, MostHeld: t.Limits.MostHeld,
			Cancel: t.Limits.Cancelling, Probe: t.Limits.MayProbe, SecondCopies: t.Limits.MayDuplicate,
			IdleClose: Micros(t.Limits.IdleClose), MaxRetryAfter: Micros(t.Limits.MaxRetryAfter)},
		Prices: policy.Prices{CrossZone: t.Prices.CrossZone},
	}
	switch t.LoadInfo.How {
	case "piggyback":
		s.ReportVia = policy.ReportsInAnswers
	case "pull":
		s.ReportVia = policy.ReportsByProbe
	}
	for _, c := range t.LoadInfo.Columns {
		col := policy.ColOther
		switch c {
		case "rps":
			col = policy.ColQPS
		case "cpu":
			col = policy.ColUtil
		case "err_rps":
			col = policy.ColEPS
		}
		s.Columns = append(s.Columns, col)
	}
	for _, p := range t.Projects {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerS: p.QuotaPerS})
	}
	for i, c := range t.Classes {
		k := policy.Class{Window: Micros(c.Window), Aim: Micros(c.OnTime), Deadline: Micros(c.HardLimit),
			Worth: c.Worth}
		switch c.Semantics {
		case "pure":
			k.Semantics = policy.Safe
		case "token":
			k.Semantics = policy.Keyed
		case "side_effect":
			k.Semantics = policy.Unsafe
		default:
			return s, fmt.Errorf("settings: class %d has unknown semantics %q", i, c.Semantics)
		}
		switch c.Group {
		case "all", "":
			k.Group = policy.GroupAll
		case "zone":
			k.Group = policy.GroupZone
		case "cell":
			k.Group = policy.GroupCell
		default:
			return s, fmt.Errorf("settings: class %d has unknown group %q", i, c.Group)
		}
		s.Classes = append(s.Classes, k)
	}
	return s, nil
}
