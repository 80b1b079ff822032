package subset

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// fleet draws servers of one zone.
func fleet(t *rapid.T, least int) []Server {
	servers := make([]Server, rapid.IntRange(least, 300).Draw(t, "servers"))
	sized := rapid.Bool().Draw(t, "sized")
	salt := rapid.Uint32().Draw(t, "salt")
	for i := range servers {
		servers[i] = Server{ID: salt + uint32(i)*7919, Cell: uint16(i / 6)}
		if sized {
			servers[i].Size = rapid.Float64Range(0.5, 2).Draw(t, "size")
		}
	}
	return servers
}

func widths(servers []Server) map[uint32]float64 {
	total, out := 0.0, map[uint32]float64{}
	for _, s := range servers {
		total += s.Size
	}
	for _, s := range servers {
		if out[s.ID] = s.Size / total; total == 0 {
			out[s.ID] = 1 / float64(len(servers))
		}
	}
	return out
}

// Each proxy's members make up its arc, no server stands twice, and the order in which they are listed makes no difference.
func TestMembersMakeUpTheArc(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := fleet(t, 20)
		arc, n := rapid.Float64Range(0.3, 1).Draw(t, "arc"), rapid.IntRange(0, 5000).Draw(t, "ordinal")
		wide, sum, seen := widths(servers), 0.0, map[uint32]bool{}
		members := Select(servers, n, arc, 4)
		for _, m := range members {
			if m.Coverage <= 0 || m.Coverage > 1+1e-9 || seen[m.ID] {
				t.Fatalf("member %+v", m)
			}
			seen[m.ID] = true
			sum += m.Coverage * wide[m.ID]
		}
		if math.Abs(sum-arc) > 1e-6 {
			t.Fatalf("the members make up %v of the ring, the arc is %v", sum, arc)
		}
		rand.New(rand.NewPCG(1, uint64(n))).Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
		if again := Select(servers, n, arc, 4); !slices.Equal(members, again) {
			t.Fatalf("in another order: %v, then %v", members, again)
		}
	})
}

// Cover: whichever numbers the proxies of a zone have (a run, or every k-th), each server is in equally many parts, give or take 4 and 2
// more for each tenfold of the proxies; also where neither is a multiple of the other.
func TestCover(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		servers := fleet(t, 20)
		proxies, step := rapid.IntRange(1, 1000).Draw(t, "proxies"), rapid.IntRange(1, 8).Draw(t, "step")
		begin, arc := rapid.IntRange(0, 100_000).Draw(t, "begin"), rapid.Float64Range(0.25, 1).Draw(t, "arc")
		parts := map[uint32]float64{}
		for p := range proxies {
			for _, m := range Select(servers, begin+p*step, arc, 4) {
				parts[m.ID] += m.Coverage
			}
		}
		slack := 4 + 2*math.Log10(float64(proxies))
		for _, s := range servers {
			off := math.Abs(parts[s.ID] - float64(proxies)*arc)
			if worst = max(worst, off/slack); off > slack {
				t.Fatalf("server %d is in %.2f parts, want %.2f within %.2f", s.ID, parts[s.ID], float64(proxies)*arc, slack)
			}
		}
	})
	t.Logf("at most %.2f of the bound", worst)
}

// Stability: with one server of equals less, or one proxy more, a proxy's part changes in its ends alone.
func TestOneServerMovesFew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := fleet(t, 30)
		for i := range servers {
			servers[i].Size = 1
		}
		n, arc := rapid.IntRange(0, 1000).Draw(t, "ordinal"), rapid.Float64Range(0.2, 0.9).Draw(t, "arc")
		before := map[uint32]bool{}
		for _, m := range Select(servers, n, arc, 4) {
			before[m.ID] = true
		}
		gone := rapid.IntRange(0, len(servers)-1).Draw(t, "gone")
		servers = slices.Delete(servers, gone, gone+1)
		changed := 0
		for _, m := range Select(servers, n, arc, 4) {
			if !before[m.ID] {
				changed++
			}
			delete(before, m.ID)
		}
		if changed += len(before); changed > 4 {
			t.Fatalf("%d of a part's servers changed with one", changed)
		}
	})
}

// Small zones are used whole; where none is listed there is nothing; a proxy with much to send keeps to more.
func TestSmallZonesAreUsedWhole(t *testing.T) {
	servers := []Server{{ID: 1}, {ID: 2, Zone: 1}, {ID: 3, Zone: 1}, {ID: 4, Zone: 1}}
	if members := Select(servers, 7, 0.01, 4); len(members) != 4 || members[0] != (Member{1, 1}) || members[3].Coverage != 1 {
		t.Errorf("all of two small zones: %v", members)
	}
	if members := Select(nil, 7, 0.5, 4); len(members) != 0 {
		t.Errorf("of no servers: %v", members)
	}
	for _, c := range []struct {
		rate    float64
		servers int
		want    float64
	}{{13, 4, 1}, {13, 50, 0.52}, {1, 50, 0.08}, {500, 50, 1}, {0, 50, 0.08}} {
		if got := ArcLength(c.rate, 0.5, c.servers, 4); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%v requests a second, %d servers: an arc of %v, want %v", c.rate, c.servers, got, c.want)
		}
	}
}
