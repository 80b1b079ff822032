// Package subset selects the part of a fleet that a proxy keeps to, from the membership and the proxy's own number
// among its peers, without communication: deterministic aperture, as in Finagle. The servers of each zone stand on a
// ring of length 1, each as wide as its share of the zone's size; the proxy with number i begins at the fractional part
// of i times the golden ratio and keeps to the arc from there. It spreads its load evenly over the arc, so that a
// server at an end of it, which the arc covers in part, is meant to get that part of its load.
//
// The multiples of an irrational number spread evenly, whichever run of numbers the proxies of a zone have, or every
// fourth of them: a point of the ring is covered by the arcs of n proxies n times the arc's length, give or take 4 and
// 2 more for each tenfold of n (TestCoverageIsEven). Where servers are so wide that arcs are extended to cover the least
// number of them, some are covered more often. The package is pure: no clock, no randomness, no state.
package subset

import (
	"cmp"
	"math"
	"slices"

	"pumiceline/internal/splitmix"
)

// Server is one server of the membership.
type Server struct {
	ID   uint32
	Zone uint8
	Cell uint16
	Size float64 // compares capacities; where no server of a zone has a positive size, all are alike
}

// Member is a server of a proxy's subset.
type Member struct {
	ID       uint32
	Coverage float64 // fraction of the server's width that the arc covers, over 0 and at most 1
}

// goldenRatio is the fractional part of the golden ratio.
const goldenRatio = 0.6180339887498949

// minWidth is less than the width of any server on a ring: rounding errors below it are ignored.
const minWidth = 1e-12

// StartPosition is where on each ring the proxy with this number begins, from 0 to under 1.
func StartPosition(ordinal int) float64 {
	_, fraction := math.Modf(float64(ordinal) * goldenRatio)
	return fraction
}

// ArcLength is the length of the arc with which a proxy that sends rate requests per second to a zone keeps each
// server's connection in use: with perServer requests per second for each, and minServers servers at least. It is at
// most 1, which covers all.
func ArcLength(rate, perServer float64, servers, minServers int) float64 {
	if servers <= minServers || perServer <= 0 {
		return 1
	}
	return min(1, max(float64(minServers), rate/perServer)/float64(servers))
}

// Select returns the subset of the proxy with this number, ring by ring in the order of their zones, each from the
// start of the arc. arc is the length of the arc, from 0 to 1; in a zone in which it covers fewer than minServers
// servers, it is extended. The order of servers is changed; the same servers in any order give the same subset at every
// proxy.
func Select(servers []Server, ordinal int, arc float64, minServers int) []Member {
	// Cells stay together, so that a deduplicated request finds a second server of its cell. Their order on the ring,
	// and that of servers within them, does not depend on the order in which they were listed.
	slices.SortFunc(servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(splitmix.Mix(uint64(a.Cell)), splitmix.Mix(uint64(b.Cell))),
			cmp.Compare(splitmix.Mix(uint64(a.ID)), splitmix.Mix(uint64(b.ID))))
	})
	var members []Member
	for len(servers) > 0 {
		n := 1
		for n < len(servers) && servers[n].Zone == servers[0].Zone {
			n++
		}
		ring := newRing(servers[:n])
		members = append(members, ring.selectArc(StartPosition(ordinal), arc, minServers)...)
		servers = servers[n:]
	}
	return members
}

// ring is the servers of one zone.
type ring struct {
	servers   []Server
	totalSize float64
}

func newRing(servers []Server) *ring {
	r := &ring{servers: servers}
	for i := range servers {
		r.totalSize += max(0, servers[i].Size)
	}
	return r
}

// width is the part of the ring that server i has.
func (r *ring) width(i int) float64 {
	if r.totalSize <= 0 {
		return 1 / float64(len(r.servers))
	}
	return max(0, r.servers[i].Size) / r.totalSize
}

// locate returns the server at a position, and how much of its width lies before the position.
func (r *ring) locate(position float64) (index int, before float64) {
	before = position
	for index < len(r.servers)-1 && before >= r.width(index) {
		before -= r.width(index)
		index++
	}
	return index, before
}

// selectArc returns what the arc from start covers, with minServers servers at least.
func (r *ring) selectArc(start, arc float64, minServers int) []Member {
	if arc >= 1 || len(r.servers) <= minServers {
		return r.all()
	}
	var members []Member
	first, before := r.locate(start)
	remaining := arc
	for k := 0; k < len(r.servers) && (remaining > minWidth || len(members) < minServers); k++ {
		i := (first + k) % len(r.servers)
		available := r.width(i)
		if k == 0 {
			available -= before
		}
		if available <= minWidth {
			continue // all of it lies before the start
		}
		covered := min(available, remaining)
		if len(members) < minServers {
			covered = available
		}
		members = append(members, Member{ID: r.servers[i].ID, Coverage: covered / r.width(i)})
		remaining = max(0, remaining-available)
	}
	if remaining > minWidth { // the arc ends in the server that it began in
		members[0].Coverage = min(1, members[0].Coverage+remaining/r.width(first))
	}
	return members
}

// all returns all servers of the ring.
func (r *ring) all() []Member {
	members := make([]Member, 0, len(r.servers))
	for _, s := range r.servers {
		members = append(members, Member{ID: s.ID, Coverage: 1})
	}
	return members
}
