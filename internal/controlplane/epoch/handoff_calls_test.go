package epoch

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// A hand-over to the next group that fails ends the epoch like any other failure: calls that were not decided are declined, and
// none is decided when the member becomes the issuer again, when its caller has long turned elsewhere.
func TestMember_FailedHandOverDeclinesTheCallsThatWait(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	require.Equal(t, coordination.StatusOK, c.call(putCall("g.1", "x", 0)).Status)
	name := c.issuerName()
	m := c.members[message.MemberID(name)]
	c.start("d", nil)
	c.setVoters(2, "a", "b", "c", "d")
	declined := 0
	c.drops = func(sent *message.Message) bool {
		if sent.CallResponse != nil && sent.CallResponse.Answer == nil && string(sent.From) == name {
			declined++
		}
		isClosing := sent.StateWrite != nil && len(sent.StateWrite.Writes) > 0 && m.nextGroup != nil
		if isClosing && len(m.calls.queued) == 0 { // a call comes while the last write of the group is in flight
			m.calls.queued = append(m.calls.queued, pendingCall{
				key: callKey{relayMember.Identity, 99}, relay: relayMember, call: putCall("g.1", "late", 1),
			})
			m.calls.known[callKey{relayMember.Identity, 99}] = true
		}
		return sent.EpochPrepare != nil && string(sent.From) == name
	}
	for range 40 {
		c.run(tickInterval)
		if m.issuer == nil {
			break
		}
	}
	require.Nil(t, m.issuer, "the hand-over failed")
	assert.Empty(t, m.calls.queued)
	assert.Empty(t, m.calls.known)
	assert.Equal(t, 1, declined)
}

// The answer of an acceptor that had entered the group before the issuer did may arrive after the issuer has entered it too.
func TestMember_LateWordOfTheGroupThatItLeadsDoesNotEndAnEpoch(t *testing.T) {
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
