package main

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pumiceline/internal/faulttest"
	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/hotrestart"
	"pumiceline/internal/standalone/policy"
)

// successor starts as the proxy of testdata/folder, beside what a process of an earlier version stored there.
func successor(t *testing.T, folder string) *sharing {
	t.Helper()
	set := policy.Settings{Classes: []policy.Class{{ClientTimeout: 4e6, Value: 1}}, ReportColumns: []policy.ReportColumn{policy.ColumnQPS, policy.ColumnUtilization},
		ReportDelivery: policy.ReportsInResponses, Rules: policy.Rules{WarmupTime: 24e6, InitialCapacity: 0.1}}
	module, err := policy.New(set, 3)
	if err != nil {
		t.Fatal(err)
	}
	logger := slog.New(slog.DiscardHandler)
	s := &sharing{folder: hotrestart.NewFolder(folder, "try 127.0.0.1:7070"), log: logger, memoryMB: 64,
		plan:   engine.New(module, engine.Hooks{Subscribe: func() {}, CloseUnused: func(uint32) {}, Probe: func(uint32) {}}, logger),
		counts: func() (int, int) { return 3, 4 }, budgets: func(int) error { return nil }}
	if s.presence, err = s.folder.Join(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.presence.Leave)
	s.plan.UpdateMembers(policy.MembershipFull, []policy.Member{{Server: 7, InstanceType: 1, Mode: policy.ModeReady, Size: 1, StartedAt: 1_700_000_000_000_001}})
	return s
}

// learntName is that of the file in which an earlier version of this proxy stored what it had learnt, and learntAt its time as it is stored.
const (
	learntName = "pumiceline-21e472b24144787f-learnt.json"
	learntAt   = `"At":1700000900000000`
)

// A process starts warm with the file that one of an earlier version stored for it, and stores its own under the same name and keys.
func TestReadsStateStoredByEarlierVersion(t *testing.T) {
	stored, err := os.ReadFile(filepath.Join("testdata/folder", learntName))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	// It is believed for two seconds, so the time alone is brought up to the present.
	now := time.Now().UnixMicro()
	recent := func(text []byte, at policy.Time) []byte {
		t.Helper()
		number, err := json.Marshal(at)
		if err != nil || !bytes.Contains(text, []byte(learntAt)) {
			t.Fatalf("%v, or there is no %s in %s", err, learntAt, text)
		}
		return bytes.Replace(text, []byte(learntAt), append([]byte(`"At":`), number...), 1)
	}
	if err := os.WriteFile(filepath.Join(dir, learntName), recent(stored, now), 0o600); err != nil {
		t.Fatal(err)
	}
	s := successor(t, dir)
	s.learn()
	if err := s.teach(); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(dir, learntName))
	if err != nil {
		t.Fatal(err)
	}
	head, body, whole := strings.Cut(string(written), "\n")
	var l struct {
		At policy.Time `json:"At"`
	}
	if err := json.Unmarshal([]byte(body), &l); err != nil || !whole || head != "pumiceline learnt 1" || l.At < now {
		t.Fatalf("%q, %v, %+v", head, err, l)
	}
	if want := recent(stored, l.At); string(written) != string(want) {
		t.Errorf("written %s\nwant    %s", written, want)
	}
}

// The same file at its own time is too old, which is no fault: the process starts cold.
func TestOldStateStoredByEarlierVersionMeansAColdStart(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/folder")); err != nil {
		t.Fatal(err)
	}
	s := successor(t, dir)
	s.learn()
	if err := s.teach(); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(dir, learntName))
	if err != nil || bytes.Contains(written, []byte(`"Usual":52000.5`)) || bytes.Contains(written, []byte(`"QPS":12.5`)) {
		t.Errorf("%v: it believed what is too old, and knows %s", err, written)
	}
}

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
