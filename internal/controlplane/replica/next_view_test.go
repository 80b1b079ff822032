package replica

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// A replacement must take the vote of the lost member. Otherwise there are four voters, of which three must be alive.
func TestNextView_ReplacementTakesVoteOfLostMember(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	c.unreachable = []int{2}
	c.advance(500*time.Millisecond, 2)
	joined := c.addMachine(0, 1)
	for range 100 {
		c.advance(testTick, 2)
		require.LessOrEqual(t, len(c.members[0].View().EffectiveVoters()), 3)
	}
	view := c.members[0].View()
	assert.Equal(t, []string{"fresh-m3", "seed-m0", "seed-m1"}, identities(view.Members))
	assert.Equal(t, []string{"fresh-m3", "seed-m0", "seed-m1"}, identities(view.EffectiveVoters()))
	assert.True(t, c.members[joined].IsSynced())

	// A second loss right after the replacement leaves a majority.
	c.unreachable = []int{1, 2}
	c.advance(4*time.Second, 1, 2)
	c.put(0, 0, testDocument(5, "x"))
	assert.Len(t, c.responses, 1)
}

// A replacement must be admitted while one member is lost and another is leaving. Otherwise the rest permanently loses
// its majority.
func TestNextView_AdmitsReplacementBesideLeavingMember(t *testing.T) {
	c := newClusterWithoutThird(t)
	c.members[0].SetLeaving()
	c.advance(200*time.Millisecond, 2)
	joined := c.addMachine(0, 1)
	c.advance(2*time.Second, 2)
	require.True(t, c.members[joined].IsSynced())
	assert.False(t, c.members[0].IsMember(), "it must leave once two others hold the state")
	c.unreachable = []int{0, 2}
	c.advance(2*time.Second, 0, 2)
	c.put(1, 5, testDocument(6, "y"))
	assert.Len(t, c.responses, 2)
}

// The only complete member of a view stays in it although it was asked to stop.
func TestNextView_KeepsOnlyCompleteMember(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	c.put(0, 0, testDocument(5, "x"))
	c.unreachable = []int{1, 2}
	c.advance(500*time.Millisecond, 1, 2)
	c.restartWithEmptyDisk(1, "second-m1")
	c.restartWithEmptyDisk(2, "second-m2")
	c.unreachable = nil
	c.members[0].SetLeaving()
	c.dropMessage = func(m *message.Message) bool { // the state reaches no other member
		return m.Replicate != nil || m.CatchUp != nil
	}
	c.advance(3 * time.Second)
	assert.True(t, c.members[0].IsMember())
}

// A partitioned member keeps its vote: it may return while another member loses its disk.
func TestNextView_PartitionedMemberKeepsVote(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	c.unreachable = []int{2}
	c.advance(2*time.Second, 2)
	c.put(0, 0, testDocument(5, "x"))
	require.Len(t, c.responses, 1)
	require.Len(t, c.members[0].View().Members, 2)
	require.Len(t, c.members[0].View().EffectiveVoters(), 3)
	c.restartWithEmptyDisk(0, "second-m0") // while the third member returns
	c.unreachable = nil
	c.advance(4 * time.Second)
	c.get(2)
	require.Len(t, c.responses, 2)
	assert.Equal(t, testDocument(5, "x"), string(c.responses[1].Body))
	assert.Len(t, c.members[1].View().Members, 3)
}

// If a machine that cannot be admitted yet takes the address of a lost member, the chain must not shrink to one member.
// Otherwise a change is acknowledged on one disk.
func TestNextView_ChainIsLongerThanTolerance(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	c.unreachable = []int{1}
	c.advance(2*time.Second, 1)
	require.Len(t, c.members[0].View().Members, 2)
	c.restartWithEmptyDisk(2, "second-m2")
	c.unreachable = nil
	c.dropMessage = func(m *message.Message) bool {
		isForWipedMember := m.ToAddress == address(2)
		isLostJoinRequest := m.JoinRequest != nil && m.FromAddress == address(1) // m1 votes, but is not admitted yet
		return isForWipedMember || isLostJoinRequest
	}
	for range 60 {
		c.advance(testTick)
		require.GreaterOrEqual(t, len(c.members[0].View().Members), 2, "at %v", c.now)
	}
	c.dropMessage = nil
	c.advance(4 * time.Second)
	assert.Len(t, c.members[0].View().Members, 3)
}

func TestNextView_RemovesSuspectedMemberAndReadmitsIt(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(time.Second)
	c.advance(2*time.Second, 1)
	require.Len(t, c.members[0].View().Members, 2, "the suspected member must be removed within two seconds")
	c.put(0, 0, testDocument(5, "x"))
	require.Len(t, c.responses, 1, "the remaining members must acknowledge changes")
	c.advance(2 * time.Second)
	require.Len(t, c.members[0].View().Members, 3)
	assert.Equal(t, uint64(5), c.members[1].CommittedState().Version, "the readmitted member must receive the missed change")
	view := c.members[0].View()
	assert.Equal(t, message.MemberID("seed-m1"), view.Members[2].Identity, "a returning member must be the tail")
}

func TestNextView_RemovesLeavingMemberAtOnce(t *testing.T) {
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	c.members[2].SetLeaving()
	c.advance(600 * time.Millisecond)
	assert.Len(t, c.members[0].View().Members, 2)
	assert.False(t, c.members[2].IsMember())
}

