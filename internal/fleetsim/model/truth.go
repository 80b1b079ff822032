package model

import (
	"math"
)

// Oracle is what no real decider can see: the true state of the servers. It is the upper bound's.
type Oracle struct{ sim *simulation }

// Servers is how many servers there have been.
func (t *Oracle) Servers() int { return len(t.sim.servers) }

// ID and Zone are of the server at a place from 0.
func (t *Oracle) ID(n int) uint32 { return t.sim.servers[n].id }

func (t *Oracle) Zone(n int) uint8 { return t.sim.servers[n].zone }

// Index is where the server of an id stands; -1: nowhere.
func (t *Oracle) Index(id uint32) int {
	if s := t.sim.findServer(id); s != nil {
		return int(s.index)
	}
	return -1
}

// Expected is how long the server would take for the given work, in microseconds, if nothing else came, and how many
// requests it would then hold for each core, with those on their way. Infinite where the work would not be done.
func (t *Oracle) Expected(n int, work Time) (took, held float64) {
	s, r := t.sim.servers[n], t.sim
	if s.state != stateUp || s.hangs > 0 || s.errorRate > 0.2 || len(s.slots) >= s.instanceType.Slots && len(s.queue)-s.head >= s.instanceType.QueueCapacity {
		return math.Inf(1), math.Inf(1)
	}
	holds := float64(len(s.slots)+len(s.queue)-s.head) + math.Max(0, s.workInTransit/r.scenario.meanWork()) + 1
	rate := s.speed * r.warmth(s) * (1 - s.stolenShare) * (1 - s.slowdown)
	if over := holds - float64(s.instanceType.Knee); over > 0 {
		rate /= 1 + s.instanceType.Crowding*over
	}
	held = holds / float64(s.instanceType.Cores)
	return float64(work) / rate * math.Max(1, held), held
}

// QueueCapacity is how much more work a cold server can be sent now before it falls over, in microseconds; infinite for others.
func (t *Oracle) WarmupHeadroom(n int) float64 {
	s, r := t.sim.servers[n], t.sim
	if !s.cold || r.scenario.Overload.Factor == 0 {
		return math.Inf(1)
	}
	return r.scenario.Overload.Factor*s.warmCapacity()*r.warmth(s)*float64(r.scenario.Overload.Window) -
		s.arrivedWork.add(r.now, Time(r.scenario.Overload.Window), 0) - s.workInTransit
}
