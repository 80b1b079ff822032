package model

import (
	"math"
)

type serverState uint8

const (
	stateUp serverState = iota
	stateDraining
	stateDown
)

// server is one server, and under the same id its successors.
//
// It works by processor sharing: each request in a slot gets the same rate, at most one core. v is the virtual time
// of Parekh and Gallager's fluid model, the work that a request held since the start would have got; a request is done when v
// passes its finish, so that a change of rate touches no request.
type server struct {
	index             int32
	id                uint32
	zone              uint8
	cell              uint16
	instanceTypeIndex int32
	instanceType      *InstanceType
	speed             float64
	state             serverState
	epoch             int32
	connections       int
	started           Time // 0: long ago

	cold        bool
	warmWork    float64    // done since the start
	arrivedWork workWindow // work that has come within Tip.Over

	hangs, pauses     int
	stolenShare       float64
	slowdown          float64
	errorRate         float64
	reportDelay       Time
	replacing         bool // a successor is to follow
	successorHasNewID bool // under a new id

	keyHits map[uint64]Time // keys, and when it met them last

	virtualTime    float64
	virtualTimeAt  Time
	ratePerRequest float64 // of one request
	nextWakeup     Time
	slots          []slot  // heap by finish
	queue          []int32 // tasks waiting; head is where it begins
	head           int
	workQueued     float64 // work held
	workInTransit  float64 // work sent that has not come yet; deciders cannot know it

	busy        float64 // core-microseconds since the last report
	completed   float64 // requests since then
	errors      float64
	reportedAt  Time
	reports     [8]loadReport
	reportCount int
}

// warmCapacity is the capacity of the warm server, in standard cores.
func (s *server) warmCapacity() float64 { return float64(s.instanceType.Cores) * s.speed }

func (r *simulation) addServer(zone, kindNo int32, k *InstanceType, speed float64) *server {
	n := int32(len(r.servers))
	s := &server{index: n, id: uint32(n) ^ r.serverIDMask, zone: uint8(zone), instanceTypeIndex: kindNo, instanceType: k, speed: speed}
	same := 0
	for _, other := range r.servers[max(0, len(r.servers)-64*r.scenario.Zones):] {
		if other.zone == s.zone {
			same++
		}
	}
	s.cell = uint16(int(zone) + r.scenario.Zones*(same/r.scenario.CellSize))
	if len(r.servers) > 64*r.scenario.Zones { // large fleets: cells by the order of coming
		s.cell = uint16(int(zone) + r.scenario.Zones*(int(n)/r.scenario.Zones/r.scenario.CellSize))
	}
	r.servers = append(r.servers, s)
	return s
}

// sampleLoad records the use of each server that runs.
func (r *simulation) sampleLoad() {
	r.loadBuffer = r.loadBuffer[:0]
	for _, s := range r.servers {
		if s.state == stateUp {
			r.loadBuffer = append(r.loadBuffer, math.Min(float64(len(s.slots)+len(s.queue)-s.head), float64(4*s.instanceType.Cores))/float64(s.instanceType.Cores))
		}
	}
	sortFloats(r.loadBuffer)
	r.observe(Record{Kind: LoadSampled, Load: r.loadBuffer})
}
