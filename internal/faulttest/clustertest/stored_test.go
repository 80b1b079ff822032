package clustertest

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"pumiceline/internal/faulttest"
)

// Verdicts are written under the keys under which an earlier version stored them, and read from there.
func TestReadsVerdictsStoredByEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		name, file string
		want, read any
	}{
		{"of owners", "testdata/owners.json", &Verdict{Seed: 11, Harms: 2, First: "export: token 3 counts after token 4", Linear: true, Taken: 300, Refused: 12,
			HandOvers: 9, Gaps: map[string]float64{"export": 3.5, "billing": 2.25}, AgainS: 1.75, Why: []string{"two harms"},
			History: []faulttest.Note{{At: 1_500_000_000, Who: "instance 1", What: "killed"}}}, &Verdict{}},
		{"of rosters", "testdata/roster.json", &RosterVerdict{Instances: 60, AllServeS: 1.5, StartCalls: 3, CalmCalls: 4, Change: Spread{P50: 1.25, P99: 2.25, Max: 3.25},
			NewOwner: Spread{P50: 4.25, P99: 5.25, Max: 6.25}, LostCalls: 7, MemberMB: 18.5, InstanceMB: 19.5, MemberCPU: 0.01, InstCPU: 0.02,
			Direct: Served{Asked: 100, Served: 90, Refused: 8, Failed: 2}, Mirrored: Served{Asked: 101, Served: 91, Refused: 7, Failed: 3}}, &RosterVerdict{}},
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
