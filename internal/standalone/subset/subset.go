// Package subset says which part of a fleet a proxy keeps to, from the list and its own number among its peers, with no talk: a
// deterministic aperture. The servers of each zone stand on a ring of length 1, each as wide as its part of the zone's size; the
// proxy of number i begins at the fractional part of i times the golden ratio, and keeps to the arc from there. Its load is spread
// evenly over the arc, so that a server at an end of it, which the arc covers in part, is meant to get that part of its load.
//
// The multiples of an irrational number spread evenly, whichever run of numbers the proxies of a zone have, or every fourth of
// them: a point of the ring is covered by the arcs of n proxies n times the arc, give or take 4 and 2 more for each tenfold of n
// (TestCover). It is pure: no clock, no randomness, no state.
package subset

import (
	"cmp"
	"math"
	"slices"
)

// Server is one that is listed.
type Server struct {
	ID   uint32
	Zone uint8
	Cell uint16
	Size float64 // compares servers' capacities; where no size is positive all are alike
}

// Member is a server that a proxy keeps to.
type Member struct {
	ID       uint32
	Coverage float64 // of the server's width that the arc covers, over 0 and at most 1
}

// golden is the golden ratio's fractional part.
const golden = 0.6180339887498949

// StartPosition is where on each ring the proxy of a number begins, from 0 to under 1.
func StartPosition(ordinal int) float64 {
	_, frac := math.Modf(float64(ordinal) * golden)
	return frac
}

// ArcLength is the length of the arc for which a proxy with a rate of requests to a zone of the given number of servers keeps each
// server's connection in use: perServer requests a second for each, and at least least servers. At most 1, which is all.
func ArcLength(rate, perServer float64, servers, least int) float64 {
	if servers <= least || perServer <= 0 {
		return 1
	}
	return min(1, max(float64(least), rate/perServer)/float64(servers))
}

// Select returns the members of the proxy of a number, ring by ring in the order of their zones, from the start of the arc on. arc is the
// part of each zone's ring, from 0 to 1; in a zone in which it holds fewer than least servers, it is longer. Servers may
// be in any order, which is changed; the same ones give the same members at every proxy.
func Select(servers []Server, ordinal int, arc float64, least int) []Member {
	slices.SortFunc(servers, func(a, b Server) int {
		// Cells stay together, so that a keyed request finds a second server of its cell; their order on the ring, and that of servers
		// within them, tells nothing of how they came.
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(mix(uint64(a.Cell)), mix(uint64(b.Cell))),
			cmp.Compare(mix(uint64(a.ID)), mix(uint64(b.ID))))
	})
	var members []Member
	for len(servers) > 0 {
		n := 1
		for n < len(servers) && servers[n].Zone == servers[0].Zone {
			n++
		}
		members = ring(members, servers[:n], StartPosition(ordinal), arc, least)
		servers = servers[n:]
	}
	return members
}

// ring appends what an arc covers of one zone's servers.
func ring(members []Member, servers []Server, start, arc float64, least int) []Member {
	total := 0.0
	for i := range servers {
		total += max(0, servers[i].Size)
	}
	width := func(i int) float64 {
		if total <= 0 {
			return 1 / float64(len(servers))
		}
		return max(0, servers[i].Size) / total
	}
	if arc >= 1 || len(servers) <= least {
		for i := range servers {
			members = append(members, Member{servers[i].ID, 1})
		}
		return members
	}
	// Where the arc begins, and how much of that server lies before it.
	at, before := 0, start
	for at < len(servers)-1 && before >= width(at) {
		before -= width(at)
		at++
	}
	left, first := arc, len(members)
	for k := 0; k < len(servers) && (left > nothing || len(members)-first < least); k++ {
		i := (at + k) % len(servers)
		room := width(i)
		if k == 0 {
			room -= before
		}
		if room <= nothing {
			continue // none of it is ahead
		}
		covered := min(room, left)
		if len(members)-first < least {
			covered = room
		}
		members = append(members, Member{servers[i].ID, covered / width(i)})
		left = max(0, left-room)
	}
	if left > nothing { // the arc ends in the server that it began in
		members[first].Coverage = min(1, members[first].Coverage+left/width(at))
	}
	return members
}

// nothing is less than any server's part of a ring.
const nothing = 1e-12

// mix is the finaliser of SplitMix64 (Steele, Lea, Flood, OOPSLA 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
