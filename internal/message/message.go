// Package message holds the messages that the processes of the system exchange, and the records that they keep on
// disk. The codecs are generated: go generate needs tinylib/msgp's generator, the build does not.
package message

//go:generate msgp -tests=false -o message_gen.go -file .

// Member is a coordinator: an identity that lives on its disk, and the address at which it is reached now.
type Member struct {
	Identity  MemberID   `msg:"i"`
	Address   string     `msg:"a"`
	Zone      string     `msg:"z"`
	Diskless  bool       `msg:"v"` // it has no disk
	SinceView ViewNumber `msg:"s"` // number of the view since which it has been a member without interruption
}

// View is an agreed membership. The chain changes whenever a member is lost or comes back. The vote of one that is
// silent goes to a live member that has none; where there is none it keeps it.
type View struct {
	Number  ViewNumber `msg:"n"`
	Members []Member   `msg:"m"` // the chain, the head first
	Voters  []Member   `msg:"v"` // a majority of them decides on the next view; none: the members of the chain
	// ReplacedVoters are silent members that have lost their vote, the latest last.
	ReplacedVoters []ReplacedVoter `msg:"dp"`
}

// ReplacedVoter is a member that lost its vote while it was silent. It is told of the view; and it gets the vote of the
// member for which the newcomer that has its own proves to have come.
type ReplacedVoter struct {
	Member     Member   `msg:"m"`
	ReplacedBy MemberID `msg:"b"` // identity of the member that got the vote
}

// EffectiveVoters returns the members whose majority decides on the next view, confirms this one and grants the lease.
func (v View) EffectiveVoters() []Member {
	if len(v.Voters) == 0 { // records of earlier versions name no voters
		return v.Members
	}
	return v.Voters
}

// ProposalNumber orders the proposals for one view.
type ProposalNumber struct {
	Counter  uint64   `msg:"r"`
	Proposer MemberID `msg:"p"`
}

// ControlState is what a coordinator keeps on disk besides the configuration.
type ControlState struct {
	Identity         MemberID       `msg:"i"`
	View             View           `msg:"v"`
	Complete         bool           `msg:"c"` // it holds all that was acknowledged in earlier views
	HighestProposal  ProposalNumber `msg:"p"`
	AcceptedProposal ProposalNumber `msg:"b"`
	AcceptedView     View           `msg:"a"` // the accepted next view; its number is 0 where there is none
	LeaseToken       FencingToken   `msg:"t"` // the highest token ever granted
}

// Change is an operator's change as it was taken.
type Change struct {
	Version uint64 `msg:"v"`
	Base    uint64 `msg:"b"` // the version that it was built on
	Digest  []byte `msg:"d"` // of method, base and body
}

// ChainState is the replicated state: the configuration and every change that was taken.
type ChainState struct {
	View     ViewNumber `msg:"w"` // the view in which it was last agreed with the predecessor
	Sequence uint64     `msg:"s"` // number of changes taken
	Digest   []byte     `msg:"d"` // chained over all changes
	Version  uint64     `msg:"v"` // the operator's version, 0 before the first
	Document []byte     `msg:"c"` // the whole configuration as JSON
	History  []Change   `msg:"h"` // the newest changes, the oldest of them first
	Horizon  uint64     `msg:"o"` // the version before the first change in History: of earlier ones nothing is known
}

// ChangeRecord is a change as it is passed on and kept: what it makes of the state before it.
type ChangeRecord struct {
	View           ViewNumber `msg:"w"`
	Previous       []byte     `msg:"p"` // chained digest of the state that it builds on
	Change         Change     `msg:"c"`
	Delta          []byte     `msg:"x"` // from the document before it to the one after it
	DocumentDigest []byte     `msg:"o"` // of the document after it
}

