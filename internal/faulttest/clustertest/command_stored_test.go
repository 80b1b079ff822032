package clustertest

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"pumiceline/internal/faulttest"
)

// The command results in testdata were stored by an earlier version, cef8855, and must not be regenerated.
func TestReadsAndWritesCommandResultsStoredByEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		file string
		want any
	}{
		{"verdict-owners.json", Result{
			Seed: 18446744073709551615, Violations: 1, FirstViolation: "roster: token 1 counts after token 2", Linearizable: true,
			Accepted: 400, Rejected: 3, HolderChanges: 5, LongestGapS: map[string]float64{"work-1": 2.5, "work-2": 0.25},
			RecoveryS: 1.75, Failures: []string{"not all works were owned again"},
			History: []faulttest.Event{{At: 1500 * time.Millisecond, Subject: "script", Text: "instance 2 is frozen"}},
		}},
		{"verdict-roster.json", DiscoveryCacheResult{
			Instances: 60, AllServeS: 1.5, StartCalls: 2, SteadyCalls: 3,
			UpdateDelay:   Percentiles{P50: 4.5, P99: 5.5, Max: 6.5},
			FailoverDelay: Percentiles{P50: 7.5, P99: 8.5, Max: 9.5},
			FailoverCalls: 10, MemberMB: 11.5, InstanceMB: 12.5, MemberCPU: 0.25, InstanceCPU: 0.125,
			Direct: RequestCounts{Sent: 13, Served: 14, Rejected: 15, Failed: 16},
			Cached: RequestCounts{Sent: 17, Served: 18, Rejected: 19, Failed: 20},
		}},
	} {
		t.Run(c.file, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("testdata", c.file))
			if err != nil {
				t.Fatal(err)
			}
			read := reflect.New(reflect.TypeOf(c.want))
			if err := json.Unmarshal(text, read.Interface()); err != nil {
				t.Fatal(err)
			}
			if got := read.Elem().Interface(); !reflect.DeepEqual(got, c.want) {
				t.Errorf("read %+v, want %+v", got, c.want)
			}
			if again, err := json.MarshalIndent(c.want, "", " "); err != nil || !bytes.Equal(again, bytes.TrimSpace(text)) {
				t.Errorf("written as %s, %v", again, err)
			}
		})
	}
}
