package message

// Replicate carries the replicated state to the successor in the chain: a change on top of a known state, a snapshot,
// or only the digest, which the receiver compares with its own.
type Replicate struct {
	Sequence uint64        `msg:"s"`
	Digest   []byte        `msg:"d"`
	Change   *ChangeRecord `msg:"c,omitempty"`
	Snapshot *ChainState   `msg:"n,omitempty"`
}

// Committed is the acknowledgement that travels from the tail to the head: every member from the sender to the tail has
// synced the state.
type Committed struct {
	Sequence uint64 `msg:"s"`
	Digest   []byte `msg:"d"`
}

// SnapshotRequest asks the predecessor for its state, or, unless Full, only for its digest.
type SnapshotRequest struct {
	Full bool `msg:"w"`
}

// CatchUpRequest asks any complete member for its state, so that the sender is complete before the chain has reached it.
type CatchUpRequest struct {
	Digest []byte `msg:"d"` // of the sender's state
}

// CatchUp answers CatchUpRequest with the state of a complete member.
type CatchUp struct {
	Digest []byte      `msg:"d"`
	State  *ChainState `msg:"s,omitempty"` // nil: the receiver holds that state already
}
