package message

// LockName is the name of a lock, chosen by applications.
type LockName string

// OwnerName is the name under which an application holds locks.
type OwnerName string

// KeyName is the name of a key, chosen by applications.
type KeyName string

// KeyGroup is the part of a key's name up to and including the first dot. The keys of a group share one revision
// counter.
type KeyGroup string

// Revision numbers the puts in a group of keys, from 1. 0 stands for a key that does not exist.
type Revision uint64

// CallKind is the operation that an application's call requests.
type CallKind uint8

// The kinds of calls.
const (
	CallAcquire CallKind = 1 + iota // POST /locks/ID
	CallRenew                       // PUT /locks/ID
	CallRelease                     // DELETE /locks/ID
	CallNumber                      // POST /numbers/ID
	CallPut                         // PUT /cells/ID
	CallGet                         // GET /cells/ID
	CallWatch                       // GET /watch/GROUP
)

// Call is an application's call. Only the fields that its kind needs are set.
type Call struct {
	Kind       CallKind     `msg:"k"`
	Lock       LockName     `msg:"l,omitempty"`
	Owner      OwnerName    `msg:"o,omitempty"`
	Token      FencingToken `msg:"t,omitempty"` // of CallRenew and CallRelease
	HoldMs     int64        `msg:"h,omitempty"`
	Key        KeyName      `msg:"n,omitempty"`
	Value      string       `msg:"v,omitempty"`
	IfRevision Revision     `msg:"r,omitempty"` // of CallPut: revision that the key must have; 0: the key must not exist
	IfAny      bool         `msg:"y,omitempty"` // of CallPut: the put is unconditional, and IfRevision is ignored
	Group      KeyGroup     `msg:"g,omitempty"` // of CallWatch
	After      Revision     `msg:"a,omitempty"` // of CallWatch: asks for events above it; 0: only for the current revision
	WaitMs     int64        `msg:"w,omitempty"` // of CallWatch: how long the answer may be delayed until there is an event
}

// CallStatus is the HTTP status that a call is answered with.
type CallStatus int

// Answer is the answer to a call.
type Answer struct {
	Status   CallStatus   `msg:"s"`
	Token    FencingToken `msg:"t,omitempty"` // of a lock
	Number   uint64       `msg:"u,omitempty"`
	Value    string       `msg:"v,omitempty"`
	Revision Revision     `msg:"r,omitempty"` // of the key; of the group, for a watch
	Events   []KeyEvent   `msg:"e,omitempty"`
}

// KeyEvent is a put that took effect.
type KeyEvent struct {
	Key      KeyName  `msg:"n"`
	Value    string   `msg:"v"`
	Revision Revision `msg:"r"`
}

// CallRequest carries a call from the coordinator that received it (the relay) to the issuer.
type CallRequest struct {
	ID   uint64 `msg:"i"` // chosen by the relay; a repeated request has the same ID
	Call Call   `msg:"c"`
}

// CallResponse answers CallRequest.
type CallResponse struct {
	ID     uint64  `msg:"i"`
	Answer *Answer `msg:"a,omitempty"` // nil: the sender is not the issuer and has not executed the call
	Issuer Member  `msg:"m"`           // the issuer known to the sender; an empty identity: none
}

// Epoch is the term of one issuer. Epochs are ordered by the counter, then by the issuer. No member reuses an epoch.
type Epoch struct {
	Counter uint64   `msg:"c"`
	Issuer  MemberID `msg:"i"`
}

// Less reports whether e is before other.
func (e Epoch) Less(other Epoch) bool {
	if e.Counter != other.Counter {
		return e.Counter < other.Counter
	}
	return e.Issuer < other.Issuer
}

// AcceptorGroup is the set of members of which a majority must accept each write of the coordination state. Groups are
// numbered from 1; a group decides its successor (CoordinationState.NextGroup).
type AcceptorGroup struct {
	Number    uint64     `msg:"n"`
	View      ViewNumber `msg:"v"` // the acceptors are the voters of this view
	Acceptors []Member   `msg:"a"`
}

// CoordinationPosition identifies a version of the coordination state. Versions are ordered by group, then by epoch,
// then by sequence. Two members at the same position hold the same state.
type CoordinationPosition struct {
	Group    uint64 `msg:"g"`
	Epoch    Epoch  `msg:"e"`
	Sequence uint64 `msg:"s"` // number of writes so far; a new epoch continues the count
}

// Less reports whether p is before other.
func (p CoordinationPosition) Less(other CoordinationPosition) bool {
	switch {
	case p.Group != other.Group:
		return p.Group < other.Group
	case p.Epoch != other.Epoch:
		return p.Epoch.Less(other.Epoch)
	}
	return p.Sequence < other.Sequence
}

// CoordinationRecord is the record that an acceptor keeps on disk besides the state.
type CoordinationRecord struct {
	Identity MemberID `msg:"i"`
	Promised Epoch    `msg:"p"` // writes of earlier epochs are rejected
}

// CoordinationState is the replicated state of locks, numbers and keys.
type CoordinationState struct {
	Position   CoordinationPosition `msg:"p"`
	Group      AcceptorGroup        `msg:"g"`
	NextGroup  *AcceptorGroup       `msg:"x,omitempty"` // the group that takes over; nothing more is written in Group
	LastToken  FencingToken         `msg:"t"`           // the newest fencing token, of any lock
	LastNumber uint64               `msg:"u"`           // the newest number, under any name
	Holds      []LockHold           `msg:"h"`
	KeyGroups  []KeyGroupState      `msg:"k"`
}

