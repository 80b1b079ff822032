package replica

import (
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// voterSelection selects the voters of the next view. It has three aims:
//
//   - A lost member does not keep its vote beside its replacement. A voter whose address another process has is lost for
//     certain. Otherwise a newcomer gets the vote of the member that it probably came to replace: one of its zone that
//     is leaving or suspected, else one of another zone that is.
//   - The vote of a suspected member goes to a live member that has none, so that losses one after another leave a
//     majority as long as there is such a member.
//   - The number of voters is odd where there could be more than minVoters: an even number tolerates no more losses than
//     the odd one below it.
type voterSelection struct {
	minVoters int              // the tolerated number of them may be lost for good, and a majority is left
	voters    []message.Member // at first of the current view
	present   []message.Member // members of the next chain that are alive and stay
	replaced  []message.ReplacedVoter
	canGrow   bool // no member is late, so no new member is about to turn out to be the replacement of one

	isLeaving        func(message.Member) bool
	timeSinceMessage func(message.Member) time.Duration         // of a voter that is not present
	newcomerAge      func(message.Member) (time.Duration, bool) // time since the first join request; false: no newcomer
	canReceiveVote   func(message.Member) bool                  // whether a member may have the vote of any suspected one
}

// nextVoters returns the voters of the next view. The most certain transfers come first, as each uses up a vote and a
// member without one.
func (s *voterSelection) nextVoters() []message.Member {
	s.transferByAddress()
	s.transferToNewcomers()
	s.transferToStandbys()
	s.restoreReplacedVoters()
	s.addVoters()
	s.dropLeavingVoters()
	s.dropAbsentVoters()
	return s.voters
}

// standbyMembers returns the present members that have no vote and do not leave.
func (s *voterSelection) standbyMembers() []message.Member {
	return lo.Reject(s.present, func(m message.Member, _ int) bool {
		return containsMember(s.voters, m.Identity) || s.isLeaving(m)
	})
}

// eligibleStandbys returns the standby members that may have the vote of any suspected member.
func (s *voterSelection) eligibleStandbys() []message.Member {
	return lo.Filter(s.standbyMembers(), func(m message.Member, _ int) bool { return s.canReceiveVote(m) })
}

func (s *voterSelection) isPresent(voter message.Member) bool {
	return containsMember(s.present, voter.Identity)
}

// leavingVoters returns the voters that shut down.
func (s *voterSelection) leavingVoters() []message.Member {
	return lo.Filter(s.voters, func(m message.Member, _ int) bool { return s.isLeaving(m) })
}

// absentVoters returns the voters that are neither present nor known to leave, the longest silent first.
func (s *voterSelection) absentVoters() []message.Member {
	absent := lo.Reject(s.voters, func(m message.Member, _ int) bool { return s.isPresent(m) || s.isLeaving(m) })
	sort.SliceStable(absent, func(i, j int) bool { return s.timeSinceMessage(absent[i]) > s.timeSinceMessage(absent[j]) })
	return absent
}

// transferVote gives the vote of one member to another.
func (s *voterSelection) transferVote(from, to message.Member) {
	s.voters[indexOfMember(s.voters, from.Identity)] = to
	if from.Address != to.Address && !s.isPresent(from) && !s.isLeaving(from) {
		s.replaced = append(s.replaced, message.ReplacedVoter{Member: from, ReplacedBy: to.Identity})
	}
}

// transferByAddress gives the vote of a member to the process that has its address now.
func (s *voterSelection) transferByAddress() {
	for _, standby := range s.standbyMembers() {
		hasAddress := func(m message.Member) bool { return m.Address == standby.Address }
		if voter, ok := lo.Find(s.voters, hasAddress); ok {
			s.transferVote(voter, standby)
		}
	}
}

// transferToNewcomers gives each newcomer the vote of the member that it probably came to replace.
func (s *voterSelection) transferToNewcomers() {
	for _, standby := range s.standbyMembers() {
		age, isNewcomer := s.newcomerAge(standby)
		if !isNewcomer {
			continue
		}
		if predecessor, ok := s.certainPredecessor(standby); ok {
			s.transferVote(predecessor, standby)
			continue
		}
		candidates := s.likelyPredecessors(age)
		if len(candidates) > 0 && s.canReceiveVote(standby) {
			s.transferVote(preferZone(candidates, standby.Zone), standby)
		}
	}
}

// certainPredecessor returns the voter of a newcomer's zone that it almost certainly came to replace: one that leaves, or
// a suspected one where no other member or voter of the zone is left.
func (s *voterSelection) certainPredecessor(newcomer message.Member) (message.Member, bool) {
	isOfZone := func(m message.Member) bool { return m.Zone == newcomer.Zone }
	if age, _ := s.newcomerAge(newcomer); age <= plannedReplacementLead {
		if leaving, ok := lo.Find(s.leavingVoters(), isOfZone); ok {
			return leaving, true
		}
	}
	absent, ok := lo.Find(s.absentVoters(), isOfZone)
	hasOthers := lo.ContainsBy(slices.Concat(s.voters, s.present), func(m message.Member) bool {
		return isOfZone(m) && m.Identity != absent.Identity && m.Identity != newcomer.Identity
	})
	return absent, ok && !hasOthers
}

// likelyPredecessors returns the voters that a newcomer of some age may have come to replace, the likeliest first. A
// newcomer that came just before a member was asked to stop probably replaces that member; a suspected one may only be
// partitioned, and needs its vote when it returns.
func (s *voterSelection) likelyPredecessors(newcomerAge time.Duration) []message.Member {
	if newcomerAge <= plannedReplacementLead {
		return append(s.leavingVoters(), s.absentVoters()...)
	}
	return append(s.absentVoters(), s.leavingVoters()...)
}

// transferToStandbys gives the votes of suspected members, and then those of leaving ones, to members without a vote.
func (s *voterSelection) transferToStandbys() {
	for _, voter := range append(s.absentVoters(), s.leavingVoters()...) {
		standbys := s.eligibleStandbys()
		if len(standbys) == 0 {
			return
		}
		s.transferVote(voter, preferZone(standbys, voter.Zone))
	}
}

// preferZone returns the first of some members that is of a zone, else the first one.
func preferZone(members []message.Member, zone string) message.Member {
	return lo.FindOrElse(members, members[0], func(m message.Member) bool { return m.Zone == zone })
}

// restoreReplacedVoters gives votes of leaving members that are still theirs back to replaced voters.
func (s *voterSelection) restoreReplacedVoters() {
	for _, leaving := range s.leavingVoters() {
		replaced, ok := lo.Find(s.replaced, func(replaced message.ReplacedVoter) bool {
			return s.wasReplacedInsteadOf(replaced, leaving)
		})
		if ok && len(s.voters) <= s.minVoters {
			s.transferVote(leaving, replaced.Member)
		}
	}
}

// wasReplacedInsteadOf reports whether the newcomer that has the vote of a replaced voter of another zone turns out to
// have come for a member that leaves: that one is of the newcomer's zone.
func (s *voterSelection) wasReplacedInsteadOf(replaced message.ReplacedVoter, leaving message.Member) bool {
	newcomer, isVoter := lo.Find(s.voters, func(m message.Member) bool {
		return m.Identity == replaced.ReplacedBy && m.Identity != leaving.Identity
	})
	_, isNewcomer := s.newcomerAge(newcomer)
	isOfOtherZone := replaced.Member.Zone != "" && replaced.Member.Zone != leaving.Zone
	hasVote := containsMember(s.voters, replaced.Member.Identity)
	return isVoter && isNewcomer && newcomer.Zone == leaving.Zone && isOfOtherZone && !hasVote
}

// addVoters gives standby members votes of their own: up to minVoters at once, and beyond that so many that the number
// of voters is odd.
func (s *voterSelection) addVoters() {
	for _, standby := range s.standbyMembers() {
		if len(s.voters) < s.minVoters {
			s.voters = append(s.voters, standby)
		}
	}
	if !s.canGrow {
		return
	}
	standbys := s.eligibleStandbys()
	if (len(s.voters)+len(standbys))%2 == 0 && len(standbys) > 0 {
		standbys = standbys[:len(standbys)-1]
	}
	s.voters = append(s.voters, standbys...)
}

// dropLeavingVoters drops the votes that leaving members still have, as long as more than minVoters are left. Otherwise
// they keep them, as they may only be restarted.
func (s *voterSelection) dropLeavingVoters() {
	for _, leaving := range s.leavingVoters() {
		if len(s.voters) > s.minVoters {
			s.voters = removeMember(s.voters, leaving.Identity)
		}
	}
}

// dropAbsentVoters drops the votes of suspected members as long as more than minVoters are left. Where an even number of
// voters, still above minVoters, is left, the last of them loses its vote too.
func (s *voterSelection) dropAbsentVoters() {
	for _, absent := range s.absentVoters() {
		if len(s.voters) > s.minVoters {
			s.voters = removeMember(s.voters, absent.Identity)
			s.replaced = append(s.replaced, message.ReplacedVoter{Member: absent})
		}
	}
	if len(s.voters) > s.minVoters && len(s.voters)%2 == 0 {
		s.voters = s.voters[:len(s.voters)-1]
	}
}

// maxReplacedVoters bounds how many replaced voters a view keeps.
const maxReplacedVoters = 4

// remainingReplaced returns the replaced voters that have not got a vote again, and whose address no voter has, the
// latest last. Diskless ones that yielded to durable members are left out: they never vote again.
func (s *voterSelection) remainingReplaced(yieldsToDurableMembers func(message.Member) bool) []message.ReplacedVoter {
	replaced := lo.Reject(s.replaced, func(r message.ReplacedVoter, _ int) bool {
		return yieldsToDurableMembers(r.Member) || lo.ContainsBy(s.voters, func(m message.Member) bool {
			return m.Identity == r.Member.Identity || m.Address == r.Member.Address
		})
	})
	return replaced[max(0, len(replaced)-maxReplacedVoters):]
}

func replacedMembers(view message.View) []message.Member {
	return lo.Map(view.ReplacedVoters, func(r message.ReplacedVoter, _ int) message.Member { return r.Member })
}

// needsVoteTransfer reports whether votes should move though no report or request asks for it: a voter is outside the
// chain though another member could have its vote, or the number of voters is not what it should be.
func (r *Replica) needsVoteTransfer() bool {
	view := r.control.View
	voters := view.EffectiveVoters()
	standbys := lo.CountBy(view.Members, func(m message.Member) bool { return !r.hasVote(m.Identity) })
	absent := lo.CountBy(voters, func(m message.Member) bool { return !r.isInChain(m.Identity) })
	hasTooMany := len(voters) > r.minVoters()
	switch {
	case absent > 0 && (standbys > 0 || hasTooMany):
		return true
	case len(voters) < r.minVoters():
		return standbys > 0
	case len(voters)%2 == 0:
		return standbys > 0 || hasTooMany
	}
	return standbys > 1
}
