package raftmember

import (
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func TestAcceptancesNeeded(t *testing.T) {
	for _, c := range []struct {
		members int
		disk    freshness
		want    int
	}{
		{1, freshnessUnknown, 0}, {1, freshnessProven, 0},
		{3, freshnessUnknown, 2}, {3, freshnessProven, 1},
		{5, freshnessUnknown, 4}, {5, freshnessProven, 2},
		{7, freshnessUnknown, 6}, {7, freshnessProven, 3},
	} {
		if got := acceptancesNeeded(c.members, c.disk); got != c.want {
			t.Errorf("%d members, freshness %d: %d, want %d", c.members, c.disk, got, c.want)
		}
	}
}

// A member with an unproven disk does not vote for a candidate whose log ends before the furthest log of the other
// members, and does not campaign before its own log has reached that position.
func TestVoteGuard_RejectsCandidatesWithShorterLogs(t *testing.T) {
	guard := voteGuard{}
	guard.observe(HelloResponse{HighestTerm: 4, logPosition: logPosition{Term: 3, Index: 9}})
	guard.observe(HelloResponse{HighestTerm: 5, logPosition: logPosition{Term: 2, Index: 30}})
	behind, caughtUp := logPosition{Term: 3, Index: 8}, logPosition{Term: 3, Index: 9}
	for _, c := range []struct {
		name string
		kind pb.MessageType
		log  logPosition // of the candidate
		own  logPosition
		want bool
	}{
		{"shorter log", pb.MessageType_MsgVote, logPosition{3, 8}, behind, false},
		{"shorter log, own log has caught up", pb.MessageType_MsgVote, logPosition{3, 8}, caughtUp, false},
		{"longer log of an earlier term", pb.MessageType_MsgPreVote, logPosition{2, 40}, behind, false},
		{"same log", pb.MessageType_MsgVote, logPosition{3, 9}, behind, true},
		{"shorter log of a later term", pb.MessageType_MsgPreVote, logPosition{4, 2}, behind, true},
		{"TimeoutNow", pb.MessageType_MsgTimeoutNow, logPosition{}, behind, false},
		{"TimeoutNow, caught up", pb.MessageType_MsgTimeoutNow, logPosition{}, caughtUp, true},
		{"entries", pb.MessageType_MsgApp, logPosition{}, behind, true},
	} {
		msg := &pb.Message{Type: c.kind.Enum(), LogTerm: proto.Uint64(c.log.Term), Index: proto.Uint64(c.log.Index)}
		if got := guard.mayReceive(msg, c.own); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	if guard.mayCampaign(behind) || !guard.mayCampaign(caughtUp) {
		t.Error("a member may campaign if and only if its log has caught up")
	}
	if unused := (voteGuard{}); !unused.mayCampaign(logPosition{}) {
		t.Error("a guard without observations prevents a campaign")
	}
}

func TestVoteGuard_SelfVoteInHighestTerm(t *testing.T) {
	const self = 2
	for _, c := range []struct {
		name        string
		highest     uint64
		term, vote  uint64 // stored
		wantTerm    uint64
		wantChanged bool
	}{
		{"first start", 0, 0, 0, 0, false},
		{"others are in a later term", 7, 5, 1, 7, true},
		{"others are in an earlier term, no vote stored", 4, 5, 0, 5, true},
		{"vote stored in the highest term", 5, 5, 3, 5, false},
	} {
		guard := voteGuard{highestTerm: c.highest}
		stored := &pb.HardState{Term: proto.Uint64(c.term), Vote: proto.Uint64(c.vote), Commit: proto.Uint64(3)}
		selfVote := guard.selfVote(self, stored)
		if (selfVote != nil) != c.wantChanged {
			t.Errorf("%s: %v", c.name, selfVote)
			continue
		}
		if selfVote != nil && (selfVote.GetTerm() != c.wantTerm || selfVote.GetVote() != self || selfVote.GetCommit() != 3) {
			t.Errorf("%s: %v", c.name, selfVote)
		}
	}
}
