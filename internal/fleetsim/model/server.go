package model

import (
	"math"
	"slices"

	"pumiceline/internal/standalone/policy"
)

type serverState uint8

const (
	stateUp serverState = iota
	stateDraining
	stateDown
)

// server is the state of one server. After a restart, the new process has the same id.
//
// The model is processor sharing: each request in a slot gets the same rate, at most one core. virtualTime is that of
// Parekh and Gallager's fluid model (generalized processor sharing, 1993): the work that a request would have received
// if it had been in a slot since the start. A request is completed when virtualTime passes its finish. A change of the
// rate therefore needs no update of the requests.
type server struct {
	index             int32
	id                uint32
	zone              uint8
	cell              uint16
	instanceTypeIndex int32
	instanceType      *InstanceType
	speed             float64 // of a core, in standard cores
	state             serverState
	generation        int32 // counts the processes of this id
	connections       int

	startedAt         Time // 0: before the run
	cold              bool
	warmupWork        float64    // completed since the start
	arrivedWork       workWindow // work that has arrived within Overload.Window
	willBeReplaced    bool       // a successor starts when the process ends
	successorHasNewID bool

	// Effects of faults.
	hangs       int     // number of hang faults in force
	stolenShare float64 // share of its capacity that another program uses
	slowdown    float64 // share of its speed that it has lost
	errorRate   float64 // share of requests that fail at once
	reportDelay Time

	pauses   int             // in progress
	keyCache map[uint64]Time // time of the last use of each cached key

	virtualTime    float64
	virtualTimeAt  Time    // up to which virtualTime is accounted for
	ratePerRequest float64 // work per microsecond
	nextWakeup     Time    // of the scheduled evServerProgress; 0: none
	slots          slotHeap
	queue          attemptQueue
	workInTransit  float64 // sent and not yet arrived; visible only to the oracle

	// Counts since the last refresh of its load report.
	busyTime   float64 // core-microseconds
	completed  float64 // requests
	errors     float64
	reportedAt Time
	reports    reportHistory
}

// warmCapacity returns the capacity of the warm server, in standard cores.
func (s *server) warmCapacity() float64 { return float64(s.instanceType.Cores) * s.speed }

// openRequests returns the number of requests that are executing or queued.
func (s *server) openRequests() int { return len(s.slots) + s.queue.len() }

// member returns the server's entry in discovery's list.
func (s *server) member(mode policy.Mode) policy.Member {
	return policy.Member{Server: s.id, Zone: s.zone, Cell: s.cell, InstanceType: uint16(s.instanceTypeIndex), Mode: mode,
		Size: float64(s.instanceType.Cores)}
}

func (sm *simulation) addServer(zone uint8, instanceTypeIndex int32, instanceType *InstanceType, speed float64) *server {
	index := int32(len(sm.servers))
	s := &server{index: index, id: uint32(index) ^ sm.serverIDMask, zone: zone, instanceTypeIndex: instanceTypeIndex,
		instanceType: instanceType, speed: speed}
	s.cell = sm.nextCell(zone)
	sm.servers = append(sm.servers, s)
	return s
}

// nextCell returns the cell for a server that is added to the zone. The cells of a zone are filled one after another.
// Large fleets use the number of servers in all zones, because counting the servers of the zone would take too long.
func (sm *simulation) nextCell(zone uint8) uint16 {
	zones, size, count := sm.scenario.Zones, sm.scenario.CellSize, len(sm.servers)
	const countedPerZone = 64
	if count > countedPerZone*zones {
		return uint16(int(zone) + zones*(count/zones/size))
	}
	inZone := 0
	for _, s := range sm.servers {
		if s.zone == zone {
			inZone++
		}
	}
	return uint16(int(zone) + zones*(inZone/size))
}

// maxSampledLoad caps a sample of a server's load, in requests per core. Samples are used for plots only.
const maxSampledLoad = 4

// sampleLoad records the load of each server in service: requests per core, at most maxSampledLoad.
func (sm *simulation) sampleLoad() {
	sm.loadBuffer = sm.loadBuffer[:0]
	for _, s := range sm.servers {
		if s.state == stateUp {
			cores := float64(s.instanceType.Cores)
			sm.loadBuffer = append(sm.loadBuffer, math.Min(float64(s.openRequests()), maxSampledLoad*cores)/cores)
		}
	}
	slices.Sort(sm.loadBuffer)
	sm.observe(Record{Kind: LoadSampled, Load: sm.loadBuffer})
}
