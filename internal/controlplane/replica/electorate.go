package replica

import (
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// voterSelection works out who votes in the next view. It keeps three things:
//
//   - A lost member does not go on voting beside its successor. A voter whose address another process has is lost for
//     certain. Else a newcomer gets the vote of the member that it probably came for: one of its zone that leaves or has
//     fallen silent, else one of those.
//   - A silent voter's vote goes to a live member that has none. So losses that come one after another leave a majority,
//     as long as there is such a member.
//   - The number of voters is odd where more than least are to be had: an even one bears no more losses than one less.
type voterSelection struct {
	minVoters        int              // the tolerance may be lost for good, and a majority is left
	voters           []message.Member // of the present view
	present          []message.Member // members of the next chain that are alive and stay
	canGrow          bool             // nobody is in doubt: who is new came to replace nobody
	isLeaving        func(message.Member) bool
	timeSinceMessage func(message.Member) time.Duration         // of a voter that is not present
	newcomerAge      func(message.Member) (time.Duration, bool) // how long ago a member asked for admission for the first time
	canReceiveVote   func(message.Member) bool                  // whether a member may have the vote of any silent one

	replaced []message.ReplacedVoter // lost their vote while they were silent
}

// plannedReplacementLead is how long before its predecessor is told to stop a planned successor comes at the most.
const plannedReplacementLead = 3 * time.Second

// nextVoters returns the voters of the next view.
func (e *voterSelection) nextVoters() []message.Member {
	e.transferByAddress()
	e.transferToNewcomers()
	e.transferToStandbys()
	e.restoreReplacedVoters()
	e.addVoters()
	e.dropLeavingVoters()
	e.dropAbsentVoters()
	return e.voters
}

// standbyMembers are the present members that have no vote.
func (e *voterSelection) standbyMembers() []message.Member {
	return lo.Reject(e.present, func(m message.Member, _ int) bool { return containsMember(e.voters, m.Identity) || e.isLeaving(m) })
}

func (e *voterSelection) isPresent(voter message.Member) bool {
	return containsMember(e.present, voter.Identity)
}

// leavingVoters are the voters that were asked to stop.
func (e *voterSelection) leavingVoters() []message.Member {
	return lo.Filter(e.voters, func(m message.Member, _ int) bool { return e.isLeaving(m) })
}

// absentVoters are the voters that are neither present nor known to leave, the longest silent first.
func (e *voterSelection) absentVoters() []message.Member {
	absent := lo.Reject(e.voters, func(m message.Member, _ int) bool { return e.isPresent(m) || e.isLeaving(m) })
	sort.SliceStable(absent, func(i, j int) bool { return e.timeSinceMessage(absent[i]) > e.timeSinceMessage(absent[j]) })
	return absent
}

// transferVote gives a voter's vote to another member.
func (e *voterSelection) transferVote(voter, successor message.Member) {
	at := slices.IndexFunc(e.voters, func(m message.Member) bool { return m.Identity == voter.Identity })
	e.voters[at] = successor
	if voter.Address != successor.Address && !e.isPresent(voter) && !e.isLeaving(voter) {
		e.replaced = append(e.replaced, message.ReplacedVoter{Member: voter, ReplacedBy: successor.Identity})
	}
}

// transferByAddress gives the vote of a member to the process that has its address now.
func (e *voterSelection) transferByAddress() {
	for _, spare := range e.standbyMembers() {
		if voter, ok := lo.Find(e.voters, func(m message.Member) bool { return m.Address == spare.Address }); ok {
			e.transferVote(voter, spare)
		}
	}
}

// transferToNewcomers gives each newcomer the vote of the member that it probably came for.
func (e *voterSelection) transferToNewcomers() {
	for _, spare := range e.standbyMembers() {
		asked, isNew := e.newcomerAge(spare)
		if !isNew {
			continue
		}
		if predecessor, ok := e.certainPredecessor(spare); ok {
			e.transferVote(predecessor, spare)
			continue
		}
		candidates := e.likelyPredecessors(asked)
		if len(candidates) > 0 && e.canReceiveVote(spare) {
			ofZone := lo.FindOrElse(candidates, candidates[0], func(m message.Member) bool { return m.Zone == spare.Zone })
			e.transferVote(ofZone, spare)
		}
	}
}

// certainPredecessor returns the voter of a newcomer's zone that it came for beyond much doubt: one that leaves, or one
// that is silent where no other voter of the zone is left.
func (e *voterSelection) certainPredecessor(newcomer message.Member) (message.Member, bool) {
	isOfZone := func(m message.Member) bool { return m.Zone == newcomer.Zone }
	if asked, _ := e.newcomerAge(newcomer); asked <= plannedReplacementLead {
		if leaver, ok := lo.Find(e.leavingVoters(), isOfZone); ok {
			return leaver, true
		}
	}
	silent, ok := lo.Find(e.absentVoters(), isOfZone)
	others := lo.CountBy(append(slices.Clone(e.voters), e.present...), func(m message.Member) bool {
		return isOfZone(m) && m.Identity != silent.Identity && m.Identity != newcomer.Identity
	})
	return silent, ok && others == 0
}

// likelyPredecessors are the voters whose successor a newcomer may be, the likeliest first. One that came a moment ago, while
// a member was told to stop, came for that one: a silent one may only be cut off.
func (e *voterSelection) likelyPredecessors(asked time.Duration) []message.Member {
	if asked <= plannedReplacementLead {
		return append(e.leavingVoters(), e.absentVoters()...)
	}
	return append(e.absentVoters(), e.leavingVoters()...)
}

// transferToStandbys gives the votes of silent members and then those of leaving ones to the members without a vote.
func (e *voterSelection) transferToStandbys() {
	for _, voter := range append(e.absentVoters(), e.leavingVoters()...) {
		spares := lo.Filter(e.standbyMembers(), func(m message.Member, _ int) bool { return e.canReceiveVote(m) })
		if len(spares) == 0 {
			return
		}
		ofZone := lo.FindOrElse(spares, spares[0], func(m message.Member) bool { return m.Zone == voter.Zone })
		e.transferVote(voter, ofZone)
	}
}

// restoreReplacedVoters gives the votes of members that leave, and that nobody succeeded, back to displaced ones: where the
// newcomer that has the vote of a displaced member of another zone proves to have come for the leaver.
func (e *voterSelection) restoreReplacedVoters() {
	for _, leaver := range e.leavingVoters() {
		heir, ok := lo.Find(e.replaced, func(d message.ReplacedVoter) bool {
			by, votes := lo.Find(e.voters, func(m message.Member) bool { return m.Identity == d.ReplacedBy && m.Identity != leaver.Identity })
			_, isNew := e.newcomerAge(by)
			isOfAnother := d.Member.Zone != "" && d.Member.Zone != leaver.Zone
			return votes && isNew && by.Zone == leaver.Zone && isOfAnother && !containsMember(e.voters, d.Member.Identity)
		})
		if ok && len(e.voters) <= e.minVoters {
			e.transferVote(leaver, heir.Member)
		}
	}
}

// dropLeavingVoters takes the vote of a member that leaves and that nobody succeeded as long as more than least are left. Else
// it keeps it, as it may only be restarted.
func (e *voterSelection) dropLeavingVoters() {
	for _, leaver := range e.leavingVoters() {
		if len(e.voters) > e.minVoters {
			e.voters = lo.Reject(e.voters, func(m message.Member, _ int) bool { return m.Identity == leaver.Identity })
		}
	}
}

// maxReplacedVoters bounds how many displaced members a view remembers.
const maxReplacedVoters = 4

// remainingReplaced are the displaced members that have no vote again, and whose address no voter has, the latest last.
// Those that gave way to members with a disk are not kept: they never vote again.
func (e *voterSelection) remainingReplaced(givesWay func(message.Member) bool) []message.ReplacedVoter {
	displaced := lo.Reject(e.replaced, func(d message.ReplacedVoter, _ int) bool {
		return givesWay(d.Member) || lo.ContainsBy(e.voters, func(m message.Member) bool {
			return m.Identity == d.Member.Identity || m.Address == d.Member.Address
		})
	})
	return displaced[max(0, len(displaced)-maxReplacedVoters):]
}

func replacedMembers(view message.View) []message.Member {
	return lo.Map(view.ReplacedVoters, func(d message.ReplacedVoter, _ int) message.Member { return d.Member })
}

// addVoters gives spares votes of their own, so many that the number of voters is odd.
func (e *voterSelection) addVoters() {
	for _, spare := range e.standbyMembers() {
		if len(e.voters) < e.minVoters {
			e.voters = append(e.voters, spare)
		}
	}
	if !e.canGrow {
		return
	}
	spares := lo.Filter(e.standbyMembers(), func(m message.Member, _ int) bool { return e.canReceiveVote(m) })
	if (len(e.voters)+len(spares))%2 == 0 && len(spares) > 0 {
		spares = spares[:len(spares)-1]
	}
	e.voters = append(e.voters, spares...)
}

// dropAbsentVoters takes the votes of silent members as long as more than least are left, and one more where their number is even.
func (e *voterSelection) dropAbsentVoters() {
	for _, silent := range e.absentVoters() {
		if len(e.voters) > e.minVoters {
			e.voters = lo.Reject(e.voters, func(m message.Member, _ int) bool { return m.Identity == silent.Identity })
			e.replaced = append(e.replaced, message.ReplacedVoter{Member: silent})
		}
	}
	if len(e.voters) > e.minVoters && len(e.voters)%2 == 0 {
		e.voters = e.voters[:len(e.voters)-1]
	}
}

// needsVoteTransfer reports whether votes are to be moved though nobody asks for anything: a voter is outside the
// chain though another could have its vote, or the number of voters is not what it should be.
func (r *Replica) needsVoteTransfer() bool {
	view := r.control.View
	voters := view.EffectiveVoters()
	spares := lo.CountBy(view.Members, func(m message.Member) bool { return !r.hasVote(m.Identity) })
	absent := lo.CountBy(voters, func(m message.Member) bool { return chainPosition(view, m.Identity) < 0 })
	tooMany := len(voters) > r.minVoters()
	switch {
	case absent > 0 && (spares > 0 || tooMany):
		return true
	case len(voters) < r.minVoters():
		return spares > 0
	case len(voters)%2 == 0:
		return spares > 0 || tooMany
	}
	return spares > 1
}
