package affinity

import (
	"math"
	"slices"
	"testing"
)

const keys = 20_000

func homesOf(t *testing.T, members []Member) (homes [keys][2]uint32) {
	t.Helper()
	var table Table
	table.Set(members)
	for k := range homes {
		var ok bool
		if homes[k], ok = table.Homes(uint64(k)); !ok {
			t.Fatal("a key has no home")
		}
	}
	return homes
}

func fleet(n int) (members []Member) {
	for i := range n {
		members = append(members, Member{ID: uint32(1000 + 17*i), Weight: []float64{3, 4, 1.5}[i%3]})
	}
	return members
}

func TestKeysAreSharedOutByWeight(t *testing.T) {
	for _, n := range []int{3, 12, 200} {
		members, all := fleet(n), 0.0
		got := map[uint32]float64{}
		for _, h := range homesOf(t, members) {
			got[h[0]]++
			if h[0] == h[1] {
				t.Fatalf("%d members: the same server twice", n)
			}
		}
		for _, m := range members {
			all += m.Weight
		}
		for _, m := range members {
			want := keys * m.Weight / all
			if part := got[m.ID] / want; math.Abs(part-1) > 0.1+4/math.Sqrt(perMember) {
				t.Errorf("%d members: %d has %.2f times its part", n, m.ID, part)
			}
		}
	}
}

// Balancers that learn of servers in another order agree, and one that went through changes agrees with one that starts.
func TestAllBalancersAgree(t *testing.T) {
	members := fleet(12)
	want := homesOf(t, members)
	turned := slices.Clone(members)
	slices.Reverse(turned)
	if homesOf(t, turned) != want {
		t.Error("the order of the list decides")
	}
	var table Table
	for _, list := range [][]Member{members, members[:5], nil, turned} {
		table.Set(list)
		for k := range keys {
			table.Homes(uint64(k))
		}
	}
	for k := range want {
		if got, _ := table.Homes(uint64(k)); got != want[k] {
			t.Fatalf("key %d: %v after changes, %v at a start", k, got, want[k])
		}
	}
}

// A server that goes moves only its own keys, each to what was its second home; one that comes takes only what becomes its own.
func TestAServerThatGoesOrComesMovesOnlyItsOwnKeys(t *testing.T) {
	members := fleet(12)
	with := homesOf(t, members)
	gone := members[4].ID
	without := homesOf(t, append(slices.Clone(members[:4]), members[5:]...))
	moved := 0
	for k := range with {
		switch {
		case with[k][0] != gone && without[k][0] != with[k][0]:
			t.Fatalf("key %d was at home at %d and moved", k, with[k][0])
		case with[k][0] == gone:
			if moved++; without[k][0] != with[k][1] {
				t.Fatalf("key %d went to %d, its second home was %d", k, without[k][0], with[k][1])
			}
		}
	}
	if moved == 0 {
		t.Error("no key was at home there")
	}
}

func TestFewAndOddMembers(t *testing.T) {
	var table Table
	for _, members := range [][]Member{nil, {{1, 0}}, {{1, math.NaN()}}, {{1, math.Inf(1)}}, {{1, -2}}} {
		table.Set(members)
		if h, ok := table.Homes(7); ok {
			t.Errorf("%v: home %v", members, h)
		}
	}
	table.Set([]Member{{5, 1}, {6, 0}})
	if h, ok := table.Homes(7); !ok || h != [2]uint32{5, 5} {
		t.Errorf("one member: %v", h)
	}
	table.Set(fleet(300))
	grown := len(table.slots)
	table.Set(fleet(3))
	if len(table.slots) != grown || grown < perMember*300 {
		t.Errorf("%d slots, then %d", grown, len(table.slots))
	}
	table.changes = math.MaxUint32 // the count comes round: what was worked out long ago must not pass for new
	table.Set(fleet(2))
	for k := range uint64(keys) {
		if h, _ := table.Homes(k); h[0] != 1000 && h[0] != 1017 {
			t.Fatalf("key %d: home %v", k, h)
		}
	}
}

func BenchmarkHomes(b *testing.B) {
	for _, c := range []struct {
		name    string
		members int
	}{{"12", 12}, {"1000", 1000}} {
		b.Run(c.name, func(b *testing.B) {
			var table Table
			table.Set(fleet(c.members))
			for k := range uint64(keys) {
				table.Homes(k)
			}
			for k := range uint64(b.N) {
				table.Homes(k % keys)
			}
		})
	}
}
