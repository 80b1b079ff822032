package replica

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func TestReplication_PassesChangeAndAcknowledgementAlongChain(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(time.Second)
	c.transcript = nil
	c.put(1, 0, testDocument(5, "x"))
	require.Len(t, c.responses, 1)
	assert.Equal(t, http.StatusOK, c.responses[0].Status)
	assert.Equal(t, []string{
		"m0 -> m1: change 1", "m1 -> m2: change 1", "m2 -> m1: committed 1", "m1 -> m0: committed 1",
	}, c.transcript)
	for _, member := range c.members {
		assert.Equal(t, uint64(5), member.CommittedState().Version)
	}
}

// A snapshot that arrives after a later change must not set the tail back to the older state, not even after a restart.
func TestReplication_IgnoresOlderSnapshotOfView(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(time.Second)
	c.put(0, 0, testDocument(5, "x"))
	old := c.members[1].CommittedState()
	c.put(0, 5, testDocument(6, "y"))
	tail := c.members[2]
	late := &message.Message{
		From: "seed-m1", FromAddress: "m1", To: "seed-m2", View: tail.View().Number,
		Replicate: &message.Replicate{Sequence: old.Sequence, Digest: old.Digest, Snapshot: &old},
	}
	tail.Step(c.now, late)
	assert.Equal(t, uint64(6), tail.CommittedState().Version)
	assert.Equal(t, uint64(6), tail.chain.Version)
	restarted := New(tail.options, testValidator, 0, tail.control, tail.chain)
	restarted.Step(c.now, late)
	assert.Equal(t, uint64(6), restarted.chain.Version, "the state does not go back after a restart either")
}
