package replica

import "pumiceline/internal/message"

// A voter is a Paxos acceptor for the view after its current one. Promises and acceptances are synced before they are
// sent: a voter that lost them in a restart could help to decide a second view with the same number.

// canVoteOn reports whether this member may vote on the proposal for the next view that m carries. A voter need not be
// complete; only the proposer must be.
func (r *Replica) canVoteOn(m *message.Message) bool {
	return m.View == r.control.View.Number && r.isVoter() && r.isInChain(m.From)
}

// onPrepare promises to accept no proposal with a lower number.
func (r *Replica) onPrepare(m *message.Message) {
	if !r.canVoteOn(m) {
		return
	}
	number := m.Prepare.Proposal
	response := &message.PrepareResponse{Proposal: number}
	if number.Less(r.control.HighestProposal) {
		response.Rejected, response.HighestProposal = true, r.control.HighestProposal
	} else {
		r.control.HighestProposal = number
		r.output.controlDirty = true
		response.AcceptedProposal, response.AcceptedView = r.control.AcceptedProposal, r.control.AcceptedView
	}
	r.sendAfterSync(senderOf(m), message.Message{PrepareResponse: response})
}

// onAccept accepts a proposal unless a higher number was promised.
func (r *Replica) onAccept(m *message.Message) {
	if !r.canVoteOn(m) || m.Accept.Value.Number != r.control.View.Number+1 {
		return
	}
	number := m.Accept.Proposal
	response := &message.AcceptResponse{Proposal: number}
	if number.Less(r.control.HighestProposal) {
		response.Rejected, response.HighestProposal = true, r.control.HighestProposal
	} else {
		r.control.HighestProposal, r.control.AcceptedProposal, r.control.AcceptedView = number, number, m.Accept.Value
		r.output.controlDirty = true
	}
	r.sendAfterSync(senderOf(m), message.Message{AcceptResponse: response})
}
