// Package affinity says which servers a key belongs to, where a server that met a key of late does less work for it. It is pure, and
// all balancers that are told of the same servers say the same, without a word between them: a key's home is found by
// rendezvous, so that a server that goes or comes moves its own keys and no others. Nothing is kept by key.
package affinity

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// Member is a server. Keys are shared out by weight, which has no unit; a weight of 0 or less gets none.
type Member struct {
	ID     uint32
	Weight float64
}

// Keys are shared out in slots, whose homes are worked out when they are first asked for and kept until the members change. There
// are perMember of them for each member, so that parts come out near the weights, and no more than mostSlots.
const (
	leastSlots = 4 << 10
	perMember  = 32
	mostSlots  = 256 << 10
)

type slot struct {
	homes [2]uint32
	since uint32 // the change of members that it was worked out after; 0: never
}

// Table tells the homes of keys. The zero Table has no members. It is not safe for concurrent use.
type Table struct {
	members []Member
	slots   []slot
	changes uint32
}

// Set tells which servers there are. Ids must not repeat.
func (t *Table) Set(members []Member) {
	next := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !(m.Weight > 0) || math.IsInf(m.Weight, 1) })
	slices.SortFunc(next, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(next, t.members) {
		return
	}
	t.members = next
	// It never shrinks, or a fleet about the size of a step would have its keys move at each change.
	want := min(mostSlots, max(leastSlots, 1<<bits.Len(uint(perMember*len(next)))))
	if t.changes++; t.changes == 0 || want > len(t.slots) {
		t.slots, t.changes = make([]slot, max(want, len(t.slots))), 1
	}
}

// Homes returns the servers that key belongs to: the first, and the one that takes its place. Where there is only one they are the
// same.
func (t *Table) Homes(key uint64) (homes [2]uint32, ok bool) {
	if len(t.members) == 0 {
		return homes, false
	}
	at := mix(key) & uint64(len(t.slots)-1)
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
