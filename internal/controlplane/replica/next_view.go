package replica

import (
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// nextView returns the view that should follow the current one, based on the reports, requests and messages received.
// ok is false if the current view should stay.
//
// It makes three separate decisions: which members stay in the chain, which joining machines are admitted, and which
// members vote. A suspected member is removed from the chain at once, as the chain acknowledges nothing without it. It
// keeps its vote: it may return with its disk while another member loses its disk. A suspected member loses its vote
// only if a live member receives the vote, or if there are more voters than the tolerance needs.
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
		// The suspected members stay for now, except those whose address another process has: they are certainly gone.
		staying = lo.Filter(current.Members, func(m message.Member, _ int) bool {
			return containsMember(staying, m.Identity) || isSuspected(m) && !r.isAddressTaken(m)
		})
	}
	// Complete members come first, as only they can be the head. Otherwise the order is kept.
	sort.SliceStable(staying, func(i, j int) bool { return r.isComplete(staying[i]) && !r.isComplete(staying[j]) })
	next = r.composeView(staying, alive, joining)
	if len(next.Members) < r.minChainLength() { // a change on fewer disks must not be acknowledged
		return message.View{}, false
	}
	return next, r.isChange(next)
}

// hasReasonForChange reports whether there may be a reason for another view. This cheap check on every tick usually
// avoids composing a view.
func (r *Replica) hasReasonForChange() bool {
	current := r.control.View
	if len(r.detector.reports)+len(r.detector.joinRequests) > 0 {
		return true
	}
	isReason := func(m message.Member) bool { return r.yieldsToDurableMembers(m) || !r.hasRecentMessage(m) }
	return lo.ContainsBy(current.Members, isReason) || current.Number == 1 || r.needsVoteTransfer()
}

// isChange reports whether a view differs from the current one. A different order of the chain alone does not count.
func (r *Replica) isChange(next message.View) bool {
	current := r.control.View
	isSame := sameMembers(next.Members, current.Members) && sameMembers(next.Voters, current.EffectiveVoters())
	return !isSame || r.addsSeedZones(next)
}

// addsSeedZones reports whether a view would be the first one with the zones of the seeds. The initial view has only
// their addresses. The zones must be in a view because a replacement is recognised by the zone of the member that it
// replaces. A restarted member that never received a message from that member has no other source for the zone.
func (r *Replica) addsSeedZones(next message.View) bool {
	hasNoZone := func(m message.Member) bool { return m.Zone == "" }
	current := r.control.View
	return current.Number == 1 && lo.EveryBy(current.Members, hasNoZone) && lo.NoneBy(next.Members, hasNoZone)
}

// canRemoveSuspected reports whether the suspected members may be removed from the chain. They may if the
// number of complete members among the others exceeds the tolerance. Otherwise removal waits for the others to catch
// up, but for at most incompleteChainTimeout, as nothing is acknowledged in the meantime.
func (r *Replica) canRemoveSuspected(alive []message.Member) bool {
	since := r.timers.suspectedSince
	return !since.known || r.toleratesLossOf(alive) || r.now-since.at >= incompleteChainTimeout
}

// removeLeaving removes the leaving members once enough of the others are complete.
func (r *Replica) removeLeaving(alive []message.Member) []message.Member {
	staying := lo.Reject(alive, func(m message.Member, _ int) bool { return r.isLeaving(m) })
	if r.toleratesLossOf(staying) {
		return staying
	}
	return alive
}

// toleratesLossOf reports whether the number of complete members among the given ones exceeds the tolerance, so that at
// least one complete member remains after the tolerated losses.
func (r *Replica) toleratesLossOf(members []message.Member) bool {
	return lo.CountBy(members, r.isComplete) > r.options.Tolerance
}

// isComplete reports whether a member holds every change acknowledged in earlier views.
func (r *Replica) isComplete(member message.Member) bool {
	if r.isSelf(member) {
		return r.control.Complete
	}
	return r.detector.lookup(member.Identity).completeInView == r.control.View.Number
}

// isLeaving reports whether a live member should be removed from the chain: it is shutting down, or yields to durable
// members.
func (r *Replica) isLeaving(member message.Member) bool {
	return r.yieldsToDurableMembers(member) || r.isReported(reportLeaving, member.Identity, nil)
}

