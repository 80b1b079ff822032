package replica

import (
	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// Diskless machines are members only if no machine has a disk. The settings give the members of the initial view, so
// that view may have both kinds; its diskless members are then removed as soon as enough durable ones are complete.

// isDiskless reports whether a member is known to have no disk.
func (r *Replica) isDiskless(member message.Member) bool {
	if r.isSelf(member) {
		return r.options.Diskless
	}
	return member.Diskless || r.detector.lookup(member.Identity).disk == diskAbsent
}

// mayBeDiskless reports whether a member has no disk, or is in the initial view and has not sent a heartbeat yet.
func (r *Replica) mayBeDiskless(member message.Member) bool {
	if r.isSelf(member) {
		return r.options.Diskless
	}
	isUnknownSeed := r.detector.lookup(member.Identity).disk == diskUnknown && r.control.View.Number == 1
	return r.isDiskless(member) || isUnknownSeed
}

// isDisklessSystem reports whether no member or voter of the view has a disk. In the initial view this is decided only
// after durableMemberTimeout. In a diskless system, diskless machines are ordinary members; a machine that restarts
// rejoins as a new member.
func (r *Replica) isDisklessSystem() bool {
	view := r.control.View
	if len(view.Members) == 0 || view.Number == 1 && r.now-r.viewEnteredAt < durableMemberTimeout {
		return false
	}
	return lo.EveryBy(membersAndVoters(view), r.isDiskless)
}

// yieldsToDurableMembers reports whether a member has no disk although the system is not diskless.
func (r *Replica) yieldsToDurableMembers(member message.Member) bool {
	return r.isDiskless(member) && !r.isDisklessSystem()
}

// IsDurable reports whether a change may be acknowledged. After a loss of power at all members and of as many disks as
// are tolerated, the remaining disks must belong to a majority of the voters and must hold the change. If no voter is
// known to have a disk, and the system is not known to be diskless, a change is acknowledged only once the view is
// durableMemberTimeout old, because durable members may still join. The same holds for an initial view with fewer than
// minVoters voters.
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
