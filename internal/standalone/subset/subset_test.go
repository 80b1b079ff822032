package subset

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawServers draws servers of one zone.
func drawServers(t *rapid.T, atLeast int) []Server {
	servers := make([]Server, rapid.IntRange(atLeast, 300).Draw(t, "servers"))
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

// widths returns the width of each server on the ring.
func widths(servers []Server) map[uint32]float64 {
	total, widths := 0.0, map[uint32]float64{}
	for _, s := range servers {
		total += s.Size
	}
	for _, s := range servers {
		if widths[s.ID] = s.Size / total; total == 0 {
			widths[s.ID] = 1 / float64(len(servers))
		}
	}
	return widths
}

// The members of a subset add up to the arc, no server is in it twice, and the order in which servers are listed makes
// no difference.
func TestSelect_CoversArc(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t, 20)
		arc, ordinal := rapid.Float64Range(0.3, 1).Draw(t, "arc"), rapid.IntRange(0, 5000).Draw(t, "ordinal")
		width, covered, seen := widths(servers), 0.0, map[uint32]bool{}
		members := Select(servers, ordinal, arc, 4)
		for _, m := range members {
			if m.Coverage <= 0 || m.Coverage > 1+1e-9 || seen[m.ID] {
				t.Fatalf("coverage out of range or repeated member: %+v", m)
			}
			seen[m.ID] = true
			covered += m.Coverage * width[m.ID]
		}
		if math.Abs(covered-arc) > 1e-6 {
			t.Fatalf("the members cover %v of the ring, want the arc of %v", covered, arc)
		}
		rand.New(rand.NewPCG(1, uint64(ordinal))).Shuffle(len(servers), func(i, j int) {
			servers[i], servers[j] = servers[j], servers[i]
		})
		if again := Select(servers, ordinal, arc, 4); !slices.Equal(members, again) {
			t.Fatalf("after shuffling the servers: %v, then %v", members, again)
		}
	})
}

// The subsets that cover a server add up to its share of all arcs, within the bound of the package comment. Where the
// servers are so wide that an arc covers fewer than minServers of them, the arc is extended: some servers are then in
// more subsets, but the extension takes no coverage from any server.
func TestCoverageIsEven(t *testing.T) {
	const minServers = 4
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t, 20)
		proxies, step := rapid.IntRange(1, 1000).Draw(t, "proxies"), rapid.IntRange(1, 8).Draw(t, "step")
		first, arc := rapid.IntRange(0, 100_000).Draw(t, "first"), rapid.Float64Range(0.25, 1).Draw(t, "arc")
		coverage := map[uint32]float64{}
		for p := range proxies {
			ordinal := first + p*step
			members := Select(servers, ordinal, arc, 1) // an arc of 0.25 is wider than any server: none is extended
			for _, m := range members {
				coverage[m.ID] += m.Coverage
			}
			checkExtension(t, members, Select(servers, ordinal, arc, minServers), minServers)
		}
		bound := 4 + 2*math.Log10(float64(proxies))
		for _, s := range servers {
			off := math.Abs(coverage[s.ID] - float64(proxies)*arc)
			if worst = max(worst, off/bound); off > bound {
				t.Fatalf("server %d is in %.2f subsets, want %.2f within %.2f", s.ID, coverage[s.ID], float64(proxies)*arc, bound)
			}
		}
	})
	t.Logf("the largest deviation is %.2f of the bound", worst)
}

// checkExtension compares members, the subset of an arc without an extension, with extended, the subset of the same arc
// with at least minServers servers.
func checkExtension(t *rapid.T, members, extended []Member, minServers int) {
	t.Helper()
	if len(members) >= minServers && !slices.Equal(members[minServers:], extended[minServers:]) {
		t.Fatalf("the arc covers %d servers, but is extended from %v to %v", len(members), members, extended)
	}
	if len(extended) < minServers {
		t.Fatalf("%d servers, want at least %d", len(extended), minServers)
	}
	for i, m := range members {
		if extended[i].ID != m.ID || extended[i].Coverage < m.Coverage {
			t.Fatalf("the extension changes %v to %v", m, extended[i])
		}
	}
}

// If one of several servers of equal size leaves, only servers at the ends of a proxy's arc change: at most 4 members.
func TestLeavingServerChangesFewMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t, 30)
		for i := range servers {
			servers[i].Size = 1
		}
		ordinal, arc := rapid.IntRange(0, 1000).Draw(t, "ordinal"), rapid.Float64Range(0.2, 0.9).Draw(t, "arc")
		before := map[uint32]bool{}
		for _, m := range Select(servers, ordinal, arc, 4) {
			before[m.ID] = true
		}
		leaving := rapid.IntRange(0, len(servers)-1).Draw(t, "leaving")
		servers = slices.Delete(servers, leaving, leaving+1)
		changed := 0
		for _, m := range Select(servers, ordinal, arc, 4) {
			if !before[m.ID] {
				changed++
			}
			delete(before, m.ID)
		}
		if changed += len(before); changed > 4 {
			t.Fatalf("%d members of a subset changed when one server left", changed)
		}
	})
}

// In a zone of at most minServers servers all are selected; without servers the subset is empty.
func TestSelect_SmallZones(t *testing.T) {
	servers := []Server{{ID: 1}, {ID: 2, Zone: 1}, {ID: 3, Zone: 1}, {ID: 4, Zone: 1}}
	if members := Select(servers, 7, 0.01, 4); len(members) != 4 || members[0] != (Member{1, 1}) ||
		members[3].Coverage != 1 {
		t.Errorf("want all servers of two small zones, got %v", members)
	}
	if members := Select(nil, 7, 0.5, 4); len(members) != 0 {
		t.Errorf("without servers: %v", members)
	}
}

// The arc grows with the rate of requests, from minServers servers up to the whole ring.
func TestArcLength(t *testing.T) {
	for _, c := range []struct {
		rate    float64
		servers int
		want    float64
	}{{13, 4, 1}, {13, 50, 0.52}, {1, 50, 0.08}, {500, 50, 1}, {0, 50, 0.08}} {
		if got := ArcLength(c.rate, 0.5, c.servers, 4); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%v requests per second, %d servers: an arc of %v, want %v", c.rate, c.servers, got, c.want)
		}
	}
}
