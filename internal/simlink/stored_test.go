package simlink

import (
	"bytes"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pumiceline/internal/standalone/policy"
)

// records reads a stored sample: one record a line.
func records(t *testing.T, path string) (all []string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if !strings.HasPrefix(line, "#") {
			all = append(all, line)
		}
	}
	return all
}

// Every kind of record is read as an earlier version read it, each of its fields.
func TestReadsRecordsStoredByEarlierVersion(t *testing.T) {
	members := []policy.Member{
		{Server: 0x03124a07, Zone: 2, Kind: 4, Cell: 5, Mode: policy.ModeReady, Size: 1, UpSince: 0x63},
		{Server: 0x2c9011f2, Zone: 1, Kind: 1, Cell: 2, Mode: policy.ModeDraining, Size: 1.5, UpSince: 0x5d1420},
	}
	event := func(e policy.Event) Record { return Record{Kind: Deliver, Instance: 3, Event: e} }
	want := []Record{
		{Kind: Spawn, Instance: 3, Seed: 0x1112131415161718, Settings: policy.Settings{Zone: 1, Zones: 2}},
		{Kind: None},
		event(policy.Event{Kind: policy.ListDelta, Members: members}),
		event(policy.Event{Kind: policy.ListCached, Members: members}),
		event(policy.Event{Kind: policy.ListFull, Members: members}),
		event(policy.Event{Kind: policy.ListFailed}),
		event(policy.Event{Kind: policy.Arrival, ID: 0x000912295d3a91c4, Patience: 0x3a980, Class: 1, Tenant: 2, Key: 0x91f03b7c55d20a64, Work: 0x2ee0}),
		event(policy.Event{Kind: policy.Arrival, ID: 0x000912295d3a91c5, Patience: 0x3a981, Class: 2, Tenant: 3, Key: 0x91f03b7c55d20a65}),
		event(policy.Event{Kind: policy.Begun, ID: 0x000912295d3a91c4, Elapsed: 0x4844, Server: 0x03124a07, Attempt: 2}),
		event(policy.Event{Kind: policy.Outcomed, ID: 0x000912295d3a91c4, Attempt: 1, Server: 0x03124a07, Outcome: policy.TimedOut, Elapsed: 0x4844,
			Final: true, Report: []float32{0.5, 14.5}}),
		event(policy.Event{Kind: policy.Departed, ID: 0x000912295d3a91c4}),
		event(policy.Event{Kind: policy.TimerFired, ID: 0x4d}),
		event(policy.Event{Kind: policy.Probed, Server: 0x2c9011f2, Outcome: policy.Full, Elapsed: 0x578, Report: []float32{0.5}}),
		{Kind: None, Instance: 3},
		{Kind: Killed, Instance: 3},
	}
	lines := records(t, "testdata/batch.hex")
	if len(lines) != len(want) {
		t.Fatalf("%d records", len(lines))
	}
	var d Decoder
	for i, line := range lines {
		var got Record
		d.Reset(body(t, line))
		if err := d.Next(&got); err != nil || d.Rest() != 0 || !reflect.DeepEqual(got, want[i]) {
			t.Errorf("%s\nread %+v, %v, %d bytes left\nwant %+v", strings.TrimSpace(line), got, err, d.Rest(), want[i])
		}
	}
}

// Outcomes and the modes of servers have the numbers that the link gives them.
func TestNumbersAreThoseOfEarlierVersion(t *testing.T) {
	outcomes := []policy.Outcome{policy.OK, policy.Failed, policy.Full, policy.TimedOut, policy.ConnectFailed, policy.Reset, policy.Cancelled, policy.NotSent}
	if want := []policy.Outcome{0, 1, 2, 3, 4, 5, 6, 7}; !slices.Equal(outcomes, want) {
		t.Errorf("outcomes are %v", outcomes)
	}
	modes := []policy.Mode{policy.ModeGone, policy.ModeReady, policy.ModeDraining}
	if want := []policy.Mode{0, 1, 2}; !slices.Equal(modes, want) {
		t.Errorf("modes are %v", modes)
	}
}

// Every kind of action is written as an earlier version wrote it.
func TestWritesRecordsStoredByEarlierVersion(t *testing.T) {
	actions := []policy.Action{
		{Kind: policy.Send, ID: 0x000912295d3a91c4, Server: 0x03124a07, After: 80_000},
		{Kind: policy.Refuse, ID: 0x000ec3ff0e6f2b19, After: 250_000},
		{Kind: policy.Fail, ID: 0x000ec3ff0e6f2b19},
		{Kind: policy.Cancel, ID: 0x000912295d3a91c4, Attempt: 2},
		{Kind: policy.SetTimer, ID: 0x4d, After: 500_000},
		{Kind: policy.Probe, Server: 0x2c9011f2},
		{Kind: policy.CloseUnused, Server: 0x2c9011f3},
		{Kind: policy.LogLine, Text: "two servers known"},
		{Kind: policy.Subscribe},
	}
	lines := records(t, "testdata/actions.hex")
	if len(lines) != len(actions) {
		t.Fatalf("%d records", len(lines))
	}
	for i, line := range lines {
		if got := AppendAction(nil, 3, &actions[i]); !bytes.Equal(got, body(t, line)) {
			t.Errorf("%+v written as %x, want %s", actions[i], got, line)
		}
	}
}

// A batch's header is read field by field.
func TestReadsHeaderStoredByEarlierVersion(t *testing.T) {
	size, count, now, err := Header(body(t, "00010203 00000405 00060708090a0b0c"))
	if err != nil || size != 0x00010203 || count != 0x0405 || now != 0x00060708090a0b0c {
		t.Errorf("%x, %x, %x, %v", size, count, now, err)
	}
}
