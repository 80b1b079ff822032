package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"pumiceline/internal/standalone/policy"
)

// settingsSample returns the content of testdata/settings.json: it has every key, none with its zero value.
func settingsSample() Settings {
	s := Settings{
		Classes: []Class{
			{Name: "quick-quote", Semantics: "pure", DedupScope: "all", DedupWindow: 5e6,
				LatencyTarget: 600_000, ClientTimeout: 1.5e6, Value: 3.5},
			{Name: "issue-policy", Semantics: "token", DedupScope: "zone", DedupWindow: 3e6,
				LatencyTarget: 1e6, ClientTimeout: 3e6, Value: 5.5},
			{Name: "amend-cover", Semantics: "side_effect", DedupScope: "cell", DedupWindow: 2e6,
				LatencyTarget: 800_000, ClientTimeout: 2e6, Value: 2.5},
		},
		Tenants:       []Tenant{{Name: "steppe-tours", QuotaPerS: 254.5}, {Name: "khan-air", QuotaPerS: 76.25}},
		DiscoveryMode: "subscribe", GroupSize: 3, Ordinal: 2,
		InstanceTypes: []string{"std-8", "small-6"}, Zone: 1, OverQuotaValue: 0.1, BatchPeriod: 5000,
		SizeReporting: "nominal", ValueBasis: "work", Zones: []string{"ub-east", "ub-west"},
	}
	l, r := &s.Limits, &s.Rules
	l.AllowCancel, l.AllowHedging, l.AllowLoadPolls = true, true, true
	l.DialTimeout, l.ConnIdleTimeout, l.MaxRetryAfter = 250_000, 10e6, 2.5e6
	l.MaxOpenRequests, l.MaxAttempts = 20_000, 3
	s.LoadReports.Columns, s.LoadReports.Delivery = []string{"cpu", "rps", "err_rps", "later"}, "piggyback"
	s.Affinity.KeyAffinity = true
	s.Prices.CrossZone = 0.03
	r.ResponseGrace, r.SubscribeWithin, r.WarmupTime, r.OverloadTime = 20_000, 11e6, 24e6, 1e6
	r.InitialCapacity, r.OverloadFactor = 0.12, 3.5
	return s
}

// Settings that the platform or a user stored for an earlier version are read, every field from its key, and written
// under the same keys.
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
	parsed, err := ParsePolicy(text)
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Settings{
		Classes: []policy.Class{
			{Semantics: policy.Idempotent, DedupScope: policy.DedupEverywhere, DedupWindow: 5e6,
				LatencyTarget: 600_000, ClientTimeout: 1.5e6, Value: 3.5},
			{Semantics: policy.Deduplicated, DedupScope: policy.DedupPerZone, DedupWindow: 3e6,
				LatencyTarget: 1e6, ClientTimeout: 3e6, Value: 5.5},
			{Semantics: policy.NonIdempotent, DedupScope: policy.DedupPerCell, DedupWindow: 2e6,
				LatencyTarget: 800_000, ClientTimeout: 2e6, Value: 2.5},
		},
		Tenants: []policy.Tenant{{QuotaPerS: 254.5}, {QuotaPerS: 76.25}},
		ReportColumns: []policy.ReportColumn{policy.ColumnUtilization, policy.ColumnQPS, policy.ColumnEPS,
			policy.ColumnOther},
		ReportDelivery: policy.ReportsInResponses, SubscribeDiscovery: true, SizesKnown: true, ValuePerWork: true,
		KeyAffinity: true, OverQuotaValue: 0.1,
		GroupSize: 3, Ordinal: 2, Zone: 1, Zones: 2, BatchPeriod: 5000,
		Rules: policy.Rules{ResponseGrace: 20_000, SubscribeWithin: 11e6, WarmupTime: 24e6,
			InitialCapacity: 0.12, OverloadFactor: 3.5, OverloadTime: 1e6},
		Limits: policy.Limits{MaxAttempts: 3, MaxOpenRequests: 20_000, AllowCancel: true, AllowLoadPolls: true,
			AllowHedging: true, ConnIdleTimeout: 10e6, MaxRetryAfter: 2.5e6},
		Prices: policy.Prices{CrossZone: 0.03},
	}
	if !reflect.DeepEqual(parsed, want) {
		t.Errorf("the policy's settings are %+v\nwant %+v", parsed, want)
	}
}
