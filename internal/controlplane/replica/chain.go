package replica

import (
	"bytes"
	"time"

	"pumiceline/internal/message"
)

// replicationLink is the member's part in passing the state down the chain of its view.
type replicationLink struct {
	synced              bool // the state agrees with what the predecessor has in this view
	committed           bool // every member of the view has synced the state
	committedInView     bool // the state was settled in this view before
	committedState      message.ChainState
	forwardedAt         time.Duration
	snapshotRequestedAt time.Duration
	catchUpAttempts     int // requests to catch up; each goes to another member
	pending             []pendingRequest
	inFlight            *pendingRequest // the call whose change is on its way down the chain
}

// pendingRequest is an operator's call that waits at the head or the tail.
type pendingRequest struct {
	from       message.Member
	request    message.ConfigRequest
	receivedAt time.Duration
}

// resetReplication starts the member's part in a view, or anew after a start.
func (r *Replica) resetReplication() {
	calls := r.link.pending
	r.link = replicationLink{committedState: r.link.committedState, pending: calls}
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

// forwardToSuccessor sends the state to the successor once it is synced here: change where the successor lacks only that, else
// the digest. At the tail it tells the predecessor that the state is settled.
func (r *Replica) forwardToSuccessor(replicate *message.Replicate) {
	r.link.forwardedAt = r.now
	r.link.committed = false
	next, ok := r.successor()
	if !ok {
		self := message.Member{Identity: r.control.Identity, Address: r.options.Self.Address}
		committed := &message.Committed{Sequence: r.chain.Sequence, Digest: r.chain.Digest}
		r.sendAfterSync(self, message.Message{Committed: committed})
		return
	}
	if replicate == nil {
		replicate = &message.Replicate{Sequence: r.chain.Sequence, Digest: r.chain.Digest}
	}
	r.sendAfterSync(next, message.Message{Replicate: replicate})
}

func (r *Replica) onReplicate(m *message.Message) {
	predecessor, ok := r.predecessor()
	if !ok || m.View != r.control.View.Number || m.From != predecessor.Identity {
		return
	}
	replicate := m.Replicate
	if r.chain.View == m.View && replicate.Sequence < r.chain.Sequence {
		return // overtaken by a later one: within a view the state only grows
	}
	switch {
	case replicate.Snapshot != nil:
		r.installSnapshot(*replicate.Snapshot)
	case r.link.synced && r.link.committed && bytes.Equal(r.chain.Digest, replicate.Digest):
		r.acknowledgeToPredecessor()
		return
	case bytes.Equal(r.chain.Digest, replicate.Digest) && r.chain.Sequence == replicate.Sequence:
	case replicate.Change != nil && r.applyChange(replicate.Change) == nil:
	default:
		r.send(predecessor, message.Message{SnapshotRequest: &message.SnapshotRequest{Full: true}})
		return
	}
	first := !r.link.synced
	r.link.synced = true
	r.recordView()
	if !r.control.Complete {
		r.control.Complete = true
		r.controlDirty = true
	}
	if first || replicate.Change != nil || replicate.Snapshot != nil || r.now-r.link.forwardedAt >= replicateRetryInterval {
		if replicate.Snapshot != nil {
			replicate = nil
		}
		r.forwardToSuccessor(replicate)
	}
}

// recordView notes that the state is that of this view, so that nothing older is taken for it after a restart.
func (r *Replica) recordView() {
	if r.chain.View != r.control.View.Number {
		r.chain.View = r.control.View.Number
		r.replaceChain()
	}
}

// replaceChain notes that the state has to be written whole.
func (r *Replica) replaceChain() {
	r.chainDirty, r.appendedRecords = true, nil
	r.chainReplaced = true
}

// installSnapshot replaces the whole state by the predecessor's.
func (r *Replica) installSnapshot(state message.ChainState) {
	if bytes.Equal(r.chain.Digest, state.Digest) && r.chain.Sequence == state.Sequence {
		return
	}
	r.chain = state
	r.replaceChain()
}

// applyChange puts one change on top of the state; an error says that it does not fit, and leaves the state as it is.
func (r *Replica) applyChange(record *message.ChangeRecord) error {
	next, err := ApplyChange(&r.chain, record)
	if err != nil {
		return err
	}
	next.View = r.control.View.Number
	r.chain = next
	r.chainDirty = true
	r.appendedRecords = append(r.appendedRecords, *record)
	return nil
}

func (r *Replica) onCommitted(m *message.Message) {
	if m.View != r.control.View.Number || !r.link.synced {
		return
	}
	next, ok := r.successor()
	if ok && m.From != next.Identity || !ok && m.From != r.control.Identity {
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

func (r *Replica) acknowledgeToPredecessor() {
	if predecessor, ok := r.predecessor(); ok {
		committed := &message.Committed{Sequence: r.chain.Sequence, Digest: r.chain.Digest}
		r.sendAfterSync(predecessor, message.Message{Committed: committed})
	}
}

func (r *Replica) onSnapshotRequest(m *message.Message) {
	next, ok := r.successor()
	if !ok || m.View != r.control.View.Number || m.From != next.Identity || !r.link.synced {
		return
	}
	replicate := &message.Replicate{Sequence: r.chain.Sequence, Digest: r.chain.Digest}
	if m.SnapshotRequest.Full {
		state := r.chain
		replicate.Snapshot = &state
	}
	r.sendAfterSync(next, message.Message{Replicate: replicate})
}

// tickChain repeats what got no answer.
func (r *Replica) tickChain() {
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
