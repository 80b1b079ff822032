package replica

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// voterSelection selects the voters of the next view. Its aim is that a machine that may be removed without counting as
// a loss has no vote that a live machine could have: a majority then remains after the tolerated losses. A vote moves
// only to a live member without one, so no transfer adds a lost voter, and a transfer that was not needed costs
// nothing. In this order:
//
//   - The vote of a member whose address another process has goes to that process.
//   - A newcomer receives the vote of the member of its zone that it replaces, while that member still lives: it may be
//     removed at any time from then on.
//   - The votes of absent and of leaving members go to standby members, members that were replaced last.
//   - A replaced member gives its vote back as soon as a standby member that was not replaced is there.
//   - The number of voters is odd if there could be more than minVoters: an even number tolerates no more losses than
//     the odd number below it.
//
// docs/design/control-state.md (V7) has the argument.
type voterSelection struct {
	minVoters    int              // a majority of them remains after the tolerated number is permanently lost
	voters       []message.Member // initially those of the current view
	present      []message.Member // live members that are in the next chain
	newcomers    []message.Member // present machines that the next view admits for the first time
	replaced     []message.ReplacedVoter
	replacements replacements
	canGrow      bool // no member is late: a new member could turn out to be the replacement of a late one

	isLeaving        func(message.Member) bool
	timeSinceMessage func(message.Member) time.Duration // time since the last message from an absent voter
	isAlive          func(message.Member) bool          // reports whether a standby member has sent a message lately
}

// nextVoters returns the voters of the next view.
func (s *voterSelection) nextVoters() []message.Member {
	s.transferByAddress()
	s.transferToNewcomers()
	s.transferToStandbys(append(s.absentVoters(), s.leavingVoters()...))
	s.transferFromReplaced()
	s.addVoters()
	s.dropVoters(s.leavingVoters())
	s.dropVoters(s.presentReplacedVoters())
	s.dropVoters(s.absentVoters())
	s.dropEvenVoter()
	return s.voters
}

// standbyMembers returns the present members that have no vote and are not leaving, those that were replaced last.
func (s *voterSelection) standbyMembers() []message.Member {
	standbys := lo.Reject(s.present, func(m message.Member, _ int) bool {
		return containsMember(s.voters, m.Identity) || s.isLeaving(m)
	})
	current, replaced := lo.FilterReject(standbys, func(m message.Member, _ int) bool { return !s.isReplaced(m) })
	return append(current, replaced...)
}

// currentStandbys returns the live standby members that were not replaced.
func (s *voterSelection) currentStandbys() []message.Member {
	return lo.Filter(s.standbyMembers(), func(m message.Member, _ int) bool { return s.isAlive(m) && !s.isReplaced(m) })
}

func (s *voterSelection) isPresent(voter message.Member) bool {
	return containsMember(s.present, voter.Identity)
}

// isReplaced reports whether a present member that is not leaving replaced a machine.
func (s *voterSelection) isReplaced(m message.Member) bool {
	staying := lo.Reject(s.present, func(m message.Member, _ int) bool { return s.isLeaving(m) })
	return s.replacements.isReplacedBy(m, staying)
}

// leavingVoters returns the voters that are shutting down.
func (s *voterSelection) leavingVoters() []message.Member {
	return lo.Filter(s.voters, func(m message.Member, _ int) bool { return s.isLeaving(m) })
}

// presentReplacedVoters returns the present voters that were replaced.
func (s *voterSelection) presentReplacedVoters() []message.Member {
	return lo.Filter(s.voters, func(m message.Member, _ int) bool {
		return s.isPresent(m) && !s.isLeaving(m) && s.isReplaced(m)
	})
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

// transferToNewcomers transfers to each newcomer the vote of the machine of its zone that it replaces. If there is only
// one such machine, the replacement is recorded. If there are several, the vote of the likeliest one is transferred: it
// becomes a standby member, and may receive the vote of another one as soon as that is missing. If there is none, the
// newcomer probably replaces a leaving member of another zone.
func (s *voterSelection) transferToNewcomers() {
	for _, newcomer := range s.newcomers {
		predecessors := s.predecessors(newcomer)
		if len(predecessors) == 0 {
			predecessors = s.leavingVoters()
		} else if old, ok := s.certainPredecessor(predecessors); ok {
			s.replacements = s.replacements.add(old, newcomer.Address)
		}
		voter, ok := lo.Find(predecessors, func(m message.Member) bool { return containsMember(s.voters, m.Identity) })
		if ok && !containsMember(s.voters, newcomer.Identity) {
			s.transferVote(voter, newcomer)
		}
	}
}

// certainPredecessor returns the address of the newest machine of the only line to which all predecessors belong. ok is
// false if there are several lines: each of them has a machine that the newcomer may replace.
func (s *voterSelection) certainPredecessor(predecessors []message.Member) (address string, ok bool) {
	lines := lo.Uniq(lo.Map(predecessors, func(m message.Member, _ int) string { return s.replacements.newestOf(m.Address) }))
	return lines[0], len(lines) == 1
}

// predecessors returns the machines that a newcomer may replace, the likeliest first: those of its zone that no present
// member has replaced yet. Machines that leave or are absent come first, then those that have been members for longest.
func (s *voterSelection) predecessors(newcomer message.Member) []message.Member {
	if newcomer.Zone == "" {
		return nil
	}
	replaced := lo.Map(s.replaced, func(r message.ReplacedVoter, _ int) message.Member { return r.Member })
	known := lo.UniqBy(slices.Concat(s.voters, s.present, replaced), func(m message.Member) string { return m.Address })
	candidates := lo.Filter(known, func(m message.Member, _ int) bool {
		return m.Zone == newcomer.Zone && !containsAddress(s.newcomers, m.Address) && !s.isReplaced(m)
	})
	rank := func(m message.Member) int {
		switch {
		case s.isLeaving(m):
			return 0
		case !s.isPresent(m):
			return 1
		}
		return 2
	}
	slices.SortStableFunc(candidates, func(a, b message.Member) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.SinceView, b.SinceView))
	})
	return candidates
}

