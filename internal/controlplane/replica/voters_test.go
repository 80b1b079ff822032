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
	newcomers        []string // present machines that are admitted for the first time
	silent           []string // present members that have sent no message lately
	timeSinceMessage map[string]time.Duration
	replaced         map[string]string // replaced voters, and the members that replaced them
	replacements     [][2]string       // recorded before: the old and the new machine
	minVoters        int
	canGrow          bool
	want             []string
	wantReplacements [][2]string // after the selection; nil: those recorded before
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
		newcomers:        namedMembers(v.newcomers),
		replacements:     namedReplacements(v.replacements),
		isLeaving:        func(m message.Member) bool { return lo.Contains(v.leaving, string(m.Identity)) },
		timeSinceMessage: func(m message.Member) time.Duration { return v.timeSinceMessage[string(m.Identity)] },
		isAlive:          func(m message.Member) bool { return !lo.Contains(v.silent, string(m.Identity)) },
	}
	for member, by := range v.replaced {
		replaced := message.ReplacedVoter{Member: namedMember(member), ReplacedBy: message.MemberID(by)}
		s.replaced = append(s.replaced, replaced)
	}
	return s
}

func namedReplacements(pairs [][2]string) replacements {
	return lo.Map(pairs, func(pair [2]string, _ int) message.Replacement {
		return message.Replacement{Old: "at-" + pair[0], New: "at-" + pair[1]}
	})
}

