package singleton

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// The files in testdata were written by an earlier version, cef8855. They must not be regenerated.

// readSample reads a file of testdata without the line break at its end.
func readSample(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSpace(text)
}

var storedSnapshot = &State{
	Assignments: map[string]Assignment{
		"prices": {Token: 2, Holder: "instance-a", Incarnation: 18446744073709551615, DesiredHolder: "instance-b"},
		"roster": {Token: 7},
	},
	Expirations:   map[string]int{"instance-c": 5},
	LeaseDuration: 2_000_000,
}

func TestReadsSnapshotStoredByEarlierVersion(t *testing.T) {
	text := readSample(t, "snapshot.json")
	s, err := DecodeState(text)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s, storedSnapshot) {
		t.Errorf("%+v, not %+v", s, storedSnapshot)
	}
	if again, err := json.Marshal(s); err != nil || !bytes.Equal(again, text) {
		t.Errorf("written as %s, %v", again, err)
	}
}

// A command of each kind from the log that an earlier version stored is decoded and has the same effect as in that
// version.
func TestAppliesCommandsStoredByEarlierVersion(t *testing.T) {
	s := NewState()
	lines := bytes.Split(readSample(t, "commands.jsonl"), []byte("\n"))
	steps := []struct {
		command    Command
		assignment Assignment // of the role afterwards
	}{
		{Command{Kind: CommandSetLeaseDuration, LeaseDuration: 2_000_000, Reason: "its lease differs"}, Assignment{}},
		{Command{Kind: CommandSetDesiredHolder, Role: "w", Instance: "b", Reason: "an operator wants it"}, Assignment{DesiredHolder: "b"}},
		{Command{Kind: CommandGrant, Role: "w", Instance: "a", Incarnation: 18446744073709551615, Reason: "it has none"}, Assignment{Token: 1, Holder: "a", Incarnation: 18446744073709551615, DesiredHolder: "b"}},
		{Command{Kind: CommandExpire, Role: "w", Token: 1, Reason: "no progress"}, Assignment{Token: 1, DesiredHolder: "b"}},
		{Command{Kind: CommandGrant, Role: "w", Instance: "b", Incarnation: 9, Token: 1, Reason: "an operator wants it"}, Assignment{Token: 2, Holder: "b", Incarnation: 9}},
		{Command{Kind: CommandRelease, Role: "w", Token: 2, Reason: "given back"}, Assignment{Token: 2}},
		{Command{Kind: CommandResetExpirations, Instance: "z", Reason: "none for long"}, Assignment{}},
	}
	if len(lines) != len(steps) {
		t.Fatalf("%d lines", len(lines))
	}
	for i, line := range lines {
		var c Command
		if err := json.Unmarshal(line, &c); err != nil {
			t.Fatal(err)
		}
		if c != steps[i].command {
			t.Errorf("line %d: %+v, not %+v", i+1, c, steps[i].command)
		}
		if err := s.Apply(c); err != nil {
			t.Errorf("line %d: %v", i+1, err)
		}
		if got := s.Assignments[c.Role]; got != steps[i].assignment {
			t.Errorf("line %d: %+v, not %+v", i+1, got, steps[i].assignment)
		}
		if again, err := json.Marshal(c); err != nil || !bytes.Equal(again, line) {
			t.Errorf("line %d: written as %s, %v", i+1, again, err)
		}
	}
	if want := (&State{Assignments: map[string]Assignment{"w": {Token: 2}}, Expirations: map[string]int{"a": 1}, LeaseDuration: 2_000_000}); !reflect.DeepEqual(s, want) {
		t.Errorf("%+v, not %+v", s, want)
	}
}

// An instance and a member of different versions can exchange messages.
func TestReadsHeartbeatAndResponseOfEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		file string
		want any
	}{
		{"beat.json", Heartbeat{
			Name: "instance-a", Incarnation: 18446744073709551615, Addr: "10.0.0.1:7400", Zone: "z1", Build: 41, Leaving: true, Roles: []string{"prices", "roster"},
			Leases: []LeaseReport{{Role: "prices", Token: 2, Steps: 300, Released: true}, {Role: "roster", Token: 7, Steps: 1}},
		}},
		{"answer.json", HeartbeatResponse{
			Leases: []LeaseRenewal{{Role: "prices", Token: 2, Remaining: 1_500_000, Release: true}, {Role: "roster", Token: 7, Remaining: 2_000_000}},
			Reason: "it is leaving", Holders: map[string]HolderEndpoint{"roster": {Addr: "10.0.0.1:7400", Token: 7}},
		}},
		{"effect.json", Effect{Role: "prices", Token: 2, Serial: 41}},
	} {
		t.Run(c.file, func(t *testing.T) {
			text := readSample(t, c.file)
			read := reflect.New(reflect.TypeOf(c.want))
			if err := json.Unmarshal(text, read.Interface()); err != nil {
				t.Fatal(err)
			}
			if got := read.Elem().Interface(); !reflect.DeepEqual(got, c.want) {
				t.Errorf("%+v, not %+v", got, c.want)
			}
			if again, err := json.Marshal(c.want); err != nil || !bytes.Equal(again, text) {
				t.Errorf("written as %s, %v", again, err)
			}
		})
	}
}
