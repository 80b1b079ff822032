package replica

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// holders are all members that believe to hold the lease now.
func holders(g *group) []int {
	return lo.FilterMap(g.members, func(m *Replica, i int) (int, bool) {
		_, ok := m.Lease(g.now)
		return i, ok
	})
}

// Five members, two of which are cut off from two others; the fifth accepts a view of the first two and itself, and
// hears nothing of the decision. The holder of the old view and a holder of the new one must not overlap, however slow
// the rounds are.
func TestTheLeaseHasOneHolderWhileAViewIsDecided(t *testing.T) {
	g := newTolerantGroup(t, 5, 2)
	g.tick(5 * time.Second)
	require.Equal(t, []int{4}, holders(g), "the members stand from the tail")
	apart := func(a, b string) bool {
		left := []string{"m0", "m1"}
		right := []string{"m3", "m4"}
		return lo.Contains(left, a) && lo.Contains(right, b) || lo.Contains(left, b) && lo.Contains(right, a)
	}
	decided := false
	g.lost = func(m *message.Message) bool {
		decided = decided || m.AcceptResponse != nil && m.FromAddress == "m2"
		rightProposes := m.Prepare != nil && m.FromAddress == "m3"
		fromLeft := decided && m.ToAddress == "m2" && (m.FromAddress == "m0" || m.FromAddress == "m1")
		return apart(m.FromAddress, m.ToAddress) || rightProposes || fromLeft
	}
	for range 300 {
		g.tick(50 * time.Millisecond)
		require.LessOrEqual(t, len(holders(g)), 1, "at %v", g.now)
	}
	assert.True(t, decided)
}

// The rounds of a life are numbered from its incarnation, so late answers to an earlier one are none to it.
func TestAnswersToAnEarlierLifeCountForNothing(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(5 * time.Second)
	index := holder(g)
	old := g.members[index]
	round := old.lease.requestID
	options := old.options
	options.Incarnation = 1 << 40
	started := New(options, accept, 0, old.control, old.chain)
	started.Tick(0)
	for i := range g.members {
		for r := uint64(1); r <= round+1; r++ {
			from := message.Message{From: message.MemberID("seed-" + address(i)), To: started.Identity(), View: started.View().Number}
			from.LeaseGrant = &message.LeaseGrant{RequestID: r, Granted: true, Token: 1}
			started.Step(0, &from)
			from.LeaseGrant, from.ConfirmResponse = nil, &message.ConfirmResponse{RequestID: r}
			started.Step(0, &from)
		}
	}
	_, holds := started.Lease(0)
	assert.False(t, holds)
	assert.False(t, started.HasMajority())
}

// A grantor that was away, or restarted, renews the lease again; else a holder loses it though a majority is there, when
// enough grantors have been away one after the other.
func TestGrantorsThatWereAwayRenewTheLease(t *testing.T) {
	g := newTolerantGroup(t, 4, 1)
	g.tick(5 * time.Second)
	index := holder(g)
	before, _ := g.members[index].Lease(g.now)
	for i := range g.members {
		if i == index {
			continue
		}
		g.tick(3*time.Second, i)
		options := g.members[i].options
		options.FirstStart = false
		g.members[i] = New(options, accept, g.now, g.members[i].control, g.members[i].chain)
		g.tick(6 * time.Second)
		require.Equal(t, []int{index}, holders(g), "after member %d", i)
	}
	after, _ := g.members[index].Lease(g.now)
	assert.Equal(t, before.Token, after.Token)
	assert.Equal(t, before.HeldSince, after.HeldSince, "it was held without a gap")
}
