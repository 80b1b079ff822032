package admission

import "math"

// evictionVictim returns the queued request to reject in favour of the new request e when the queue is full, or noIndex
// if e is to be rejected. The victim belongs to the tenant with the most queued requests relative to its share; it is
// the last request in the longest queue of that tenant's least valuable lane. If that tenant is the tenant of e, the
// lane must be less valuable than the lane of e.
func (c *Controller) evictionVictim(e *entry) int32 {
	victim := c.mostOverShare(e)
	t := &c.tenants[victim]
	lane, value := t.lanes.leastWeight()
	if lane == noIndex || victim == e.tenant && value >= t.lanes.flows[e.lane].weight {
		return noIndex
	}
	return t.queues[lane][t.buckets[lane].longest()].tail
}

// mostOverShare returns the tenant with the most queued requests relative to its share, with the new request counted.
func (c *Controller) mostOverShare(e *entry) int32 {
	victim, most := e.tenant, c.queuedPerShare(e.tenant, 1)
	for _, i := range c.tenantOrder.heap {
		if queued := c.queuedPerShare(i, 0); i != e.tenant && queued > most {
			victim, most = i, queued
		}
	}
	return victim
}

// queuedPerShare returns the number of requests that a tenant has queued, plus additional ones, divided by its share.
func (c *Controller) queuedPerShare(tenantIndex int32, additional int) float64 {
	return float64(c.tenants[tenantIndex].queued+additional) / c.tenantOrder.flows[tenantIndex].weight
}

// leastWeight returns the backlogged flow with the lowest weight, of equals the one with the lowest number; noIndex if
// no flow is backlogged.
func (q *fairQueue) leastWeight() (flow int32, weight float64) {
	flow, weight = noIndex, math.Inf(1)
	for _, i := range q.heap {
		if w := q.flows[i].weight; w < weight || w == weight && i < flow {
			flow, weight = i, w
		}
	}
	return flow, weight
}

// longest returns the backlogged flow with the most requests, of equals the one with the lowest number.
func (q *fairQueue) longest() int32 {
	longest, most := int32(noIndex), 0
	for _, i := range q.heap {
		if queued := q.flows[i].queued; queued > most || queued == most && i < longest {
			longest, most = i, queued
		}
	}
	return longest
}
