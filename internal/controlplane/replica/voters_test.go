package replica

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

// voterCase is an input of the voter selection and its expected result. Members are named by their zone and a number:
// "a1".
type voterCase struct {
	name             string
	voters           []string
	present          []string
	leaving          []string
	newcomerAge      map[string]time.Duration // time since their first join requests
	timeSinceMessage map[string]time.Duration
	replaced         map[string]string // replaced voters, and the members that replaced them
	minVoters        int
	canGrow          bool
	want             []string
}

func namedMember(name string) message.Member {
	return message.Member{Identity: message.MemberID(name), Address: "at-" + name, Zone: name[:1]}
}

func namedMembers(names []string) []message.Member {
	return lo.Map(names, func(name string, _ int) message.Member { return namedMember(name) })
}

func (v voterCase) selection() *voterSelection {
	s := &voterSelection{
		minVoters: v.minVoters, voters: namedMembers(v.voters), present: namedMembers(v.present), canGrow: v.canGrow,
		isLeaving:        func(m message.Member) bool { return lo.Contains(v.leaving, string(m.Identity)) },
		timeSinceMessage: func(m message.Member) time.Duration { return v.timeSinceMessage[string(m.Identity)] },
		newcomerAge: func(m message.Member) (time.Duration, bool) {
			age, ok := v.newcomerAge[string(m.Identity)]
			return age, ok
		},
		canReceiveVote: func(m message.Member) bool {
			age, ok := v.newcomerAge[string(m.Identity)]
			return !ok || age >= newcomerTimeout
		},
	}
	for member, by := range v.replaced {
		replaced := message.ReplacedVoter{Member: namedMember(member), ReplacedBy: message.MemberID(by)}
		s.replaced = append(s.replaced, replaced)
	}
	return s
}

func TestVoterSelection_NextVoters(t *testing.T) {
	const justNow, longAgo = 200 * time.Millisecond, 5 * time.Second
	for _, v := range []voterCase{{
		name:   "nothing changes",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c1", "d1"}, minVoters: 3, canGrow: true,
		want: []string{"a1", "b1", "c1"},
	}, {
		name:   "the vote of a suspected member goes to a standby member",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "d1"}, minVoters: 3,
		want: []string{"a1", "b1", "d1"},
	}, {
		name:   "a suspected voter keeps its vote without a standby member",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1"}, minVoters: 3,
		want: []string{"a1", "b1", "c1"},
	}, {
		name:   "the voter with the oldest last message loses its vote first",
		voters: []string{"a1", "b1", "c1", "d1", "e1"}, present: []string{"a1", "b1", "c1", "f1"}, minVoters: 5,
		timeSinceMessage: map[string]time.Duration{"d1": time.Second, "e1": time.Minute},
		want:             []string{"a1", "b1", "c1", "d1", "f1"},
	}, {
		name:   "a newcomer replaces the lost member of its zone",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c2"}, minVoters: 3,
		newcomerAge: map[string]time.Duration{"c2": justNow},
		want:        []string{"a1", "b1", "c2"},
	}, {
		name:   "a newcomer gets no vote yet if its zone has another member, which may be about to leave",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "a2"}, minVoters: 3,
		newcomerAge: map[string]time.Duration{"a2": justNow},
		want:        []string{"a1", "b1", "c1"},
	}, {
		name:   "a newcomer that replaces a leaving member does not take the vote of a partitioned one",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "a2"}, minVoters: 3, leaving: []string{"a1"},
		newcomerAge: map[string]time.Duration{"a2": newcomerTimeout},
		want:        []string{"a2", "b1", "c1"},
	}, {
		name:   "an established newcomer replaces a suspected member rather than a restarting one",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "d2"}, minVoters: 3, leaving: []string{"a1"},
		newcomerAge: map[string]time.Duration{"d2": longAgo},
		want:        []string{"a1", "b1", "d2"},
	}, {
		name:   "only one of two newcomers gets the vote of a suspected member",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c2", "c3"}, minVoters: 3,
		newcomerAge: map[string]time.Duration{"c2": longAgo, "c3": longAgo},
		want:        []string{"a1", "b1", "c2"},
	}, {
		name:   "a partitioned member gets its vote back when the member that the newcomer replaces is leaving",
		voters: []string{"a1", "b1", "a2"}, present: []string{"b1", "a2", "a1"}, minVoters: 3, leaving: []string{"a1"},
		newcomerAge: map[string]time.Duration{"a2": longAgo}, replaced: map[string]string{"c1": "a2"},
		want: []string{"c1", "b1", "a2"},
	}, {
		name:   "a restarting newcomer keeps its vote",
		voters: []string{"a1", "b1", "c2"}, present: []string{"a1", "b1", "c2"}, minVoters: 3, leaving: []string{"c2"},
		newcomerAge: map[string]time.Duration{"c2": longAgo}, replaced: map[string]string{"d1": "c2"},
		want: []string{"a1", "b1", "c2"},
	}, {
		name:   "a restarting member keeps its vote",
		voters: []string{"a1", "b1", "d1"}, present: []string{"a1", "b1", "d1"}, minVoters: 3, leaving: []string{"a1"},
		replaced: map[string]string{"c1": "d1"},
		want:     []string{"a1", "b1", "d1"},
	}, {
		name:   "the number of voters stays odd",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c1", "d1", "e1"}, minVoters: 3, canGrow: true,
		want: []string{"a1", "b1", "c1", "d1", "e1"},
	}, {
		name:   "the number of voters does not grow while a member is late",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c1", "d1", "e1"}, minVoters: 3,
		want: []string{"a1", "b1", "c1"},
	}, {
		name:   "the number of voters is odd after a suspected voter is dropped",
		voters: []string{"a1", "b1", "c1", "d1", "e1"}, present: []string{"a1", "b1", "c1", "d1"}, minVoters: 3, canGrow: true,
		want: []string{"a1", "b1", "c1"},
	}, {
		name:   "the number of voters grows to the minimum at once",
		voters: []string{"a1"}, present: []string{"a1", "b1", "c1"}, minVoters: 3,
		want: []string{"a1", "b1", "c1"},
	}} {
		t.Run(v.name, func(t *testing.T) {
			voters := v.selection().nextVoters()
			got := lo.Map(voters, func(m message.Member, _ int) string { return string(m.Identity) })
			assert.Equal(t, v.want, got)
		})
	}
}

// A member whose address another process has is certainly gone, for example after its disk was lost. Its vote must go
// to the new process.
func TestVoterSelection_AddressHasOneVote(t *testing.T) {
	s := voterCase{voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1"}, minVoters: 3}.selection()
	wiped := message.Member{Identity: "c1 anew", Address: "at-c1", Zone: "c"}
	s.present = append(s.present, wiped)
	assert.Contains(t, s.nextVoters(), wiped)
	assert.Empty(t, s.remainingReplaced(func(message.Member) bool { return false }), "the old identity must not be kept")
}
