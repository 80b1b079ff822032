package epoch

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// A failed change to the next group ends the epoch, and undecided calls are rejected. If they stayed queued, the member
// would decide them when it becomes the issuer again, after their callers have turned to another member.
func TestMember_FailedHandOverRejectsUndecidedCalls(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	require.Equal(t, coordination.StatusOK, c.call(putCall("g.1", "x", 0)).Status)
	name := c.issuerName()
	m := c.members[message.MemberID(name)]
	c.start("d", nil)
	c.setVoters(2, "a", "b", "c", "d")
	rejected := 0
	c.drops = func(sent *message.Message) bool {
		if sent.CallResponse != nil && sent.CallResponse.Answer == nil && string(sent.From) == name {
			rejected++
		}
		isClosing := sent.StateWrite != nil && len(sent.StateWrite.Writes) > 0 && m.nextGroup != nil
		if isClosing && len(m.calls.queued) == 0 { // a call comes while the last write of the group is in flight
			m.calls.queued = append(m.calls.queued, pendingCall{
				key: callKey{relayMember.Identity, 99}, relay: relayMember, call: putCall("g.1", "late", 1),
			})
			m.calls.unanswered[callKey{relayMember.Identity, 99}] = true
		}
		return sent.EpochPrepare != nil && string(sent.From) == name
	}
	for range 40 {
		c.run(tickInterval)
		if m.issuer == nil {
			break
		}
	}
	require.Nil(t, m.issuer, "the failed hand-over ends the epoch")
	assert.Empty(t, m.calls.queued)
	assert.Empty(t, m.calls.unanswered)
	assert.Equal(t, 1, rejected)
}

// An acceptor that entered a group before the issuer may name that group in an answer which arrives after the issuer
// has entered it too. The issuer must not step down.
func TestMember_LateAnswerNamingTheCurrentGroupDoesNotEndTheEpoch(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	require.Equal(t, coordination.StatusOK, c.call(putCall("g.1", "x", 0)).Status)
	m := c.issuer()
	group := m.group
	c.carryOut(m.options.Self.Identity, m.Step(c.now, &message.Message{
		From: "d", FromAddress: "d", To: m.options.Self.Identity,
		StateWriteResponse: &message.StateWriteResponse{
			Epoch: m.issuer.epoch, Round: 1, Promised: m.issuer.epoch, Position: m.position, Group: &group,
		},
	}))
	assert.NotNil(t, m.issuer)
}
