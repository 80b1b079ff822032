package model

import "math"

// Oracle is the true state of the servers, which no real policy can see. A policy that uses it is an upper bound.
type Oracle struct{ sim *simulation }

// oracleMaxErrorRate is the error rate from which a server counts as unusable.
const oracleMaxErrorRate = 0.2

// Servers is how many servers there have been.
func (o *Oracle) Servers() int { return len(o.sim.servers) }

// ID is the id of the server of an index from 0.
func (o *Oracle) ID(index int) uint32 { return o.sim.servers[index].id }

// Zone is the zone of the server of an index from 0.
func (o *Oracle) Zone(index int) uint8 { return o.sim.servers[index].zone }

// Index is the index of the server of an id; -1: there is none.
func (o *Oracle) Index(id uint32) int {
	if s := o.sim.findServer(id); s != nil {
		return int(s.index)
	}
	return -1
}

// Expectation is how a server would do a request that it is sent now.
type Expectation struct {
	Time            float64 // in microseconds, until it is completed if nothing else arrives; infinite: it would not be
	RequestsPerCore float64 // that the server would then have, with those on their way
}

// Expected returns how the server would do the given work.
func (o *Oracle) Expected(index int, work Time) Expectation {
	sm := o.sim
	s := sm.servers[index]
	t := s.instanceType
	isFull := len(s.slots) >= t.Slots && s.queue.len() >= t.QueueCapacity
	if s.state != stateUp || s.hangs > 0 || s.errorRate > oracleMaxErrorRate || isFull {
		return Expectation{math.Inf(1), math.Inf(1)}
	}
	requests := float64(s.openRequests()) + math.Max(0, s.workInTransit/sm.scenario.MeanWork()) + 1
	rate := sm.coreRate(s)
	if crowd := requests - float64(t.Knee); crowd > 0 {
		rate /= 1 + t.Crowding*crowd
	}
	perCore := requests / float64(t.Cores)
	return Expectation{Time: float64(work) / rate * math.Max(1, perCore), RequestsPerCore: perCore}
}

// WarmupHeadroom is how much more work a cold server can be sent now before it crashes, in microseconds; infinite for
// others.
func (o *Oracle) WarmupHeadroom(index int) float64 {
	sm := o.sim
	s, overload := sm.servers[index], &sm.scenario.Overload
	if !s.cold || overload.Factor == 0 {
		return math.Inf(1)
	}
	return overload.Factor*s.warmCapacity()*sm.warmth(s)*float64(overload.Window) -
		s.arrivedWork.add(sm.now, Time(overload.Window), 0) - s.workInTransit
}
