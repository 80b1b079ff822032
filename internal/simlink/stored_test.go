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

// records returns the records of a stored sample, which has one per line.
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

// Every field of every kind of record must be read as an earlier version read it.
func TestReadsRecordsStoredByEarlierVersion(t *testing.T) {
	members := []policy.Member{
		{Server: 0x03124a07, Zone: 2, InstanceType: 4, Cell: 5, Mode: policy.ModeReady, Size: 1, StartedAt: 0x63},
		{Server: 0x2c9011f2, Zone: 1, InstanceType: 1, Cell: 2, Mode: policy.ModeDraining, Size: 1.5, StartedAt: 0x5d1420},
	}
	event := func(e policy.Event) Record { return Record{Kind: DeliverEvent, Instance: 3, Event: e} }
	want := []Record{
		{Kind: SpawnInstance, Instance: 3, Seed: 0x1112131415161718, Settings: policy.Settings{Zone: 1, Zones: 2}},
		{Kind: Ignored},
		event(policy.Event{Kind: policy.MembershipDelta, Members: members}),
		event(policy.Event{Kind: policy.MembershipCached, Members: members}),
		event(policy.Event{Kind: policy.MembershipFull, Members: members}),
		event(policy.Event{Kind: policy.DiscoveryFailed}),
		event(policy.Event{Kind: policy.RequestArrived, ID: 0x000912295d3a91c4, ClientTimeout: 0x3a980,
			Class: 1, Tenant: 2, AffinityKey: 0x91f03b7c55d20a64, Work: 0x2ee0}),
		event(policy.Event{Kind: policy.RequestArrived, ID: 0x000912295d3a91c5, ClientTimeout: 0x3a981,
			Class: 2, Tenant: 3, AffinityKey: 0x91f03b7c55d20a65}),
		event(policy.Event{Kind: policy.ResponseStarted, ID: 0x000912295d3a91c4, Elapsed: 0x4844,
			Server: 0x03124a07, Attempt: 2}),
		event(policy.Event{Kind: policy.AttemptEnded, ID: 0x000912295d3a91c4, Attempt: 1, Server: 0x03124a07,
			Outcome: policy.TimedOut, Elapsed: 0x4844, Final: true, Report: []float32{0.5, 14.5}}),
		event(policy.Event{Kind: policy.RequestAbandoned, ID: 0x000912295d3a91c4}),
		event(policy.Event{Kind: policy.TimerFired, ID: 0x4d}),
		event(policy.Event{Kind: policy.LoadPolled, Server: 0x2c9011f2, Outcome: policy.Rejected, Elapsed: 0x578,
			Report: []float32{0.5}}),
		{Kind: Ignored, Instance: 3},
		{Kind: RemoveInstance, Instance: 3},
	}
	lines := records(t, "testdata/batch.hex")
	if len(lines) != len(want) {
		t.Fatalf("%d records", len(lines))
	}
	var d Decoder
	for i, line := range lines {
		var got Record
		d.Reset(decodeHex(t, line))
		if err := d.Next(&got); err != nil || d.Remaining() != 0 || !reflect.DeepEqual(got, want[i]) {
			t.Errorf("%s\nread %+v, %v, %d bytes left\nwant %+v", strings.TrimSpace(line), got, err, d.Remaining(), want[i])
		}
	}
}

// The numbers of outcomes and modes are part of the protocol and must not change.
func TestOutcomeAndModeNumbersAreThoseOfEarlierVersion(t *testing.T) {
	outcomes := []policy.Outcome{policy.OK, policy.ErrorResponse, policy.Rejected, policy.TimedOut,
		policy.ConnectFailed, policy.ConnectionReset, policy.Canceled, policy.NotSent}
	if want := []policy.Outcome{0, 1, 2, 3, 4, 5, 6, 7}; !slices.Equal(outcomes, want) {
		t.Errorf("outcomes are %v", outcomes)
	}
	modes := []policy.Mode{policy.ModeGone, policy.ModeReady, policy.ModeDraining}
	if want := []policy.Mode{0, 1, 2}; !slices.Equal(modes, want) {
		t.Errorf("modes are %v", modes)
	}
}

// Every kind of action must be written as an earlier version wrote it.
func TestWritesRecordsStoredByEarlierVersion(t *testing.T) {
	actions := []policy.Action{
		{Kind: policy.SendAttempt, ID: 0x000912295d3a91c4, Server: 0x03124a07, After: 80_000},
		{Kind: policy.RejectRequest, ID: 0x000ec3ff0e6f2b19, After: 250_000},
		{Kind: policy.FailRequest, ID: 0x000ec3ff0e6f2b19},
		{Kind: policy.CancelAttempt, ID: 0x000912295d3a91c4, Attempt: 2},
		{Kind: policy.SetTimer, ID: 0x4d, After: 500_000},
		{Kind: policy.PollLoad, Server: 0x2c9011f2},
		{Kind: policy.CloseIdleConns, Server: 0x2c9011f3},
		{Kind: policy.LogMessage, Text: "two servers known"},
		{Kind: policy.SubscribeDiscovery},
	}
	lines := records(t, "testdata/actions.hex")
	if len(lines) != len(actions) {
		t.Fatalf("%d records", len(lines))
	}
	for i, line := range lines {
		if got := AppendAction(nil, 3, &actions[i]); !bytes.Equal(got, decodeHex(t, line)) {
			t.Errorf("%+v written as %x, want %s", actions[i], got, line)
		}
	}
}

// Each field of a batch header must be read from the same bytes as in an earlier version.
func TestReadsHeaderStoredByEarlierVersion(t *testing.T) {
	header, err := ParseBatchHeader(decodeHex(t, "00010203 00000405 00060708090a0b0c"))
	want := BatchHeader{BodySize: 0x00010203, RecordCount: 0x0405, Now: 0x00060708090a0b0c}
	if err != nil || header != want {
		t.Errorf("%x, %v", header, err)
	}
}
