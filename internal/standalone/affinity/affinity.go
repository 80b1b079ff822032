// Package affinity maps affinity keys to their home servers, where a server that executed a request of the same key
// recently needs less work for it. It is pure, and all balancers that know the same servers agree without
// communication: homes are found by weighted rendezvous hashing, so that a server that joins or leaves moves its own
// keys and no others. Nothing is stored by key.
package affinity

import (
	"cmp"
	"math"
	"slices"

	"pumiceline/internal/splitmix"
)

// Member is a server. It gets keys in proportion to its weight; one whose weight is not positive and finite gets none.
type Member struct {
	ID     uint32
	Weight float64
}

// slotCount is the number of parts that keys are divided into. The homes of a slot are computed on first use and kept
// until the members change. The number must not depend on the members: a balancer that has seen more of them would
// differ from one that has just started.
const slotCount = 16 << 10

type slot struct {
	homes   [2]uint32
	version uint32 // of the members for which it was computed; 0: never
}

// Table maps keys to homes. The zero Table has no members. It is not safe for concurrent use.
type Table struct {
	members []Member
	slots   []slot // nil until the first key
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
	if t.version == 0 { // overflow: slots of 2^32 changes ago would count as computed for these members
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

// rank returns the two members with the least score for a slot. The score is an exponential random variable with the
// member's weight as its rate, derived from slot and member alone; each member has the least as often as its share of
// the total weight.
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
