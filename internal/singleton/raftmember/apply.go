package raftmember

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"pumiceline/internal/singleton"
)

// applyEntry applies a committed entry: a change of raft's own configuration, a command, or the empty entry with which
// a new leader begins its term.
func (m *Member) applyEntry(e *pb.Entry) error {
	m.applied = e.GetIndex()
	switch {
	case e.GetType() == pb.EntryType_EntryConfChange:
		change := &pb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), change); err != nil {
			return fmt.Errorf("decode entry %d: %w", e.GetIndex(), err)
		}
		m.confState = m.node.ApplyConfChange(change)
	case e.GetType() == pb.EntryType_EntryConfChangeV2:
		change := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), change); err != nil {
			return fmt.Errorf("decode entry %d: %w", e.GetIndex(), err)
		}
		m.confState = m.node.ApplyConfChange(change)
	case len(e.GetData()) > 0:
		m.applyCommand(e)
	}
	m.startLeaseManagerIfLeading(e.GetTerm())
	return nil
}

// applyCommand applies the command of an entry. A command that can't be decoded is from a newer build: like a command
// of an unknown kind, it changes nothing at any member of this build.
func (m *Member) applyCommand(e *pb.Entry) {
	var c singleton.Command
	if err := json.Unmarshal(e.GetData(), &c); err != nil {
		m.opts.Log.Error("log entry is not readable", "index", e.GetIndex(), "error", err)
		return
	}
	before := m.state.Assignments[c.Role]
	if err := m.state.Apply(c); err != nil {
		m.opts.Log.Debug("command ignored", "command", c, "error", err)
		return
	}
	if now := m.state.Assignments[c.Role]; now.Holder != before.Holder || now.Token != before.Token {
		m.holderChanges++
		m.opts.Log.Info("role assignment changed", "role", c.Role, "command", c.Kind, "holder", now.Holder, "token", now.Token,
			"previous_holder", before.Holder, "reason", c.Reason)
	}
}

// startLeaseManagerIfLeading starts the lease manager if this member leads and has applied the first entry of its own
// term: by then it has applied every entry that was committed under earlier leaders. If it granted or renewed a lease
// earlier, the role might have a holder that this member does not know of.
func (m *Member) startLeaseManagerIfLeading(appliedTerm uint64) {
	status := m.node.BasicStatus()
	if m.leaseManager != nil || status.RaftState != raft.StateLeader || appliedTerm != status.GetTerm() {
		return
	}
	m.leaseManager = singleton.NewLeaseManager(m.opts.Settings, m.state, m.now())
	m.opts.Log.Info("lease manager started", "member", m.opts.ID, "term", appliedTerm)
}

// restoreSnapshot replaces the state with that of a snapshot.
func (m *Member) restoreSnapshot(snapshot *pb.Snapshot) error {
	state, err := singleton.DecodeState(snapshot.GetData())
	if err != nil {
		return err
	}
	meta := snapshot.GetMetadata()
	m.state, m.confState = state, meta.GetConfState()
	m.applied, m.snapshotIndex = meta.GetIndex(), meta.GetIndex()
	return nil
}

// snapshotIfDue replaces the applied log with a snapshot every SnapshotInterval entries.
func (m *Member) snapshotIfDue() error {
	if m.applied-m.snapshotIndex < m.opts.SnapshotInterval {
		return nil
	}
	text, err := json.Marshal(m.state)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	if err := m.store.compact(m.applied, m.opts.SnapshotInterval/keptIntervalDivisor, m.confState, text); err != nil {
		return err
	}
	m.snapshotIndex = m.applied
	return nil
}
