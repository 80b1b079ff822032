package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

var effects = map[string]*policy.Semantics{"safe": ref(policy.Safe), "keyed": ref(policy.Keyed), "unsafe": ref(policy.Unsafe)}

var groups = map[string]*policy.Group{"": ref(policy.GroupAll), "all": ref(policy.GroupAll), "zone": ref(policy.GroupZone),
	"cell": ref(policy.GroupCell)}

var reportVias = map[string]policy.ReportVia{"": policy.ReportsInAnswers, "answers": policy.ReportsInAnswers,
	"probe": policy.ReportsByProbe, "none": policy.ReportsNone}

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
	s := policy.Settings{Columns: []policy.Column{policy.ColUtil, policy.ColQPS, policy.ColEPS},
		ReportVia: reportVias[w.Reports.Via], WarmKeys: w.Keys.Count > 0 && w.Keys.Gain > 0, AskDiscovery: true, SizesTold: true, WorthByWork: true,
		OverShareWorth: w.Clients.OverShare, GroupSize: w.Proxies, Ordinal: ordinal, Zone: zone, Zones: w.Zones,
		Round: Time(w.Tick),
		Rules: policy.Rules{AnswerSlack: Time(w.Told.AnswerSlack), AskWithin: Time(w.Told.AskWithin), Cold: Time(w.Told.Cold),
			ColdShare: w.Told.ColdShare, TipMultiple: w.Told.TipMultiple, TipAfter: Time(w.Tip.Over)},
		Limits: policy.Limits{Attempts: w.Told.Attempts, MostHeld: w.Told.MostHeld, Cancel: w.Told.Cancel,
			Probe:        reportVias[w.Reports.Via] == policy.ReportsByProbe,
			SecondCopies: w.Told.Copies, IdleClose: Time(w.Conn.Idle), MaxRetryAfter: Time(w.Clients.MostHeeded)},
		Prices: policy.Prices{CrossZone: w.Prices.Cross},
	}
	for _, c := range w.Classes {
		s.Classes = append(s.Classes, policy.Class{Semantics: *effects[c.Effect], Group: *groups[c.Group], Window: Time(c.Window),
			Aim: Time(c.Aim), Deadline: Time(c.Deadline), Worth: c.Worth})
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
