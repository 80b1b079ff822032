package coordinationsim

import (
	"slices"
	"time"

	"pumiceline/internal/message"
)

// When the members hear of a view after it was decided.
const (
	maxHearingDelay  = 600 * time.Millisecond
	lateHearingOneIn = 8
	lateHearing      = 5 * time.Second // one in so many hears of it up to so much later
)

// When the vote of a machine that lost its disk moves to its new identity.
const (
	minVoteDelay    = time.Second
	voteDelaySpread = 2 * time.Second
)

// membershipView is an agreed membership: its number and its voters.
type membershipView struct {
	number message.ViewNumber
	voters []message.Member
}

// membership decides who votes, in the place of package replica: a rising sequence of views.
type membership struct {
	newest    membershipView
	decidedAt time.Duration
	openMoves int // votes that are to move to a new identity
}

// decide makes a new view with the voters.
func (c *Cluster) decide(voters []message.Member) {
	number := c.membership.newest.number + 1
	for i := range voters {
		if voters[i].SinceView == 0 {
			voters[i].SinceView = number
		}
	}
	c.membership.newest = membershipView{number: number, voters: voters}
	c.membership.decidedAt = c.now
	c.note("view %d: voters %v", number, identitiesOf(voters))
	for _, n := range c.slots {
		if n.isUp() {
			n.hearLater(c.membership.newest)
		}
	}
	c.injectAfterView()
}

// hearLater lets the process know of a view after a random time.
func (n *node) hearLater(view membershipView) {
	c := n.cluster
	delay := c.randomDuration(maxHearingDelay)
	if !c.isHealing && c.random.IntN(lateHearingOneIn) == 0 {
		delay += c.randomDuration(lateHearing)
	}
	generation := n.generation
	c.after(delay, func() {
		if n.generation == generation {
			n.run(func() { n.hear(view) })
		}
	})
}

// hear tells the member of a view, unless it knows a later one.
func (n *node) hear(view membershipView) {
	if view.number <= n.voters.number {
		return
	}
	n.voters, n.heardAt = view, n.cluster.now
	n.member.SetVoters(view.number, slices.Clone(view.voters))
}

// moveVote gives the vote of one identity to a machine's present one, as soon as that has been up for a time.
func (c *Cluster) moveVote(from message.MemberID, to *node) {
	c.membership.openMoves++
	var try func()
	try = func() {
		if !to.isUp() || to.identity == from {
			c.after(minVoteDelay, try)
			return
		}
		c.membership.openMoves--
		voters := slices.Clone(c.membership.newest.voters)
		i := slices.IndexFunc(voters, func(m message.Member) bool { return m.Identity == from })
		if i < 0 {
			return
		}
		voters[i] = to.self()
		c.decide(voters)
	}
	c.after(minVoteDelay+c.randomDuration(voteDelaySpread), try)
}

// isSettled reports whether every machine has a vote in the newest view and all have known it for a time.
func (c *Cluster) isSettled(since time.Duration) bool {
	if c.membership.openMoves > 0 || c.now < c.membership.decidedAt+since {
		return false
	}
	return !slices.ContainsFunc(c.slots, func(n *node) bool {
		return !n.isUp() || n.frozen || n.voters.number < c.membership.newest.number || c.now < n.heardAt+since
	})
}

func identitiesOf(members []message.Member) (identities []message.MemberID) {
	for _, m := range members {
		identities = append(identities, m.Identity)
	}
	return identities
}
