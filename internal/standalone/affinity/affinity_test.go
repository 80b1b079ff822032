package affinity

import (
	"math"
	"slices"
	"testing"
)

const keys = 20_000

func homesOf(table *Table, members []Member) (homes [keys][2]uint32) {
	table.SetMembers(members)
	for k := range homes {
		homes[k], _ = table.Homes(uint64(k))
	}
	return homes
}

func fleet(n int) (members []Member) {
	for i := range n {
		members = append(members, Member{ID: uint32(1000 + 17*i), Weight: []float64{3, 4, 1.5}[i%3]})
	}
	return members
}

// Keys are shared out by weight. A server that goes moves only its own keys, to what were their second homes. Balancers that learn of
// servers in another order agree, and so does one that has known more of them, at any count of changes.
func TestHomes(t *testing.T) {
	for _, n := range []int{3, 12, 200} {
		members := fleet(n)
		with, got, all := homesOf(&Table{}, members), map[uint32]float64{}, 0.0
		for _, m := range members {
			all += m.Weight
		}
		gone := members[n/2]
		without := homesOf(&Table{}, slices.Concat(members[:n/2], members[n/2+1:]))
		for k, h := range with {
			got[h[0]]++
			stays := h[0]
			if stays == gone.ID {
				stays = h[1]
			}
			if h[0] == h[1] || without[k][0] != stays {
				t.Fatalf("%d members: key %d has homes %v, without %d %v", n, k, h, gone.ID, without[k])
			}
		}
		for _, m := range members {
			if want := keys * m.Weight / all; math.Abs(got[m.ID]/want-1) > 5/math.Sqrt(want) {
				t.Errorf("%d members: %d has %.2f times its part", n, m.ID, got[m.ID]/want)
			}
		}
		turned, lived := slices.Clone(members), &Table{changes: math.MaxUint32 - 2}
		slices.Reverse(turned)
		for _, list := range [][]Member{fleet(300), members[:1], nil, turned} {
			if got := homesOf(lived, list); len(list) == n && got != with {
				t.Errorf("%d members: another order and other members before make other homes", n)
			}
		}
	}
}

func TestOddMembers(t *testing.T) {
	for weight, want := range map[float64]bool{0: false, math.NaN(): false, math.Inf(1): false, -2: false, 1: true} {
		var table Table
		table.SetMembers([]Member{{5, weight}, {6, 0}})
		if h, ok := table.Homes(7); ok != want || ok && h != [2]uint32{5, 5} {
			t.Errorf("weight %v: home %v, %v", weight, h, ok)
		}
	}
}

func BenchmarkHomes(b *testing.B) {
	var table Table
	table.SetMembers(fleet(12))
	for k := range uint64(b.N) {
		table.Homes(k % keys)
	}
}