// Message is one message between processes. Exactly one of the pointers is set.
type Message struct {
	From        MemberID   `msg:"f"` // sender's identity
	FromAddress string     `msg:"fa"`
	FromZone    string     `msg:"fz"`
	To          MemberID   `msg:"t"` // receiver's identity; empty: whoever has the address
	ToAddress   string     `msg:"-"`
	View        ViewNumber `msg:"v"` // sender's view

	Heartbeat        *Heartbeat        `msg:"hb,omitempty"`
	SuspicionReport  *SuspicionReport  `msg:"su,omitempty"`
	JoinRequest      *JoinRequest      `msg:"jo,omitempty"`
	ViewAnnouncement *ViewAnnouncement `msg:"an,omitempty"`
	Prepare          *Prepare          `msg:"pr,omitempty"`
	PrepareResponse  *PrepareResponse  `msg:"pm,omitempty"`
	Accept           *Accept           `msg:"ac,omitempty"`
	AcceptResponse   *AcceptResponse   `msg:"ad,omitempty"`
	Replicate        *Replicate        `msg:"re,omitempty"`
	Committed        *Committed        `msg:"co,omitempty"`
	SnapshotRequest  *SnapshotRequest  `msg:"sr,omitempty"`
	CatchUpRequest   *CatchUpRequest   `msg:"cq,omitempty"`
	CatchUp          *CatchUp          `msg:"cu,omitempty"`
	ConfirmRequest   *ConfirmRequest   `msg:"cf,omitempty"`
	ConfirmResponse  *ConfirmResponse  `msg:"cd,omitempty"`
	LeaseRequest     *LeaseRequest     `msg:"lr,omitempty"`
	LeaseGrant       *LeaseGrant       `msg:"lg,omitempty"`
	LeaseRelease     *LeaseRelease     `msg:"ll,omitempty"`
	ConfigRequest    *ConfigRequest    `msg:"cc,omitempty"`
	ConfigResponse   *ConfigResponse   `msg:"cr,omitempty"`
	PollRequest      *PollRequest      `msg:"pu,omitempty"`
	PollResponse     *PollResponse     `msg:"pl,omitempty"`
	LoadReport       *LoadReport       `msg:"ld,omitempty"`
	LoadResponse     *LoadResponse     `msg:"lq,omitempty"`
}

// Heartbeat tells a monitor that the sender is alive.
type Heartbeat struct {
	Complete    bool `msg:"c"`
	DiskStalled bool `msg:"d"` // a write to its disk has been under way for too long
	Leaving     bool `msg:"l"` // it was asked to stop
	Diskless    bool `msg:"v"` // it has no disk
	Isolated    bool `msg:"i"` // it has not heard a majority of the voters for too long
}

// SuspicionReport tells the members what the sender has found out about those that it monitors.
type SuspicionReport struct {
	Suspected []MemberID `msg:"m"` // not heard for too long, isolated, or with a disk that stalls
	Leaving   []MemberID `msg:"l"` // asked to stop, and still there
	Late      []MemberID `msg:"d"` // not heard for a moment
}

// JoinRequest asks for membership.
type JoinRequest struct {
	DiskStalled bool `msg:"d"`
	Observer    bool `msg:"o"` // the sender only wants to know the newest view
	Diskless    bool `msg:"v"` // it has no disk, and becomes a member only where none has one
	Withdrawn   bool `msg:"w"` // the sender was told to stop: what it asked for before is void
}

// ViewAnnouncement carries a decided view.
type ViewAnnouncement struct {
	View View `msg:"v"`
}

// Prepare opens a ballot for the view after View.
type Prepare struct {
	Proposal ProposalNumber `msg:"b"`
}

// PrepareResponse answers Prepare; when Refused, Ballot is the one that stands in the way.
type PrepareResponse struct {
	Proposal         ProposalNumber `msg:"b"`
	Rejected         bool           `msg:"r"`
	HighestProposal  ProposalNumber `msg:"p"`
	AcceptedProposal ProposalNumber `msg:"ab"`
	AcceptedView     View           `msg:"a"`
}