// hasMissingPredecessor reports whether a voter of a joining machine's zone is leaving, or is absent and the only
// machine of that zone.
func (s *voterSelection) hasMissingPredecessor(joining message.Member) bool {
	isOfZone := func(m message.Member) bool { return m.Zone == joining.Zone }
	if lo.ContainsBy(s.leavingVoters(), isOfZone) {
		return true
	}
	absent, ok := lo.Find(s.absentVoters(), isOfZone)
	hasOthers := lo.ContainsBy(slices.Concat(s.voters, s.present), func(m message.Member) bool {
		return isOfZone(m) && m.Identity != absent.Identity && m.Identity != joining.Identity
	})
	return ok && !hasOthers
}

// transferToStandbys transfers votes to live standby members.
func (s *voterSelection) transferToStandbys(voters []message.Member) {
	for _, voter := range voters {
		standbys := lo.Filter(s.standbyMembers(), func(m message.Member, _ int) bool { return s.isAlive(m) })
		if len(standbys) == 0 {
			return
		}
		if current := s.currentStandbys(); len(current) > 0 {
			standbys = current
		}
		s.transferVote(voter, preferZone(standbys, voter.Zone))
	}
}

// preferZone returns the first member of the given zone, or the first member if there is none.
func preferZone(members []message.Member, zone string) message.Member {
	return lo.FindOrElse(members, members[0], func(m message.Member) bool { return m.Zone == zone })
}

// transferFromReplaced transfers the votes of present replaced voters to standby members that were not replaced.
func (s *voterSelection) transferFromReplaced() {
	for _, voter := range s.presentReplacedVoters() {
		if standbys := s.currentStandbys(); len(standbys) > 0 {
			s.transferVote(voter, preferZone(standbys, voter.Zone))
		}
	}
}

// addVoters gives additional votes to standby members. It adds up to minVoters voters at once. Beyond that it adds only
// live standby members that were not replaced, and only if canGrow is set, so that the number of voters is odd.
func (s *voterSelection) addVoters() {
	for _, standby := range s.standbyMembers() {
		if len(s.voters) < s.minVoters {
			s.voters = append(s.voters, standby)
		}
	}
	if !s.canGrow {
		return
	}
	standbys := s.currentStandbys()
	if (len(s.voters)+len(standbys))%2 == 0 && len(standbys) > 0 {
		standbys = standbys[:len(standbys)-1]
	}
	s.voters = append(s.voters, standbys...)
}

// dropVoters drops the given votes while there are more than minVoters voters. Otherwise leaving members keep their
// votes, as they may only be restarting, and so do absent ones, as they may return.
func (s *voterSelection) dropVoters(voters []message.Member) {
	for _, voter := range voters {
		if len(s.voters) <= s.minVoters {
			return
		}
		s.voters = removeMember(s.voters, voter.Identity)
		if !s.isPresent(voter) && !s.isLeaving(voter) {
			s.replaced = append(s.replaced, message.ReplacedVoter{Member: voter})
		}
	}
}

// dropEvenVoter drops the last vote if the number of voters is even and above minVoters.
func (s *voterSelection) dropEvenVoter() {
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

// remainingReplacements returns the replacements of the lines of machines in which there is a member, a voter or a
// replaced voter.
func (s *voterSelection) remainingReplacements(replaced []message.ReplacedVoter) replacements {
	known := slices.Concat(s.present, s.voters)
	for _, r := range replaced {
		known = append(known, r.Member)
	}
	return s.replacements.remaining(known)
}

func replacedMembers(view message.View) []message.Member {
	return lo.Map(view.ReplacedVoters, func(r message.ReplacedVoter, _ int) message.Member { return r.Member })
}

// needsVoteTransfer reports whether votes should change although there is no report or join request. This is so if a
// voter is outside the chain or was replaced and its vote could be transferred or dropped, or if the number of voters is
// not the intended one.
func (r *Replica) needsVoteTransfer() bool {
	view := r.control.View
	voters := view.EffectiveVoters()
	isReplaced := func(m message.Member) bool { return replacements(view.Replacements).isReplacedBy(m, view.Members) }
	standbys := lo.Reject(view.Members, func(m message.Member, _ int) bool { return r.hasVote(m.Identity) })
	current := lo.CountBy(standbys, func(m message.Member) bool { return !isReplaced(m) })
	absent := lo.CountBy(voters, func(m message.Member) bool { return !r.isInChain(m.Identity) })
	hasTooMany := len(voters) > r.minVoters()
	switch {
	case absent > 0 && (len(standbys) > 0 || hasTooMany):
		return true
	case lo.ContainsBy(voters, isReplaced) && (current > 0 || hasTooMany):
		return true
	case len(voters) < r.minVoters():
		return len(standbys) > 0
	case len(voters)%2 == 0:
		return current > 0 || hasTooMany
	}
	return current > 1
}
