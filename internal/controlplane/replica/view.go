package replica

import (
	"slices"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// InitialView returns the first view of a system. Its members have no zones yet: see addsSeedZones.
func InitialView(seeds []string) message.View {
	view := message.View{Number: 1}
	for _, address := range seeds {
		identity := message.MemberID("seed-" + address)
		view.Members = append(view.Members, message.Member{Identity: identity, Address: address, SinceView: 1})
	}
	view.Voters = slices.Clone(view.Members)
	return view
}

// quorumSize returns the number of voters in a majority.
func (r *Replica) quorumSize() int { return len(r.control.View.EffectiveVoters())/2 + 1 }

// minVoters returns the minimum number of voters that a view should have: a majority remains after the tolerated number
// is permanently lost.
func (r *Replica) minVoters() int { return 2*r.options.Tolerance + 1 }

// minChainLength returns the minimum length of the chain, so that each change is on one more disk than may be lost. A
// chain that is already shorter keeps at least its length.
func (r *Replica) minChainLength() int {
	return min(r.options.Tolerance+1, len(r.control.View.Members))
}

// isVoter reports whether this member votes on the next view.
func (r *Replica) isVoter() bool { return r.hasVote(r.control.Identity) }

// hasVote reports whether a member votes on the next view.
func (r *Replica) hasVote(identity message.MemberID) bool {
	return containsMember(r.control.View.EffectiveVoters(), identity)
}

// isSelf reports whether a member is this replica.
func (r *Replica) isSelf(member message.Member) bool { return member.Identity == r.control.Identity }

// position returns the replica's position in the chain, or -1 if it is not a member.
func (r *Replica) position() int { return indexOfMember(r.control.View.Members, r.control.Identity) }

// isInChain reports whether a member belongs to the chain of the newest view.
func (r *Replica) isInChain(identity message.MemberID) bool {
	return containsMember(r.control.View.Members, identity)
}

func (r *Replica) isHead() bool { return r.position() == 0 }

func (r *Replica) isTail() bool {
	position := r.position()
	return position >= 0 && position == len(r.control.View.Members)-1
}

// enterView makes a decided view the current one, if it is newer.
func (r *Replica) enterView(view message.View) {
	if view.Number <= r.control.View.Number {
		return
	}
	old := r.control.View
	r.control = message.ControlState{
		Identity:   r.control.Identity,
		View:       view,
		Complete:   r.isCompleteIn(view),
		LeaseToken: r.control.LeaseToken,
	}
	r.output.controlDirty = true
	r.proposal = proposal{}
	r.detector.enterView(old, view, r.control.Identity, r.now)
	r.timers.lastHeartbeat, r.timers.viewChangeWantedSince = instant{}, instant{}
	r.viewEnteredAt = r.now
	r.confirmation.cancel()
	r.resetReplication()
}

// isCompleteIn reports whether this member remains complete in a later view. It does not if it was outside the chain in
// between: changes may have been acknowledged without it.
func (r *Replica) isCompleteIn(view message.View) bool {
	at := indexOfMember(view.Members, r.control.Identity)
	return at >= 0 && r.control.Complete && view.Members[at].SinceView <= r.control.View.Number
}

// announceNewerView sends the newest view to the sender of a message from an older view.
func (r *Replica) announceNewerView(m *message.Message) {
	if m.View < r.control.View.Number && m.ViewAnnouncement == nil && m.JoinRequest == nil && m.FromAddress != "" {
		r.announceView(senderOf(m))
	}
}

// announceView sends the newest view to a member.
func (r *Replica) announceView(to message.Member) {
	r.send(to, message.Message{ViewAnnouncement: &message.ViewAnnouncement{View: r.control.View}})
}

func indexOfMember(members []message.Member, identity message.MemberID) int {
	return slices.IndexFunc(members, func(m message.Member) bool { return m.Identity == identity })
}

func containsMember(members []message.Member, identity message.MemberID) bool {
	return indexOfMember(members, identity) >= 0
}

func containsAddress(members []message.Member, address string) bool {
	return slices.ContainsFunc(members, func(m message.Member) bool { return m.Address == address })
}

// removeMember returns the members except one.
func removeMember(members []message.Member, identity message.MemberID) []message.Member {
	return lo.Reject(members, func(m message.Member, _ int) bool { return m.Identity == identity })
}

// membersAndVoters returns the members of the chain and the voters of some views, each once.
func membersAndVoters(views ...message.View) []message.Member {
	var all []message.Member
	for _, view := range views {
		all = append(append(all, view.Members...), view.Voters...)
	}
	return lo.UniqBy(all, func(m message.Member) message.MemberID { return m.Identity })
}

// sameMembers reports whether a and b have the same members in any order. A different order alone does not justify a
// view change.
func sameMembers(a, b []message.Member) bool {
	identities := func(members []message.Member) []message.MemberID {
		return lo.Map(members, func(m message.Member, _ int) message.MemberID { return m.Identity })
	}
	return len(a) == len(b) && len(lo.Without(identities(a), identities(b)...)) == 0
}
