package admission

import (
	"container/heap"

	"pumiceline/internal/splitmix"
)

// entryList is a doubly linked list of entries, linked by next and prev. Both ends are noIndex if it is empty.
type entryList struct{ head, tail int32 }

// enqueue adds a request to its client's queue in its lane, and to admitByHeap.
func (c *Controller) enqueue(index int32) {
	e := &c.entries[index]
	t := &c.tenants[e.tenant]
	t.makeQueues(e.lane, c.settings.QueuesPerClass)
	e.state = stateQueued
	e.bucket = int32(splitmix.Mix(e.client^c.salt) % uint64(c.settings.QueuesPerClass))
	c.pushBack(&t.queues[e.lane][e.bucket], index)
	t.buckets[e.lane].push(e.bucket)
	t.lanes.push(e.lane)
	c.tenantOrder.push(e.tenant)
	t.queued++
	t.queuedWork += e.work
	c.queued++
	e.heapIndex = int32(len(c.admitByHeap))
	c.admitByHeap = append(c.admitByHeap, index)
	heap.Fix((*byAdmitBy)(c), int(e.heapIndex))
}

// makeQueues allocates the queues of a lane on its first use, as most lanes are never used.
func (t *tenant) makeQueues(lane int32, queues int) {
	if t.buckets == nil {
		t.buckets, t.queues = make([]fairQueue, len(t.lanes.flows)), make([][]entryList, len(t.lanes.flows))
	}
	if t.queues[lane] != nil {
		return
	}
	t.buckets[lane] = newFairQueue(queues)
	t.queues[lane] = make([]entryList, queues)
	for i := range t.queues[lane] {
		t.queues[lane][i] = entryList{noIndex, noIndex}
	}
}

// pushBack adds an entry at the end of a queue.
func (c *Controller) pushBack(l *entryList, index int32) {
	c.entries[index].prev, c.entries[index].next = l.tail, noIndex
	if l.tail == noIndex {
		l.head = index
	} else {
		c.entries[l.tail].next = index
	}
	l.tail = index
}

// removeFrom removes an entry from its queue.
func (c *Controller) removeFrom(l *entryList, index int32) {
	e := &c.entries[index]
	if e.prev == noIndex {
		l.head = e.next
	} else {
		c.entries[e.prev].next = e.next
	}
	if e.next == noIndex {
		l.tail = e.prev
	} else {
		c.entries[e.next].prev = e.prev
	}
	e.prev, e.next = noIndex, noIndex
}

// dequeue removes a queued request that is admitted. It must be the next request in fair order.
func (c *Controller) dequeue(index int32) {
	e := &c.entries[index]
	t := &c.tenants[e.tenant]
	t.buckets[e.lane].dequeue(e.bucket, e.work)
	t.lanes.dequeue(e.lane, e.work)
	c.tenantOrder.dequeue(e.tenant, e.work)
	c.unlink(index)
}

// removeQueued removes a queued request that is not admitted.
func (c *Controller) removeQueued(index int32) {
	e := &c.entries[index]
	t := &c.tenants[e.tenant]
	t.buckets[e.lane].discard(e.bucket)
	t.lanes.discard(e.lane)
	c.tenantOrder.discard(e.tenant)
	c.unlink(index)
}

// unlink removes a queued request from its queue and from admitByHeap.
func (c *Controller) unlink(index int32) {
	e := &c.entries[index]
	t := &c.tenants[e.tenant]
	c.removeFrom(&t.queues[e.lane][e.bucket], index)
	t.queued--
	t.queuedWork -= e.work
	if t.queued == 0 {
		t.queuedWork = 0 // rounding errors must not accumulate
	}
	c.queued--
	h := (*byAdmitBy)(c)
	at, last := int(e.heapIndex), len(c.admitByHeap)-1
	h.Swap(at, last)
	c.admitByHeap = c.admitByHeap[:last]
	e.heapIndex = noIndex
	if at < last {
		heap.Fix(h, at)
	}
}

// byAdmitBy implements heap.Interface for Controller.admitByHeap: the queued requests, ordered by the latest time at
// which they may be admitted. Only Fix of container/heap is used, since its Push and Pop would allocate.
type byAdmitBy Controller

func (h *byAdmitBy) Len() int { return len(h.admitByHeap) }
func (h *byAdmitBy) Push(any) {}
func (h *byAdmitBy) Pop() any { return nil }

func (h *byAdmitBy) Less(a, b int) bool {
	x, y := &h.entries[h.admitByHeap[a]], &h.entries[h.admitByHeap[b]]
	return x.admitBy < y.admitBy || x.admitBy == y.admitBy && h.admitByHeap[a] < h.admitByHeap[b]
}

func (h *byAdmitBy) Swap(a, b int) {
	h.admitByHeap[a], h.admitByHeap[b] = h.admitByHeap[b], h.admitByHeap[a]
	h.entries[h.admitByHeap[a]].heapIndex, h.entries[h.admitByHeap[b]].heapIndex = int32(a), int32(b)
}