// The settings do not contain the zones of the seeds, so a view must add them. Otherwise a restarted member does not
// know the zone of a lost member that never sent it a message.
func TestNextView_AddsZonesOfSeeds(t *testing.T) {
	c := newTestCluster(t, 3)
	for i, member := range c.members {
		member.options.Self.Zone = string(rune('a' + i))
		member.detector.record(member.Identity()).zone = member.options.Self.Zone
	}
	c.advance(2 * time.Second)
	zones := lo.Map(c.members[0].View().Members, func(m message.Member, _ int) string { return m.Zone })
	assert.ElementsMatch(t, []string{"a", "b", "c"}, zones)
	assert.Equal(t, message.ViewNumber(2), c.members[0].View().Number, "the zones must be added by a single view change")
}

// Four voters tolerate one loss, as three do. With three voters and a standby member, a second loss after the first
// still leaves a majority.
func TestNextView_SecondLossLeavesMajority(t *testing.T) {
	c := newTestCluster(t, 4)
	c.advance(2 * time.Second)
	require.Len(t, c.members[0].View().EffectiveVoters(), 3)
	require.Len(t, c.members[0].View().Members, 4)
	c.unreachable = []int{0}
	c.advance(2*time.Second, 0)
	require.Len(t, c.members[1].View().EffectiveVoters(), 3)
	c.unreachable = []int{0, 1}
	c.advance(2*time.Second, 0, 1)
	c.put(2, 0, testDocument(5, "x"))
	assert.Len(t, c.responses, 1)
}

// A restarted member must not be removed again because its monitors still report that it is leaving.
func TestNextView_RemovesRestartedMemberOnce(t *testing.T) {
	c := newTestCluster(t, 4)
	c.advance(2 * time.Second)
	c.members[1].SetLeaving()
	c.advance(time.Second)
	require.False(t, c.members[1].IsMember())
	c.restart(1)
	for !c.members[1].IsMember() {
		c.advance(testTick)
	}
	number := c.members[0].View().Number
	c.advance(2 * time.Second)
	assert.Equal(t, number, c.members[0].View().Number)
}

// newZonedCluster makes a cluster whose members are of the given zones. The first three are its seeds.
func newZonedCluster(t *testing.T, tolerance int, zones ...string) *testCluster {
	t.Helper()
	c := newTolerantCluster(t, 3, tolerance)
	for range zones[3:] {
		index := c.addMachine(0, 1, 2)
		c.members[index].options.FirstStart = true
	}
	for i, zone := range zones {
		c.members[i].options.Self.Zone = zone
		c.members[i].detector.record(c.members[i].Identity()).zone = zone
	}
	c.advance(2 * time.Second)
	require.Len(t, c.members[0].View().Members, len(zones))
	return c
}

// addMachineToZone adds a machine with an empty disk at a new address.
func (c *testCluster) addMachineToZone(zone string) int {
	index := c.addMachine(0, 1, 2)
	c.members[index].options.Self.Zone = zone
	c.members[index].detector.record(c.members[index].Identity()).zone = zone
	return index
}

func (c *testCluster) hasVote(observer, member int) bool {
	return containsMember(c.members[observer].View().EffectiveVoters(), c.members[member].Identity())
}

// A removed member must not keep its vote while a member that was frozen is back without one, even if a newcomer of
// their zone has the vote of the frozen one. Otherwise the loss of two disks leaves two of five voters.
func TestNextView_ReturnedMemberGetsVoteOfRemovedMember(t *testing.T) {
	const frozen, removed = 0, 4
	c := newZonedCluster(t, 2, "a", "b", "c", "d", "a")
	c.advance(500*time.Millisecond, frozen)
	newcomer := c.addMachineToZone("a")
	c.advance(3*time.Second, frozen)
	require.True(t, c.hasVote(newcomer, newcomer), "the newcomer must have the vote of the frozen member")
	c.advance(3 * time.Second)
	c.unreachable = []int{removed}
	c.advance(3*time.Second, removed)
	assert.False(t, c.hasVote(newcomer, removed))
	assert.True(t, c.hasVote(newcomer, frozen))
	c.restartWithEmptyDisk(1, "second-m1")
	c.restartWithEmptyDisk(2, "second-m2")
	c.advance(4*time.Second, removed)
	c.put(newcomer, 0, testDocument(5, "x"))
	assert.Len(t, c.responses, 1, "a majority of the voters must be left")
}

// A newcomer must have the vote of the member that it replaces before that member is removed. Otherwise one more loss
// directly after the removal of two replaced members leaves no majority.
func TestNextView_NewcomerGetsVoteBeforePredecessorIsRemoved(t *testing.T) {
	c := newZonedCluster(t, 1, "a", "b", "c", "d")
	third := c.addMachineToZone("c")
	c.advance(4 * time.Second)
	fourth := c.addMachineToZone("d")
	c.advance(4 * time.Second)
	assert.False(t, c.hasVote(third, 2), "m2 was replaced")
	assert.False(t, c.hasVote(third, 3), "m3 was replaced")
	c.unreachable = []int{2, 3}
	c.advance(500*time.Millisecond, 2, 3)
	c.restartWithEmptyDisk(1, "second-m1")
	c.advance(4*time.Second, 2, 3)
	c.put(fourth, 0, testDocument(5, "x"))
	assert.Len(t, c.responses, 1, "a majority of the voters must be left")
}

// Members without votes must not suspect one another: no confirmation of the view passes between them.
func TestNextView_MembersWithoutVotesStay(t *testing.T) {
	c := newZonedCluster(t, 1, "a", "b", "c", "d")
	for _, zone := range []string{"a", "b", "c", "d"} {
		c.addMachineToZone(zone)
		c.advance(3 * time.Second)
	}
	view := c.members[0].View()
	require.Len(t, view.Members, 8)
	require.Len(t, view.EffectiveVoters(), 3)
	c.advance(10 * time.Second)
	assert.Equal(t, view.Number, c.members[0].View().Number)
}
