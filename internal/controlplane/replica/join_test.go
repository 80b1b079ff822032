package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// A machine that receives no messages is not admitted: as a member it would block every change.
func TestJoin_RejectsMachineThatReceivesNoMessages(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	c.dropMessage = func(m *message.Message) bool { return m.ToAddress == address(3) }
	c.addMachine(0, 1, 2)
	c.advance(4 * time.Second)
	assert.Equal(t, message.ViewNumber(1), c.members[0].View().Number)
}

func TestJoin_EmptyDiskMakesNewMember(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(time.Second)
	c.put(0, 0, testDocument(5, "x"))
	options := c.members[1].options
	options.FirstStart = false
	options.Self.Identity = "fresh"
	c.members[1] = New(options, testValidator, 0, message.ControlState{}, message.ChainState{})
	assert.False(t, c.members[1].IsMember(), "an empty disk makes a new member")
	c.advance(3 * time.Second)
	assert.True(t, c.members[1].IsSynced())
	assert.Equal(t, uint64(5), c.members[1].CommittedState().Version)
	assert.Equal(t, -1, indexOfMember(c.members[0].View().Members, "seed-m1"), "the old identity must be removed")
}

// A machine must not stop while its join request is in flight: it could be admitted after its process has ended.
func TestReplica_CanStopWaitsForJoinRequestsInFlight(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	joined := c.addMachine(0, 1, 2)
	c.advance(200 * time.Millisecond)
	c.members[joined].SetLeaving()
	assert.False(t, c.members[joined].CanStop())
	c.dropMessage = func(m *message.Message) bool { return m.JoinRequest != nil && m.JoinRequest.Withdrawn }
	c.advance(joinRequestTimeout)
	assert.False(t, c.members[joined].CanStop())
	c.advance(withdrawalTimeout)
	assert.True(t, c.members[joined].CanStop())
	assert.False(t, containsMember(membersAndVoters(c.members[0].View()), c.members[joined].Identity()))
}

// A withdrawal removes the earlier join requests of a machine.
func TestJoin_WithdrawalRemovesRequests(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	joined := c.addMachine(0, 1, 2)
	c.advance(newcomerTimeout - 400*time.Millisecond)
	require.NotEmpty(t, c.members[0].detector.joinRequests)
	c.members[joined].SetLeaving()
	c.advance(2 * heartbeatInterval)
	assert.Empty(t, c.members[0].detector.joinRequests)
}

// A machine whose messages do not reach the head must not be admitted by another proposer. Otherwise the head would
// remove it again, repeatedly.
func TestJoin_RejectsMachineThatCannotReachHead(t *testing.T) {
	c := newTestCluster(t, 4)
	c.advance(2 * time.Second)
	head := c.members[0].View().Members[0].Address
	c.unreachable = []int{3}
	c.advance(2*time.Second, 3)
	c.unreachable = nil
	c.dropMessage = func(m *message.Message) bool { return m.FromAddress == address(3) && m.ToAddress == head }
	number := c.members[0].View().Number
	c.advance(3 * time.Second)
	assert.Equal(t, number, c.members[0].View().Number)
	c.dropMessage = nil
	c.advance(3 * time.Second)
	assert.True(t, c.members[3].IsSynced())
}
