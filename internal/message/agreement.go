package message

// ProposalNumber orders the proposals for one view, as in Lamport's "Paxos Made Simple", section 2.2. No two proposers
// use the same number, and no proposer uses one twice.
type ProposalNumber struct {
	Counter  uint64   `msg:"r"`
	Proposer MemberID `msg:"p"`
}

// Less reports whether p is lower than other: by the counter, then by the proposer.
func (p ProposalNumber) Less(other ProposalNumber) bool {
	if p.Counter != other.Counter {
		return p.Counter < other.Counter
	}
	return p.Proposer < other.Proposer
}

// Prepare starts phase 1 of the agreement on the view after Message.View.
type Prepare struct {
	Proposal ProposalNumber `msg:"b"`
}

// PrepareResponse answers Prepare with a promise and the proposal accepted so far. When Rejected, it reports the higher
// number that the voter has promised instead.
type PrepareResponse struct {
	Proposal         ProposalNumber `msg:"b"` // of the request
	Rejected         bool           `msg:"r"`
	HighestProposal  ProposalNumber `msg:"p"`  // the promised number; only when Rejected
	AcceptedProposal ProposalNumber `msg:"ab"` // number of AcceptedView
	AcceptedView     View           `msg:"a"`  // View.Number 0: none was accepted
}

// Accept starts phase 2: it asks to accept Value as the next view.
type Accept struct {
	Proposal ProposalNumber `msg:"b"`
	Value    View           `msg:"v"`
}

// AcceptResponse answers Accept. The view is decided once a majority of the voters has answered without Rejected.
type AcceptResponse struct {
	Proposal        ProposalNumber `msg:"b"` // of the request
	Rejected        bool           `msg:"r"`
	HighestProposal ProposalNumber `msg:"p"` // the promised number; only when Rejected
}

// ConfirmRequest asks a voter whether the sender's view is still the newest one.
type ConfirmRequest struct {
	RequestID uint64 `msg:"r"`
}

// ConfirmResponse answers ConfirmRequest. Only a voter that is in the sender's view answers. Unless Rejected, it has
// accepted no later view.
type ConfirmResponse struct {
	RequestID uint64 `msg:"r"`
	Rejected  bool   `msg:"f"` // the voter has accepted a later view
}
