package policy

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// snapshotSample returns the content of testdata/learnt.json.
func snapshotSample() Snapshot {
	return Snapshot{
		At: 1_700_000_000_000_000, ArrivalRate: 120.5, MeanWork: 2500.25, MedianAttemptTime: 52_000.5,
		ConcurrencyLimit: 64.5, RemoteZoneShare: 0.125,
		Overall: CapacitySnapshot{InstanceType: 3, QPS: 11.5, Utilization: 0.375, MeanSize: 1.25, MeanWeight: 30.5},
		InstanceTypes: []CapacitySnapshot{
			{InstanceType: 1, QPS: 10.5, Utilization: 0.5, MeanSize: 2.5, MeanWeight: 21.5},
			{InstanceType: 2, QPS: 8.25, Utilization: 0.75, MeanSize: 1.5, MeanWeight: 11.25},
		},
		TenantTokens:    []float64{0.25, 0.5},
		UnloadedLatency: []float64{41_000.5, 82_000.25},
		Servers: []ServerSnapshot{
			{Server: 7, StartedAt: 1_699_999_000_000_001, LastReportAt: 1_699_999_999_000_002,
				NonEmptySince: 1_699_999_500_000_003,
				ReadySince:    1_699_999_010_000_004, WarmingUp: true, QPSSum: 12.5, UtilizationSum: 0.625, EPSSum: 0.25,
				ReportWeight: 33.5, SlowStartTokens: 4.5, RelativeLatency: 1.75, FailureRate: 0.0625},
			{Server: 8, StartedAt: 1_699_998_000_000_005, LastReportAt: 1_699_999_998_000_006,
				NonEmptySince: 1_699_999_400_000_007,
				ReadySince:    1_699_998_010_000_008, WarmingUp: true, QPSSum: 14.5, UtilizationSum: 0.875, EPSSum: 0.5,
				ReportWeight: 35.5, SlowStartTokens: -2.5, RelativeLatency: 2.25, FailureRate: 0.125},
		},
	}
}

// A process passes the learned state of its balancer to its successor, which may be of another version. The
// file was stored by an earlier version: every field must be read from the same key, and written under it.
func TestReadsStateStoredByEarlierVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/learnt.json")
	if err != nil {
		t.Fatal(err)
	}
	var got Snapshot
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if want := snapshotSample(); !reflect.DeepEqual(got, want) {
		t.Errorf("read  %+v\nwant %+v", got, want)
	}
	written, err := json.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if want := bytes.TrimSpace(text); !bytes.Equal(written, want) {
		t.Errorf("written %s\nwant    %s", written, want)
	}
}

// A balancer that restores the state stored by an earlier version has each of its values.
func TestRestoresStateStoredByEarlierVersion(t *testing.T) {
	stored := snapshotSample()
	settings := Settings{Classes: []Class{{ClientTimeout: 4e6, Value: 1}, {ClientTimeout: 2e6, Value: 1}},
		ReportColumns: []ReportColumn{ColumnQPS, ColumnUtilization}, ReportDelivery: ReportsInResponses,
		Tenants: []Tenant{{QuotaPerS: 50}, {QuotaPerS: 20}}, Rules: Rules{WarmupTime: 24e6, InitialCapacity: 0.1}}
	b, err := New(settings, 3)
	if err != nil {
		t.Fatal(err)
	}
	members := []Member{
		{Server: 7, InstanceType: 1, Mode: ModeReady, Size: 1, StartedAt: stored.Servers[0].StartedAt},
		{Server: 8, InstanceType: 2, Mode: ModeReady, Size: 1, StartedAt: stored.Servers[1].StartedAt},
	}
	b.Handle(stored.At, &Event{Kind: MembershipFull, Members: members}, nil)
	if len(b.tenantTokens) != len(stored.TenantTokens) {
		t.Fatalf("%d tenant tokens, the sample has %d", len(b.tenantTokens), len(stored.TenantTokens))
	}
	if !b.Restore(stored.At, &stored) {
		t.Fatal("not restored")
	}
	want := snapshotSample()
	// Restore applies neither the type nor the sums of load of the overall capacity.
	want.Overall.InstanceType, want.Overall.QPS, want.Overall.Utilization = 0, 0, 0
	if got := b.Snapshot(); !reflect.DeepEqual(*got, want) {
		t.Errorf("restored %+v\nwant     %+v", *got, want)
	}
}