// Accept asks to accept a value for the next view.
type Accept struct {
	Proposal ProposalNumber `msg:"b"`
	Value    View           `msg:"v"`
}

// AcceptResponse answers Accept.
type AcceptResponse struct {
	Proposal        ProposalNumber `msg:"b"`
	Rejected        bool           `msg:"r"`
	HighestProposal ProposalNumber `msg:"p"`
}

// Replicate passes the replicated state down the chain: a change on top of a known state, a whole state, or only
// the digest, which the receiver compares with its own.
type Replicate struct {
	Sequence uint64        `msg:"s"`
	Digest   []byte        `msg:"d"`
	Change   *ChangeRecord `msg:"c,omitempty"`
	Snapshot *ChainState   `msg:"n,omitempty"`
}

// Committed travels from the tail to the head: every member has synced the state.
type Committed struct {
	Sequence uint64 `msg:"s"`
	Digest   []byte `msg:"d"`
}

// SnapshotRequest asks the predecessor for its state: whole, or only to be compared by its digest.
type SnapshotRequest struct {
	Full bool `msg:"w"`
}

// CatchUpRequest asks a complete member for its state, so that the sender is complete before the chain has reached it.
type CatchUpRequest struct {
	Digest []byte `msg:"d"` // of the sender's state
}

// CatchUp is a complete member's state.
type CatchUp struct {
	Digest []byte      `msg:"d"`
	State  *ChainState `msg:"s,omitempty"` // nil: the receiver has it already
}

// ConfirmRequest asks whether the receiver still is in the sender's view.
type ConfirmRequest struct {
	RequestID uint64 `msg:"r"`
}

// ConfirmResponse says that the sender is in that view and has accepted no later one.
type ConfirmResponse struct {
	RequestID uint64 `msg:"r"`
	Rejected  bool   `msg:"f"` // it is there, but has accepted a later view
}

// LeaseRequest asks for the lease on the controller role, or renews it.
type LeaseRequest struct {
	Token     FencingToken `msg:"t"`
	RequestID uint64       `msg:"r"`
	Renewal   bool         `msg:"n"` // the sender holds the lease under this very token
}

// LeaseGrant answers LeaseRequest.
type LeaseGrant struct {
	RequestID uint64       `msg:"r"`
	Granted   bool         `msg:"g"`
	Token     FencingToken `msg:"t"` // the highest token that the grantor knows of
}

// LeaseRelease gives the lease back before it expires.
type LeaseRelease struct {
	Token FencingToken `msg:"t"`
}

// ConfigRequest is an operator's call on its way to the member that decides it.
type ConfigRequest struct {
	ID      uint64 `msg:"i"` // the relaying member's number of the call
	Method  string `msg:"m"`
	IfMatch string `msg:"f"`
	Body    []byte `msg:"b"`
}

// ConfigResponse answers ConfigRequest.
type ConfigResponse struct {
	ID     uint64 `msg:"i"`
	Status int    `msg:"s"`
	Body   []byte `msg:"b"`
}

// ModelDemand is what was asked for one model since the last report.
type ModelDemand struct {
	Service  string    `msg:"s"`
	Model    ModelName `msg:"m"` // with its adapter after a slash
	Arrivals float64   `msg:"a"`
	Waiting  int       `msg:"w"` // requests that wait for it right now
	Unserved float64   `msg:"x"` // requests that were refused as it was nowhere
	Running  int       `msg:"r"` // requests of it that run right now
}

// BackendLoad is what the proxies carry at one backend.
type BackendLoad struct {
	Backend BackendID `msg:"b"`
	Running int       `msg:"r"`
	Queued  int       `msg:"q"` // milliseconds of prompts that have not brought their first event yet
}

// LoadReport tells what the sender carries at some backends, as it has just changed, and may ask for what the other
// proxies carry at the holders of a model.
type LoadReport struct {
	ID       uint64        `msg:"i"` // of the question; 0: nothing is asked
	Service  string        `msg:"s"`
	Model    ModelName     `msg:"m"` // with its adapter after a slash
	Loads    []BackendLoad `msg:"l"` // present values, not differences
	Complete bool          `msg:"w"` // the sender carries nothing at any other backend
}

