package replica

import (
	"net/http"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// succession is a question to the electorate: who votes next. Members are named by their zone and a number: "a1".
type succession struct {
	name      string
	voters    []string
	present   []string
	leaving   []string
	newcomers map[string]time.Duration // how long ago they asked for the first time
	silences  map[string]time.Duration
	displaced map[string]string // by whom
	least     int
	mayGrow   bool
	want      []string
}

func namedMember(name string) message.Member {
	return message.Member{Identity: message.MemberID(name), Address: "at-" + name, Zone: name[:1]}
}

func namedMembers(names []string) []message.Member {
	return lo.Map(names, func(name string, _ int) message.Member { return namedMember(name) })
}

func (s succession) electorate() *voterSelection {
	e := &voterSelection{
		minVoters: s.least, voters: namedMembers(s.voters), present: namedMembers(s.present), canGrow: s.mayGrow,
		isLeaving:        func(m message.Member) bool { return lo.Contains(s.leaving, string(m.Identity)) },
		timeSinceMessage: func(m message.Member) time.Duration { return s.silences[string(m.Identity)] },
		newcomerAge: func(m message.Member) (time.Duration, bool) {
			asked, ok := s.newcomers[string(m.Identity)]
			return asked, ok
		},
		canReceiveVote: func(m message.Member) bool {
			asked, ok := s.newcomers[string(m.Identity)]
			return !ok || asked >= newcomerTimeout
		},
	}
	for member, by := range s.displaced {
		e.replaced = append(e.replaced, message.ReplacedVoter{Member: namedMember(member), ReplacedBy: message.MemberID(by)})
	}
	return e
}

func TestWhoVotesNext(t *testing.T) {
	const justNow, longAgo = 200 * time.Millisecond, 5 * time.Second
	for _, s := range []succession{{
		name:   "nothing to do",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c1", "d1"}, least: 3, mayGrow: true,
		want: []string{"a1", "b1", "c1"},
	}, {
		name:   "a silent voter's vote goes to a member without one",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "d1"}, least: 3,
		want: []string{"a1", "b1", "d1"},
	}, {
		name:   "a silent voter keeps its vote where nobody else could have it",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1"}, least: 3,
		want: []string{"a1", "b1", "c1"},
	}, {
		name:   "the longest silent one gives its vote",
		voters: []string{"a1", "b1", "c1", "d1", "e1"}, present: []string{"a1", "b1", "c1", "f1"}, least: 5,
		silences: map[string]time.Duration{"d1": time.Second, "e1": time.Minute},
		want:     []string{"a1", "b1", "c1", "d1", "f1"},
	}, {
		name:   "a newcomer takes the place of the lost member of its zone",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c2"}, least: 3,
		newcomers: map[string]time.Duration{"c2": justNow},
		want:      []string{"a1", "b1", "c2"},
	}, {
		name:   "a newcomer to a zone with another member waits: that one may be told to stop",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "a2"}, least: 3,
		newcomers: map[string]time.Duration{"a2": justNow},
		want:      []string{"a1", "b1", "c1"},
	}, {
		name:   "a newcomer that came for a member that leaves does not take a cut one's vote",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "a2"}, least: 3, leaving: []string{"a1"},
		newcomers: map[string]time.Duration{"a2": newcomerTimeout},
		want:      []string{"a2", "b1", "c1"},
	}, {
		name:   "one that has asked for long came for a silent member, not for one that is restarted now",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "d2"}, least: 3, leaving: []string{"a1"},
		newcomers: map[string]time.Duration{"d2": longAgo},
		want:      []string{"a1", "b1", "d2"},
	}, {
		name:   "two newcomers never get one vote, nor one two",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c2", "c3"}, least: 3,
		newcomers: map[string]time.Duration{"c2": longAgo, "c3": longAgo},
		want:      []string{"a1", "b1", "c2"},
	}, {
		name:   "the vote of a cut member comes back when the one leaves for which the newcomer came",
		voters: []string{"a1", "b1", "a2"}, present: []string{"b1", "a2", "a1"}, least: 3, leaving: []string{"a1"},
		newcomers: map[string]time.Duration{"a2": longAgo}, displaced: map[string]string{"c1": "a2"},
		want: []string{"c1", "b1", "a2"},
	}, {
		name:   "a newcomer that is itself restarted gives its vote back to nobody",
		voters: []string{"a1", "b1", "c2"}, present: []string{"a1", "b1", "c2"}, least: 3, leaving: []string{"c2"},
		newcomers: map[string]time.Duration{"c2": longAgo}, displaced: map[string]string{"d1": "c2"},
		want: []string{"a1", "b1", "c2"},
	}, {
		name:   "a member that is only restarted keeps its vote",
		voters: []string{"a1", "b1", "d1"}, present: []string{"a1", "b1", "d1"}, least: 3, leaving: []string{"a1"},
		displaced: map[string]string{"c1": "d1"},
		want:      []string{"a1", "b1", "d1"},
	}, {
		name:   "the number of voters stays odd",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c1", "d1", "e1"}, least: 3, mayGrow: true,
		want: []string{"a1", "b1", "c1", "d1", "e1"},
	}, {
		name:   "it does not grow while somebody is in doubt",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c1", "d1", "e1"}, least: 3,
		want: []string{"a1", "b1", "c1"},
	}, {
		name:   "it becomes odd again when a silent voter is dropped",
		voters: []string{"a1", "b1", "c1", "d1", "e1"}, present: []string{"a1", "b1", "c1", "d1"}, least: 3, mayGrow: true,
		want: []string{"a1", "b1", "c1"},
	}, {
		name:   "it grows to the least at once",
		voters: []string{"a1"}, present: []string{"a1", "b1", "c1"}, least: 3,
		want: []string{"a1", "b1", "c1"},
	}} {
		got := lo.Map(s.electorate().nextVoters(), func(m message.Member, _ int) string { return string(m.Identity) })
		assert.Equal(t, s.want, got, s.name)
	}
}

