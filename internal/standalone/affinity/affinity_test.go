package affinity

import (
	"math"
	"slices"
	"testing"
)

const testKeys = 20_000

// homesOf returns the homes of all test keys after the table's members are replaced.
func homesOf(table *Table, members []Member) (homes [testKeys][2]uint32) {
	table.SetMembers(members)
	for k := range homes {
		homes[k], _ = table.Homes(uint64(k))
	}
	return homes
}

func testMembers(n int) (members []Member) {
	for i := range n {
		members = append(members, Member{ID: uint32(1000 + 17*i), Weight: []float64{3, 4, 1.5}[i%3]})
	}
	return members
}

// Each server is the first home of a share of the keys that is proportional to its weight.
func TestHomes_FollowWeights(t *testing.T) {
	for _, n := range []int{3, 12, 200} {
		members := testMembers(n)
		counts, totalWeight := map[uint32]float64{}, 0.0
		for _, h := range homesOf(&Table{}, members) {
			counts[h[0]]++
		}
		for _, m := range members {
			totalWeight += m.Weight
		}
		for _, m := range members {
			if want := testKeys * m.Weight / totalWeight; math.Abs(counts[m.ID]/want-1) > 5/math.Sqrt(want) {
				t.Errorf("%d members: %d has %.2f times its share", n, m.ID, counts[m.ID]/want)
			}
		}
	}
}

// When a server leaves, only its own keys move, each to its second home.
func TestHomes_MoveOnlyKeysOfLeavingServer(t *testing.T) {
	for _, n := range []int{3, 12, 200} {
		members := testMembers(n)
		left := members[n/2]
		with := homesOf(&Table{}, members)
		without := homesOf(&Table{}, slices.Concat(members[:n/2], members[n/2+1:]))
		for k, h := range with {
			want := h[0]
			if want == left.ID {
				want = h[1]
			}
			if h[0] == h[1] || without[k][0] != want {
				t.Fatalf("%d members: key %d has homes %v, without %d %v", n, k, h, left.ID, without[k])
			}
		}
	}
}

// The homes depend only on the current members: not on their order, nor on the members that the table had before, also
// when the version counter overflows in between.
func TestHomes_DependOnlyOnMembers(t *testing.T) {
	for _, n := range []int{3, 12, 200} {
		members := testMembers(n)
		want := homesOf(&Table{}, members)
		reversed, changed := slices.Clone(members), &Table{version: math.MaxUint32 - 2}
		slices.Reverse(reversed)
		for _, list := range [][]Member{testMembers(300), members[:1], nil, reversed} {
			if got := homesOf(changed, list); len(list) == n && got != want {
				t.Errorf("%d members: the homes differ after other members and in reversed order", n)
			}
		}
	}
}

func TestHomes_IgnoreMembersWithImplausibleWeight(t *testing.T) {
	for weight, want := range map[float64]bool{0: false, math.NaN(): false, math.Inf(1): false, -2: false, 1: true} {
		var table Table
		table.SetMembers([]Member{{5, weight}, {6, 0}})
		if homes, ok := table.Homes(7); ok != want || ok && homes != [2]uint32{5, 5} {
			t.Errorf("weight %v: homes %v, %v", weight, homes, ok)
		}
	}
}

func BenchmarkHomes(b *testing.B) {
	var table Table
	table.SetMembers(testMembers(12))
	for k := range uint64(b.N) {
		table.Homes(k % testKeys)
	}
}
