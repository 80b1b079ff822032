package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"pumiceline/internal/standalone/policy"
)

// settingsSample is the content of testdata/settings.json: every key, none with its zero value.
func settingsSample() Settings {
	s := Settings{
		Classes: []Class{
			{Name: "quick-quote", Semantics: "pure", Group: "all", Window: 5e6, OnTime: 600_000, HardLimit: 1.5e6, Worth: 3.5},
			{Name: "issue-policy", Semantics: "token", Group: "zone", Window: 3e6, OnTime: 1e6, HardLimit: 3e6, Worth: 5.5},
			{Name: "amend-cover", Semantics: "side_effect", Group: "cell", Window: 2e6, OnTime: 800_000, HardLimit: 2e6, Worth: 2.5},
		},
		Projects:     []Project{{Name: "steppe-tours", QuotaPerS: 254.5}, {Name: "khan-air", QuotaPerS: 76.25}},
		RegistryMode: "subscribe", GroupSize: 3, Ordinal: 2,
		Flavors: []string{"std-8", "small-6"}, Locality: 1, OverShareWorth: 0.1, Round: 5000,
		Weights: "nominal", WorthBy: "work", Zones: []string{"ub-east", "ub-west"},
	}
	l, r := &s.Limits, &s.Rules
	l.Cancelling, l.MayDuplicate, l.MayProbe = true, true, true
	l.DialTimeout, l.IdleClose, l.MaxRetryAfter = 250_000, 10e6, 2.5e6
	l.MostHeld, l.TryLimit = 20_000, 3
	s.LoadInfo.Columns, s.LoadInfo.How = []string{"cpu", "rps", "err_rps", "later"}, "piggyback"
	s.FamilyInfo.WarmKeys = true
	s.Prices.CrossZone = 0.03
	r.AnswerSlack, r.AskWithin, r.Cold, r.TipAfter = 20_000, 11e6, 24e6, 1e6
	r.ColdShare, r.TipMultiple = 0.12, 3.5
	return s
}

// The settings that the platform or a user stored for an earlier version are read, every field from its key, and written under the same keys.
func TestReadsSettingsStoredByEarlierVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var got Settings
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if want := settingsSample(); !reflect.DeepEqual(got, want) {
		t.Errorf("read  %+v\nwant %+v", got, want)
	}
	if written, err := json.Marshal(got); err != nil || !bytes.Equal(written, bytes.TrimSpace(text)) {
		t.Errorf("%v: written %s\nwant %s", err, written, text)
	}
	module, err := Module(text)
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Settings{
		Classes: []policy.Class{
			{Semantics: policy.Safe, Group: policy.GroupAll, Window: 5e6, Aim: 600_000, Deadline: 1.5e6, Worth: 3.5},
			{Semantics: policy.Keyed, Group: policy.GroupZone, Window: 3e6, Aim: 1e6, Deadline: 3e6, Worth: 5.5},
			{Semantics: policy.Unsafe, Group: policy.GroupCell, Window: 2e6, Aim: 800_000, Deadline: 2e6, Worth: 2.5},
		},
		Tenants:   []policy.Tenant{{QuotaPerS: 254.5}, {QuotaPerS: 76.25}},
		Columns:   []policy.Column{policy.ColUtil, policy.ColQPS, policy.ColEPS, policy.ColOther},
		ReportVia: policy.ReportsInAnswers, AskDiscovery: true, SizesTold: true, WorthByWork: true, WarmKeys: true, OverShareWorth: 0.1,
		GroupSize: 3, Ordinal: 2, Zone: 1, Zones: 2, Round: 5000,
		Rules:  policy.Rules{AnswerSlack: 20_000, AskWithin: 11e6, Cold: 24e6, ColdShare: 0.12, TipMultiple: 3.5, TipAfter: 1e6},
		Limits: policy.Limits{Attempts: 3, MostHeld: 20_000, Cancel: true, Probe: true, SecondCopies: true, IdleClose: 10e6, MaxRetryAfter: 2.5e6},
		Prices: policy.Prices{CrossZone: 0.03},
	}
	if !reflect.DeepEqual(module, want) {
		t.Errorf("the module's settings are %+v\nwant %+v", module, want)
	}
}
