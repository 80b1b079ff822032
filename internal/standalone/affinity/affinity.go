// Package affinity maps affinity keys to home servers: a server that recently executed a request with the same key
// needs less work for the next one. The package is pure, and all balancers with the same list of servers agree without
// communication. Homes are found by weighted rendezvous hashing, so that a server that joins or leaves moves only its
// own keys. No state is kept by key.
package affinity

import (
	"cmp"
	"math"
	"slices"

	"pumiceline/internal/splitmix"
)

// Member is a server. It gets keys in proportion to its weight; a server whose weight is not positive and finite gets
// none.
type Member struct {
	ID     uint32
	Weight float64
}

// slotCount is the number of slots that keys are hashed to. The homes of a slot are computed on first use and kept
// until the members change. The number must not depend on the members: a balancer that had seen more members before
// would otherwise map keys differently from one that has just started.
const slotCount = 16 << 10

type slot struct {
	homes   [2]uint32
	version uint32 // Table.version for which homes were computed; 0: never
}

// Table maps keys to homes. The zero Table has no members. It is not safe for concurrent use.
type Table struct {
	members []Member
	slots   []slot // nil until the first call of Homes
	version uint32 // counts changes of members
}

// SetMembers replaces the members. IDs must not repeat.
func (t *Table) SetMembers(members []Member) {
	next := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		return !(m.Weight > 0) || math.IsInf(m.Weight, 1)
	})
	slices.SortFunc(next, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(next, t.members) {
		return
	}
	t.members = next
	t.version++
	if t.version == 0 { // overflow: slots computed 2^32 changes ago would be taken for up to date
		t.slots, t.version = nil, 1
	}
}

// Homes returns the first and second home of a key; with a single member they are the same. ok is false without
// members.
func (t *Table) Homes(key uint64) (homes [2]uint32, ok bool) {
	if len(t.members) == 0 {
		return homes, false
	}
	if t.slots == nil {
		t.slots = make([]slot, slotCount)
	}
	index := splitmix.Mix(key) % slotCount
	s := &t.slots[index]
	if s.version != t.version {
		s.homes, s.version = t.rank(index), t.version
	}
	return s.homes, true
}

// rank returns the two members with the lowest scores for a slot. A member's score is an exponential random variable
// with the member's weight as its rate, derived only from the slot and the member. So the fraction of slots in which a
// member has the lowest score is its share of the total weight.
func (t *Table) rank(slot uint64) (homes [2]uint32) {
	best := [2]float64{math.Inf(1), math.Inf(1)}
	for _, m := range t.members {
		uniform := float64(splitmix.Mix(slot^splitmix.Mix(uint64(m.ID)+1))>>11+1) / (1 << 53) // in (0, 1]
		switch score := -math.Log(uniform) / m.Weight; {
		case score < best[0]:
			homes[1], best[1] = homes[0], best[0]
			homes[0], best[0] = m.ID, score
		case score < best[1]:
			homes[1], best[1] = m.ID, score
		}
	}
	if math.IsInf(best[1], 1) {
		homes[1] = homes[0]
	}
	return homes
}
