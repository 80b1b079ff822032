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

// Limits of the raft node.
const (
	maxMessageBytes     = 1 << 20 // of entries in one message
	maxMessagesInFlight = 64      // of entries, to one peer, without an acknowledgement
	maxUncommittedBytes = 1 << 20 // of proposals; further ones are dropped
)

// startNode creates the raft node. A member without a log starts with the entries that add all members.
func (m *Member) startNode() (err error) {
	m.node, err = raft.NewRawNode(&raft.Config{
		ID:                        m.opts.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   m.store.mem,
		Applied:                   m.applied,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxMessagesInFlight,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true, // a command that one leader decided on must not take effect under another
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

// storeSelfVote stores voteGuard.selfVote, with which a member starts if its disk is not proven.
func (m *Member) storeSelfVote() error {
	if m.store.freshness == freshnessProven {
		return nil
	}
	stored, _, _ := m.store.mem.InitialState() // a MemoryStorage returns no error
	selfVote := m.guard.selfVote(m.opts.ID, stored)
	if selfVote == nil {
		return nil
	}
	return m.store.save(selfVote, nil, nil)
}

// markWhenCaughtUp marks the store as the newest once its log has reached the position that the guard requires.
func (m *Member) markWhenCaughtUp() error {
	if m.isCaughtUp || !m.guard.mayCampaign(m.store.logEnd()) {
		return nil
	}
	m.isCaughtUp = true
	if err := m.store.startMarking(); err != nil {
		return writeError("the start of a mark", err)
	}
	return nil
}

// loop drives the raft node until ctx ends or an error stops the member.
func (m *Member) loop(ctx context.Context) error {
	ticker := time.NewTicker(m.tickInterval)
	defer ticker.Stop()
	defer m.checks.fail()
	for ctx.Err() == nil {
		if err := m.markWhenCaughtUp(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
			if m.guard.mayCampaign(m.store.logEnd()) {
				m.node.Tick()
			}
			m.tickLeaseManager()
			if err := m.persistProgress(); err != nil {
				return err
			}
		case err := <-m.fatal:
			return err
		case msg := <-m.received:
			if m.guard.mayReceive(msg, m.store.logEnd()) {
				_ = m.node.Step(msg) // an error means that raft does not accept the message from a peer: it is dropped
			}
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

// runOnLoop makes the raft loop run f and waits until f has returned. It returns false if ctx ended before the loop
// received f.
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

// tickLeaseManager proposes the commands that are due by now.
func (m *Member) tickLeaseManager() {
	if m.leaseManager != nil {
		m.propose(m.leaseManager.Tick(m.now(), m.state)...)
	}
}

// propose proposes commands for the log. If raft drops a command, the lease manager returns it again at a later tick or
// heartbeat if it is still due; an operator's command is lost.
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

// handleReady handles a raft.Ready in the order that raft requires: first the disk, then the messages, then the state.
// If a message were sent before the entry or vote that it acknowledges is on disk, a crash could lose what was
// acknowledged.
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

// observeLeader handles a change of the leader or of the term. Either stops the lease manager: before this member
// decides again, it has to apply an entry of the new term.
func (m *Member) observeLeader(ready raft.Ready) {
	if s := ready.SoftState; s != nil && (s.Lead != m.leader || s.RaftState != raft.StateLeader) {
		m.stopLeaseManager()
		if m.leader != s.Lead {
			m.opts.Log.Info("leader changed", "member", m.opts.ID, "leader", s.Lead, "previous_leader", m.leader)
		}
		m.leader = s.Lead
	}
	if term := ready.HardState.GetTerm(); !raft.IsEmptyHardState(ready.HardState) && term != m.term {
		m.term = term
		m.stopLeaseManager()
	}
}

func (m *Member) stopLeaseManager() {
	m.checks.fail()
	m.leaseManager = nil
}
