// Package subset selects the servers that one proxy sends requests to, from the membership and the proxy's ordinal
// among its peers, without communication: deterministic aperture, as in Finagle. The servers of each zone form a ring
// of length 1, on which each server is as wide as its share of the zone's total size. The arc of the proxy with ordinal
// i starts at the fractional part of i times the golden ratio. The proxy is meant to spread its load evenly over its
// arc, so that a server at an end of the arc, which is covered only in part, gets only that part of a whole server's
// load.
//
// The multiples of an irrational number spread evenly for any run of consecutive ordinals, and also if only every
// fourth ordinal is in the zone. With n proxies and arcs of length a, each point of the ring is covered by n*a arcs;
// the deviation is at most 4, plus 2 for each tenfold of n (TestCoverageIsEven). Where servers are so wide that arcs
// are extended to cover the minimum number of servers, some servers are covered more often. The package is pure: no
// clock, no randomness, no state.
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
	Size float64 // relative capacity; if no server of a zone has a positive size, all count as equal
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

// StartPosition returns the position on each ring, from 0 to under 1, at which the arc of the proxy with this ordinal
// starts.
func StartPosition(ordinal int) float64 {
	_, fraction := math.Modf(float64(ordinal) * goldenRatio)
	return fraction
}

// ArcLength returns the length of the arc of a proxy that sends rate requests per second to a zone. The arc is so short
// that the connection to each covered server stays in use, with perServer requests per second for each, but it covers
// at least minServers servers. The length is at most 1, which covers all servers.
func ArcLength(rate, perServer float64, servers, minServers int) float64 {
	if servers <= minServers || perServer <= 0 {
		return 1
	}
	return min(1, max(float64(minServers), rate/perServer)/float64(servers))
}

// Select returns the subset of the proxy with this ordinal, zone by zone in ascending order and, within a zone, from
// the start of the arc. arc is the length of the arc, from 0 to 1; in a zone in which it covers fewer than minServers
// servers, it is extended. Select sorts servers in place; its result does not depend on their original order, so that
// proxies agree whatever the order in which each of them lists the servers.
func Select(servers []Server, ordinal int, arc float64, minServers int) []Member {
	// The servers of a cell are adjacent on the ring, so that a deduplicated request finds a second server of its cell
	// in the subset. The order of the cells on the ring, and of the servers within a cell, is by hash and does not
	// depend on the order in which they were listed.
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

// ring holds the servers of one zone.
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

// width returns the fraction of the ring that server i occupies.
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

// selectArc returns the servers that the arc from start covers, and at least minServers servers.
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
			continue // the arc starts at the end of this server, or the server has no width
		}
		covered := min(available, remaining)
		if len(members) < minServers {
			covered = available
		}
		members = append(members, Member{ID: r.servers[i].ID, Coverage: covered / r.width(i)})
		remaining = max(0, remaining-available)
	}
	if remaining > minWidth { // the arc goes around the ring and ends in the server in which it starts
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
