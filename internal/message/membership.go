package message

// Member is a coordinator: the identity stored on its disk, and its current address.
type Member struct {
	Identity  MemberID   `msg:"i"`
	Address   string     `msg:"a"` // host:port for messages between processes
	Zone      string     `msg:"z"` // failure domain; empty: not yet known
	Diskless  bool       `msg:"v"` // a restart loses all its state
	SinceView ViewNumber `msg:"s"` // the view since which it has been a member without interruption
}

// View is an agreed membership. A member leaves the chain as soon as it is suspected, and returns when it rejoins. The
// voters change less often: a suspected voter keeps its vote until the vote can be transferred to a live member, or
// until there are enough voters without it.
type View struct {
	Number  ViewNumber `msg:"n"`
	Members []Member   `msg:"m"` // the replication chain, the head first
	// Voters decide on the next view by majority. Records of the first version have none: their
	// voters are the members of the chain.
	Voters []Member `msg:"v"`
	// ReplacedVoters are suspected members that lost their vote, the most recent last.
	ReplacedVoters []ReplacedVoter `msg:"dp"`
	// Replacements are the machines that probably replaced others, the most recent last.
	Replacements []Replacement `msg:"rp,omitempty"`
}

// EffectiveVoters returns the members whose majority decides on the next view, confirms this one and grants the lease.
func (v View) EffectiveVoters() []Member {
	if len(v.Voters) == 0 { // a record of the first version
		return v.Members
	}
	return v.Voters
}

// ReplacedVoter is a member that lost its vote while it was suspected. Views are still announced to it.
type ReplacedVoter struct {
	Member     Member   `msg:"m"`
	ReplacedBy MemberID `msg:"b"` // the member that got the vote; empty: the number of voters was reduced
}

// Replacement says that a new machine was admitted to a zone in which exactly one other machine had not been replaced.
// It probably replaces that machine, which may go on running for a while. Both are named by their addresses, as a
// machine that loses its disk returns at the same address under another identity.
type Replacement struct {
	Old string `msg:"o"`
	New string `msg:"n"`
}

// Heartbeat shows that the sender is alive, and carries its health. A member sends it to its monitors.
type Heartbeat struct {
	Complete    bool `msg:"c"` // it holds all changes acknowledged in earlier views
	DiskStalled bool `msg:"d"` // a write to its disk has been in progress for too long
	Leaving     bool `msg:"l"` // it is shutting down gracefully
	Diskless    bool `msg:"v"` // a restart loses all its state
	Isolated    bool `msg:"i"` // it has received no messages from a majority of the voters for too long
}

// SuspicionReport is the report of a monitor on the members that it monitors.
type SuspicionReport struct {
	Suspected []MemberID `msg:"m"` // no message within the suspicion time-out, isolated, or with a stalled disk
	Leaving   []MemberID `msg:"l"` // shutting down gracefully, and still alive
	Late      []MemberID `msg:"d"` // no message within the shorter late time-out: two heartbeats are missing
}

// JoinRequest asks for membership or, from an observer, only for the newest view.
type JoinRequest struct {
	DiskStalled bool `msg:"d"`
	Observer    bool `msg:"o"` // the sender asks only for the newest view
	Diskless    bool `msg:"v"` // the sender may join only where no member has a disk
	Withdrawn   bool `msg:"w"` // the sender is shutting down and withdraws its earlier requests
}

// ViewAnnouncement carries a decided view.
type ViewAnnouncement struct {
	View View `msg:"v"`
}
