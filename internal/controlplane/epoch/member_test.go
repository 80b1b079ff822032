package epoch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

func TestMember_FirstCallStartsAnElectionAndIsAnswered(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run(time.Second)
	for _, m := range c.members {
		assert.True(t, m.Status().IsIdle, "no election without calls")
		assert.Zero(t, m.Status().Promised)
	}
	assert.Equal(t, message.Answer{Status: coordination.StatusOK, Revision: 1}, c.call(putCall("g.1", "x", 0)))
	assert.Equal(t, message.Answer{Status: coordination.StatusOK, Revision: 1, Value: "x"}, c.call(getCall("g.1")))
}

// A new issuer has the effects of all calls that an earlier issuer answered.
func TestMember_NewIssuerHasTheEffectsOfAnsweredCalls(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	granted := c.call(acquireCall("l", "first", 10*time.Second))
	require.Equal(t, coordination.StatusOK, granted.Status)
	require.Equal(t, coordination.StatusOK, c.call(putCall("g.1", "x", 0)).Status)
	former := c.issuerName()
	c.blocked[message.MemberID(former)] = true
	c.run(3 * time.Second)
	require.NotEqual(t, former, c.issuerName())
	assert.Equal(t, coordination.StatusHeld, c.call(acquireCall("l", "second", time.Second)).Status)
	assert.Equal(t, "x", c.call(getCall("g.1")).Value)
	c.run(10 * time.Second)
	later := c.call(acquireCall("l", "second", time.Second))
	require.Equal(t, coordination.StatusOK, later.Status)
	assert.Greater(t, later.Token, granted.Token)
}

// An issuer that is cut off from the majority, or was paused, answers no call: no change, no read and no rejection.
func TestMember_IssuerWithoutMajorityAnswersNothing(t *testing.T) {
	calls := map[string]message.Call{
		"put": putCall("g.1", "y", 1), "rejected put": putCall("g.1", "z", 7), "read": getCall("g.1"),
		"held lock": acquireCall("l", "second", time.Second), "watch": watchCall("g.", 0, 0),
		"number": {Kind: message.CallNumber},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a", "b", "c")
			require.Equal(t, coordination.StatusOK, c.call(putCall("g.1", "x", 0)).Status)
			require.Equal(t, coordination.StatusOK, c.call(acquireCall("l", "first", time.Minute)).Status)
			former := c.issuerName()
			c.drops = func(m *message.Message) bool { return m.StateWrite != nil && string(m.From) == former }
			id := c.submit(former, call)
			c.run(3 * time.Second)
			assert.Nil(t, c.answers[id])
			assert.NotEqual(t, former, c.issuerName())
		})
	}
}

// A write that only the deposed issuer itself accepted is replaced once it receives a write of the new issuer.
func TestMember_UnacceptedWriteOfDeposedIssuerIsReplaced(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	require.Equal(t, coordination.StatusOK, c.call(putCall("g.1", "x", 0)).Status)
	former := c.issuerName()
	c.blocked[message.MemberID(former)] = true
	c.submitBlocked(former, putCall("g.1", "lost", 1))
	c.run(3 * time.Second)
	require.Equal(t, message.Revision(2), c.call(putCall("g.1", "kept", 1)).Revision)
	delete(c.blocked, message.MemberID(former))
	c.run(time.Second)
	newest := c.issuer().snapshot()
	assert.Equal(t, newest, c.members[message.MemberID(former)].snapshot())
	assert.Equal(t, "kept", c.call(getCall("g.1")).Value)
	answer := c.call(putCall("g.1", "lost", 1))
	assert.Equal(t, coordination.StatusRevisionMismatch, answer.Status)
	assert.Equal(t, message.Revision(2), answer.Revision)
}

// submitBlocked passes a call directly to a member that is partitioned.
func (c *cluster) submitBlocked(name string, call message.Call) {
	c.lastID++
	out := c.members[message.MemberID(name)].Step(c.now, &message.Message{
		From: relayMember.Identity, FromAddress: relayMember.Address, To: message.MemberID(name),
		CallRequest: &message.CallRequest{ID: c.lastID, Call: call},
	})
	c.carryOut(message.MemberID(name), out)
	c.deliverAll()
}

func TestMember_StateSurvivesARestartOfAllMembers(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	number := c.call(message.Call{Kind: message.CallNumber}).Number
	token := c.call(acquireCall("l", "first", 5*time.Second)).Token
	require.Equal(t, message.Revision(1), c.call(putCall("g.1", "x", 0)).Revision)
	for _, name := range []string{"a", "b", "c"} {
		c.restart(name)
	}
	assert.Greater(t, c.call(message.Call{Kind: message.CallNumber}).Number, number)
	assert.Equal(t, "x", c.call(getCall("g.1")).Value)
	assert.Equal(t, coordination.StatusHeld, c.call(acquireCall("l", "second", time.Second)).Status, "full hold restarts")
	c.run(6 * time.Second)
	assert.Greater(t, c.call(acquireCall("l", "second", time.Second)).Token, token)
	events := c.call(watchCall("g.", 0, 0))
	assert.Equal(t, message.Revision(1), events.Revision)
}

func TestMember_WatchIsAnsweredWithTheNextPut(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	require.Equal(t, message.Revision(1), c.call(putCall("g.1", "x", 0)).Revision)
	id := c.submit(c.issuerName(), watchCall("g.", 1, 5*time.Second))
	c.run(time.Second)
	require.Nil(t, c.answers[id])
	require.Equal(t, message.Revision(2), c.call(putCall("g.2", "y", 0)).Revision)
	require.NotNil(t, c.answers[id])
	assert.Equal(t, []message.KeyEvent{{Key: "g.2", Value: "y", Revision: 2}}, c.answers[id].Answer.Events)
}

