package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// A proposer that restarts after sending its number must not use the number again for another value.
func TestProposer_SyncsNumberBeforeSendingPrepare(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	head := c.members[0]
	head.prepare(message.View{Number: 2})
	out := head.takeOutput()
	require.NotNil(t, out.Control)
	require.NotEmpty(t, out.AfterSync, "Prepare must be sent after the sync")
	assert.Equal(t, out.AfterSync[0].Prepare.Proposal, out.Control.HighestProposal)
	restarted := New(head.options, testValidator, c.now, *out.Control, head.chain)
	restarted.prepare(message.View{Number: 2})
	assert.True(t, out.Control.HighestProposal.Less(restarted.proposal.number))
}

func TestProposer_CountsOnlyVoters(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	head := c.members[0]
	head.prepare(message.View{Number: 2, Members: head.View().Members})
	head.takeOutput()
	for _, nonVoter := range []message.MemberID{"a", "b", "c"} {
		promise := &message.PrepareResponse{Proposal: head.proposal.number}
		head.Step(c.now, &message.Message{From: nonVoter, To: head.Identity(), View: 1, PrepareResponse: promise})
	}
	assert.False(t, head.proposal.accepting)
}

func TestAgreement_MinorityDecidesNothing(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(time.Second)
	c.advance(5*time.Second, 1, 2)
	assert.Equal(t, message.ViewNumber(1), c.members[0].View().Number)
	c.unreachable = []int{1, 2}
	c.put(0, 0, testDocument(5, "x"))
	c.put(0, 7, testDocument(9, "y"))
	c.get(0)
	assert.Empty(t, c.responses, "a minority must not acknowledge, reject or answer a read")
}

// After a pause every machine counts as alive, including failed ones. A proposal right after the pause would move
// votes to failed machines.
func TestProposer_WaitsAfterPause(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	head := c.members[0]
	require.True(t, head.canPropose())
	head.Tick(c.now + 3*time.Second)
	assert.False(t, head.canPropose())
	for at := time.Duration(0); at <= suspicionTimeout; at += testTick {
		head.Tick(c.now + 3*time.Second + at)
	}
	assert.True(t, head.canPropose())
}