// LoadResponse answers a question of LoadReport: what all proxies but the asking one carry. Backends where they carry
// nothing are left out.
type LoadResponse struct {
	ID      uint64        `msg:"i"`
	Unknown bool          `msg:"u"` // the member has no list of backends
	Loads   []BackendLoad `msg:"l"`
}

// PollRequest asks for what the sender lacks: it tells the versions that it has.
type PollRequest struct {
	ID             uint64        `msg:"i"`
	ConfigSequence uint64        `msg:"c"`
	BackendDigest  uint64        `msg:"b"`
	MaxWaitMs      int           `msg:"h"` // how long the answer may be held while there is nothing new
	Demand         []ModelDemand `msg:"d"`
	Loads          []BackendLoad `msg:"l"`
	Proxies        int           `msg:"p"` // how many proxies the sender speaks for
	LoadVersion    uint64        `msg:"v"` // of the sums of loads that the sender has; 0: none
}

// PollResponse carries what is newer than the versions told.
type PollResponse struct {
	ID            uint64         `msg:"i"`
	Unavailable   bool           `msg:"u"` // the member has no majority behind it: ask another
	Members       []Member       `msg:"m"` // the coordinators
	Config        *ConfigUpdate  `msg:"c,omitempty"`
	Backends      *BackendUpdate `msg:"b,omitempty"`
	BackendsKnown bool           `msg:"k"`
	BackendsAgeMs int64          `msg:"a"` // how old the list of backends is
	WaitedMs      int64          `msg:"h"`
	Proxies       int            `msg:"p"` // how many proxies there are
	TotalLoads    []BackendLoad  `msg:"l"` // what all proxies together carry: all of it, or what has changed
	LoadsComplete bool           `msg:"w"`
	LoadVersion   uint64         `msg:"lv"`
	PendingLoads  []PendingLoad  `msg:"o"` // loads that are under way
}

// ConfigUpdate is a configuration that was acknowledged, whole or as a difference.
type ConfigUpdate struct {
	Sequence uint64 `msg:"s"`
	Document []byte `msg:"d"` // empty where Delta stands for it
	Base     uint64 `msg:"b"` // sequence of the configuration that Delta builds on
	Delta    []byte `msg:"x"`
	Digest   []byte `msg:"g"` // of the document that Delta makes
}

// BackendUpdate is the list of backends, or what has changed since the list that the receiver has.
type BackendUpdate struct {
	Digest   uint64      `msg:"d"` // of the whole list
	Base     uint64      `msg:"s"` // digest of the list that this builds on; 0: this is the whole list
	Backends []Backend   `msg:"b"` // all, or those that are new or changed
	Removed  []BackendID `msg:"g"` // ids of those that are no more on the list
}

// Backend is an entry of the platform's list.
type Backend struct {
	ID           BackendID     `msg:"i"`
	Service      string        `msg:"s"`
	Address      string        `msg:"a"`
	Zone         string        `msg:"z"`
	Capacity     int           `msg:"c"`
	Draining     bool          `msg:"d"`
	WarmUpLeftMs int           `msg:"-"`
	TimeLeftMs   int           `msg:"t"` // time until it is taken away; 0: not announced
	Models       []LoadedModel `msg:"m"`
}

// LoadedModel is a model that a backend holds.
type LoadedModel struct {
	Name     ModelName `msg:"n"`
	Adapters []string  `msg:"a"`
}

// PendingLoad is a load of a model, or of an adapter after a slash, that is under way.
type PendingLoad struct {
	Service   string    `msg:"s"`
	Model     ModelName `msg:"m"`
	Backend   BackendID `msg:"b"`
	ReadyInMs int64     `msg:"d"` // when it should be there
}