func TestMember_WatchWithoutEventIsAnsweredAtItsDeadline(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	require.Equal(t, message.Revision(1), c.call(putCall("g.1", "x", 0)).Revision)
	id := c.submit(c.issuerName(), watchCall("g.", 1, time.Second))
	c.run(900 * time.Millisecond)
	require.Nil(t, c.answers[id])
	c.run(200 * time.Millisecond)
	require.NotNil(t, c.answers[id])
	assert.Equal(t, message.Answer{Status: coordination.StatusOK, Revision: 1}, *c.answers[id].Answer)
}

// A relay repeats a call until it has an answer. The call must be decided only once.
func TestMember_RepeatedCallIsDecidedOnce(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.call(message.Call{Kind: message.CallNumber})
	issuer := c.issuerName()
	id := c.submit(issuer, message.Call{Kind: message.CallNumber})
	first := c.answers[id].Answer.Number
	c.resubmit(issuer, id, message.Call{Kind: message.CallNumber})
	assert.Equal(t, first, c.answers[id].Answer.Number)
}

// The acceptors change to the voters of the view even without calls. A former acceptor is not needed for a majority
// afterwards.
func TestMember_GroupFollowsVoters(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	require.Equal(t, message.Revision(1), c.call(putCall("g.1", "x", 0)).Revision)
	for _, name := range []string{"d", "e"} {
		c.start(name, nil)
	}
	voters := testMembers("c", "d", "e")
	for _, m := range c.members {
		m.SetVoters(2, voters)
	}
	c.run(3 * time.Second)
	for name, m := range c.members {
		assert.Equal(t, uint64(2), m.Status().Group.Number, name)
		assert.Equal(t, voters, m.Status().Group.Acceptors, name)
	}
	c.blocked["a"], c.blocked["b"] = true, true
	assert.Equal(t, "x", c.call(getCall("g.1")).Value)
	assert.Equal(t, message.Revision(2), c.call(putCall("g.1", "y", 1)).Revision)
	assert.Contains(t, []string{"c", "d", "e"}, c.issuerName())
}

// The group changes four times, by one acceptor each time. Each group has the effects of all calls answered before.
func TestMember_GroupChangesRepeatedly(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	require.Equal(t, message.Revision(1), c.call(putCall("g.1", "v1", 0)).Revision)
	groups := [][]string{{"b", "c", "d"}, {"c", "d", "e"}, {"d", "e", "f"}, {"e", "f", "g"}}
	value, revision := "v1", 1
	for i, names := range groups {
		for _, name := range names {
			if c.members[message.MemberID(name)] == nil {
				c.start(name, nil)
			}
		}
		for _, m := range c.members {
			m.SetVoters(message.ViewNumber(i+2), testMembers(names...))
		}
		c.run(3 * time.Second)
		assert.Equal(t, value, c.call(getCall("g.1")).Value)
		value += "x"
		require.Equal(t, message.Revision(revision+1), c.call(putCall("g.1", value, revision)).Revision)
		revision++
		assert.Contains(t, names, c.issuerName())
	}
}

func TestMember_LeavingIssuerHandsOverAtOnce(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.call(message.Call{Kind: message.CallNumber})
	former := c.issuerName()
	c.members[message.MemberID(former)].SetLeaving()
	c.run(2 * tickInterval)
	assert.NotEqual(t, former, c.issuerName())
}

// Two of three members shut down at the same time while the third is lost. The two must still elect an issuer and
// answer calls until one of them ends.
func TestMember_LeavingMembersStayAvailableWithoutOthers(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.call(message.Call{Kind: message.CallNumber})
	issuer := c.issuerName()
	others := testMembers("a", "b", "c")
	isLost := false
	for _, other := range others {
		switch {
		case string(other.Identity) != issuer && !isLost:
			c.blocked[other.Identity], isLost = true, true
		default:
			c.members[other.Identity].SetLeaving()
		}
	}
	for range 20 {
		c.run(time.Second)
		assert.Equal(t, coordination.StatusOK, c.call(message.Call{Kind: message.CallNumber}).Status)
	}
}

func TestMember_IssuerWithoutCallsStopsHeartbeats(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.call(message.Call{Kind: message.CallNumber})
	issuer := c.issuerName()
	c.run(idleTimeout + time.Second)
	sent := 0
	c.drops = func(*message.Message) bool { sent++; return false }
	c.run(10 * time.Second)
	assert.Zero(t, sent)
	c.call(message.Call{Kind: message.CallNumber})
	assert.Equal(t, issuer, c.issuerName(), "the same issuer answers the next call")
}

// Member a is partitioned during a change of the group and remains an acceptor of the old group only. Once it is
// connected again, it must learn the newer group and must not become the issuer.
func TestMember_AcceptorOfTheOldGroupLearnsTheNewestGroup(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	require.Equal(t, message.Revision(1), c.call(putCall("g.1", "x", 0)).Revision)
	c.blocked["a"] = true
	c.run(3 * time.Second)
	c.start("d", nil)
	for _, name := range []message.MemberID{"b", "c", "d"} {
		c.members[name].SetVoters(2, testMembers("b", "c", "d"))
	}
	c.run(3 * time.Second)
	require.Equal(t, message.Revision(2), c.call(putCall("g.1", "y", 1)).Revision)
	delete(c.blocked, "a")
	c.run(3 * time.Second)
	assert.Equal(t, uint64(2), c.members["a"].Status().Group.Number)
	assert.Equal(t, "y", c.call(getCall("g.1")).Value)
	assert.NotEqual(t, "a", c.issuerName())
}
