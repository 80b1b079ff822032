package epoch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// others returns the names except one, in the same order.
func others(names []string, without string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == without })
}

// setVoters sets the view and its voters at all members.
func (c *cluster) setVoters(view int, names ...string) {
	for _, m := range c.members {
		m.SetVoters(message.ViewNumber(view), testMembers(names...))
	}
}

// enterNextGroupAlone runs until the issuer has entered group 2. Its writes in that group are lost, so no other member
// enters it.
func (c *cluster) enterNextGroupAlone(issuer string) {
	c.t.Helper()
	c.drops = func(m *message.Message) bool { return m.StateWrite != nil && m.StateWrite.Position.Group == 2 }
	for range 40 {
		if c.members[message.MemberID(issuer)].position.Group == 2 {
			return
		}
		c.run(tickInterval)
	}
	require.FailNow(c.t, "the issuer did not enter the next group")
}

// All members restart when only the former issuer, which is not an acceptor of the new group, has synced the group's
// first write. The new group must still become available with the earlier writes.
func TestMember_AllRestartAfterOnlyTheFormerIssuerEnteredTheNextGroup(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	require.Equal(t, coordination.StatusOK, c.call(putCall("g.1", "x", 0)).Status)
	leaving := c.issuerName()
	c.start("d", nil)
	next := others([]string{"a", "b", "c", "d"}, leaving)
	c.setVoters(2, next...)
	c.enterNextGroupAlone(leaving)
	for _, name := range []string{"a", "b", "c", "d"} {
		c.restart(name)
	}
	c.drops = nil
	c.setVoters(2, next...)
	assert.Equal(t, "x", c.call(getCall("g.1")).Value)
}

// The issuer names the next group to the acceptors and then fails permanently, before any other member has a state of
// that group. The remaining acceptors must still elect an issuer.
func TestMember_IssuerFailsAfterOnlyItEnteredTheNextGroup(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	require.Equal(t, coordination.StatusOK, c.call(putCall("g.1", "x", 0)).Status)
	lost := c.issuerName()
	c.start("d", nil)
	c.setVoters(2, "a", "b", "c", "d")
	c.enterNextGroupAlone(lost)
	for _, name := range others([]string{"a", "b", "c"}, lost) { // the responses name the next group
		c.queue = append(c.queue, message.Message{
			From: message.MemberID(name), FromAddress: name, To: message.MemberID(lost), EpochQuery: &message.EpochQuery{},
		})
	}
	c.deliverAll()
	c.blocked[message.MemberID(lost)] = true
	c.drops = nil
	assert.Equal(t, "x", c.call(getCall("g.1")).Value)
}

// The issuer of a group of one is idle, and there is no other acceptor to start an election. It must still change the
// group to the voters of a new view.
func TestMember_IdleSingleAcceptorTakesInNewVoters(t *testing.T) {
	c := newCluster(t, "a")
	c.run(smallGroupPeriod)
	require.Equal(t, coordination.StatusOK, c.call(putCall("g.1", "x", 0)).Status)
	c.run(idleTimeout + time.Second)
	require.True(t, c.members["a"].Status().IsIdle)
	c.start("b", nil)
	c.start("c", nil)
	c.setVoters(2, "a", "b", "c")
	c.run(5 * time.Second)
	assert.Equal(t, uint64(2), c.members["a"].Status().Group.Number)
	c.blocked["a"] = true
	assert.Equal(t, "x", c.call(getCall("g.1")).Value)
}

// A candidate must not adopt a state that is older than the newest position reported with the promises. A late response
// to an earlier request under the same epoch carries such a state.
func TestMember_CandidateDoesNotAdoptAnOldStateResponse(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	require.Equal(t, coordination.StatusOK, c.call(putCall("g.1", "x", 0)).Status)
	former := c.issuerName()
	old := c.members[message.MemberID(former)].snapshot()
	require.Equal(t, message.Revision(2), c.call(putCall("g.1", "y", 1)).Revision)
	candidateName := others([]string{"a", "b", "c"}, former)[0]
	m := c.members[message.MemberID(candidateName)]
	m.prepare(m.group)
	m.candidate.phase = phaseFetch
	m.candidate.promises = map[message.MemberID]message.CoordinationPosition{}
	newest := m.position
	newest.Sequence++
	m.candidate.promises[message.MemberID(former)] = newest
	m.Step(c.now, &message.Message{
		From: message.MemberID(former), To: message.MemberID(candidateName),
		StateResponse: &message.StateResponse{Epoch: m.candidate.epoch, State: old},
	})
	assert.Nil(t, m.issuer, "the candidate must not become the issuer with an older state than was reported")
}
