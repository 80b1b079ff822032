package deployfile

import (
	"reflect"
	"testing"

	"pumiceline/internal/singleton"
	"pumiceline/internal/standalone/admission"
	"pumiceline/internal/standalone/settings"
)

// A fleet file that operators wrote for an earlier version is still read, with every key.
func TestReadsFleetStoredByEarlierVersion(t *testing.T) {
	got, err := ReadFleet("testdata/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := &Fleet{
		Name:          "north",
		Settings:      singleton.Settings{Roles: []string{"billing", "export", "roster"}, LeaseDuration: 3e6, MaxClockDrift: 0.15, PenaltyBackoff: 4e6},
		Members:       map[uint64]string{1: "127.0.0.1:7301", 2: "127.0.0.1:7302", 3: "127.0.0.1:7303"},
		Receivers:     map[string]string{"export": "http://127.0.0.1:7310/effects", "billing": "http://127.0.0.1:7311/effects"},
		DiscoveryRole: "roster", DiscoveryAddress: "127.0.0.1:8500",
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v\nwant %+v", got, want)
	}
}

// An admission control file that operators wrote for an earlier version is still read, with every key. Each value in
// the sample differs from its default, so that the test fails if a key is not read.
func TestReadAdmission_StoredByEarlierVersion(t *testing.T) {
	deployment := &settings.Settings{GroupSize: 2, OverQuotaValue: 0.2,
		Tenants: []settings.Tenant{{Name: "steppe-tours", QuotaPerS: 254}, {Name: "khan-air", QuotaPerS: 76}},
		Classes: []settings.Class{{Name: "quick-quote", Value: 3, LatencyTarget: 600_000}, {Name: "issue-policy", Value: 5, LatencyTarget: 900_000}}}
	got, err := ReadAdmission("testdata/door.toml", deployment, 7)
	if err != nil {
		t.Fatal(err)
	}
	want := admission.Settings{
		Tenants: []admission.Tenant{{Name: "steppe-tours", Share: 0.6, Rate: 127}, {Name: "khan-air", Share: 0.4, Rate: 38}},
		Classes: []admission.Class{{Name: "quick-quote", Value: 2.5, Work: 110_000, LatencyTarget: 600_000},
			{Name: "issue-policy", Value: 6.5, Work: 210_000, LatencyTarget: 900_000}},
		OverQuotaFactor: 0.2, MaxQueued: 1024, QueuesPerClass: 16, MinLimit: 5, MaxLimit: 2048, InitialLimit: 32, RequiredTimeFactor: 0.7, RetryRatio: 0.25, RetryBurst: 15,
		MaxRetryAfter: 1_500_000, SaltRotation: 12_000_000, Seed: 7,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v\nwant %+v", got, want)
	}
	defaults := admission.Defaults()
	for i := range reflect.TypeOf(want).NumField() {
		if reflect.ValueOf(want).Field(i).IsZero() || reflect.DeepEqual(reflect.ValueOf(want).Field(i).Interface(), reflect.ValueOf(defaults).Field(i).Interface()) {
			t.Errorf("the sample has the default of %s", reflect.TypeOf(want).Field(i).Name)
		}
	}
}
