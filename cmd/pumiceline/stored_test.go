package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pumiceline/internal/faulttest"
)

// The verdict of a play is written under the keys that an earlier version stored it under.
func TestReadsVerdictStoredByEarlierVersion(t *testing.T) {
	stored, err := os.ReadFile("testdata/verdict.json")
	if err != nil {
		t.Fatal(err)
	}
	v := verdict{Seed: 9, Proxies: []tallied{{Asked: 100, Served: 80, Refused: 15, Failed: 5}, {Asked: 101, Served: 81, Refused: 16, Failed: 4}},
		After: tallied{Asked: 50, Served: 40, Refused: 7, Failed: 3}, Faults: []string{"proxy 1 had ended: out of memory"},
		History: []faulttest.Note{{At: 1_500_000_000, Who: "script", What: "kill proxy 0 for 1s"}, {At: 2_500_000_001, Who: "proxy 0", What: "started"}}}
	path := filepath.Join(t.TempDir(), "verdict.json")
	if err := keepVerdict(path, v); err != nil {
		t.Fatal(err)
	}
	if written, err := os.ReadFile(path); err != nil || !bytes.Equal(written, stored) {
		t.Errorf("%v: written %s\nwant %s", err, written, stored)
	}
	var read verdict
	if err := json.Unmarshal(stored, &read); err != nil || !reflect.DeepEqual(read, v) {
		t.Errorf("%v: read %+v\nwant %+v", err, read, v)
	}
}
