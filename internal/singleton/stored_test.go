package singleton

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// The files in testdata were stored by an earlier version, cef8855, and are never written anew.

// readSample reads a file of testdata without the line's end.
func readSample(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSpace(text)
}

var storedSnapshot = &State{
	Works: map[string]Work{
		"prices": {Token: 2, Owner: "instance-a", Life: 18446744073709551615, Want: "instance-b"},
		"roster": {Token: 7},
	},
	Lapses: map[string]int{"instance-c": 5},
	Lease:  2_000_000,
}

func TestReadsSnapshotStoredByEarlierVersion(t *testing.T) {
	text := readSample(t, "snapshot.json")
	s, err := ReadState(text)
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

// A command of each kind is read from the log that an earlier version stored and does what it did there.
func TestAppliesCommandsStoredByEarlierVersion(t *testing.T) {
	s := NewState()
	lines := bytes.Split(readSample(t, "commands.jsonl"), []byte("\n"))
	steps := []struct {
		command Command
		work    Work // of the command's work afterwards
	}{
		{Command{Kind: Term, Lease: 2_000_000, Why: "its lease differs"}, Work{}},
		{Command{Kind: Want, Work: "w", Who: "b", Why: "an operator wants it"}, Work{Want: "b"}},
		{Command{Kind: Grant, Work: "w", Who: "a", Life: 18446744073709551615, Why: "it has none"}, Work{Token: 1, Owner: "a", Life: 18446744073709551615, Want: "b"}},
		{Command{Kind: Expire, Work: "w", Token: 1, Why: "no progress"}, Work{Token: 1, Want: "b"}},
		{Command{Kind: Grant, Work: "w", Who: "b", Life: 9, Token: 1, Why: "an operator wants it"}, Work{Token: 2, Owner: "b", Life: 9}},
		{Command{Kind: Free, Work: "w", Token: 2, Why: "given back"}, Work{Token: 2}},
		{Command{Kind: Spare, Who: "z", Why: "none for long"}, Work{}},
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
		if got := s.Works[c.Work]; got != steps[i].work {
			t.Errorf("line %d: %+v, not %+v", i+1, got, steps[i].work)
		}
		if again, err := json.Marshal(c); err != nil || !bytes.Equal(again, line) {
			t.Errorf("line %d: written as %s, %v", i+1, again, err)
		}
	}
	if want := (&State{Works: map[string]Work{"w": {Token: 2}}, Lapses: map[string]int{"a": 1}, Lease: 2_000_000}); !reflect.DeepEqual(s, want) {
		t.Errorf("%+v, not %+v", s, want)
	}
}

// An instance and a member of different versions understand each other.
func TestReadsBeatAndAnswerOfEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		file string
		want any
	}{
		{"beat.json", Beat{
			Name: "instance-a", Life: 18446744073709551615, Addr: "10.0.0.1:7400", Zone: "z1", Build: 41, Leaving: true, Does: []string{"prices", "roster"},
			Held: []Held{{Work: "prices", Token: 2, Steps: 300, Over: true}, {Work: "roster", Token: 7, Steps: 1}},
		}},
		{"answer.json", Answer{
			Yours: []Yours{{Work: "prices", Token: 2, Left: 1_500_000, End: true}, {Work: "roster", Token: 7, Left: 2_000_000}},
			Why:   "it is leaving", Owners: map[string]Owner{"roster": {Addr: "10.0.0.1:7400", Token: 7}},
		}},
		{"effect.json", Effect{Work: "prices", Token: 2, Serial: 41}},
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
