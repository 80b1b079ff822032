package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// A member that missed changes receives the state in one message, however many changes it missed.
func TestCatchUp_AfterThousandsOfChanges(t *testing.T) {
	for _, count := range []int{1000, 10_000} {
		c := newTestCluster(t, 3)
		c.advance(2 * time.Second)
		c.unreachable = []int{2}
		c.advance(2*time.Second, 2)
		head := c.members[0]
		for i := range count {
			document := fmt.Appendf(nil, `{"version":%d}`, i+1)
			change := message.Change{Version: uint64(i + 1), Base: uint64(i), Digest: fmt.Appendf(nil, "%016d", i)}
			require.NoError(t, head.applyChange(newChangeRecord(&head.chain, change, document, head.View().Number)))
			c.members[1].chain = head.chain
		}
		head.takeOutput()
		head.forwardToSuccessor(nil)
		c.collect(head.takeOutput())
		c.deliver(2)
		restarted := New(c.members[2].options, testValidator, c.now, c.members[2].control, c.members[2].chain)
		c.members[2], c.unreachable = restarted, nil
		c.transcript = nil
		c.advance(2 * time.Second)
		assert.Equal(t, uint64(count), restarted.CommittedState().Version)
		assert.LessOrEqual(t, len(restarted.chain.History), maxHistory)
		assert.True(t, restarted.IsSynced())
		c.get(2)
		require.Len(t, c.responses, 1)
		assert.Equal(t, fmt.Sprintf(`{"version":%d}`, count), string(c.responses[0].Body))
	}
}

// An incomplete member catches up from any complete member, even if its predecessor sends nothing.
func TestCatchUp_FromAnyCompleteMember(t *testing.T) {
	c := newClusterWithoutThird(t)
	c.restartWithEmptyDisk(2, "second-m2")
	c.unreachable = nil
	c.dropMessage = func(m *message.Message) bool { return m.Replicate != nil && m.ToAddress == address(2) }
	c.advance(2 * time.Second)
	third := c.members[2]
	require.True(t, third.IsMember())
	assert.True(t, third.control.Complete)
	assert.False(t, third.IsSynced(), "its predecessor has not replicated the state to it yet")
	assert.Equal(t, uint64(5), third.chain.Version)
}

// A response to a request of an earlier incarnation has another digest and does not make the member complete.
func TestCatchUp_ComparesDigest(t *testing.T) {
	c := newClusterWithoutThird(t)
	c.restartWithEmptyDisk(2, "second-m2")
	c.unreachable = nil
	c.dropMessage = func(m *message.Message) bool {
		return m.ToAddress == address(2) && (m.Replicate != nil || m.CatchUp != nil)
	}
	c.advance(2 * time.Second)
	third := c.members[2]
	require.True(t, third.IsMember())
	third.Step(c.now, &message.Message{
		From: "seed-m0", FromAddress: "m0", To: third.Identity(), View: third.View().Number,
		CatchUp: &message.CatchUp{Digest: c.members[0].chain.Digest},
	})
	assert.False(t, third.control.Complete)
}
