package replica

import (
	"slices"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// electorate is who votes in the next view, while it is worked out.
type electorate struct {
	least     int
	voters    []message.Member
	displaced []message.Displaced
	isLeaver  func(message.Member) bool // of a member that was asked to stop before it fell silent
}

// mostDisplaced bounds how many displaced members a view remembers.
const mostDisplaced = 4

func newElectorate(view message.View, least int, isLeaver func(message.Member) bool) *electorate {
	return &electorate{
		least: least, voters: slices.Clone(view.Electorate()), displaced: slices.Clone(view.Displaced), isLeaver: isLeaver,
	}
}

// give gives a joiner a vote: its own, that of an absent voter, or a new one where the electorate may grow. It reports
// whether the joiner has a vote now.
func (e *electorate) give(joiner message.Member, present []message.Member, mayGrow bool) bool {
	if includes(e.voters, joiner.Identity) {
		return true
	}
	at := e.vacancy(joiner, present)
	switch {
	case at >= 0 && (len(e.voters) >= e.least || e.voters[at].Address == joiner.Address):
		e.displace(e.voters[at], joiner)
		e.voters[at] = joiner
	case mayGrow || len(e.voters) < e.least:
		e.voters = append(e.voters, joiner)
	default:
		return false
	}
	e.displaced = lo.Reject(e.displaced, func(d message.Displaced, _ int) bool {
		return d.Member.Identity == joiner.Identity || d.Member.Address == joiner.Address
	})
	return true
}

// vacancy returns the place of an absent voter, -1 where there is none: of the joiner's own address before one of its
// zone, as a machine is replaced within its zone.
func (e *electorate) vacancy(joiner message.Member, present []message.Member) int {
	for _, fits := range []func(message.Member) bool{
		func(m message.Member) bool { return m.Address == joiner.Address },
		func(m message.Member) bool { return m.Zone == joiner.Zone },
		func(message.Member) bool { return true },
	} {
		at := slices.IndexFunc(e.voters, func(m message.Member) bool { return fits(m) && !includes(present, m.Identity) })
		if at >= 0 {
			return at
		}
	}
	return -1
}

// displace remembers a member whose vote went to a newcomer that may not be its successor.
func (e *electorate) displace(member, newcomer message.Member) {
	if member.Address == newcomer.Address || e.isLeaver(member) {
		return
	}
	e.displaced = append(e.displaced, message.Displaced{Member: member, By: newcomer.Identity})
	e.displaced = e.displaced[max(0, len(e.displaced)-mostDisplaced):]
}

// letGo settles the vote of a member that leaves in order. It goes to nobody where more than least are left; to a
// member that was displaced by the leaver's successor, a newcomer of its zone; else the leaver keeps it, as it may only
// be restarted.
func (e *electorate) letGo(leaver message.Member, newcomers []message.Member) {
	at := slices.IndexFunc(e.voters, func(m message.Member) bool { return m.Identity == leaver.Identity })
	if at < 0 {
		return
	}
	if len(e.voters) > e.least {
		e.voters = slices.Delete(e.voters, at, at+1)
		return
	}
	heir := slices.IndexFunc(e.displaced, func(d message.Displaced) bool {
		return lo.ContainsBy(newcomers, func(m message.Member) bool {
			return m.Identity == d.By && m.Zone == leaver.Zone && m.Identity != leaver.Identity
		})
	})
	if heir >= 0 {
		e.voters[at] = e.displaced[heir].Member
		e.displaced = slices.Delete(e.displaced, heir, heir+1)
	}
}

// shrink takes the vote from voters that are not in the chain as long as more than least are left.
func (e *electorate) shrink(members []message.Member) {
	for i := 0; i < len(e.voters) && len(e.voters) > e.least; {
		if includes(members, e.voters[i].Identity) {
			i++
		} else {
			e.voters = slices.Delete(e.voters, i, i+1)
		}
	}
}
