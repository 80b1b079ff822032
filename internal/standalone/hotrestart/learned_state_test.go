package hotrestart

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/policy"
)

// startSuccessor joins folder as a process of the proxy whose state is stored in testdata/learnt.
func startSuccessor(t *testing.T, folder string) *Process {
	t.Helper()
	set := policy.Settings{
		Classes:        []policy.Class{{ClientTimeout: 4e6, Value: 1}},
		ReportColumns:  []policy.ReportColumn{policy.ColumnQPS, policy.ColumnUtilization},
		ReportDelivery: policy.ReportsInResponses,
		Rules:          policy.Rules{WarmupTime: 24e6, InitialCapacity: 0.1},
	}
	balancer, err := policy.New(set, 3)
	if err != nil {
		t.Fatal(err)
	}
	logger := slog.New(slog.DiscardHandler)
	e := engine.New(balancer, engine.Hooks{SubscribeDiscovery: func() {}, CloseIdleConns: func(uint32) {}, PollLoad: func(uint32) {}}, logger)
	p := NewProcess(NewSharedFolder(folder, "try 127.0.0.1:7070"), 64, logger)
	if err := p.Join(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Leave)
	p.Connect(Hooks{
		SocketUsage: func() SocketUsage { return SocketUsage{Clients: 3, Backends: 4} },
		ShareQuotas: func(int) error { return nil },
		Policy:      e,
	})
	e.UpdateMembers(policy.MembershipFull, []policy.Member{{Server: 7, InstanceType: 1, Mode: policy.ModeReady, Size: 1,
		StartedAt: 1_700_000_000_000_001}})
	return p
}

// storedStateFile is the name of the file in which an earlier version of this proxy stored its learned state.
// storedStateTime is the state's time as it is written there.
const (
	storedStateFile = "pumiceline-21e472b24144787f-learnt.json"
	storedStateTime = `"At":1700000900000000`
)

// A process adopts the state that an earlier version stored, and stores its own under the same name and keys.
func TestProcess_AdoptsStateLearnedByEarlierVersion(t *testing.T) {
	stored, err := os.ReadFile(filepath.Join("testdata/learnt", storedStateFile))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	// The state expires after two seconds, so its time is replaced by the present. Nothing else is changed.
	now := time.Now().UnixMicro()
	withTime := func(text []byte, at policy.Time) []byte {
		t.Helper()
		number, err := json.Marshal(at)
		if err != nil || !bytes.Contains(text, []byte(storedStateTime)) {
			t.Fatalf("%v, or there is no %s in %s", err, storedStateTime, text)
		}
		return bytes.Replace(text, []byte(storedStateTime), append([]byte(`"At":`), number...), 1)
	}
	if err := os.WriteFile(filepath.Join(dir, storedStateFile), withTime(stored, now), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startSuccessor(t, dir)
	p.AdoptLearnedState()
	if err := p.publishLearnedState(); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(dir, storedStateFile))
	if err != nil {
		t.Fatal(err)
	}
	head, body, hasHead := strings.Cut(string(written), "\n")
	var l struct {
		At policy.Time `json:"At"`
	}
	if err := json.Unmarshal([]byte(body), &l); err != nil || !hasHead || head != "pumiceline learnt 1" || l.At < now {
		t.Fatalf("%q, %v, %+v", head, err, l)
	}
	if want := withTime(stored, l.At); string(written) != string(want) {
		t.Errorf("written %s\nwant    %s", written, want)
	}
}

// Expired state is not adopted, which is not an error: the process starts cold.
func TestProcess_StartsColdWithExpiredStateOfEarlierVersion(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/learnt")); err != nil {
		t.Fatal(err)
	}
	p := startSuccessor(t, dir)
	p.AdoptLearnedState()
	if err := p.publishLearnedState(); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(dir, storedStateFile))
	if err != nil || bytes.Contains(written, []byte(`"Usual":52000.5`)) || bytes.Contains(written, []byte(`"QPS":12.5`)) {
		t.Errorf("%v: expired state was adopted: %s", err, written)
	}
}
