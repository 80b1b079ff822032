package message

// ControlState is the record that a member keeps on disk besides the configuration: its identity, its view and its
// promises as an acceptor. It is synced before any message that relies on it is sent.
type ControlState struct {
	Identity         MemberID       `msg:"i"`
	View             View           `msg:"v"`
	Complete         bool           `msg:"c"` // the member holds all changes acknowledged in earlier views
	HighestProposal  ProposalNumber `msg:"p"` // the highest number promised for the view after View
	AcceptedProposal ProposalNumber `msg:"b"`
	AcceptedView     View           `msg:"a"` // the view accepted in AcceptedProposal; View.Number 0: none was accepted
	LeaseToken       FencingToken   `msg:"t"` // the highest token ever granted
}

// Change identifies an operator's change that was accepted.
type Change struct {
	Version uint64 `msg:"v"` // version of the resulting document, chosen by the operator
	Base    uint64 `msg:"b"` // the version that the change is based on
	Digest  []byte `msg:"d"` // of method, base and body: a repeated request has the same digest
}

// ChainState is the replicated state: the configuration and the newest changes that led to it.
type ChainState struct {
	View     ViewNumber `msg:"w"` // the view in which the state was last agreed with the predecessor
	Sequence uint64     `msg:"s"` // number of changes applied
	Digest   []byte     `msg:"d"` // chained over all changes
	Version  uint64     `msg:"v"` // the operator's version, 0 before the first
	Document []byte     `msg:"c"` // the complete configuration as JSON
	History  []Change   `msg:"h"` // the newest changes in order, at most as many as package replica keeps
	Horizon  uint64     `msg:"o"` // the version before the first change in History; earlier changes have been dropped
}

// ChangeRecord is one change as it is replicated and stored: the difference from the previous state.
type ChangeRecord struct {
	View           ViewNumber `msg:"w"`
	Previous       []byte     `msg:"p"` // chained digest of the previous state
	Change         Change     `msg:"c"`
	Delta          []byte     `msg:"x"` // from the previous document to the resulting one; see package delta
	DocumentDigest []byte     `msg:"o"` // of the resulting document
}
