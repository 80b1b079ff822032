package replica

import (
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// nextView is the view that the reports and requests speak for; ok is false where it is the present one.
//
// Three decisions are made apart from one another: who is in the chain, which joiners come in, and who votes. A member
// that is silent leaves the chain at once, as the chain acknowledges nothing without it, but goes on voting: it may
// come back with its disk while one of the others loses its own. A vote is taken from a silent member only when a live
// one gets it, or when there are more voters than the tolerance needs.
func (r *Replica) nextView() (view message.View, ok bool) {
	current := r.control.View
	if !r.hasReasonForChange() {
		return view, false
	}
	suspects := r.suspectedMembers()
	alive := lo.Reject(current.Members, func(m message.Member, _ int) bool { return slices.Contains(suspects, m.Identity) })
	joiners := r.joiningMembers(suspects)
	stay := r.removeLeaving(alive)
	if !r.canRemoveSuspected(alive, len(suspects)) || len(stay)+len(joiners) < r.minChainLength() {
		stay = lo.Filter(current.Members, func(m message.Member, _ int) bool {
			return containsMember(stay, m.Identity) || slices.Contains(suspects, m.Identity) && !r.isAddressTaken(m)
		})
	}
	sort.SliceStable(stay, func(i, j int) bool { return r.isComplete(stay[i]) && !r.isComplete(stay[j]) })
	next := r.composeView(stay, alive, joiners)
	if len(next.Members) < r.minChainLength() {
		return view, false // nothing may be acknowledged on so few disks
	}
	if sameMembers(next.Members, current.Members) && sameMembers(next.Voters, current.EffectiveVoters()) && !r.addsSeedZones(next) {
		return view, false
	}
	return next, true
}

// addsSeedZones reports whether a view would be the first that tells the zones of the seeds: who comes to replace one of
// them is told by its zone, also by members that never heard the lost one.
func (r *Replica) addsSeedZones(next message.View) bool {
	isUnknown := func(m message.Member) bool { return m.Zone == "" }
	return r.control.View.Number == 1 && lo.EveryBy(r.control.View.Members, isUnknown) && lo.NoneBy(next.Members, isUnknown)
}

// canRemoveSuspected reports whether the silent members may be taken out of the chain: when one more of the others than the
// tolerance holds all that was acknowledged. Members that are still being brought up to date are waited for, though not
// for long, as nothing is acknowledged meanwhile.
func (r *Replica) canRemoveSuspected(alive []message.Member, silent int) bool {
	if silent == 0 {
		r.detector.suspectedSince = 0
		return true
	}
	if r.detector.suspectedSince == 0 {
		r.detector.suspectedSince = r.now
	}
	holding := lo.CountBy(alive, r.isComplete)
	return holding > r.options.Tolerance || r.now-r.detector.suspectedSince >= incompleteChainTimeout
}

// hasReasonForChange reports whether anything speaks for another view; mostly nothing does.
func (r *Replica) hasReasonForChange() bool {
	current := r.control.View
	speaks := func(m message.Member) bool { return r.yieldsToDurableMembers(m) || !r.hasHeardFrom(m) }
	if len(r.detector.reports)+len(r.detector.joinRequests) > 0 || lo.ContainsBy(current.Members, speaks) {
		return true
	}
	return current.Number == 1 || r.needsVoteTransfer()
}

// removeLeaving lets go of the members that were asked to stop, and of those without a disk, which only the first view
// can have: as soon as one more of the others than the tolerance holds all that was acknowledged.
func (r *Replica) removeLeaving(present []message.Member) []message.Member {
	staying := lo.Reject(present, func(m message.Member, _ int) bool { return r.isLeaving(m) })
	holding := lo.CountBy(staying, r.isComplete)
	if holding > r.options.Tolerance {
		return staying
	}
	return present
}

// isLeaving reports whether a member that is still there is to be let go.
func (r *Replica) isLeaving(member message.Member) bool {
	return r.yieldsToDurableMembers(member) || r.isReportedLeaving(member)
}

// composeView adds the joiners to those that stay and settles who votes.
func (r *Replica) composeView(stay, alive, joiners []message.Member) message.View {
	next := message.View{Number: r.control.View.Number + 1, Members: stay}
	active := lo.Filter(stay, func(m message.Member, _ int) bool {
		return containsMember(alive, m.Identity) && r.hasHeardFrom(m) && !r.yieldsToDurableMembers(m)
	})
	admitted := r.admissibleMembers(joiners, len(stay), r.newVoterSelection(active))
	next.Members = append(next.Members, admitted...)
	r.fillInDetails(next.Members)
	electorate := r.newVoterSelection(append(active, admitted...))
	electorate.canGrow = !r.hasLateMember(stay)
	next.Voters = electorate.nextVoters()
	next.ReplacedVoters = electorate.remainingReplaced(r.yieldsToDurableMembers)
	r.fillInDetails(next.Voters)
	return next
}

// newVoterSelection starts from the present voters, of whom some members are there.
func (r *Replica) newVoterSelection(present []message.Member) *voterSelection {
	view := r.control.View
	return &voterSelection{
		minVoters: r.minVoters(), voters: slices.Clone(view.EffectiveVoters()), present: present, replaced: slices.Clone(view.ReplacedVoters),
		isLeaving: r.hasAnnouncedLeaving, timeSinceMessage: r.timeSinceMessage, newcomerAge: r.newcomerAge, canReceiveVote: r.canReceiveVote,
	}
}

// admissibleMembers are the joiners that come in now. One whose place is clear comes at once: a voter that is back, a machine
// whose disk was lost, one that comes for a member of its zone. Any other has to ask for a while: the member that it
// came to replace would have been found silent by then, or have been told to stop.
func (r *Replica) admissibleMembers(joiners []message.Member, staying int, places *voterSelection) []message.Member {
	var admitted []message.Member
	for _, joiner := range joiners {
		isKnown := lo.ContainsBy(membersAndVoters(r.control.View), func(m message.Member) bool { return m.Address == joiner.Address })
		predecessor, hasPlace := places.certainPredecessor(joiner)
		switch {
		case isKnown || r.isEstablished(joiner) || staying+len(admitted) < r.minChainLength():
		case hasPlace:
			places.transferVote(predecessor, joiner)
		default:
			continue
		}
		admitted = append(admitted, joiner)
	}
	return admitted
}

// isReportedLeaving reports whether a member was asked to stop.
func (r *Replica) isReportedLeaving(member message.Member) bool {
	return r.isReported(leaving, member.Identity, nil)
}

// newcomerPeriod is how long a machine counts as one that has just come.
const newcomerPeriod = 10 * time.Second

// newcomerAge returns how long ago a machine asked for the first time; ok is false for one that was a member before.
func (r *Replica) newcomerAge(member message.Member) (asked time.Duration, ok bool) {
	arrived, known := r.detector.arrived[member.Identity]
	return r.now - arrived, known && r.now-arrived <= newcomerPeriod
}

// hasAnnouncedLeaving reports whether a member said a moment ago that it was asked to stop, and has not come back since.
func (r *Replica) hasAnnouncedLeaving(member message.Member) bool {
	at, said := r.detector.departing[member.Identity]
	return said && r.now-at <= leavingPeriod
}

// isEstablished reports whether a member without a vote has been known for long enough that its coming says nothing of any
// other. While the system starts for the first time it comes to replace nobody.
func (r *Replica) isEstablished(member message.Member) bool {
	asked, isNew := r.newcomerAge(member)
	isFounding := r.options.FirstStart && r.now <= initialStartPeriod
	return !isNew || isFounding || asked >= newcomerTimeout
}

// canReceiveVote reports whether a member without a vote may get that of a silent one: it is there, and nobody came for it a
// moment ago.
func (r *Replica) canReceiveVote(member message.Member) bool {
	at, superseded := r.detector.superseded[member.Identity]
	if superseded && r.now-at <= newcomerPeriod {
		return false
	}
	spoke, known := r.detector.spoke[member.Identity]
	isThere := member.Identity == r.control.Identity || known && r.now-spoke <= unmonitoredSuspicionTimeout
	return isThere && r.isEstablished(member)
}

// timeSinceMessage is how long nothing came from a voter.
func (r *Replica) timeSinceMessage(voter message.Member) time.Duration {
	return r.now - r.detector.spoke[voter.Identity]
}

// fillInDetails fills in what is known of the seeds, of which the first view has only the addresses.
func (r *Replica) fillInDetails(members []message.Member) {
	for i := range members {
		if members[i].Zone == "" {
			members[i].Zone = r.detector.zone[members[i].Identity]
		}
		members[i].Diskless = members[i].Diskless || r.isDiskless(members[i])
	}
}

// hasLateMember reports whether a member was not heard for a moment, or never.
func (r *Replica) hasLateMember(members []message.Member) bool {
	return lo.ContainsBy(members, func(m message.Member) bool {
		if m.Identity == r.control.Identity {
			return false
		}
		_, known := r.detector.heard[m.Identity]
		return !known || r.isReported(late, m.Identity, nil) || r.isReported(suspected, m.Identity, nil)
	})
}

// isDurable reports whether a change may be acknowledged: the voters and copies that are on disks bear the loss of
// all power, and of as many disks as the tolerance says. Where no machine has a disk, and where there may be fewer
// machines than that takes, the first seconds of a view are waited for.
func (r *Replica) isDurable() bool {
	voters := r.control.View.EffectiveVoters()
	waited := r.now-r.lease.viewEntered >= durableMemberTimeout
	if r.control.View.Number == 1 && len(voters) < r.minVoters() && !waited {
		return false
	}
	onDisk := lo.Reject(voters, func(m message.Member, _ int) bool { return r.mayBeDiskless(m) })
	switch len(onDisk) {
	case len(voters):
		return true
	case 0:
		return waited || r.isDisklessSystem()
	}
	copies := lo.CountBy(r.control.View.Members, func(m message.Member) bool { return !r.mayBeDiskless(m) })
	return len(onDisk)-r.options.Tolerance >= r.quorumSize() && copies > r.options.Tolerance
}

// mayBeDiskless reports whether a member has no disk, or is a seed that has not told yet.
func (r *Replica) mayBeDiskless(member message.Member) bool {
	if member.Identity == r.control.Identity {
		return r.options.Diskless
	}
	hasDisk, told := r.detector.disk[member.Identity]
	return member.Diskless || told && !hasDisk || !told && r.control.View.Number == 1
}
