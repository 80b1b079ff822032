package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// A proposer that restarts after its ballot went out must not use the same one for another value.
func TestABallotIsOnDiskBeforeAnyoneHearsOfIt(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(2 * time.Second)
	head := g.members[0]
	head.prepare(message.View{Number: 2})
	out := head.takeOutput()
	require.NotNil(t, out.Control)
	require.NotEmpty(t, out.AfterSync, "Prepare waits for the disk")
	assert.Equal(t, out.AfterSync[0].Prepare.Proposal, out.Control.HighestProposal)
	restarted := New(head.options, accept, g.now, *out.Control, head.chain)
	restarted.prepare(message.View{Number: 2})
	assert.True(t, out.Control.HighestProposal.Less(restarted.proposal.number))
}

// Only voters count, whoever else answers.
func TestOnlyVotersDecide(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(2 * time.Second)
	head := g.members[0]
	head.prepare(message.View{Number: 2, Members: head.View().Members})
	head.takeOutput()
	for _, stranger := range []message.MemberID{"a", "b", "c"} {
		m := message.Message{From: stranger, To: head.Identity(), View: 1, PrepareResponse: &message.PrepareResponse{Proposal: head.proposal.number}}
		head.Step(g.now, &m)
	}
	assert.False(t, head.proposal.accepting)
}
