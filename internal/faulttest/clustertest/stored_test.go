package clustertest

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"pumiceline/internal/faulttest"
)

// Results are read from and written to the JSON form in which an earlier version stored them.
func TestReadsResultsStoredByEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		name, file string
		want, read any
	}{
		{"cluster", "testdata/owners.json", &Result{
			Seed: 11, Violations: 2, FirstViolation: "export: token 3 counts after token 4", Linearizable: true,
			Accepted: 300, Rejected: 12, HolderChanges: 9, LongestGapS: map[string]float64{"export": 3.5, "billing": 2.25},
			RecoveryS: 1.75, Failures: []string{"two harms"},
			History: []faulttest.Event{{At: 1_500_000_000, Subject: "instance 1", Text: "killed"}},
		}, &Result{}},
		{"discovery cache", "testdata/roster.json", &DiscoveryCacheResult{
			Instances: 60, AllServeS: 1.5, StartCalls: 3, SteadyCalls: 4,
			UpdateDelay:   Percentiles{P50: 1.25, P99: 2.25, Max: 3.25},
			FailoverDelay: Percentiles{P50: 4.25, P99: 5.25, Max: 6.25},
			FailoverCalls: 7, MemberMB: 18.5, InstanceMB: 19.5, MemberCPU: 0.01, InstanceCPU: 0.02,
			Direct: RequestCounts{Sent: 100, Served: 90, Rejected: 8, Failed: 2},
			Cached: RequestCounts{Sent: 101, Served: 91, Rejected: 7, Failed: 3},
		}, &DiscoveryCacheResult{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			stored, err := os.ReadFile(c.file)
			if err != nil {
				t.Fatal(err)
			}
			if err := json.Unmarshal(stored, c.read); err != nil || !reflect.DeepEqual(c.read, c.want) {
				t.Errorf("%v: read %+v\nwant %+v", err, c.read, c.want)
			}
			written, err := json.MarshalIndent(c.want, "", " ")
			if err != nil || !bytes.Equal(written, bytes.TrimSpace(stored)) {
				t.Errorf("%v: written %s\nwant %s", err, written, stored)
			}
		})
	}
}
