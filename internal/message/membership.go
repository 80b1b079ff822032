package message

// Member is a coordinator: an identity that is stored on its disk, and the address at which it is reached now.
type Member struct {
	Identity  MemberID   `msg:"i"`
	Address   string     `msg:"a"` // host:port for messages between processes
	Zone      string     `msg:"z"` // failure domain; empty: not known yet
	Diskless  bool       `msg:"v"` // a restart loses all that it holds
	SinceView ViewNumber `msg:"s"` // the view since which it has been a member without interruption
}

// View is an agreed membership. The chain loses a member as soon as that one is suspected and gets it back when it
// rejoins. The voters change less often: a suspected voter keeps its vote until a live member can take it.
type View struct {
	Number  ViewNumber `msg:"n"`
	Members []Member   `msg:"m"` // the replication chain, the head first
	// Voters decide on the next view by majority. Records of the first version have none: there the chain votes.
	Voters []Member `msg:"v"`
	// ReplacedVoters are suspected members that lost their vote, the latest last.
	ReplacedVoters []ReplacedVoter `msg:"dp"`
}

// EffectiveVoters returns the members whose majority decides on the next view, confirms this one and grants the lease.
func (v View) EffectiveVoters() []Member {
	if len(v.Voters) == 0 { // a record of the first version
		return v.Members
	}
	return v.Voters
}

// ReplacedVoter is a member that lost its vote while it was suspected. Views are still announced to it. It gets a vote
// back when the member that replaced it turns out to have come for another one that leaves.
type ReplacedVoter struct {
	Member     Member   `msg:"m"`
	ReplacedBy MemberID `msg:"b"` // the member that got the vote; empty: the vote was dropped
}

// Heartbeat shows that the sender is alive, and carries its health. A member sends it to its monitors.
type Heartbeat struct {
	Complete    bool `msg:"c"` // it holds all that was acknowledged in earlier views
	DiskStalled bool `msg:"d"` // a write to its disk has been in progress for too long
	Leaving     bool `msg:"l"` // it shuts down gracefully
	Diskless    bool `msg:"v"` // a restart loses all that it holds
	Isolated    bool `msg:"i"` // it has not heard a majority of the voters for too long
}

// SuspicionReport is what a monitor reports of the members that it monitors.
type SuspicionReport struct {
	Suspected []MemberID `msg:"m"` // not heard within the suspicion time-out, isolated, or with a stalled disk
	Leaving   []MemberID `msg:"l"` // shutting down gracefully, and still alive
	Late      []MemberID `msg:"d"` // not heard within the shorter late time-out: two heartbeats are missing
}

// JoinRequest asks for membership, or, of an observer, only for the newest view.
type JoinRequest struct {
	DiskStalled bool `msg:"d"`
	Observer    bool `msg:"o"` // the sender only wants to know the newest view
	Diskless    bool `msg:"v"` // the sender may join only where no member has a disk
	Withdrawn   bool `msg:"w"` // the sender shuts down: its earlier requests are void
}

// ViewAnnouncement carries a decided view.
type ViewAnnouncement struct {
	View View `msg:"v"`
}
