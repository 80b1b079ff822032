package replica

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// leaseHolders returns all members that currently hold the lease by their own state.
func leaseHolders(c *testCluster) []int {
	return lo.FilterMap(c.members, func(m *Replica, i int) (int, bool) {
		_, ok := m.Lease(c.now)
		return i, ok
	})
}

// leaseHolder returns the first member that holds the lease, or -1 if none does.
func leaseHolder(c *testCluster) int {
	for i, member := range c.members {
		if _, ok := member.Lease(c.now); ok {
			return i
		}
	}
	return -1
}

// Of five members, two are partitioned from two others. The fifth accepts a view with the first two and itself, but
// does not receive the decision. A lease of the old view and one of the new view must not be held at the same time,
// however slow the proposals are.
func TestLease_HasOneHolderDuringViewChange(t *testing.T) {
	c := newTolerantCluster(t, 5, 2)
	c.advance(5 * time.Second)
	require.Equal(t, []int{4}, leaseHolders(c), "the tail is the first candidate")
	isPartitioned := func(a, b string) bool {
		left := []string{"m0", "m1"}
		right := []string{"m3", "m4"}
		return lo.Contains(left, a) && lo.Contains(right, b) || lo.Contains(left, b) && lo.Contains(right, a)
	}
	decided := false
	c.dropMessage = func(m *message.Message) bool {
		decided = decided || m.AcceptResponse != nil && m.FromAddress == "m2"
		rightProposes := m.Prepare != nil && m.FromAddress == "m3"
		fromLeft := decided && m.ToAddress == "m2" && (m.FromAddress == "m0" || m.FromAddress == "m1")
		return isPartitioned(m.FromAddress, m.ToAddress) || rightProposes || fromLeft
	}
	for range 300 {
		c.advance(testTick)
		require.LessOrEqual(t, len(leaseHolders(c)), 1, "at %v", c.now)
	}
	assert.True(t, decided)
}

// Request IDs start at the incarnation, so late responses to an earlier incarnation match no request of this one.
func TestIncarnation_IgnoresResponsesToEarlierIncarnation(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(5 * time.Second)
	index := leaseHolder(c)
	old := c.members[index]
	lastRequestID := old.lease.requestID
	options := old.options
	options.Incarnation = 1 << 40
	started := New(options, testValidator, 0, old.control, old.chain)
	started.Tick(0)
	for i := range c.members {
		for id := uint64(1); id <= lastRequestID+1; id++ {
			late := message.Message{
				From: message.MemberID("seed-" + address(i)), To: started.Identity(), View: started.View().Number,
			}
			late.LeaseGrant = &message.LeaseGrant{RequestID: id, Granted: true, Token: 1}
			started.Step(0, &late)
			late.LeaseGrant, late.ConfirmResponse = nil, &message.ConfirmResponse{RequestID: id}
			started.Step(0, &late)
		}
	}
	_, holds := started.Lease(0)
	assert.False(t, holds)
	assert.False(t, started.HasMajority())
}

// A grantor that was paused or restarted must renew the lease again. Otherwise the holder loses it although a majority
// is alive, once enough grantors have been paused one after another.
func TestLease_IsRenewedByReturningGrantors(t *testing.T) {
	c := newTolerantCluster(t, 4, 1)
	c.advance(5 * time.Second)
	index := leaseHolder(c)
	before, _ := c.members[index].Lease(c.now)
	for i := range c.members {
		if i == index {
			continue
		}
		c.advance(3*time.Second, i)
		c.restart(i)
		c.advance(6 * time.Second)
		require.Equal(t, []int{index}, leaseHolders(c), "after member %d", i)
	}
	after, _ := c.members[index].Lease(c.now)
	assert.Equal(t, before.Token, after.Token)
	assert.Equal(t, before.HeldSince, after.HeldSince, "the lease must be held without interruption")
}

func TestLease_HasOneHolderAndRisingTokens(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(5 * time.Second)
	first := leaseHolder(c)
	require.GreaterOrEqual(t, first, 0)
	lease, _ := c.members[first].Lease(c.now)
	c.advance(8*time.Second, first)
	_, ok := c.members[first].Lease(c.now)
	assert.False(t, ok, "the lease of a paused holder must expire by its monotonic clock")
	second := leaseHolder(c)
	require.GreaterOrEqual(t, second, 0)
	next, _ := c.members[second].Lease(c.now)
	assert.Greater(t, next.Token, lease.Token)
}

// Grants that arrive after the release of a lease must not restore it.
func TestLease_LateGrantsDoNotRestoreIt(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(5 * time.Second)
	index := leaseHolder(c)
	member := c.members[index]
	requestID := member.lease.requestID
	member.SetDiskStalled(true)
	c.now += testTick
	member.Tick(c.now)
	for i := range c.members {
		member.Step(c.now, &message.Message{
			From: message.MemberID("seed-" + address(i)), To: member.Identity(), View: member.View().Number,
			LeaseGrant: &message.LeaseGrant{RequestID: requestID, Granted: true},
		})
	}
	_, ok := member.Lease(c.now)
	assert.False(t, ok)
}

// A holder that restarted must not get a new lease with its old token.
func TestLease_RestartedHolderNeedsHigherToken(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(5 * time.Second)
	index := leaseHolder(c)
	lease, _ := c.members[index].Lease(c.now)
	grantor := c.members[(index+1)%3]
	request := &message.Message{
		From: c.members[index].Identity(), FromAddress: address(index), To: grantor.Identity(), View: grantor.View().Number,
		LeaseRequest: &message.LeaseRequest{Token: lease.Token, RequestID: 999},
	}
	out := grantor.Step(c.now, request)
	require.Len(t, out.AfterSync, 1)
	assert.False(t, out.AfterSync[0].LeaseGrant.Granted)
}

// Renewals must reach members without a vote too. Otherwise such a member requests the lease that another one holds,
// and may take a grantor from the holder.
func TestLease_RenewalReachesMembersWithoutVote(t *testing.T) {
	c := newTestCluster(t, 4)
	c.advance(2 * time.Second)
	standby, _ := lo.Find(c.members, func(r *Replica) bool { return !r.isVoter() })
	require.NotNil(t, standby)
	renewal := &message.LeaseRequest{Token: 1, RequestID: 1, Renewal: true}
	from := c.members[0]
	require.NotEqual(t, from, standby)
	c.advance(3*time.Second, 3) // the standby member, the tail, would request the lease now
	standby.Step(c.now, &message.Message{
		From: from.Identity(), To: standby.Identity(), View: standby.View().Number, LeaseRequest: renewal,
	})
	assert.False(t, standby.canRequestLease())
	assert.Equal(t, c.now, standby.lease.renewalSeenAt)
}
