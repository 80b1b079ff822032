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

// The files in testdata were stored by an earlier version, cef8855, in the form in which the stage's commands keep verdicts,
// and are never written anew.
func TestReadsAndWritesVerdictsStoredByEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		file string
		want any
	}{
		{"verdict-owners.json", Verdict{
			Seed: 18446744073709551615, Harms: 1, First: "roster: token 1 counts after token 2", Linear: true, Taken: 400, Refused: 3, HandOvers: 5,
			Gaps: map[string]float64{"work-1": 2.5, "work-2": 0.25}, AgainS: 1.75, Why: []string{"not all works were owned again"},
			History: []faulttest.Note{{At: 1500 * time.Millisecond, Who: "script", What: "instance 2 is frozen"}},
		}},
		{"verdict-roster.json", RosterVerdict{
			Instances: 60, AllServeS: 1.5, StartCalls: 2, CalmCalls: 3, Change: Spread{P50: 4.5, P99: 5.5, Max: 6.5}, NewOwner: Spread{P50: 7.5, P99: 8.5, Max: 9.5},
			LostCalls: 10, MemberMB: 11.5, InstanceMB: 12.5, MemberCPU: 0.25, InstCPU: 0.125,
			Direct: Served{Asked: 13, Served: 14, Refused: 15, Failed: 16}, Mirrored: Served{Asked: 17, Served: 18, Refused: 19, Failed: 20},
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
				t.Errorf("%+v, not %+v", got, c.want)
			}
			if again, err := json.MarshalIndent(c.want, "", " "); err != nil || !bytes.Equal(again, bytes.TrimSpace(text)) {
				t.Errorf("written as %s, %v", again, err)
			}
		})
	}
}
