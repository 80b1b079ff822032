package raftmember

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Raft is safe only while no member loses its vote or an entry that it acknowledged. A disk that was restored from a
// backup, or replaced by an empty one, lacks both. Each member therefore records how far its peers' disks have
// advanced, and a member that starts takes part only once its peers have checked its disk.

// diskProgress is how far a member's disk is known to have advanced. A disk that is behind it is an older copy.
type diskProgress struct {
	StartCount uint64 `json:"boot"`  // how often the member has started
	Nonce      uint64 `json:"nonce"` // of the process of that start; 0: not known
	Term       uint64 `json:"term"`
	Index      uint64 `json:"index"` // acknowledged in Term
}

// startID identifies one start of a member: a copy of its disk that is started elsewhere has the same count, but another
// nonce.
type startID struct{ count, nonce uint64 }

// String returns the value of startHeader.
func (s startID) String() string { return fmt.Sprintf("%d %d", s.count, s.nonce) }

func parseStartID(header string) (s startID, err error) {
	_, err = fmt.Sscan(header, &s.count, &s.nonce)
	return s, err
}

// Hello is the announcement of a member that starts: its ID and the progress of its disk.
type Hello struct {
	ID uint64 `json:"id"`
	diskProgress
}

var (
	// ErrStaleDisk is the reason to refuse a member: its disk lacks something that the member acknowledged, or another
	// process was started with its ID.
	ErrStaleDisk = errors.New("the member's disk is older than what it acknowledged, or another process uses its name")
	// ErrRefused is the error of a member that stops because a peer refused its Hello.
	ErrRefused = errors.New("refused by a peer")
)

// validateStart returns ErrStaleDisk if a member that announces the progress started must not take part. p is the known
// progress of its disk. The same start count with another nonce means a second process on a copy of the disk; a nonce
// of 0 is not known.
func (p diskProgress) validateStart(started diskProgress) error {
	isOtherProcess := started.StartCount == p.StartCount && p.Nonce != 0 && started.Nonce != p.Nonce
	if started.StartCount < p.StartCount || isOtherProcess || started.Term < p.Term ||
		started.Term == p.Term && started.Index < p.Index {
		return fmt.Errorf("start %d, term %d, index %d, where start %d, term %d, index %d is known: %w", started.StartCount,
			started.Term, started.Index, p.StartCount, p.Term, p.Index, ErrStaleDisk)
	}
	return nil
}

// announce sends Hello to the peers until acceptancesNeeded of them have accepted it. Each peer compares it with what
// it has recorded of this member's disk itself; after a single refusal announce returns ErrRefused. If ctx ends first
// it returns nil.
func (m *Member) announce(ctx context.Context) error {
	hello, err := json.Marshal(Hello{ID: m.opts.ID, diskProgress: m.store.progress(m.nonce)})
	if err != nil {
		return fmt.Errorf("encode hello: %w", err)
	}
	accepted := map[uint64]bool{}
	needed := acceptancesNeeded(len(m.opts.Members), m.store.freshness)
	ticker := time.NewTicker(requestTicks * m.tickInterval)
	defer ticker.Stop()
	for {
		if err := m.sendHello(ctx, hello, accepted); err != nil {
			return err
		}
		acceptedBy := slices.Sorted(maps.Keys(accepted))
		if len(accepted) >= needed {
			m.opts.Log.Info("member takes part in the raft group", "member", m.opts.ID, "start", m.store.startCount,
				"accepted_by", acceptedBy, "disk", m.store.freshness)
			return nil
		}
		m.opts.Log.Warn("member waits for its peers to accept its disk", "member", m.opts.ID, "accepted_by", acceptedBy,
			"needed", needed, "disk", m.store.freshness)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// sendHello sends Hello once to each peer that has not accepted it yet.
func (m *Member) sendHello(ctx context.Context, hello []byte, accepted map[uint64]bool) error {
	for id, p := range m.peers {
		if accepted[id] {
			continue
		}
		reply, err := m.post(ctx, p.addr, helloPath, hello)
		switch {
		case err == nil && reply.status == http.StatusOK:
			accepted[id] = true
			m.observeAcceptance(id, reply.text)
		case err == nil && reply.status == http.StatusConflict:
			return fmt.Errorf("member %d, by member %d: %w: %s", m.opts.ID, id, ErrRefused, reply.text)
		}
	}
	return nil
}

// observeAcceptance processes the response of a peer that accepted the Hello, which describes the peer's own disk. A
// member with a proven disk needs no guard.
func (m *Member) observeAcceptance(id uint64, text string) {
	if m.store.freshness == freshnessProven || text == "" {
		return
	}
	var response HelloResponse
	if err := json.Unmarshal([]byte(text), &response); err != nil {
		m.opts.Log.Warn("response to hello not readable", "member", id, "error", err)
		return
	}
	m.guard.observe(response)
}

// acceptHello checks a peer's disk and records how far it has advanced. It returns ErrStaleDisk for an older copy.
func (m *Member) acceptHello(h Hello) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.peerProgress[h.ID].validateStart(h.diskProgress); err != nil {
		return err
	}
	m.peerProgress[h.ID], m.progressDirty = h.diskProgress, true
	return nil
}

// observeMessage records how far the disk of a raft message's sender has advanced. It returns ErrStaleDisk if a later
// start of the sender is known, or another process with the same start count: two processes with one ID must not both
// vote.
func (m *Member) observeMessage(msg *pb.Message, sender startID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := m.peerProgress[msg.GetFrom()]
	if sender.count < seen.StartCount || sender.count == seen.StartCount && sender.nonce != seen.Nonce {
		return fmt.Errorf("start %d, where start %d is known: %w", sender.count, seen.StartCount, ErrStaleDisk)
	}
	next := seen
	next.StartCount, next.Nonce = sender.count, sender.nonce // other peers may have accepted its Hello without this member
	next.advance(msg)
	if next != seen {
		m.peerProgress[msg.GetFrom()] = next
		m.progressDirty = m.progressDirty || next.Term != seen.Term || next.StartCount != seen.StartCount
	}
	return nil
}

// advance moves p forward to the term of a message and to the index that the message acknowledges.
func (p *diskProgress) advance(msg *pb.Message) {
	if msg.GetType() == pb.MessageType_MsgPreVote || msg.GetType() == pb.MessageType_MsgPreVoteResp {
		return // these carry a term that no member has entered
	}
	if msg.GetTerm() > p.Term {
		p.Term, p.Index = msg.GetTerm(), 0
	}
	if msg.GetType() == pb.MessageType_MsgAppResp && !msg.GetReject() && msg.GetTerm() == p.Term {
		p.Index = max(p.Index, msg.GetIndex())
	}
}

// persistProgress stores the peers' progress if it has a new term or a new start. A new index alone is stored with the
// next such change.
func (m *Member) persistProgress() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.progressDirty {
		return nil
	}
	err := m.store.savePeerProgress(m.peerProgress)
	m.progressDirty = err != nil
	return err
}
