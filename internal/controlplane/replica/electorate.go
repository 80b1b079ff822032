package replica

import (
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// electorate works out who votes in the next view. It keeps three things:
//
//   - A lost member does not go on voting beside its successor. A voter whose address another process has is lost for
//     certain. Else a newcomer gets the vote of the member that it probably came for: one of its zone that leaves or has
//     fallen silent, else one of those.
//   - A silent voter's vote goes to a live member that has none. So losses that come one after another leave a majority,
//     as long as there is such a member.
//   - The number of voters is odd where more than least are to be had: an even one bears no more losses than one less.
type electorate struct {
	least    int              // the tolerance may be lost for good, and a majority is left
	voters   []message.Member // of the present view
	present  []message.Member // members of the next chain that are alive and stay
	mayGrow  bool             // nobody is in doubt: who is new came to replace nobody
	leaves   func(message.Member) bool
	silence  func(message.Member) time.Duration         // of a voter that is not present
	newcomer func(message.Member) (time.Duration, bool) // how long ago a member asked for admission for the first time
	mayVote  func(message.Member) bool                  // whether a member may have the vote of any silent one

	displaced []message.ReplacedVoter // lost their vote while they were silent
}

// successionTime is how long before its predecessor is told to stop a planned successor comes at the most.
const successionTime = 3 * time.Second

// next returns the voters of the next view.
func (e *electorate) next() []message.Member {
	e.succeedAddresses()
	e.succeedByNewcomers()
	e.succeedBySpares()
	e.restoreDisplaced()
	e.grow()
	e.dropLeavers()
	e.shrink()
	return e.voters
}

// spares are the present members that have no vote.
func (e *electorate) spares() []message.Member {
	return lo.Reject(e.present, func(m message.Member, _ int) bool { return includes(e.voters, m.Identity) || e.leaves(m) })
}

func (e *electorate) isPresent(voter message.Member) bool { return includes(e.present, voter.Identity) }

// leavers are the voters that were asked to stop.
func (e *electorate) leavers() []message.Member {
	return lo.Filter(e.voters, func(m message.Member, _ int) bool { return e.leaves(m) })
}

// absent are the voters that are neither present nor known to leave, the longest silent first.
func (e *electorate) absent() []message.Member {
	absent := lo.Reject(e.voters, func(m message.Member, _ int) bool { return e.isPresent(m) || e.leaves(m) })
	sort.SliceStable(absent, func(i, j int) bool { return e.silence(absent[i]) > e.silence(absent[j]) })
	return absent
}

// succeed gives a voter's vote to another member.
func (e *electorate) succeed(voter, successor message.Member) {
	at := slices.IndexFunc(e.voters, func(m message.Member) bool { return m.Identity == voter.Identity })
	e.voters[at] = successor
	if voter.Address != successor.Address && !e.isPresent(voter) && !e.leaves(voter) {
		e.displaced = append(e.displaced, message.ReplacedVoter{Member: voter, ReplacedBy: successor.Identity})
	}
}

// succeedAddresses gives the vote of a member to the process that has its address now.
func (e *electorate) succeedAddresses() {
	for _, spare := range e.spares() {
		if voter, ok := lo.Find(e.voters, func(m message.Member) bool { return m.Address == spare.Address }); ok {
			e.succeed(voter, spare)
		}
	}
}

// succeedByNewcomers gives each newcomer the vote of the member that it probably came for.
func (e *electorate) succeedByNewcomers() {
	for _, spare := range e.spares() {
		asked, isNew := e.newcomer(spare)
		if !isNew {
			continue
		}
		if predecessor, ok := e.clearPredecessor(spare); ok {
			e.succeed(predecessor, spare)
			continue
		}
		candidates := e.predecessors(asked)
		if len(candidates) > 0 && e.mayVote(spare) {
			ofZone := lo.FindOrElse(candidates, candidates[0], func(m message.Member) bool { return m.Zone == spare.Zone })
			e.succeed(ofZone, spare)
		}
	}
}

// clearPredecessor returns the voter of a newcomer's zone that it came for beyond much doubt: one that leaves, or one
// that is silent where no other voter of the zone is left.
func (e *electorate) clearPredecessor(newcomer message.Member) (message.Member, bool) {
	isOfZone := func(m message.Member) bool { return m.Zone == newcomer.Zone }
	if asked, _ := e.newcomer(newcomer); asked <= successionTime {
		if leaver, ok := lo.Find(e.leavers(), isOfZone); ok {
			return leaver, true
		}
	}
	silent, ok := lo.Find(e.absent(), isOfZone)
	others := lo.CountBy(append(slices.Clone(e.voters), e.present...), func(m message.Member) bool {
		return isOfZone(m) && m.Identity != silent.Identity && m.Identity != newcomer.Identity
	})
	return silent, ok && others == 0
}

// predecessors are the voters whose successor a newcomer may be, the likeliest first. One that came a moment ago, while
// a member was told to stop, came for that one: a silent one may only be cut off.
func (e *electorate) predecessors(asked time.Duration) []message.Member {
	if asked <= successionTime {
		return append(e.leavers(), e.absent()...)
	}
	return append(e.absent(), e.leavers()...)
}

// succeedBySpares gives the votes of silent members and then those of leaving ones to the members without a vote.
func (e *electorate) succeedBySpares() {
	for _, voter := range append(e.absent(), e.leavers()...) {
		spares := lo.Filter(e.spares(), func(m message.Member, _ int) bool { return e.mayVote(m) })
		if len(spares) == 0 {
			return
		}
		ofZone := lo.FindOrElse(spares, spares[0], func(m message.Member) bool { return m.Zone == voter.Zone })
		e.succeed(voter, ofZone)
	}
}

// restoreDisplaced gives the votes of members that leave, and that nobody succeeded, back to displaced ones: where the
// newcomer that has the vote of a displaced member of another zone proves to have come for the leaver.
func (e *electorate) restoreDisplaced() {
	for _, leaver := range e.leavers() {
		heir, ok := lo.Find(e.displaced, func(d message.ReplacedVoter) bool {
			by, votes := lo.Find(e.voters, func(m message.Member) bool { return m.Identity == d.ReplacedBy && m.Identity != leaver.Identity })
			_, isNew := e.newcomer(by)
			isOfAnother := d.Member.Zone != "" && d.Member.Zone != leaver.Zone
			return votes && isNew && by.Zone == leaver.Zone && isOfAnother && !includes(e.voters, d.Member.Identity)
		})
		if ok && len(e.voters) <= e.least {
			e.succeed(leaver, heir.Member)
		}
	}
}

// dropLeavers takes the vote of a member that leaves and that nobody succeeded as long as more than least are left. Else
// it keeps it, as it may only be restarted.
func (e *electorate) dropLeavers() {
	for _, leaver := range e.leavers() {
		if len(e.voters) > e.least {
			e.voters = lo.Reject(e.voters, func(m message.Member, _ int) bool { return m.Identity == leaver.Identity })
		}
	}
}

// mostDisplaced bounds how many displaced members a view remembers.
const mostDisplaced = 4

// stillDisplaced are the displaced members that have no vote again, and whose address no voter has, the latest last.
// Those that gave way to members with a disk are not kept: they never vote again.
func (e *electorate) stillDisplaced(givesWay func(message.Member) bool) []message.ReplacedVoter {
	displaced := lo.Reject(e.displaced, func(d message.ReplacedVoter, _ int) bool {
		return givesWay(d.Member) || lo.ContainsBy(e.voters, func(m message.Member) bool {
			return m.Identity == d.Member.Identity || m.Address == d.Member.Address
		})
	})
	return displaced[max(0, len(displaced)-mostDisplaced):]
}

func displacedMembers(view message.View) []message.Member {
	return lo.Map(view.ReplacedVoters, func(d message.ReplacedVoter, _ int) message.Member { return d.Member })
}

// grow gives spares votes of their own, so many that the number of voters is odd.
func (e *electorate) grow() {
	for _, spare := range e.spares() {
		if len(e.voters) < e.least {
			e.voters = append(e.voters, spare)
		}
	}
	if !e.mayGrow {
		return
	}
	spares := lo.Filter(e.spares(), func(m message.Member, _ int) bool { return e.mayVote(m) })
	if (len(e.voters)+len(spares))%2 == 0 && len(spares) > 0 {
		spares = spares[:len(spares)-1]
	}
	e.voters = append(e.voters, spares...)
}

// shrink takes the votes of silent members as long as more than least are left, and one more where their number is even.
func (e *electorate) shrink() {
	for _, silent := range e.absent() {
		if len(e.voters) > e.least {
			e.voters = lo.Reject(e.voters, func(m message.Member, _ int) bool { return m.Identity == silent.Identity })
			e.displaced = append(e.displaced, message.ReplacedVoter{Member: silent})
		}
	}
	if len(e.voters) > e.least && len(e.voters)%2 == 0 {
		e.voters = e.voters[:len(e.voters)-1]
	}
}

// electorateIsUnsettled reports whether votes are to be moved though nobody asks for anything: a voter is outside the
// chain though another could have its vote, or the number of voters is not what it should be.
func (r *Replica) electorateIsUnsettled() bool {
	view := r.control.View
	voters := view.EffectiveVoters()
	spares := lo.CountBy(view.Members, func(m message.Member) bool { return !r.isVoterOf(m.Identity) })
	absent := lo.CountBy(voters, func(m message.Member) bool { return positionOf(view, m.Identity) < 0 })
	tooMany := len(voters) > r.leastVoters()
	switch {
	case absent > 0 && (spares > 0 || tooMany):
		return true
	case len(voters) < r.leastVoters():
		return spares > 0
	case len(voters)%2 == 0:
		return spares > 0 || tooMany
	}
	return spares > 1
}
