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

// The result of a script is written with the same bytes as by an earlier version, and a stored result is read back.
func TestReadsResultStoredByEarlierVersion(t *testing.T) {
	stored, err := os.ReadFile("testdata/verdict.json")
	if err != nil {
		t.Fatal(err)
	}
	v := scriptResult{Seed: 9, Proxies: []requestCounts{{Sent: 100, Served: 80, Rejected: 15, Failed: 5}, {Sent: 101, Served: 81, Rejected: 16, Failed: 4}},
		AfterLastFault: requestCounts{Sent: 50, Served: 40, Rejected: 7, Failed: 3}, ProxyFailures: []string{"proxy 1 had ended: out of memory"},
		History: []faulttest.Event{{At: 1_500_000_000, Subject: "script", Text: "kill proxy 0 for 1s"}, {At: 2_500_000_001, Subject: "proxy 0", Text: "started"}}}
	path := filepath.Join(t.TempDir(), "verdict.json")
	if err := writeResult(path, v); err != nil {
		t.Fatal(err)
	}
	if written, err := os.ReadFile(path); err != nil || !bytes.Equal(written, stored) {
		t.Errorf("%v: written %s\nwant %s", err, written, stored)
	}
	var read scriptResult
	if err := json.Unmarshal(stored, &read); err != nil || !reflect.DeepEqual(read, v) {
		t.Errorf("%v: read %+v\nwant %+v", err, read, v)
	}
}