func TestVoterSelection_NextVoters(t *testing.T) {
	for _, v := range []voterCase{{
		name:   "nothing changes",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c1", "d1"}, minVoters: 3, canGrow: true,
		want: []string{"a1", "b1", "c1"},
	}, {
		name:   "the vote of a suspected member goes to a standby member",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "d1"}, minVoters: 3,
		want: []string{"a1", "b1", "d1"},
	}, {
		name:   "the vote of a suspected member does not go to a standby member that is silent",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "d1"}, minVoters: 3, silent: []string{"d1"},
		want: []string{"a1", "b1", "c1"},
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
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c2"}, minVoters: 3, newcomers: []string{"c2"},
		want: []string{"a1", "b1", "c2"}, wantReplacements: [][2]string{{"c1", "c2"}},
	}, {
		name:   "a newcomer takes the vote of the member of its zone while that member lives",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c1", "c2"}, minVoters: 3, canGrow: true,
		newcomers: []string{"c2"},
		want:      []string{"a1", "b1", "c2"}, wantReplacements: [][2]string{{"c1", "c2"}},
	}, {
		name:   "two newcomers take the votes of the members of their zones while those live",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c1", "d1", "b2", "c2"}, minVoters: 3, canGrow: true,
		newcomers: []string{"b2", "c2"},
		want:      []string{"a1", "b2", "c2"}, wantReplacements: [][2]string{{"b1", "b2"}, {"c1", "c2"}},
	}, {
		name:   "the replacement of a member without a vote is recorded",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c1", "d1", "d2"}, minVoters: 3, canGrow: true,
		newcomers: []string{"d2"},
		want:      []string{"a1", "b1", "c1"}, wantReplacements: [][2]string{{"d1", "d2"}},
	}, {
		name:   "replaced members do not make the voters more",
		voters: []string{"a1", "b2", "c2"}, present: []string{"a1", "b1", "c1", "b2", "c2"}, minVoters: 3, canGrow: true,
		replacements: [][2]string{{"b1", "b2"}, {"c1", "c2"}},
		want:         []string{"a1", "b2", "c2"},
	}, {
		name:   "a second newcomer replaces the first one",
		voters: []string{"a1", "b1", "c2"}, present: []string{"a1", "b1", "c1", "c2", "c3"}, minVoters: 3,
		newcomers: []string{"c3"}, replacements: [][2]string{{"c1", "c2"}},
		want: []string{"a1", "b1", "c3"}, wantReplacements: [][2]string{{"c1", "c2"}, {"c2", "c3"}},
	}, {
		name:   "a newcomer replaces the lost successor of a member that still lives",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c1", "c3"}, minVoters: 3,
		newcomers: []string{"c3"}, replacements: [][2]string{{"c1", "c2"}}, replaced: map[string]string{"c2": "c1"},
		want: []string{"a1", "b1", "c3"}, wantReplacements: [][2]string{{"c1", "c2"}, {"c2", "c3"}},
	}, {
		name:   "a member is replaced as long as a later machine of its line is present",
		voters: []string{"a1", "c1", "c3"}, present: []string{"a1", "b1", "c1", "c3"}, minVoters: 3,
		replacements: [][2]string{{"c1", "c2"}, {"c2", "c3"}},
		want:         []string{"a1", "b1", "c3"},
	}, {
		name:   "of two newcomers of a zone one replaces its member",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "c2", "c3"}, minVoters: 3,
		newcomers: []string{"c2", "c3"},
		want:      []string{"a1", "b1", "c2"}, wantReplacements: [][2]string{{"c1", "c2"}},
	}, {
		name:   "a newcomer takes the vote of an absent member of its zone, where the zone has several",
		voters: []string{"a1", "a2", "b1", "c1", "d1"}, present: []string{"a2", "b1", "c1", "d1", "a3"}, minVoters: 5,
		newcomers: []string{"a3"},
		want:      []string{"a3", "a2", "b1", "c1", "d1"}, wantReplacements: [][2]string{},
	}, {
		name:   "a returned member gets the vote of one that is missing, though a newcomer of its zone has its own",
		voters: []string{"a3", "a2", "b1", "c1", "d1"}, present: []string{"b1", "c1", "d1", "a3", "a1"}, minVoters: 5,
		replaced: map[string]string{"a1": "a3"},
		want:     []string{"a3", "a1", "b1", "c1", "d1"},
	}, {
		name:   "all members vote where a newcomer may replace one of several and the number stays odd",
		voters: []string{"a1", "a2", "b1"}, present: []string{"a1", "a2", "b1", "b2", "a3"}, minVoters: 3, canGrow: true,
		newcomers: []string{"a3"},
		want:      []string{"a3", "a2", "b1", "a1", "b2"}, wantReplacements: [][2]string{},
	}, {
		name:   "a newcomer of another zone takes the vote of an absent member",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "d1"}, minVoters: 3, newcomers: []string{"d1"},
		want: []string{"a1", "b1", "d1"}, wantReplacements: [][2]string{},
	}, {
		name:   "a newcomer that replaces a leaving member does not take the vote of a partitioned one",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "a2"}, minVoters: 3, leaving: []string{"a1"},
		newcomers: []string{"a2"},
		want:      []string{"a2", "b1", "c1"}, wantReplacements: [][2]string{{"a1", "a2"}},
	}, {
		name:   "a standby member replaces a suspected member rather than a restarting one",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "d2"}, minVoters: 3, leaving: []string{"a1"},
		want: []string{"a1", "b1", "d2"},
	}, {
		name:   "a newcomer of another zone replaces a leaving member rather than a suspected one",
		voters: []string{"a1", "b1", "c1"}, present: []string{"a1", "b1", "d2"}, minVoters: 3, leaving: []string{"a1"},
		newcomers: []string{"d2"},
		want:      []string{"d2", "b1", "c1"}, wantReplacements: [][2]string{},
	}, {
		name:   "a replaced member receives the vote of an absent one if there is no other standby member",
		voters: []string{"a2", "b1", "c1"}, present: []string{"a1", "a2", "b1"}, minVoters: 3,
		replacements: [][2]string{{"a1", "a2"}},
		want:         []string{"a2", "b1", "a1"},
	}, {
		name:   "another standby member comes before a replaced one of the absent member's zone",
		voters: []string{"a2", "b1", "c1"}, present: []string{"c0", "a2", "b1", "d1", "c2"}, minVoters: 3,
		replacements: [][2]string{{"c0", "c2"}},
		want:         []string{"a2", "b1", "c2"},
	}, {
		name:   "a replaced member gives its vote back to a member that has returned",
		voters: []string{"a2", "b1", "a1"}, present: []string{"a1", "a2", "b1", "c1"}, minVoters: 3,
		replacements: [][2]string{{"a1", "a2"}}, replaced: map[string]string{"c1": "a1"},
		want: []string{"a2", "b1", "c1"},
	}, {
		name:   "a member whose successor is gone is not replaced any more",
		voters: []string{"a2", "b1", "c1"}, present: []string{"a1", "b1", "c1"}, minVoters: 3,
		replacements: [][2]string{{"a1", "a2"}},
		want:         []string{"a1", "b1", "c1"},
	}, {
		name:   "a member whose successor leaves is not replaced any more",
		voters: []string{"a2", "b1", "c1"}, present: []string{"a1", "a2", "b1", "c1"}, minVoters: 3, leaving: []string{"a2"},
		replacements: [][2]string{{"a1", "a2"}},
		want:         []string{"a1", "b1", "c1"},
	}, {
		name:   "a replaced voter is dropped where there are more voters than needed",
		voters: []string{"a1", "a2", "b1", "c1", "d1"}, present: []string{"a1", "a2", "b1", "c1", "d1"}, minVoters: 3,
		replacements: [][2]string{{"a1", "a2"}},
		want:         []string{"a2", "b1", "c1"},
	}, {
		name:   "a replaced member votes if there are too few others",
		voters: []string{"a1", "b1"}, present: []string{"a1", "a2", "b1"}, minVoters: 3, replacements: [][2]string{{"a1", "a2"}},
		want: []string{"a2", "b1", "a1"},
	}, {
		name:   "a restarting newcomer keeps its vote",
		voters: []string{"a1", "b1", "c2"}, present: []string{"a1", "b1", "c2"}, minVoters: 3, leaving: []string{"c2"},
		replaced: map[string]string{"d1": "c2"},
		want:     []string{"a1", "b1", "c2"},
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
			selection := v.selection()
			voters := selection.nextVoters()
			got := lo.Map(voters, func(m message.Member, _ int) string { return string(m.Identity) })
			assert.Equal(t, v.want, got)
			wantReplacements := v.wantReplacements
			if wantReplacements == nil {
				wantReplacements = v.replacements
			}
			assert.Equal(t, namedReplacements(wantReplacements), selection.replacements)
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
