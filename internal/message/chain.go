package message

import "crypto/sha256"

// documentDigestBytes is the length of the digest of a configuration document, a truncated SHA-256.
const documentDigestBytes = 16

// DocumentDigest identifies a configuration document by its stored text. The receiver of a delta compares it, because a
// delta that is applied to another document than it was made for may expand to a wrong document without an error.
func DocumentDigest(document []byte) []byte {
	sum := sha256.Sum256(document)
	return sum[:documentDigestBytes]
}

// Replicate carries the replicated state to the successor in the chain: a change on top of a known state, a snapshot,
// or only the digest, which the receiver compares with its own.
type Replicate struct {
	Sequence uint64        `msg:"s"`           // of the sender's state, as in ChainState
	Digest   []byte        `msg:"d"`           // of the sender's state, as in ChainState
	Change   *ChangeRecord `msg:"c,omitempty"` // the change that led to that state
	Snapshot *ChainState   `msg:"n,omitempty"` // that state; at most one of Change and Snapshot is set
}

// Committed is the acknowledgement that travels from the tail to the head: every member from the sender to the tail has
// synced the state.
type Committed struct {
	Sequence uint64 `msg:"s"` // of that state
	Digest   []byte `msg:"d"` // of that state
}

// SnapshotRequest asks the predecessor for its state if Full is set, otherwise only for the digest of its state.
type SnapshotRequest struct {
	Full bool `msg:"w"`
}

// CatchUpRequest asks any complete member for its state. The sender can then become complete without waiting for the
// state along the chain, where a member before it may have failed.
type CatchUpRequest struct {
	Digest []byte `msg:"d"` // of the sender's state
}

// CatchUp answers CatchUpRequest with the state of a complete member.
type CatchUp struct {
	Digest []byte      `msg:"d"`
	State  *ChainState `msg:"s,omitempty"` // nil: the receiver already holds that state
}
