package model

import "math"

// Oracle gives access to the true state of the servers, which no real policy can see. A policy that uses it serves as
// an upper bound in comparisons.
type Oracle struct{ sim *simulation }

// oracleMaxErrorRate is the error rate above which a server counts as unusable.
const oracleMaxErrorRate = 0.2

// Servers returns the number of servers, including those that are down.
func (o *Oracle) Servers() int { return len(o.sim.servers) }

// ID returns the id of the server at an index, from 0.
func (o *Oracle) ID(index int) uint32 { return o.sim.servers[index].id }

// Zone returns the zone of the server at an index, from 0.
func (o *Oracle) Zone(index int) uint8 { return o.sim.servers[index].zone }

// Index returns the index of the server with an id, or -1 if there is none.
func (o *Oracle) Index(id uint32) int {
	if s := o.sim.findServer(id); s != nil {
		return int(s.index)
	}
	return -1
}

// Expectation predicts how a server would execute a request that is sent to it now.
type Expectation struct {
	Time            float64 // in microseconds to completion if no other request arrives; +Inf: it would not complete
	RequestsPerCore float64 // of the server with this request, including those in transit
}

// Expected predicts how the server at an index would execute a request with the given work.
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

// WarmupHeadroom returns how much more work, in microseconds, can be sent now to the cold server at an index before it
// crashes, not counting SlackRequests. It returns +Inf for other servers, and if servers do not crash from overload.
func (o *Oracle) WarmupHeadroom(index int) float64 {
	sm := o.sim
	s, overload := sm.servers[index], &sm.scenario.Overload
	if !s.cold || overload.Factor == 0 {
		return math.Inf(1)
	}
	return overload.Factor*s.warmCapacity()*sm.warmth(s)*float64(overload.Window) -
		s.arrivedWork.add(sm.now, Time(overload.Window), 0) - s.workInTransit
}
