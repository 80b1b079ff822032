package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"pumiceline/internal/controlplane/coordinator"
	"pumiceline/internal/controlplane/relay"
	"pumiceline/internal/controlplane/simulation"
	"pumiceline/internal/message"
)

// The files in testdata are output of earlier versions: of cef8855 and, where they have coordination, of the first
// version that had it. They are never rewritten: scripts read the output of simulate and status with --json, and
// pumicectl status reads the status of coordinators of other versions.
func TestReadsOutputStoredByEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		file string
		want any
	}{
		{"simulate.json", seedResult{
			Seed: 18446744073709551615,
			Result: &simulation.Result{
				Violations:   []simulation.Violation{{At: 1500 * time.Millisecond, Rule: "one lease holder", Text: "two hold it"}},
				Acknowledged: 1, Rejected: 2, Reads: 3, Views: 4, Leases: 5, Faults: 6, Members: 7,
				InjectedFaults: []simulation.Fault{
					{Index: 1, At: 2 * time.Second, Kind: simulation.MessageKindLoss, Duration: 3 * time.Second, Slots: []int{2, 0, 1}, Count: 2, Draw: 9},
					{Index: 2, At: 4 * time.Second, Kind: simulation.Kill, Duration: time.Second, Slots: []int{1}, Count: 1, Draw: 8},
				},
				ViewChanges: []string{"view 2"}, FinalStates: []string{"node 1: member"}, AckLatencies: []time.Duration{20 * time.Millisecond, 30 * time.Millisecond},
				LongestAckGap: 700 * time.Millisecond,
			},
			Trace: "1. a loss\n",
		}},
		{"status.json", coordinator.Status{
			Node: "node-a", Identity: "node-a-00112233", View: 12, Members: []string{"node-a-00112233 10.0.0.1:7000"},
			Voters: []string{"node-b-44556677 10.0.0.2:7000"}, IsMember: true, HasMajority: true, IsServing: true, WaitingFor: "the rest of the chain",
			Sequence: 41, Version: 43, LeaseHolder: "10.0.0.2:7000", LeaseToken: 77, Proxies: 3, Backends: 5,
			Tasks: []coordinator.Task{{Backend: "b-1", Load: "m", Unload: []message.ModelName{"n"}, Adapters: []message.ModelName{"x"}, Reason: "demand"}},
		}},
		{"status-coordination.json", coordinator.Status{
			Node: "node-a", Identity: "node-a-00112233", Members: []string{}, Voters: []string{}, Tasks: []coordinator.Task{},
			Coordination: &coordinator.CoordinationStatus{
				IsIssuer: true, Issuer: "10.0.0.1:7000", Epoch: 3, Group: 2, Acceptors: []string{"node-a-00112233 10.0.0.1:7000"},
				Takeovers: 1, WaitingWatches: 4, IsIdle: true,
				Relay: relay.Stats{
					Calls: []relay.CallCount{{Kind: "put", Status: 412, Count: 5}}, WaitingCalls: 6, WaitingWatches: 7, Requests: 8,
					Latencies: []relay.CallLatency{{Kind: "put", MedianMs: 17.5, P99Ms: 40}},
				},
			},
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
			if encoded, err := json.Marshal(c.want); err != nil || !bytes.Equal(encoded, bytes.TrimSpace(text)) {
				t.Errorf("written as %s, %v", encoded, err)
			}
		})
	}
}
