package replica

import (
	"bytes"
	"time"

	"pumiceline/internal/message"
)

// replicationLink is the state of this member's replication to its successor and from its predecessor.
type replicationLink struct {
	synced              bool               // the state agrees with the predecessor's in this view
	committed           bool               // every member of the view has synced the state
	committedInView     bool               // some state was committed in this view
	committedState      message.ChainState // the newest state known to be committed, in any view
	forwardedAt         time.Duration      // when the state was last sent to the successor
	snapshotRequestedAt time.Duration
	catchUpAttempts     int              // number of catch-up requests sent; each goes to the next member
	pending             []pendingRequest // requests queued at the head or the tail
	inFlight            *pendingRequest  // the request whose change is being replicated, at the head
}

// resetReplication restarts replication when a view is entered or the process starts. A complete head holds every
// acknowledged change, so the chain adopts its state.
func (r *Replica) resetReplication() {
	r.link = replicationLink{committedState: r.link.committedState, pending: r.link.pending}
	if r.isHead() && r.control.Complete {
		r.link.synced = true
		r.recordView()
		r.forwardToSuccessor(nil)
	}
}

func (r *Replica) successor() (message.Member, bool) {
	position := r.position()
	if position < 0 || position+1 >= len(r.control.View.Members) {
		return message.Member{}, false
	}
	return r.control.View.Members[position+1], true
}

func (r *Replica) predecessor() (message.Member, bool) {
	position := r.position()
	if position <= 0 {
		return message.Member{}, false
	}
	return r.control.View.Members[position-1], true
}

// forwardToSuccessor sends the state to the successor once it is synced here. replicate carries a change if the
// successor lacks only that change; if it is nil, only the digest is sent. The tail has no successor: it commits the
// state once it is synced.
func (r *Replica) forwardToSuccessor(replicate *message.Replicate) {
	r.link.forwardedAt = r.now
	r.link.committed = false
	successor, ok := r.successor()
	if !ok {
		self := message.Member{Identity: r.control.Identity, Address: r.options.Self.Address}
		r.sendAfterSync(self, message.Message{Committed: r.committedMessage()})
		return
	}
	if replicate == nil {
		replicate = &message.Replicate{Sequence: r.chain.Sequence, Digest: r.chain.Digest}
	}
	r.sendAfterSync(successor, message.Message{Replicate: replicate})
}

// onReplicate installs the predecessor's state and forwards it if it is new to this member. If the message has only a
// change or a digest, and does not lead from this member's state to the predecessor's, it requests a snapshot.
func (r *Replica) onReplicate(m *message.Message) {
	predecessor, ok := r.predecessor()
	if !ok || m.View != r.control.View.Number || m.From != predecessor.Identity {
		return
	}
	replicate := m.Replicate
	if r.chain.View == m.View && replicate.Sequence < r.chain.Sequence {
		return // reordered after a later message: within a view the sequence only rises
	}
	isSame := bytes.Equal(r.chain.Digest, replicate.Digest)
	if replicate.Snapshot == nil && isSame && r.link.synced && r.link.committed {
		r.acknowledgeToPredecessor() // the last acknowledgement was lost
		return
	}
	switch {
	case replicate.Snapshot != nil:
		r.installSnapshot(*replicate.Snapshot)
	case isSame && r.chain.Sequence == replicate.Sequence: // nothing to apply
	case replicate.Change != nil && r.applyChange(replicate.Change) == nil:
	default:
		r.send(predecessor, message.Message{SnapshotRequest: &message.SnapshotRequest{Full: true}})
		return
	}
	isFirst := !r.link.synced
	r.markSynced()
	isNew := isFirst || replicate.Change != nil || replicate.Snapshot != nil
	if !isNew && r.now-r.link.forwardedAt < replicateRetryInterval {
		return // the predecessor repeats its digest; this state was forwarded within replicateRetryInterval
	}
	if replicate.Snapshot != nil {
		replicate = nil // the successor requests a snapshot if it needs one
	}
	r.forwardToSuccessor(replicate)
}