// LockHold is a lock that is held.
type LockHold struct {
	Lock       LockName     `msg:"l"`
	Owner      OwnerName    `msg:"o"`
	FirstToken FencingToken `msg:"f"` // of the owner's first grant; the owner has held the lock without a gap since
	Token      FencingToken `msg:"t"` // of the owner's newest grant; a renewal keeps it
	HoldMs     int64        `msg:"d"` // duration of the hold, from its last grant or renewal
	LeftMs     int64        `msg:"m"` // remaining time when the message was sent; a receiver counts it from the receipt
}

// KeyGroupState is the state of a group of keys, with its newest events.
type KeyGroupState struct {
	Name     KeyGroup   `msg:"n"`
	Revision Revision   `msg:"r"`
	Horizon  Revision   `msg:"z"` // events up to this revision have been dropped from History
	Keys     []KeyEvent `msg:"k"` // the newest event of each key
	History  []KeyEvent `msg:"h"` // events above Horizon, in ascending order
}

// CoordinationChange is one change of the state. Exactly one field is set.
type CoordinationChange struct {
	Hold      *LockHold      `msg:"h,omitempty"` // a lock was granted or renewed
	Release   *LockRelease   `msg:"r,omitempty"` // a lock was released, or its hold expired
	Number    uint64         `msg:"u,omitempty"` // the newest number
	Put       *KeyEvent      `msg:"p,omitempty"`
	Trim      *HistoryTrim   `msg:"t,omitempty"`
	NextGroup *AcceptorGroup `msg:"x,omitempty"`
}

// LockRelease ends a hold.
type LockRelease struct {
	Lock  LockName     `msg:"l"`
	Token FencingToken `msg:"t"` // LockHold.Token of the hold that ended
}

// HistoryTrim drops old events of a group.
type HistoryTrim struct {
	Group   KeyGroup `msg:"g"`
	Horizon Revision `msg:"z"` // events up to this revision are dropped
}

// CoordinationWrite is one write to the state: the changes from one position to the next. It is replicated and stored.
type CoordinationWrite struct {
	Previous CoordinationPosition `msg:"v"`
	Position CoordinationPosition `msg:"p"`
	Group    *AcceptorGroup       `msg:"g,omitempty"` // set if Position is the first one in a group
	Changes  []CoordinationChange `msg:"c"`
}

// EpochQuery asks an acceptor whether it has a live issuer, like PreVote of Raft. It changes nothing. A member sends
// EpochPrepare to replace a silent issuer only after a majority has answered that it has no live issuer. Without the
// query, a member that alone receives no messages from the issuer would depose it.
type EpochQuery struct {
	RequestID uint64 `msg:"r"`
}

// EpochQueryResponse answers EpochQuery.
type EpochQueryResponse struct {
	RequestID uint64        `msg:"r"`
	HasIssuer bool          `msg:"h"` // the acceptor has a live issuer or is the issuer itself
	Issuer    Member        `msg:"m"` // from which the acceptor last received a write, or the acceptor itself
	Promised  Epoch         `msg:"p"`
	Group     AcceptorGroup `msg:"g"` // the newest group that the acceptor knows
}

// EpochPrepare asks an acceptor to promise to accept no write of an earlier epoch.
type EpochPrepare struct {
	Epoch Epoch  `msg:"e"`
	Group uint64 `msg:"g"` // number of the acceptor group in which the sender wants to become the issuer
}

// EpochPrepareResponse answers EpochPrepare.
type EpochPrepareResponse struct {
	Epoch    Epoch                `msg:"e"` // of the request
	Group    uint64               `msg:"n"` // of the request
	Rejected bool                 `msg:"r"` // a later epoch was promised
	Promised Epoch                `msg:"p"`
	Position CoordinationPosition `msg:"s"`
	Current  AcceptorGroup        `msg:"g"` // the group of Position
}

// StateRequest asks an acceptor for its state.
type StateRequest struct {
	Epoch Epoch `msg:"e"` // of the sender, which the acceptor has promised
}

// StateResponse answers StateRequest.
type StateResponse struct {
	Epoch Epoch             `msg:"e"` // of the request
	State CoordinationState `msg:"s"`
}

// StateWrite asks an acceptor to accept writes of an epoch. Without Writes and State it only checks that the acceptor
// holds Position and has promised no later epoch.
type StateWrite struct {
	Epoch    Epoch                `msg:"e"`
	Round    uint64               `msg:"r"` // number of the issuer's round, with or without a write; rises in the epoch
	Position CoordinationPosition `msg:"p"` // after Writes
	Writes   []CoordinationWrite  `msg:"w,omitempty"`
	State    *CoordinationState   `msg:"s,omitempty"` // the complete state at Position, in place of Writes
	Issuer   Member               `msg:"m"`
	Idle     bool                 `msg:"q"` // the issuer sends no heartbeats until the next call
}

// StateWriteResponse answers StateWrite.
type StateWriteResponse struct {
	Epoch    Epoch                `msg:"e"` // of the request
	Round    uint64               `msg:"r"` // of the request
	Accepted bool                 `msg:"a"` // the acceptor has synced the state at the position of the request
	Leaving  bool                 `msg:"l"` // the acceptor is shutting down
	Promised Epoch                `msg:"p"`
	Position CoordinationPosition `msg:"s"`           // of the acceptor's state
	Group    *AcceptorGroup       `msg:"g,omitempty"` // the acceptor's group, if it is later than that of the request
}

// IssuerHandOver asks an acceptor to become the issuer at once, because the sender is shutting down or is no acceptor
// of the current group.
type IssuerHandOver struct {
	Epoch Epoch `msg:"e"` // of the sender
}
