package raftmember

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"

	"pumiceline/internal/singleton"
)

// startNode creates the raft node. A member without a log starts with the entries that add all members.
func (m *Member) startNode() (err error) {
	m.node, err = raft.NewRawNode(&raft.Config{
		ID:                        m.opts.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   m.store.mem,
		Applied:                   m.applied,
		MaxSizePerMsg:             1 << 20,
		MaxInflightMsgs:           64,
		MaxUncommittedEntriesSize: 1 << 20,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true, // what a member decided while it led must not count once another leads
		Logger:                    raftLogger{m.opts.Log},
	})
	if err != nil {
		return fmt.Errorf("create raft node: %w", err)
	}
	if last, _ := m.store.mem.LastIndex(); last > 0 { // a MemoryStorage returns no error
		return nil
	}
	var members []raft.Peer
	for _, id := range slices.Sorted(maps.Keys(m.opts.Members)) { // the first entries have to be the same at all members
		members = append(members, raft.Peer{ID: id})
	}
	if err := m.node.Bootstrap(members); err != nil {
		return fmt.Errorf("bootstrap raft node: %w", err)
	}
	return nil
}

// loop drives the raft node until ctx ends or the member must not go on.
func (m *Member) loop(ctx context.Context) error {
	ticker := time.NewTicker(m.tickInterval)
	defer ticker.Stop()
	defer m.checks.fail()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			m.node.Tick()
			m.proposeDue()
			if err := m.persistProgress(); err != nil {
				return err
			}
		case err := <-m.fatal:
			return err
		case msg := <-m.received:
			_ = m.node.Step(msg) // an error is a message that no longer fits: it is lost
		case call := <-m.calls:
			call()
		}
		m.checks.start(m.node)
		for m.node.HasReady() {
			if err := m.handleReady(); err != nil {
				return err
			}
		}
	}
	return nil
}

// runOnLoop has f run by the raft loop and waits for it. It is false where ctx ended before the loop took f.
func (m *Member) runOnLoop(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case m.calls <- func() { f(); close(done) }:
		<-done
		return true
	case <-ctx.Done():
		return false
	}
}

// proposeDue proposes the commands that are due by time.
func (m *Member) proposeDue() {
	if m.leaseManager != nil {
		m.propose(m.leaseManager.Tick(m.now(), m.state)...)
	}
}

// propose appends commands to the log. What raft drops is decided anew at a later tick.
func (m *Member) propose(commands ...singleton.Command) {
	for _, c := range commands {
		text, err := json.Marshal(c)
		if err == nil {
			err = m.node.Propose(text)
		}
		if err != nil {
			m.opts.Log.Debug("proposal dropped", "command", c, "error", err)
		}
	}
}

// handleReady does what raft wants done, in the order that it requires: first the disk, then the messages, then the state.
func (m *Member) handleReady() error {
	ready := m.node.Ready()
	if err := m.store.save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
		return err
	}
	m.observeLeader(ready)
	for _, msg := range ready.Messages {
		m.enqueue(msg)
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := m.restoreSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range ready.CommittedEntries {
		if err := m.applyEntry(e); err != nil {
			return err
		}
	}
	m.checks.confirm(ready.ReadStates, m.applied)
	m.node.Advance(ready)
	return m.snapshotIfDue()
}

// observeLeader takes in a change of the leader or of the term. Either ends this member's leadership as far as leases are
// concerned: it has to apply an entry of the new term before it decides again.
func (m *Member) observeLeader(ready raft.Ready) {
	if s := ready.SoftState; s != nil && (s.Lead != m.leader || s.RaftState != raft.StateLeader) {
		m.stopLeading()
		if m.leader != s.Lead {
			m.opts.Log.Info("leader changed", "member", m.opts.ID, "leader", s.Lead, "previous_leader", m.leader)
		}
		m.leader = s.Lead
	}
	if term := ready.HardState.GetTerm(); !raft.IsEmptyHardState(ready.HardState) && term != m.term {
		m.term = term
		m.stopLeading()
	}
}

func (m *Member) stopLeading() {
	m.checks.fail()
	m.leaseManager = nil
}
