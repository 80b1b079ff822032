package raftmember

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"pumiceline/internal/singleton"
)

// The stores in testdata were written by an earlier version, cef8855. They must not be regenerated. log.db is the store
// of a member with no snapshot: the entries that add the three members, then a command of each kind. snapshot.db is
// that of a member with a snapshot of the same state at index 10, two further commands, and the progress of the other
// members' disks.

// storedCommands are the commands in both logs, from index 4 on.
var storedCommands = []singleton.Command{
	{Kind: "term", LeaseDuration: 2_000_000, Reason: "its lease differs"},
	{Kind: "want", Role: "roster", Instance: "instance-b", Reason: "an operator wants it"},
	{Kind: "grant", Role: "roster", Instance: "instance-a", Incarnation: 18446744073709551615, Reason: "it has none"},
	{Kind: "grant", Role: "prices", Instance: "instance-c", Incarnation: 7, Reason: "it has none"},
	{Kind: "expire", Role: "prices", Token: 1, Reason: "no progress for a lease"},
	{Kind: "free", Role: "roster", Token: 1, Reason: "it was given back"},
	{Kind: "grant", Role: "prices", Instance: "instance-a", Incarnation: 18446744073709551615, Token: 1, Reason: "it has the least"},
	{Kind: "spare", Instance: "instance-c", Reason: "none for long"},
	{Kind: "grant", Role: "roster", Instance: "instance-b", Incarnation: 9, Token: 1, Reason: "an operator wants it"},
}

// Indexes in the stores.
const (
	storedMembers  = 3  // the entries that add the members come first
	storedSnapshot = 10 // index of the snapshot: the last two commands come after it
)

func storedStateAtSnapshot() *singleton.State {
	return &singleton.State{
		Assignments: map[string]singleton.Assignment{
			"roster": {Token: 1, DesiredHolder: "instance-b"},
			"prices": {Token: 2, Holder: "instance-a", Incarnation: 18446744073709551615},
		},
		Expirations:   map[string]int{"instance-c": 1},
		LeaseDuration: 2_000_000,
	}
}

func storedStateAtEnd() *singleton.State {
	return &singleton.State{
		Assignments: map[string]singleton.Assignment{
			"roster": {Token: 2, Holder: "instance-b", Incarnation: 9},
			"prices": {Token: 2, Holder: "instance-a", Incarnation: 18446744073709551615},
		},
		Expirations:   map[string]int{},
		LeaseDuration: 2_000_000,
	}
}

var storedPeerProgress = map[uint64]diskProgress{
	1: {StartCount: 4, Nonce: 18446744073709551615, Term: 5, Index: 12},
	3: {StartCount: 2, Nonce: 11, Term: 4, Index: 9},
}

