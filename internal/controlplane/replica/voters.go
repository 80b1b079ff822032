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
//   - A lost member and its replacement do not both have a vote. A voter whose address another process has is certainly
//     lost. Otherwise a newcomer receives the vote of the member that it probably replaces: a leaving or suspected
//     member of its zone if there is one, otherwise one of another zone.
//   - The vote of a suspected member goes to a live member without a vote, so that a majority survives successive
//     losses as long as there is such a member.
//   - The number of voters is odd if there could be more than minVoters: an even number tolerates no more losses than
//     the odd number below it.
type voterSelection struct {
	minVoters int              // a majority of them remains after the tolerated number is permanently lost
	voters    []message.Member // initially those of the current view
	present   []message.Member // live members that are in the next chain
	replaced  []message.ReplacedVoter
	canGrow   bool // no member is late: a new member could turn out to be the replacement of a late one

	isLeaving        func(message.Member) bool
	timeSinceMessage func(message.Member) time.Duration         // time since the last message from an absent voter
	newcomerAge      func(message.Member) (time.Duration, bool) // age since the first join request; false: no newcomer
	canReceiveVote   func(message.Member) bool                  // reports whether it may receive any suspected one's vote
}

// nextVoters returns the voters of the next view. The most certain transfers come first, because each uses up one vote
// and one standby member.
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

// standbyMembers returns the present members that have no vote and are not leaving.
func (s *voterSelection) standbyMembers() []message.Member {
	return lo.Reject(s.present, func(m message.Member, _ int) bool {
		return containsMember(s.voters, m.Identity) || s.isLeaving(m)
	})
}

// eligibleStandbys returns the standby members that may receive the vote of any suspected member.
func (s *voterSelection) eligibleStandbys() []message.Member {
	return lo.Filter(s.standbyMembers(), func(m message.Member, _ int) bool { return s.canReceiveVote(m) })
}

func (s *voterSelection) isPresent(voter message.Member) bool {
	return containsMember(s.present, voter.Identity)
}

// leavingVoters returns the voters that are shutting down.
func (s *voterSelection) leavingVoters() []message.Member {
	return lo.Filter(s.voters, func(m message.Member, _ int) bool { return s.isLeaving(m) })
}

// absentVoters returns the voters that are neither present nor leaving, those with the oldest last message first.
func (s *voterSelection) absentVoters() []message.Member {
	absent := lo.Reject(s.voters, func(m message.Member, _ int) bool { return s.isPresent(m) || s.isLeaving(m) })
	sort.SliceStable(absent, func(i, j int) bool { return s.timeSinceMessage(absent[i]) > s.timeSinceMessage(absent[j]) })
	return absent
}

// transferVote transfers the vote of one member to another.
func (s *voterSelection) transferVote(from, to message.Member) {
	s.voters[indexOfMember(s.voters, from.Identity)] = to
	if from.Address != to.Address && !s.isPresent(from) && !s.isLeaving(from) {
		s.replaced = append(s.replaced, message.ReplacedVoter{Member: from, ReplacedBy: to.Identity})
	}
}

// transferByAddress transfers the vote of a member to the process that has its address now.
func (s *voterSelection) transferByAddress() {
	for _, standby := range s.standbyMembers() {
		hasAddress := func(m message.Member) bool { return m.Address == standby.Address }
		if voter, ok := lo.Find(s.voters, hasAddress); ok {
			s.transferVote(voter, standby)
		}
	}
}

// transferToNewcomers transfers to each newcomer the vote of the member that it probably replaces.
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

// certainPredecessor returns the voter of a newcomer's zone that the newcomer almost certainly replaces. It is a
// leaving voter if the newcomer's age is at most plannedReplacementLead, or else an absent voter that is the only
// other member or voter of the zone.
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

// likelyPredecessors returns the voters that a newcomer of the given age may replace, the likeliest first. A newcomer
// that joined just before a member was asked to stop probably replaces that member. A suspected member may only be
// partitioned, and needs its vote when it returns.
func (s *voterSelection) likelyPredecessors(newcomerAge time.Duration) []message.Member {
	if newcomerAge <= plannedReplacementLead {
		return append(s.leavingVoters(), s.absentVoters()...)
	}
	return append(s.absentVoters(), s.leavingVoters()...)
}

// transferToStandbys transfers the votes of absent voters, and then those of leaving voters, to standby members.
func (s *voterSelection) transferToStandbys() {
	for _, voter := range append(s.absentVoters(), s.leavingVoters()...) {
		standbys := s.eligibleStandbys()
		if len(standbys) == 0 {
			return
		}
		s.transferVote(voter, preferZone(standbys, voter.Zone))
	}
}

// preferZone returns the first member of the given zone, or the first member if there is none.
func preferZone(members []message.Member, zone string) message.Member {
	return lo.FindOrElse(members, members[0], func(m message.Member) bool { return m.Zone == zone })
}

// restoreReplacedVoters transfers the remaining votes of leaving members back to replaced voters (see
// wasReplacedInsteadOf).
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

// wasReplacedInsteadOf reports whether a newcomer received the vote of a replaced voter although it probably replaces
// the leaving member: the newcomer and the leaving member are of the same zone, and the replaced voter is of another
// one.
func (s *voterSelection) wasReplacedInsteadOf(replaced message.ReplacedVoter, leaving message.Member) bool {
	newcomer, isVoter := lo.Find(s.voters, func(m message.Member) bool {
		return m.Identity == replaced.ReplacedBy && m.Identity != leaving.Identity
	})
	_, isNewcomer := s.newcomerAge(newcomer)
	isOfOtherZone := replaced.Member.Zone != "" && replaced.Member.Zone != leaving.Zone
	hasVote := containsMember(s.voters, replaced.Member.Identity)
	return isVoter && isNewcomer && newcomer.Zone == leaving.Zone && isOfOtherZone && !hasVote
}

// addVoters gives additional votes to standby members. It adds up to minVoters voters at once. Beyond that it adds only
// eligible standby members, and only if canGrow is set, so that the number of voters is odd.
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

// dropLeavingVoters drops the remaining votes of leaving members while there are more than minVoters voters. Otherwise
// they keep their votes, as they may only be restarting.
func (s *voterSelection) dropLeavingVoters() {
	for _, leaving := range s.leavingVoters() {
		if len(s.voters) > s.minVoters {
			s.voters = removeMember(s.voters, leaving.Identity)
		}
	}
}

// dropAbsentVoters drops the votes of absent voters while there are more than minVoters voters. If the remaining
// number is even and still above minVoters, the last voter loses its vote too.
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

// remainingReplaced returns the replaced voters that have not received a vote again and whose address no voter has, the
// most recently replaced last. It omits diskless voters that yielded to durable members: they never vote again.
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

// needsVoteTransfer reports whether votes should change although there is no report or join request. This is so if a
// voter is outside the chain and its vote could be transferred or dropped, or if the number of voters is not the
// intended one.
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
