package raftmember

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// logPosition is the position of a log's last entry. A log that ends at a later position is more up to date, as in
// section 5.4.1 of the raft paper.
type logPosition struct {
	Term  uint64 `json:"last_term"`
	Index uint64 `json:"last_index"`
}

func (p logPosition) isBefore(other logPosition) bool {
	return p.Term < other.Term || p.Term == other.Term && p.Index < other.Index
}

// HelloResponse is the response of a member that accepts a Hello; it describes the member's own disk. Members of
// earlier versions respond without a body, which stands for the zero value.
type HelloResponse struct {
	HighestTerm uint64 `json:"highest_term"`
	logPosition
}

// acceptancesNeeded returns how many peers have to accept a Hello in a group of the given size.
//
// A disk that is proven to be the newest needs acceptances from enough peers to form a quorum with the member itself.
// They confirm that no second process uses the member's ID.
//
// Any other disk may lack entries and votes that the member acknowledged, and every other member has to accept it. Each
// quorum in which the member acknowledged an entry includes another member, which therefore checks the Hello. Either
// that member led, knows what was acknowledged and rejects the Hello, or the entry is in its log and voteGuard takes it
// into account.
func acceptancesNeeded(members int, disk freshness) int {
	if disk == freshnessProven {
		return members / 2
	}
	return members - 1
}

// voteGuard keeps a member whose disk is not proven from electing a leader, itself included, that lacks entries that
// the member may have acknowledged earlier. A candidate's log has to reach the end of the furthest log that any other
// member had at the start of this member, and this member becomes a candidate only once its own log does. The zero
// value restricts nothing.
type voteGuard struct {
	highestTerm uint64      // of the members that responded
	required    logPosition // the end of the furthest log among them
}

// observe records the response of a member.
func (g *voteGuard) observe(r HelloResponse) {
	g.highestTerm = max(g.highestTerm, r.HighestTerm)
	if g.required.isBefore(r.logPosition) {
		g.required = r.logPosition
	}
}

// mayCampaign reports whether a member whose log ends at own may become a candidate.
func (g *voteGuard) mayCampaign(own logPosition) bool { return !own.isBefore(g.required) }

// mayReceive reports whether a member whose log ends at own may process a message. Raft itself then compares a
// candidate's log with the member's own.
func (g *voteGuard) mayReceive(msg *pb.Message, own logPosition) bool {
	switch msg.GetType() {
	case pb.MessageType_MsgVote, pb.MessageType_MsgPreVote:
		candidate := logPosition{Term: msg.GetLogTerm(), Index: msg.GetIndex()}
		return !candidate.isBefore(g.required)
	case pb.MessageType_MsgTimeoutNow: // become a candidate at once
		return g.mayCampaign(own)
	default:
		return true
	}
}

// selfVote returns the term and vote with which a member with an unproven disk starts, or nil if it starts with those
// on the disk. The member may have voted in any term up to the highest one, and the vote may be missing on its disk. It
// therefore starts in the highest term with a vote for itself, so that it votes for no other candidate in that term.
func (g *voteGuard) selfVote(id uint64, stored *pb.HardState) *pb.HardState {
	term := max(g.highestTerm, stored.GetTerm())
	if term == 0 || term == stored.GetTerm() && stored.GetVote() != 0 {
		return nil
	}
	commit := stored.GetCommit()
	return &pb.HardState{Term: &term, Vote: &id, Commit: &commit}
}