// unpackStore unpacks a store from testdata into a folder.
func unpackStore(t *testing.T, name string) (dir string) {
	t.Helper()
	packed, err := os.Open(filepath.Join("testdata", name+".gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	unpacked, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(unpacked)
	if err != nil {
		t.Fatal(err)
	}
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "member.db"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// openStored opens member 2 of three on a store from testdata.
func openStored(t *testing.T, name string) *Member {
	t.Helper()
	m, err := Open(Options{
		Fleet: "fleet", ID: 2, Members: map[uint64]string{1: "127.0.0.1:1", 2: "127.0.0.1:2", 3: "127.0.0.1:3"}, Dir: unpackStore(t, name),
		Settings: singleton.Settings{Roles: []string{"roster", "prices"}, LeaseDuration: 2_000_000, MaxClockDrift: 0.1},
		Log:      slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { m.store.db.Close() })
	return m
}

// checkHardState checks term, vote, commit index and start count. The member had started once when the store was
// written.
func checkHardState(t *testing.T, m *Member) {
	t.Helper()
	hard, _, err := m.store.mem.InitialState()
	if err != nil {
		t.Fatal(err)
	}
	if hard.GetTerm() != 5 || hard.GetVote() != 3 || hard.GetCommit() != 12 {
		t.Errorf("term %d, vote %d, commit %d", hard.GetTerm(), hard.GetVote(), hard.GetCommit())
	}
	if m.store.startCount != 2 {
		t.Errorf("start %d", m.store.startCount)
	}
	if at, want := m.store.progress(8), (diskProgress{StartCount: 2, Nonce: 8, Term: 5, Index: 12}); at != want {
		t.Errorf("the disk is at %+v, not %+v", at, want)
	}
}

// storedEntries returns the entries of a store. It checks that they run from the given index to 12.
func storedEntries(t *testing.T, m *Member, from uint64) []*pb.Entry {
	t.Helper()
	first, err := m.store.mem.FirstIndex()
	if err != nil {
		t.Fatal(err)
	}
	last, err := m.store.mem.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	if first != from || last != 12 {
		t.Fatalf("entries %d to %d, not %d to 12", first, last, from)
	}
	entries, err := m.store.mem.Entries(first, last+1, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

// checkCommands compares entries with storedCommands, beginning at the given one.
func checkCommands(t *testing.T, entries []*pb.Entry, from int) {
	t.Helper()
	if len(entries) != len(storedCommands)-from {
		t.Fatalf("%d entries of commands", len(entries))
	}
	for i, e := range entries {
		number := from + i
		var c singleton.Command
		if err := json.Unmarshal(e.GetData(), &c); err != nil {
			t.Fatal(err)
		}
		if c != storedCommands[number] {
			t.Errorf("command %d: %+v, not %+v", number, c, storedCommands[number])
		}
		if want := uint64(storedMembers + 1 + number); e.GetIndex() != want || e.GetTerm() != uint64(2+number/3) || e.GetType() != pb.EntryType_EntryNormal {
			t.Errorf("command %d: index %d, term %d, type %v", number, e.GetIndex(), e.GetTerm(), e.GetType())
		}
	}
}

// applyEntries applies entries at a member, and checks the resulting state.
func applyEntries(t *testing.T, m *Member, entries []*pb.Entry) {
	t.Helper()
	if err := m.startNode(); err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if err := m.applyEntry(e); err != nil {
			t.Fatal(err)
		}
	}
	if want := storedStateAtEnd(); !reflect.DeepEqual(m.state, want) {
		t.Errorf("state %+v, not %+v", m.state, want)
	}
	checkConfiguration(t, m.confState)
	if m.applied != 12 {
		t.Errorf("applied %d", m.applied)
	}
}

func checkConfiguration(t *testing.T, conf *pb.ConfState) {
	t.Helper()
	if !proto.Equal(conf, &pb.ConfState{Voters: []uint64{1, 2, 3}, AutoLeave: proto.Bool(false)}) {
		t.Errorf("configuration %v", conf)
	}
}

func TestReadsLogStoredByEarlierVersion(t *testing.T) {
	m := openStored(t, "log.db")
	checkHardState(t, m)
	if snap, err := m.store.mem.Snapshot(); err != nil || !raft.IsEmptySnap(snap) || m.applied != 0 || m.snapshotIndex != 0 {
		t.Errorf("snapshot %v, %v; applied %d, snapshot at %d", snap, err, m.applied, m.snapshotIndex)
	}
	if len(m.peerProgress) != 0 {
		t.Errorf("peers' progress %v", m.peerProgress)
	}
	entries := storedEntries(t, m, 1)
	for i, e := range entries[:storedMembers] {
		var change pb.ConfChange
		if err := proto.Unmarshal(e.GetData(), &change); err != nil {
			t.Fatal(err)
		}
		if e.GetType() != pb.EntryType_EntryConfChange || e.GetIndex() != uint64(i+1) || e.GetTerm() != 1 ||
			change.GetType() != pb.ConfChangeType_ConfChangeAddNode || change.GetNodeId() != uint64(i+1) || len(change.GetContext()) != 0 {
			t.Errorf("entry %v, change %v", e, &change)
		}
	}
	checkCommands(t, entries[storedMembers:], 0)
	applyEntries(t, m, entries)
}

func TestReadsSnapshotStoredByEarlierVersion(t *testing.T) {
	m := openStored(t, "snapshot.db")
	checkHardState(t, m)
	snap, err := m.store.mem.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if meta := snap.GetMetadata(); meta.GetIndex() != storedSnapshot || meta.GetTerm() != 4 {
		t.Errorf("snapshot at index %d, term %d", meta.GetIndex(), meta.GetTerm())
	}
	checkConfiguration(t, snap.GetMetadata().GetConfState())
	checkConfiguration(t, m.confState)
	if want := storedStateAtSnapshot(); !reflect.DeepEqual(m.state, want) {
		t.Errorf("state %+v, not %+v", m.state, want)
	}
	if m.applied != storedSnapshot || m.snapshotIndex != storedSnapshot {
		t.Errorf("applied %d, snapshot at %d", m.applied, m.snapshotIndex)
	}
	if !reflect.DeepEqual(m.peerProgress, storedPeerProgress) {
		t.Errorf("peers' progress %+v, not %+v", m.peerProgress, storedPeerProgress)
	}
	entries := storedEntries(t, m, storedSnapshot+1)
	checkCommands(t, entries, storedSnapshot-storedMembers)
	applyEntries(t, m, entries)
}

// Messages between members, and from members to operators, have the same format as in an earlier version: the members
// of a fleet are upgraded one after the other.
func TestEncodingMatchesEarlierVersion(t *testing.T) {
	status := Status{
		ID: 2, Leader: 3, Term: 5, Applied: 12, Assignments: map[string]singleton.Assignment{"roster": {Token: 2, Holder: "instance-b", Incarnation: 9, DesiredHolder: "instance-c"}},
		ProgressAgeMs: map[string]int64{"roster": 40}, Instances: []string{"instance-b"}, HolderChanges: 6,
	}
	for _, c := range []struct {
		name  string
		value any
		text  string
	}{
		{"hello", Hello{ID: 2, diskProgress: diskProgress{StartCount: 3, Nonce: 4, Term: 5, Index: 6}}, `{"id":2,"boot":3,"nonce":4,"term":5,"index":6}`},
		{"peers' progress", storedPeerProgress, `{"1":{"boot":4,"nonce":18446744073709551615,"term":5,"index":12},"3":{"boot":2,"nonce":11,"term":4,"index":9}}`},
		{"fleet", FleetStatus{HasQuorum: true, Members: map[uint64]Status{2: status}, Unreachable: map[uint64]string{1: "refused"}},
			`{"quorum":true,"members":{"2":{"id":2,"leader":3,"term":5,"applied":12,"works":{"roster":{"token":2,"owner":"instance-b","life":9,` +
				`"want":"instance-c"}},"age_ms":{"roster":40},"instances":["instance-b"],"changes":6}},"silent":{"1":"refused"}}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			text, err := json.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			if string(text) != c.text {
				t.Errorf("%s\nnot\n%s", text, c.text)
			}
			read := reflect.New(reflect.TypeOf(c.value))
			if err := json.Unmarshal([]byte(c.text), read.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(read.Elem().Interface(), c.value) {
				t.Errorf("read %+v", read.Elem())
			}
		})
	}
}
