package replica

import (
	"bytes"

	"pumiceline/internal/message"
)

// An incomplete member copies the state of any complete member, so that it may propose a later view and become its
// head even if its predecessor in the chain is lost. It is synced, and counts for acknowledgements, only once its
// predecessor has replicated the state to it.

// requestCatchUp asks the next member in turn for its state while this member is incomplete. The head is asked first.
func (r *Replica) requestCatchUp() {
	if r.control.Complete {
		return
	}
	members := r.control.View.Members
	target := members[r.link.catchUpAttempts%len(members)]
	r.link.catchUpAttempts++
	if !r.isSelf(target) {
		r.send(target, message.Message{CatchUpRequest: &message.CatchUpRequest{Digest: r.chain.Digest}})
	}
}

// onCatchUpRequest sends the state of this member to an incomplete member, if this one is complete.
func (r *Replica) onCatchUpRequest(m *message.Message) {
	if m.View != r.control.View.Number || !r.IsMember() || !r.control.Complete {
		return
	}
	catchUp := &message.CatchUp{Digest: r.chain.Digest}
	if !bytes.Equal(m.CatchUpRequest.Digest, r.chain.Digest) {
		state := r.chain
		catchUp.State = &state
	}
	r.send(senderOf(m), message.Message{CatchUp: catchUp})
}

// onCatchUp installs the state of a complete member, which holds every change acknowledged in earlier views. Then this
// member is complete too. Uncommitted changes in that state are committed once the chain has replicated them here.
func (r *Replica) onCatchUp(m *message.Message) {
	if m.View != r.control.View.Number || !r.IsMember() || r.control.Complete || r.link.synced {
		return
	}
	if m.CatchUp.State != nil {
		r.installSnapshot(*m.CatchUp.State)
	}
	if !bytes.Equal(m.CatchUp.Digest, r.chain.Digest) {
		return // it answers a request that carried the digest of another state
	}
	r.control.Complete = true
	r.output.controlDirty = true
}