// composeView returns the next view: its chain of staying and admitted members, and its voters.
func (r *Replica) composeView(staying, alive, joining []message.Member) message.View {
	next := message.View{Number: r.control.View.Number + 1}
	present := lo.Filter(staying, func(m message.Member, _ int) bool {
		return containsMember(alive, m.Identity) && r.hasRecentMessage(m) && !r.yieldsToDurableMembers(m)
	})
	admitted := r.admissibleMembers(joining, len(staying), r.newVoterSelection(present))
	next.Members = slices.Concat(staying, admitted)
	r.fillInDetails(next.Members)

	selection := r.newVoterSelection(slices.Concat(present, admitted))
	selection.newcomers = lo.Filter(admitted, func(m message.Member, _ int) bool { return r.isNewcomer(m) })
	selection.canGrow = !r.hasLateMember(staying)
	next.Voters = selection.nextVoters()
	next.ReplacedVoters = selection.remainingReplaced(r.yieldsToDurableMembers)
	next.Replacements = selection.remainingReplacements(next.ReplacedVoters)
	r.fillInDetails(next.Voters)
	return next
}

// newVoterSelection returns a selection that starts from the current voters. present are the members of the next chain
// that are alive and stay.
func (r *Replica) newVoterSelection(present []message.Member) *voterSelection {
	view := r.control.View
	return &voterSelection{
		minVoters:    r.minVoters(),
		voters:       slices.Clone(view.EffectiveVoters()),
		present:      present,
		replaced:     slices.Clone(view.ReplacedVoters),
		replacements: slices.Clone(view.Replacements),

		isLeaving:        r.hasAnnouncedLeaving,
		timeSinceMessage: r.timeSinceMessage,
		isAlive:          r.isAlive,
	}
}

// admissibleMembers returns the joining machines that are admitted now. A returning voter, a machine whose disk was
// lost and a machine that replaces a missing member of its zone are admitted at once, as is any machine while the chain
// is too short. Any other newcomer is admitted newcomerTimeout after its first request: the member that it replaces is
// suspected or leaving by then, or it lives and the chain need not wait for the newcomer.
func (r *Replica) admissibleMembers(joining []message.Member, stayingCount int, selection *voterSelection) []message.Member {
	var admitted []message.Member
	known := membersAndVoters(r.control.View)
	for _, member := range joining {
		isKnown := containsAddress(known, member.Address)
		isShort := stayingCount+len(admitted) < r.minChainLength()
		if isKnown || isShort || r.isEstablished(member) || selection.hasMissingPredecessor(member) {
			admitted = append(admitted, member)
		}
	}
	return admitted
}

// isNewcomer reports whether a joining machine is a new one. During the first start of the system there are none.
func (r *Replica) isNewcomer(joining message.Member) bool {
	known := append(membersAndVoters(r.control.View), replacedMembers(r.control.View)...)
	hasBeenMember := containsAddress(known, joining.Address) || r.detector.wasMemberAddress(joining.Address)
	return !hasBeenMember && r.detector.lookup(joining.Identity).firstJoinRequest.known && !r.isInitialStart()
}

// isInitialStart reports whether joining machines are members of a system that starts for the first time.
func (r *Replica) isInitialStart() bool { return r.options.FirstStart && r.now <= initialStartPeriod }

// hasAnnouncedLeaving reports whether a member announced its shutdown within leavingPeriod and has not rejoined since.
func (r *Replica) hasAnnouncedLeaving(member message.Member) bool {
	return r.detector.lookup(member.Identity).announcedLeaving.isWithin(leavingPeriod, r.now)
}

// isEstablished reports whether a machine was a member before, or has asked for long enough that a member that it
// replaces has been detected as failed or leaving.
func (r *Replica) isEstablished(member message.Member) bool {
	firstRequest := r.detector.lookup(member.Identity).firstJoinRequest
	return !firstRequest.known || r.isInitialStart() || r.now-firstRequest.at >= newcomerTimeout
}

// isAlive reports whether a member has sent a message lately.
func (r *Replica) isAlive(member message.Member) bool {
	return r.isSelf(member) || r.detector.lookup(member.Identity).lastMessage.isWithin(unmonitoredSuspicionTimeout, r.now)
}

// timeSinceMessage returns the time since the last message from a voter.
func (r *Replica) timeSinceMessage(voter message.Member) time.Duration {
	return r.now - r.detector.lookup(voter.Identity).lastMessage.at
}

// fillInDetails adds the known zones and disk statuses. The initial view has only the addresses of the seeds.
func (r *Replica) fillInDetails(members []message.Member) {
	for i := range members {
		if members[i].Zone == "" {
			members[i].Zone = r.detector.lookup(members[i].Identity).zone
		}
		members[i].Diskless = members[i].Diskless || r.isDiskless(members[i])
	}
}

// hasLateMember reports whether some member is late or suspected, or has no running time-out yet.
func (r *Replica) hasLateMember(members []message.Member) bool {
	return lo.ContainsBy(members, func(m message.Member) bool {
		if r.isSelf(m) {
			return false
		}
		hasTimeout := r.detector.lookup(m.Identity).timeoutStart.known
		return !hasTimeout || r.isReported(reportLate, m.Identity, nil) || r.isReported(reportSuspected, m.Identity, nil)
	})
}
