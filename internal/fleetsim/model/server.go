package model

import (
	"math"
)

type serverState uint8

const (
	up serverState = iota
	draining
	down
)

// server is one server, and under the same id its successors.
//
// It works by processor sharing: each request in a slot gets the same rate, at most one core. v is the virtual time
// of Parekh and Gallager's fluid model, the work that a request held since the start would have got; a request is done when v
// passes its finish, so that a change of rate touches no request.
type server struct {
	n       int32
	id      uint32
	zone    uint8
	cell    uint16
	kindNo  int32
	kind    *Kind
	speed   float64
	state   serverState
	epoch   int32
	conns   int
	started Time // 0: long ago

	cold     bool
	warmWork float64 // done since the start
	pushed   tally   // work that has come within Tip.Over

	hung, paused int
	stolen       float64
	slowed       float64
	failing      float64
	late         Time
	replacing    bool // a successor is to follow
	fresh        bool // under a new id

	met map[uint64]Time // keys, and when it met them last

	v      float64
	vAt    Time
	rate   float64 // of one request
	nextAt Time
	slots  []slot  // heap by finish
	queue  []int32 // tasks waiting; head is where it begins
	head   int
	owed   float64 // work held
	coming float64 // work sent that has not come yet; deciders cannot know it

	busy     float64 // core-microseconds since the last report
	done     float64 // requests since then
	errors   float64
	reported Time
	reports  [8]reportOf
	reportN  int
}

// full is the capacity of the warm server, in standard cores.
func (s *server) full() float64 { return float64(s.kind.Cores) * s.speed }

func (r *run) addServer(zone, kindNo int32, k *Kind, speed float64) *server {
	n := int32(len(r.servers))
	s := &server{n: n, id: uint32(n) ^ r.salt, zone: uint8(zone), kindNo: kindNo, kind: k, speed: speed}
	same := 0
	for _, other := range r.servers[max(0, len(r.servers)-64*r.w.Zones):] {
		if other.zone == s.zone {
			same++
		}
	}
	s.cell = uint16(int(zone) + r.w.Zones*(same/r.w.Cell))
	if len(r.servers) > 64*r.w.Zones { // large fleets: cells by the order of coming
		s.cell = uint16(int(zone) + r.w.Zones*(int(n)/r.w.Zones/r.w.Cell))
	}
	r.servers = append(r.servers, s)
	return s
}

// sample records the use of each server that runs.
func (r *run) sample() {
	r.load = r.load[:0]
	for _, s := range r.servers {
		if s.state == up {
			r.load = append(r.load, math.Min(float64(len(s.slots)+len(s.queue)-s.head), float64(4*s.kind.Cores))/float64(s.kind.Cores))
		}
	}
	sortFloats(r.load)
	r.see(Record{Kind: Sample, Load: r.load})
}
