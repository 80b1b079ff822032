package settings

import (
	"testing"

	"pumiceline/internal/standalone/policy"
)

func TestSettings(t *testing.T) {
	s, err := Module([]byte(`{"Classes": [{"Semantics": "token", "Group": "cell", "Window": 2000000,
		"OnTime": 500000, "HardLimit": 2000000, "Worth": 8, "LateWorth": 0.25}], "New": {"Key": [1]},
		"LoadInfo": {"Columns": ["cpu", "later", "rps", "err_rps"], "How": "pull"}, "RegistryMode": "subscribe",
		"Projects": [{"QuotaPerS": 12.5}], "Weights": "rough", "FamilyInfo": {"WarmKeys": true}, "Zones": ["a", "b"], "Locality": 1}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if c.Semantics != policy.Keyed || c.Group != policy.GroupCell || c.Window != 2e6 || c.Aim != 5e5 ||
		s.ReportVia != policy.ReportsByProbe || !s.AskDiscovery || !s.SizesTold || !s.WarmKeys || s.Zones != 2 || s.Zone != 1 ||
		s.Tenants[0].QuotaPerS != 12.5 || s.Columns[1] != policy.ColOther || s.Columns[2] != policy.ColQPS {
		t.Errorf("settings read as %+v", s)
	}
	if s, err = Module([]byte(`{}`)); err != nil || s.AskDiscovery || s.SizesTold || s.WarmKeys {
		t.Errorf("empty settings: %+v, %v", s, err)
	}
	for _, bad := range []string{`{"Classes": [{"Semantics": "odd"}]}`, `[]`, `{"GroupSize": "x"}`,
		`{"Classes": [{"Semantics": "pure", "Group": "odd"}]}`} {
		if _, err := Module([]byte(bad)); err == nil {
			t.Errorf("%s: no error", bad)
		}
	}
}
