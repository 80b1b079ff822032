package replica

import (
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// nextView returns the view that should follow the current one, by the reports, requests and messages received; ok is
// false where the current one should stay.
//
// Three decisions are separate: who stays in the chain, which joining members are admitted, and who votes. A suspected
// member leaves the chain at once, as the chain acknowledges nothing without it, but keeps its vote: it may return with
// its disk while one of the others loses its own. A vote is taken from a suspected member only when a live one gets it,
// or when there are more voters than the tolerance needs.
func (r *Replica) nextView() (next message.View, ok bool) {
	if !r.hasReasonForChange() {
		return message.View{}, false
	}
	current := r.control.View
	suspected := r.suspectedMembers()
	isSuspected := func(m message.Member) bool { return slices.Contains(suspected, m.Identity) }
	alive := lo.Reject(current.Members, func(m message.Member, _ int) bool { return isSuspected(m) })
	joining := r.joiningMembers(suspected)
	staying := r.removeLeaving(alive)
	r.timers.recordSuspicion(len(suspected) > 0, r.now)
	if !r.canRemoveSuspected(alive) || len(staying)+len(joining) < r.minChainLength() {
		// The suspected members stay for now, but for those whose address another process has: they are certainly gone.
		staying = lo.Filter(current.Members, func(m message.Member, _ int) bool {
			return containsMember(staying, m.Identity) || isSuspected(m) && !r.isAddressTaken(m)
		})
	}
	// Complete members come first, as only those can be the head; among them the order stays.
	sort.SliceStable(staying, func(i, j int) bool { return r.isComplete(staying[i]) && !r.isComplete(staying[j]) })
	next = r.composeView(staying, alive, joining)
	if len(next.Members) < r.minChainLength() { // a change on so few disks must not be acknowledged
		return message.View{}, false
	}
	return next, r.isChange(next)
}

// hasReasonForChange reports whether there may be a reason for another view. It is a cheap check on every tick that saves
// composing a view, as mostly there is none.
func (r *Replica) hasReasonForChange() bool {
	current := r.control.View
	if len(r.detector.reports)+len(r.detector.joinRequests) > 0 {
		return true
	}
	isReason := func(m message.Member) bool { return r.yieldsToDurableMembers(m) || !r.hasHeardFrom(m) }
	return lo.ContainsBy(current.Members, isReason) || current.Number == 1 || r.needsVoteTransfer()
}

// isChange reports whether a view differs from the current one in more than the order of its chain.
func (r *Replica) isChange(next message.View) bool {
	current := r.control.View
	isSame := sameMembers(next.Members, current.Members) && sameMembers(next.Voters, current.EffectiveVoters())
	return !isSame || r.addsSeedZones(next)
}

// addsSeedZones reports whether a view would be the first one with the zones of the seeds, of which the initial view has
// only the addresses. The zones must be in a view: a replacement is recognised by the zone of the member that it replaces,
// also by members that were restarted and have never heard that one.
func (r *Replica) addsSeedZones(next message.View) bool {
	hasNoZone := func(m message.Member) bool { return m.Zone == "" }
	current := r.control.View
	return current.Number == 1 && lo.EveryBy(current.Members, hasNoZone) && lo.NoneBy(next.Members, hasNoZone)
}

// canRemoveSuspected reports whether the suspected members may be removed from the chain: when more of the others than
// the tolerance are complete. While others are still catching up it waits for up to incompleteChainTimeout, and no
// longer, as nothing is acknowledged meanwhile.
func (r *Replica) canRemoveSuspected(alive []message.Member) bool {
	since := r.timers.suspectedSince
	return !since.known || r.toleratesLossOf(alive) || r.now-since.at >= incompleteChainTimeout
}

// removeLeaving removes the members that leave, as soon as enough of the others are complete.
func (r *Replica) removeLeaving(alive []message.Member) []message.Member {
	staying := lo.Reject(alive, func(m message.Member, _ int) bool { return r.isLeaving(m) })
	if r.toleratesLossOf(staying) {
		return staying
	}
	return alive
}

// toleratesLossOf reports whether more of some members than the tolerance are complete, so that the tolerated number of
// them may be lost.
func (r *Replica) toleratesLossOf(members []message.Member) bool {
	return lo.CountBy(members, r.isComplete) > r.options.Tolerance
}

// isComplete reports whether a member holds all that was acknowledged in earlier views.
func (r *Replica) isComplete(member message.Member) bool {
	if r.isSelf(member) {
		return r.control.Complete
	}
	return r.detector.lookup(member.Identity).completeInView == r.control.View.Number
}

// isLeaving reports whether a member that is alive is to be removed from the chain.
func (r *Replica) isLeaving(member message.Member) bool {
	return r.yieldsToDurableMembers(member) || r.isReported(reportLeaving, member.Identity, nil)
}

// composeView returns the next view: the chain of those that stay and those that are admitted, and its voters.
func (r *Replica) composeView(staying, alive, joining []message.Member) message.View {
	next := message.View{Number: r.control.View.Number + 1}
	present := lo.Filter(staying, func(m message.Member, _ int) bool {
		return containsMember(alive, m.Identity) && r.hasHeardFrom(m) && !r.yieldsToDurableMembers(m)
	})
	// This selection only pairs joining members with the voters that they replace. The voters are selected below, when it is
	// known who is admitted.
	admitted := r.admissibleMembers(joining, len(staying), r.newVoterSelection(present))
	next.Members = slices.Concat(staying, admitted)
	r.fillInDetails(next.Members)

	selection := r.newVoterSelection(slices.Concat(present, admitted))
	selection.canGrow = !r.hasLateMember(staying)
	next.Voters = selection.nextVoters()
	next.ReplacedVoters = selection.remainingReplaced(r.yieldsToDurableMembers)
	r.fillInDetails(next.Voters)
	return next
}

// newVoterSelection returns a selection that starts from the current voters. present are the members of the next chain
// that are alive and stay.
func (r *Replica) newVoterSelection(present []message.Member) *voterSelection {
	view := r.control.View
	return &voterSelection{
		minVoters: r.minVoters(),
		voters:    slices.Clone(view.EffectiveVoters()),
		present:   present,
		replaced:  slices.Clone(view.ReplacedVoters),

		isLeaving:        r.hasAnnouncedLeaving,
		timeSinceMessage: r.timeSinceMessage,
		newcomerAge:      r.newcomerAge,
		canReceiveVote:   r.canReceiveVote,
	}
}

// admissibleMembers returns the joining members that are admitted now. One whose predecessor is certain is admitted at
// once: a voter that returns, a machine whose disk was lost, one that replaces a member of its zone. Any other one has
// to ask for newcomerTimeout: the member that it came to replace is suspected or leaving by then.
func (r *Replica) admissibleMembers(joining []message.Member, stayingCount int, selection *voterSelection) []message.Member {
	var admitted []message.Member
	known := membersAndVoters(r.control.View)
	for _, member := range joining {
		isKnown := lo.ContainsBy(known, func(m message.Member) bool { return m.Address == member.Address })
		isShort := stayingCount+len(admitted) < r.minChainLength()
		predecessor, isCertain := selection.certainPredecessor(member)
		switch {
		case isKnown || isShort || r.isEstablished(member):
		case isCertain:
			selection.transferVote(predecessor, member) // so that no other one counts as the replacement of predecessor too
		default:
			continue
		}
		admitted = append(admitted, member)
	}
	return admitted
}

// newcomerAge returns how long ago a machine asked to join for the first time; isNewcomer is false for one that was a
// member before, or came more than newcomerPeriod ago.
func (r *Replica) newcomerAge(member message.Member) (age time.Duration, isNewcomer bool) {
	return r.detector.lookup(member.Identity).newcomerAge(r.now)
}

// hasAnnouncedLeaving reports whether a member said within leavingPeriod that it shuts down, and has not rejoined since.
func (r *Replica) hasAnnouncedLeaving(member message.Member) bool {
	return r.detector.lookup(member.Identity).announcedLeaving.isWithin(leavingPeriod, r.now)
}

// isEstablished reports whether a member without a vote has been known for so long that any member that it came to
// replace is known to have failed or to be leaving by now. In the first start of the system no machine replaces another.
func (r *Replica) isEstablished(member message.Member) bool {
	age, isNewcomer := r.newcomerAge(member)
	isInitialStart := r.options.FirstStart && r.now <= initialStartPeriod
	return !isNewcomer || isInitialStart || age >= newcomerTimeout
}

// canReceiveVote reports whether a member without a vote may get that of any suspected one: it is alive, it is
// established, and its own vote did not go to a newcomer within newcomerPeriod.
func (r *Replica) canReceiveVote(member message.Member) bool {
	record := r.detector.lookup(member.Identity)
	if record.lostVoteToNewcomer.isWithin(newcomerPeriod, r.now) {
		return false
	}
	isAlive := r.isSelf(member) || record.lastMessage.isWithin(unmonitoredSuspicionTimeout, r.now)
	return isAlive && r.isEstablished(member)
}

// timeSinceMessage returns how long ago the last message of a voter arrived.
func (r *Replica) timeSinceMessage(voter message.Member) time.Duration {
	return r.now - r.detector.lookup(voter.Identity).lastMessage.at
}

// fillInDetails adds what is known of the seeds, of which the initial view has only the addresses.
func (r *Replica) fillInDetails(members []message.Member) {
	for i := range members {
		if members[i].Zone == "" {
			members[i].Zone = r.detector.lookup(members[i].Identity).zone
		}
		members[i].Diskless = members[i].Diskless || r.isDiskless(members[i])
	}
}

// hasLateMember reports whether some member is late or suspected, or was never heard.
func (r *Replica) hasLateMember(members []message.Member) bool {
	return lo.ContainsBy(members, func(m message.Member) bool {
		if r.isSelf(m) {
			return false
		}
		wasHeard := r.detector.lookup(m.Identity).lastHeard.known
		return !wasHeard || r.isReported(reportLate, m.Identity, nil) || r.isReported(reportSuspected, m.Identity, nil)
	})
}
