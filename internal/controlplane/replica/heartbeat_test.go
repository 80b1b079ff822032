package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A removed member receives the newer view after it returns, although a machine unknown to it has joined meanwhile.
func TestViewAnnouncement_ReachesRemovedMember(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	c.unreachable = []int{0}
	c.advance(2*time.Second, 0)
	joined := c.addMachine(1, 2)
	c.advance(2*time.Second, 0)
	require.True(t, c.members[joined].IsSynced())
	c.unreachable = nil
	c.advance(2500 * time.Millisecond)
	assert.Equal(t, c.members[1].View().Number, c.members[0].View().Number)
}

// A voter returns from a partition when every other member of its own view is gone and the old head is lost. The new
// first proposer must announce the view to it, because the others need its vote.
func TestViewAnnouncement_ReachesAbsentVotersFromFirstProposer(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	c.unreachable = []int{0}
	c.advance(2*time.Second, 0) // m0 is partitioned
	joined := c.addMachine(0, 1, 2)
	c.advance(500*time.Millisecond, 0)
	c.members[2].SetLeaving()
	c.advance(3*time.Second, 0)
	require.True(t, c.members[joined].IsSynced())
	voters := c.members[joined].View().EffectiveVoters()
	require.True(t, containsMember(voters, "seed-m0"), "the newcomer replaced m2, so m0 must get its vote back")
	c.unreachable = []int{1, 2} // m2 has left and the head is lost; m0 is back
	c.advance(6*time.Second, 1, 2)
	assert.True(t, c.members[0].IsSynced())
	assert.Equal(t, c.members[joined].View().Number, c.members[0].View().Number)
}
