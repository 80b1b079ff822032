package replica

import (
	"bytes"
	"time"

	"pumiceline/internal/message"
)

// chainLink is the member's part in passing the state down the chain of its view.
type chainLink struct {
	synced   bool // the state agrees with what the predecessor has in this view
	settled  bool // every member of the view has synced the state
	current  bool // the state was settled in this view before
	served   message.ChainState
	sentAt   time.Duration
	askedAt  time.Duration
	asked    int // requests to catch up; each goes to another member
	calls    []waitingCall
	deciding *waitingCall // the call whose change is on its way down the chain
}

// waitingCall is an operator's call that waits at the head or the tail.
type waitingCall struct {
	from    message.Member
	call    message.ConfigRequest
	arrived time.Duration
}

// enterRole starts the member's part in a view, or anew after a start.
func (r *Replica) enterRole() {
	calls := r.link.calls
	r.link = chainLink{served: r.link.served, calls: calls}
	if r.isHead() && r.control.Complete {
		r.link.synced = true
		r.markView()
		r.passDown(nil)
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

// passDown sends the state to the successor once it is synced here: change where the successor lacks only that, else
// the digest. At the tail it tells the predecessor that the state is settled.
func (r *Replica) passDown(replicate *message.Replicate) {
	r.link.sentAt = r.now
	r.link.settled = false
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
		r.adopt(*replicate.Snapshot)
	case r.link.synced && r.link.settled && bytes.Equal(r.chain.Digest, replicate.Digest):
		r.tellPredecessor()
		return
	case bytes.Equal(r.chain.Digest, replicate.Digest) && r.chain.Sequence == replicate.Sequence:
	case replicate.Change != nil && r.apply(replicate.Change) == nil:
	default:
		r.send(predecessor, message.Message{SnapshotRequest: &message.SnapshotRequest{Full: true}})
		return
	}
	first := !r.link.synced
	r.link.synced = true
	r.markView()
	if !r.control.Complete {
		r.control.Complete = true
		r.controlDirty = true
	}
	if first || replicate.Change != nil || replicate.Snapshot != nil || r.now-r.link.sentAt >= resendAfter {
		if replicate.Snapshot != nil {
			replicate = nil
		}
		r.passDown(replicate)
	}
}

// markView notes that the state is that of this view, so that nothing older is taken for it after a restart.
func (r *Replica) markView() {
	if r.chain.View != r.control.View.Number {
		r.chain.View = r.control.View.Number
		r.replaceChain()
	}
}

// replaceChain notes that the state has to be written whole.
func (r *Replica) replaceChain() {
	r.chainDirty, r.additions = true, nil
	r.chainReplaced = true
}

// adopt replaces the whole state by the predecessor's.
func (r *Replica) adopt(state message.ChainState) {
	if bytes.Equal(r.chain.Digest, state.Digest) && r.chain.Sequence == state.Sequence {
		return
	}
	r.chain = state
	r.replaceChain()
}

// apply puts one change on top of the state; an error says that it does not fit, and leaves the state as it is.
func (r *Replica) apply(record *message.ChangeRecord) error {
	next, err := Extend(&r.chain, record)
	if err != nil {
		return err
	}
	next.View = r.control.View.Number
	r.chain = next
	r.chainDirty = true
	r.additions = append(r.additions, *record)
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
	r.link.settled, r.link.current = true, true
	r.link.served = r.chain
	r.tellPredecessor()
	if r.isHead() {
		r.finishCurrent()
		r.serveCalls()
	}
}

func (r *Replica) tellPredecessor() {
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
	if r.link.synced && !r.link.settled && r.now-r.link.sentAt >= resendAfter {
		r.passDown(nil)
	}
	if !r.link.synced && r.now-r.link.askedAt >= resendAfter {
		if predecessor, ok := r.predecessor(); ok {
			r.link.askedAt = r.now
			r.send(predecessor, message.Message{SnapshotRequest: &message.SnapshotRequest{}})
		}
		r.askToCatchUp()
	}
	r.serveCalls()
}
