package settings

import (
	"testing"

	"pumiceline/internal/standalone/policy"
)

func TestParsePolicy(t *testing.T) {
	s, err := ParsePolicy([]byte(`{"Classes": [{"Semantics": "token", "Group": "cell", "Window": 2000000,
		"OnTime": 500000, "HardLimit": 2000000, "Worth": 8, "LateWorth": 0.25}], "New": {"Key": [1]},
		"LoadInfo": {"Columns": ["cpu", "later", "rps", "err_rps"], "How": "pull"}, "RegistryMode": "subscribe",
		"Projects": [{"QuotaPerS": 12.5}], "Weights": "rough", "FamilyInfo": {"WarmKeys": true},
		"Zones": ["a", "b"], "Locality": 1}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if c.Semantics != policy.Deduplicated || c.DedupScope != policy.DedupPerCell || c.DedupWindow != 2e6 ||
		c.LatencyTarget != 5e5 || s.ReportDelivery != policy.ReportsByPolling || !s.SubscribeDiscovery || !s.SizesKnown ||
		!s.KeyAffinity || s.Zones != 2 || s.Zone != 1 || s.Tenants[0].QuotaPerS != 12.5 ||
		s.ReportColumns[1] != policy.ColumnOther || s.ReportColumns[2] != policy.ColumnQPS {
		t.Errorf("settings read as %+v", s)
	}
	if s, err = ParsePolicy([]byte(`{}`)); err != nil || s.SubscribeDiscovery || s.SizesKnown || s.KeyAffinity {
		t.Errorf("empty settings: %+v, %v", s, err)
	}
	for _, bad := range []string{`{"Classes": [{"Semantics": "odd"}]}`, `[]`, `{"GroupSize": "x"}`,
		`{"Classes": [{"Semantics": "pure", "Group": "odd"}]}`} {
		if _, err := ParsePolicy([]byte(bad)); err == nil {
			t.Errorf("%s: no error", bad)
		}
	}
}
