package message

// ControlState is the record that a member keeps on disk besides the configuration: its identity, its view and its
// promises as an acceptor. It is synced before any message that relies on it is sent.
type ControlState struct {
	Identity         MemberID       `msg:"i"`
	View             View           `msg:"v"`
	Complete         bool           `msg:"c"` // the member holds all that was acknowledged in earlier views
	HighestProposal  ProposalNumber `msg:"p"` // the highest number promised for the view after View
	AcceptedProposal ProposalNumber `msg:"b"`
	AcceptedView     View           `msg:"a"` // the view accepted in AcceptedProposal; its number is 0 where there is none
	LeaseToken       FencingToken   `msg:"t"` // the highest token ever granted
}

// Change identifies an operator's change that was accepted.
type Change struct {
	Version uint64 `msg:"v"` // the operator's version of the document that it makes
	Base    uint64 `msg:"b"` // the version that it builds on
	Digest  []byte `msg:"d"` // of method, base and body: a repeated request has the same one
}

// ChainState is the replicated state: the configuration and the newest changes that led to it.
type ChainState struct {
	View     ViewNumber `msg:"w"` // the view in which it was last agreed with the predecessor
	Sequence uint64     `msg:"s"` // number of changes applied
	Digest   []byte     `msg:"d"` // chained over all changes
	Version  uint64     `msg:"v"` // the operator's version, 0 before the first
	Document []byte     `msg:"c"` // the complete configuration as JSON
	History  []Change   `msg:"h"` // the newest changes in order, at most as many as package replica keeps
	Horizon  uint64     `msg:"o"` // the version before the first change in History; earlier changes are forgotten
}

// ChangeRecord is one change as it is replicated and stored: the difference to the state before it.
type ChangeRecord struct {
	View           ViewNumber `msg:"w"`
	Previous       []byte     `msg:"p"` // chained digest of the state that it builds on
	Change         Change     `msg:"c"`
	Delta          []byte     `msg:"x"` // from the document before it to the one after it; see package delta
	DocumentDigest []byte     `msg:"o"` // of the document after it
}
