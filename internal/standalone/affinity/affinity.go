// Package affinity says which servers a key belongs to, where a server that met a key of late does less work for it. It is pure, and
// all balancers that are told of the same servers say the same, without a word between them: a key's home is found by
// rendezvous, so that a server that goes or comes moves its own keys and no others. Nothing is kept by key.
package affinity

import (
	"cmp"
	"math"
	"slices"
)

// Member is a server. Keys are shared out by weight, which has no unit; a weight of 0 or less gets none.
type Member struct {
	ID     uint32
	Weight float64
}

// slots is how many parts the keys are shared out in. The homes of a part are worked out when it is first asked for and kept until the
// members change. It must not follow the number of members: a balancer that has seen more of them would differ from one that starts.
const slots = 16 << 10

type slot struct {
	homes [2]uint32
	since uint32 // the change of members that it was worked out after; 0: never
}

// Table tells the homes of keys. The zero Table has no members. It is not safe for concurrent use.
type Table struct {
	members []Member
	slots   []slot // nil until the first key
	changes uint32
}

// SetMembers tells which servers there are. Ids must not repeat.
func (t *Table) SetMembers(members []Member) {
	next := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !(m.Weight > 0) || math.IsInf(m.Weight, 1) })
	slices.SortFunc(next, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(next, t.members) {
		return
	}
	t.members = next
	if t.changes++; t.changes == 0 { // the count has come round: what was worked out long ago would pass for new
		t.slots, t.changes = nil, 1
	}
}

// Homes returns the servers that key belongs to: the first, and the one that takes its place. Where there is only one they are the
// same.
func (t *Table) Homes(key uint64) (homes [2]uint32, ok bool) {
	if len(t.members) == 0 {
		return homes, false
	}
	if t.slots == nil {
		t.slots = make([]slot, slots)
	}
	at := mix(key) % slots
	s := &t.slots[at]
	if s.since != t.changes {
		s.homes, s.since = t.rank(at), t.changes
	}
	return s.homes, true
}

// rank returns the two members that a slot ranks highest. Each has a number that is drawn from slot and member alone, an exponential
// variable with its weight as the rate; the least wins, which each does as often as its part of all weight.
func (t *Table) rank(at uint64) (homes [2]uint32) {
	best := [2]float64{math.Inf(1), math.Inf(1)}
	for _, m := range t.members {
		drawn := float64(mix(at^mix(uint64(m.ID)+1))>>11+1) / (1 << 53) // over 0, 1 at most
		switch v := -math.Log(drawn) / m.Weight; {
		case v < best[0]:
			homes[1], best[1] = homes[0], best[0]
			homes[0], best[0] = m.ID, v
		case v < best[1]:
			homes[1], best[1] = m.ID, v
		}
	}
	if math.IsInf(best[1], 1) {
		homes[1] = homes[0]
	}
	return homes
}

// mix scrambles a number (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