// markSynced records that the state agrees with the predecessor's, which makes this member complete.
func (r *Replica) markSynced() {
	r.link.synced = true
	r.recordView()
	if !r.control.Complete {
		r.control.Complete = true
		r.output.controlDirty = true
	}
}

// recordView stores the current view in the chain state, so that after a restart an older message of that view cannot
// replace the state.
func (r *Replica) recordView() {
	if r.chain.View != r.control.View.Number {
		r.chain.View = r.control.View.Number
		r.replaceChain()
	}
}

// replaceChain marks the chain state to be written in full.
func (r *Replica) replaceChain() {
	r.output.chainDirty, r.output.chainReplaced = true, true
	r.output.appendedRecords = nil
}

// installSnapshot replaces the chain state by another member's.
func (r *Replica) installSnapshot(state message.ChainState) {
	if bytes.Equal(r.chain.Digest, state.Digest) && r.chain.Sequence == state.Sequence {
		return
	}
	r.chain = state
	r.replaceChain()
}

// applyChange applies one change to the chain state. If the change does not apply, it returns an error and the state is
// unchanged.
func (r *Replica) applyChange(record *message.ChangeRecord) error {
	next, err := ApplyChange(&r.chain, record)
	if err != nil {
		return err
	}
	next.View = r.control.View.Number
	r.chain = next
	r.output.chainDirty = true
	r.output.appendedRecords = append(r.output.appendedRecords, *record)
	return nil
}

// onCommitted handles the successor's acknowledgement of the state. The tail acknowledges to itself.
func (r *Replica) onCommitted(m *message.Message) {
	if m.View != r.control.View.Number || !r.link.synced {
		return
	}
	expectedSender := r.control.Identity
	if successor, ok := r.successor(); ok {
		expectedSender = successor.Identity
	}
	if m.From != expectedSender {
		return
	}
	if m.Committed.Sequence != r.chain.Sequence || !bytes.Equal(m.Committed.Digest, r.chain.Digest) {
		return
	}
	r.link.committed, r.link.committedInView = true, true
	r.link.committedState = r.chain
	r.acknowledgeToPredecessor()
	if r.isHead() {
		r.acknowledgeChange()
		r.dispatchPendingRequests()
	}
}

// acknowledgeToPredecessor tells the predecessor that every member from this one to the tail has synced the state.
func (r *Replica) acknowledgeToPredecessor() {
	if predecessor, ok := r.predecessor(); ok {
		r.sendAfterSync(predecessor, message.Message{Committed: r.committedMessage()})
	}
}

func (r *Replica) committedMessage() *message.Committed {
	return &message.Committed{Sequence: r.chain.Sequence, Digest: r.chain.Digest}
}

// onSnapshotRequest sends the successor a snapshot if it asks for the full state, otherwise the digest.
func (r *Replica) onSnapshotRequest(m *message.Message) {
	successor, ok := r.successor()
	if !ok || m.View != r.control.View.Number || m.From != successor.Identity || !r.link.synced {
		return
	}
	replicate := &message.Replicate{Sequence: r.chain.Sequence, Digest: r.chain.Digest}
	if m.SnapshotRequest.Full {
		state := r.chain
		replicate.Snapshot = &state
	}
	r.sendAfterSync(successor, message.Message{Replicate: replicate})
}

// tickReplication sends unacknowledged states and unanswered requests again.
func (r *Replica) tickReplication() {
	if !r.IsMember() {
		return
	}
	if r.link.synced && !r.link.committed && r.now-r.link.forwardedAt >= replicateRetryInterval {
		r.forwardToSuccessor(nil)
	}
	if !r.link.synced && r.now-r.link.snapshotRequestedAt >= replicateRetryInterval {
		if predecessor, ok := r.predecessor(); ok {
			r.link.snapshotRequestedAt = r.now
			r.send(predecessor, message.Message{SnapshotRequest: &message.SnapshotRequest{}})
		}
		r.requestCatchUp()
	}
	r.dispatchPendingRequests()
}