// The zones of the seeds follow from no setting; a member that restarts must know them though it never heard a lost one.
func TestTheFirstViewsTellTheZones(t *testing.T) {
	g := newGroup(t, 3)
	for i, member := range g.members {
		member.options.Self.Zone = string(rune('a' + i))
		member.detector.record(member.Identity()).zone = member.options.Self.Zone
	}
	g.tick(2 * time.Second)
	zones := lo.Map(g.members[0].View().Members, func(m message.Member, _ int) string { return m.Zone })
	assert.ElementsMatch(t, []string{"a", "b", "c"}, zones)
	assert.Equal(t, message.ViewNumber(2), g.members[0].View().Number, "once is enough")
}

// A member of a lost disk or of another process at its address is gone for certain.
func TestAnAddressHasOneVote(t *testing.T) {
	e := succession{voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1"}, least: 3}.electorate()
	wiped := message.Member{Identity: "c1 anew", Address: "at-c1", Zone: "c"}
	e.present = append(e.present, wiped)
	assert.Contains(t, e.nextVoters(), wiped)
	assert.Empty(t, e.remainingReplaced(func(message.Member) bool { return false }), "nobody waits for the old one")
}

// Four voters bear one loss, as three do; with the fourth member as a spare a second loss after the first leaves a majority.
func TestASecondLossLeavesAMajority(t *testing.T) {
	g := newGroup(t, 4)
	g.tick(2 * time.Second)
	require.Len(t, g.members[0].View().EffectiveVoters(), 3)
	require.Len(t, g.members[0].View().Members, 4)
	g.absent = []int{0}
	g.tick(2*time.Second, 0)
	require.Len(t, g.members[1].View().EffectiveVoters(), 3)
	g.absent = []int{0, 1}
	g.tick(2*time.Second, 0, 1)
	g.call(2, http.MethodPut, "0", "\x05x")
	assert.Len(t, g.results, 1)
}

// A member that was cut off came back to find all machines gone that it knew, and the head that would have told it of the
// view was lost: it held the vote that the others needed.
func TestWhoComesFirstTellsAbsentVoters(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(2 * time.Second)
	g.absent = []int{0}
	g.tick(2*time.Second, 0) // m0 is cut off
	fresh := g.add(0, 1, 2)
	g.tick(500*time.Millisecond, 0)
	g.members[2].SetLeaving()
	g.tick(3*time.Second, 0)
	require.True(t, g.members[fresh].IsSynced())
	require.True(t, containsMember(g.members[fresh].View().EffectiveVoters(), "seed-m0"), "it came for m2, so m0 has its vote")
	g.absent = []int{1, 2} // m2 has left and the head is lost; m0 is back
	g.tick(6*time.Second, 1, 2)
	assert.True(t, g.members[0].IsSynced())
	assert.Equal(t, g.members[fresh].View().Number, g.members[0].View().Number)
}

// A member that was told to stop while its request to join was under way ended, and was admitted after it.
func TestALeaverWaitsForItsRequestsToJoin(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(2 * time.Second)
	fresh := g.add(0, 1, 2)
	g.tick(200 * time.Millisecond)
	g.members[fresh].SetLeaving()
	assert.False(t, g.members[fresh].CanStop())
	g.lost = func(m *message.Message) bool { return m.JoinRequest != nil && m.JoinRequest.Withdrawn } // it is not heard that it goes
	g.tick(joinRequestTimeout)
	assert.False(t, g.members[fresh].CanStop())
	g.tick(withdrawalTimeout)
	assert.True(t, g.members[fresh].CanStop())
	assert.False(t, containsMember(membersAndVoters(g.members[0].View()), g.members[fresh].Identity()))
}

// What it has asked for is void as soon as it is heard that it goes.
func TestAWithdrawnRequestAdmitsNobody(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(2 * time.Second)
	fresh := g.add(0, 1, 2)
	g.tick(newcomerTimeout - 400*time.Millisecond)
	require.NotEmpty(t, g.members[0].detector.joinRequests)
	g.members[fresh].SetLeaving()
	g.tick(2 * heartbeatInterval)
	assert.Empty(t, g.members[0].detector.joinRequests)
}

// A process that stood still found every machine alive, the lost ones too, and moved votes to them at once.
func TestWhoStoodStillDoesNotProposeAtOnce(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(2 * time.Second)
	head := g.members[0]
	require.True(t, head.canPropose())
	head.Tick(g.now + 3*time.Second)
	assert.False(t, head.canPropose())
	for at := time.Duration(0); at <= suspicionTimeout; at += 50 * time.Millisecond {
		head.Tick(g.now + 3*time.Second + at)
	}
	assert.True(t, head.canPropose())
}

// A member without a vote heard of no renewals, stood for the lease that another held, and took a grantor from it.
func TestWhoHasNoVoteHearsOfTheHolder(t *testing.T) {
	g := newGroup(t, 4)
	g.tick(2 * time.Second)
	spare, _ := lo.Find(g.members, func(r *Replica) bool { return !r.isVoter() })
	require.NotNil(t, spare)
	renewal := &message.LeaseRequest{Token: 1, RequestID: 1, Renewal: true}
	from := g.members[0]
	require.NotEqual(t, from, spare)
	g.tick(3*time.Second, 3) // the spare, the last of them, would stand now
	spare.Step(g.now, &message.Message{From: from.Identity(), To: spare.Identity(), View: spare.View().Number, LeaseRequest: renewal})
	assert.False(t, spare.canRequestLease())
	assert.Equal(t, g.now, spare.lease.renewalSeenAt)
}

// What a member had said before it was started again took it out once more: the monitors went on reporting that it leaves.
func TestARestartedMemberIsTakenOutOnce(t *testing.T) {
	g := newGroup(t, 4)
	g.tick(2 * time.Second)
	g.members[1].SetLeaving()
	g.tick(time.Second)
	require.False(t, g.members[1].IsMember())
	options := g.members[1].options
	options.FirstStart = false
	g.members[1] = New(options, accept, g.now, g.members[1].control, g.members[1].chain)
	for !g.members[1].IsMember() {
		g.tick(50 * time.Millisecond)
	}
	number := g.members[0].View().Number
	g.tick(2 * time.Second)
	assert.Equal(t, number, g.members[0].View().Number)
}

// A member that the head does not hear was admitted on the word of others, and taken out again, for as long as that lasted.
func TestAJoinerThatTheHeadDoesNotHearIsNotAdmitted(t *testing.T) {
	g := newGroup(t, 4)
	g.tick(2 * time.Second)
	head := g.members[0].View().Members[0].Address
	g.absent = []int{3}
	g.tick(2*time.Second, 3)
	g.absent = nil
	g.lost = func(m *message.Message) bool { return m.FromAddress == address(3) && m.ToAddress == head }
	number := g.members[0].View().Number
	g.tick(3 * time.Second)
	assert.Equal(t, number, g.members[0].View().Number)
	g.lost = nil
	g.tick(3 * time.Second)
	assert.True(t, g.members[3].IsSynced())
}
