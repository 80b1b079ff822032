package replica

import (
	"bytes"

	"pumiceline/internal/message"
)

// A member that is not complete takes the state from any member that is, so that it may propose and lead a later view
// even where its predecessor in the chain is lost. It is synced with its predecessor, and counts for acknowledgements,
// only when the state has come down the chain.

// requestCatchUp asks one member after the other, the head first, as long as this one is not complete.
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

// onCatchUpRequest sends the state of this member, if it is complete, to one that is not.
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

// onCatchUp takes the state of a complete member, which has all that was acknowledged in earlier views; then this one is
// complete too. Changes in that state that are not committed yet are committed once the chain has replicated them here.
func (r *Replica) onCatchUp(m *message.Message) {
	if m.View != r.control.View.Number || !r.IsMember() || r.control.Complete || r.link.synced {
		return
	}
	if m.CatchUp.State != nil {
		r.installSnapshot(*m.CatchUp.State)
	}
	if !bytes.Equal(m.CatchUp.Digest, r.chain.Digest) {
		return // it responds to a request that was made with another state
	}
	r.control.Complete = true
	r.output.controlDirty = true
}
