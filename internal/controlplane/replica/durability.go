package replica

import (
	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// Machines without a disk are members only where no machine has one; the initial view may have both, as its members are
// given by the settings. Diskless members then leave as soon as enough durable ones are complete.

// isDiskless reports whether a member is known to have no disk.
func (r *Replica) isDiskless(member message.Member) bool {
	if r.isSelf(member) {
		return r.options.Diskless
	}
	return member.Diskless || r.detector.lookup(member.Identity).disk == diskAbsent
}

// mayBeDiskless reports whether a member has no disk, or is a seed that has not said yet whether it has one.
func (r *Replica) mayBeDiskless(member message.Member) bool {
	if r.isSelf(member) {
		return r.options.Diskless
	}
	isUnknownSeed := r.detector.lookup(member.Identity).disk == diskUnknown && r.control.View.Number == 1
	return r.isDiskless(member) || isUnknownSeed
}

// isDisklessSystem reports whether no member of the view has a disk, and, in the initial view, none has turned up within
// durableMemberTimeout. Diskless machines are ordinary members then; one that restarts comes back as another member.
func (r *Replica) isDisklessSystem() bool {
	view := r.control.View
	if len(view.Members) == 0 || view.Number == 1 && r.now-r.viewEnteredAt < durableMemberTimeout {
		return false
	}
	return lo.EveryBy(membersAndVoters(view), r.isDiskless)
}

// yieldsToDurableMembers reports whether a member has no disk though others have one.
func (r *Replica) yieldsToDurableMembers(member message.Member) bool {
	return r.isDiskless(member) && !r.isDisklessSystem()
}

// IsDurable reports whether a change may be acknowledged: after the loss of all power and of as many disks as the
// tolerance says, the disks that are left must hold a majority of the voters and the change. In a diskless system, and in
// an initial view with fewer voters than that takes, no change is acknowledged until the view is durableMemberTimeout
// old: durable members may join until then.
func (r *Replica) IsDurable() bool {
	voters := r.control.View.EffectiveVoters()
	hasWaited := r.now-r.viewEnteredAt >= durableMemberTimeout
	if r.control.View.Number == 1 && len(voters) < r.minVoters() && !hasWaited {
		return false
	}
	durableVoters := lo.CountBy(voters, func(m message.Member) bool { return !r.mayBeDiskless(m) })
	switch durableVoters {
	case len(voters):
		return true
	case 0:
		return hasWaited || r.isDisklessSystem() // no voter is known to have a disk
	}
	durableReplicas := lo.CountBy(r.control.View.Members, func(m message.Member) bool { return !r.mayBeDiskless(m) })
	return durableVoters-r.options.Tolerance >= r.quorumSize() && durableReplicas > r.options.Tolerance
}
