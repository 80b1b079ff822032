package replica

import (
	"slices"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// InitialView is the view that a system starts with.
func InitialView(seeds []string) message.View {
	view := message.View{Number: 1}
	for _, address := range seeds {
		view.Members = append(view.Members, message.Member{Identity: message.MemberID("seed-" + address), Address: address, SinceView: 1})
	}
	view.Voters = slices.Clone(view.Members)
	return view
}

// quorumSize is how many voters decide.
func (r *Replica) quorumSize() int { return len(r.control.View.EffectiveVoters())/2 + 1 }

// minVoters is how many voters there are at least: the tolerance may be lost for good, and a majority is left.
func (r *Replica) minVoters() int { return 2*r.options.Tolerance + 1 }

// minChainLength is how many members the chain has at least: each change is on one disk more than may be lost.
func (r *Replica) minChainLength() int {
	return min(r.options.Tolerance+1, len(r.control.View.Members))
}

// isVoter reports whether the replica may vote on the next view.
func (r *Replica) isVoter() bool { return r.hasVote(r.control.Identity) }

func (r *Replica) hasVote(identity message.MemberID) bool {
	return containsMember(r.control.View.EffectiveVoters(), identity)
}

// position is the replica's place in the chain, -1 where it is no member.
func (r *Replica) position() int { return chainPosition(r.control.View, r.control.Identity) }

func chainPosition(view message.View, identity message.MemberID) int {
	return slices.IndexFunc(view.Members, func(m message.Member) bool { return m.Identity == identity })
}

func containsMember(members []message.Member, identity message.MemberID) bool {
	return lo.ContainsBy(members, func(m message.Member) bool { return m.Identity == identity })
}

func (r *Replica) isHead() bool { return r.position() == 0 }

func (r *Replica) isTail() bool {
	position := r.position()
	return position >= 0 && position == len(r.control.View.Members)-1
}

// membersAndVoters lists the members of the chain and the voters of some views, each once.
func membersAndVoters(views ...message.View) []message.Member {
	var all []message.Member
	for _, view := range views {
		all = append(append(all, view.Members...), view.Voters...)
	}
	return lo.UniqBy(all, func(m message.Member) message.MemberID { return m.Identity })
}

// sameMembers compares sets: an order alone is no reason for another view.
func sameMembers(a, b []message.Member) bool {
	identities := func(members []message.Member) []message.MemberID {
		return lo.Map(members, func(m message.Member, _ int) message.MemberID { return m.Identity })
	}
	return len(a) == len(b) && len(lo.Without(identities(a), identities(b)...)) == 0
}

// enterView takes up a decided view.
func (r *Replica) enterView(view message.View) {
	if view.Number <= r.control.View.Number {
		return
	}
	old := r.control.View
	at := chainPosition(view, r.control.Identity)
	complete := at >= 0 && r.control.Complete && view.Members[at].SinceView <= old.Number
	r.control.View, r.control.Complete = view, complete
	r.control.HighestProposal, r.control.AcceptedProposal, r.control.AcceptedView = message.ProposalNumber{}, message.ProposalNumber{}, message.View{}
	r.controlDirty = true
	r.proposal = proposal{}
	r.detector.enterView(old, view, r.control.Identity, r.now)
	r.lease.viewEntered = r.now
	r.confirmation.abandon()
	r.resetReplication()
}

// announceNewerView passes on the newest view where the sender has an older one.
func (r *Replica) announceNewerView(m *message.Message) {
	if m.View < r.control.View.Number && m.ViewAnnouncement == nil && m.JoinRequest == nil && m.FromAddress != "" {
		r.send(r.sender(m), message.Message{ViewAnnouncement: &message.ViewAnnouncement{View: r.control.View}})
	}
}
