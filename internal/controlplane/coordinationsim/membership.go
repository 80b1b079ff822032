package coordinationsim

import (
	"slices"
	"time"

	"pumiceline/internal/message"
)

// Delays between the decision on a view and its arrival at the members.
const (
	maxViewDelay   = 600 * time.Millisecond
	lateViewOneIn  = 8
	lateViewSpread = 5 * time.Second // one in lateViewOneIn gets it up to this much later
)

// Delay until the vote of a machine that lost its disk moves to its new identity.
const (
	minVoteDelay    = time.Second
	voteDelaySpread = 2 * time.Second
)

// membershipView is an agreed membership: a view number and the voters of that view.
type membershipView struct {
	number message.ViewNumber
	voters []message.Member
}

// membership stands in for package replica: it decides on the voters in views with rising numbers.
type membership struct {
	newest           membershipView
	decidedAt        time.Duration
	pendingVoteMoves int // number of votes that have yet to move to a new identity
}

// decide makes a new view with the voters and sends it to the running machines.
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
			n.receiveViewLater(c.membership.newest)
		}
	}
	c.injectAfterView()
}

// receiveViewLater passes a view to the process after a random delay.
func (n *node) receiveViewLater(view membershipView) {
	c := n.cluster
	delay := c.randomDuration(maxViewDelay)
	if !c.isHealing && c.random.IntN(lateViewOneIn) == 0 {
		delay += c.randomDuration(lateViewSpread)
	}
	generation := n.generation
	c.after(delay, func() {
		if n.generation == generation {
			n.run(func() { n.receiveView(view) })
		}
	})
}

// receiveView passes a view to the member, unless it has that view or a later one.
func (n *node) receiveView(view membershipView) {
	if view.number <= n.voters.number {
		return
	}
	n.voters, n.viewReceivedAt = view, n.cluster.now
	n.member.SetVoters(view.number, slices.Clone(view.voters))
}

// moveVote moves the vote of an identity to the current identity of a machine after a delay, once that machine runs
// under another identity.
func (c *Cluster) moveVote(from message.MemberID, to *node) {
	c.membership.pendingVoteMoves++
	var try func()
	try = func() {
		if !to.isUp() || to.identity == from {
			c.after(minVoteDelay, try)
			return
		}
		c.membership.pendingVoteMoves--
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

// isSettled reports whether no vote has to move and every machine has run with the newest view for a time.
func (c *Cluster) isSettled(since time.Duration) bool {
	if c.membership.pendingVoteMoves > 0 || c.now < c.membership.decidedAt+since {
		return false
	}
	return !slices.ContainsFunc(c.slots, func(n *node) bool {
		return !n.isUp() || n.frozen || n.voters.number < c.membership.newest.number || c.now < n.viewReceivedAt+since
	})
}

func identitiesOf(members []message.Member) (identities []message.MemberID) {
	for _, m := range members {
		identities = append(identities, m.Identity)
	}
	return identities
}
