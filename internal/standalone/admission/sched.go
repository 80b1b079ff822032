package admission

import (
	"cmp"
	"container/heap"
	"slices"
)

// fairQueue is start-time fair queueing over flows (Goyal, Vin, Cheng, "Start-time Fair Queueing", SIGCOMM 1996): the flow whose
// next request has the least start tag goes next. Over any time in which two flows are both backlogged, what they got,
// each divided by its weight, differs by at most the largest request of the one over its weight and that of the other over
// its. A flow that was idle joins at the present virtual time: it has hoarded nothing, and owes nothing but what its last
// request took. Schedulers are nested: a flow's next request may be what another scheduler below it says.
type fairQueue struct {
	flows        []flow
	heap         []int32 // backlogged flows by start, then by number
	virtualTime  float64 // virtual time: the start tag of what went last
	activeWeight float64 // of the weights of backlogged flows
	epoch        uint32  // counts the times that nothing was backlogged: tags from before mean nothing
}

type flow struct {
	weight    float64
	start     float64
	finish    float64 // of what went last
	queued    int     // requests that wait
	heapIndex int32
	epoch     uint32
}

func newFairQueue(n int) fairQueue {
	s := fairQueue{flows: make([]flow, n)}
	for i := range s.flows {
		s.flows[i] = flow{weight: 1, heapIndex: noIndex}
	}
	return s
}

// next is the flow that goes next; there must be one.
func (s *fairQueue) next() int32 { return s.heap[0] }

// push counts a request that waits in flow i.
func (s *fairQueue) push(i int32) {
	f := &s.flows[i]
	if f.queued++; f.queued > 1 {
		return
	}
	if f.epoch != s.epoch {
		f.epoch, f.finish = s.epoch, 0
	}
	f.start = max(s.virtualTime, f.finish)
	s.activeWeight += f.weight
	f.heapIndex = int32(len(s.heap))
	s.heap = append(s.heap, i)
	heap.Fix(s, int(f.heapIndex))
}

// dequeue takes the next request of flow i, which has that much work, out of it.
func (s *fairQueue) dequeue(i int32, work float64) {
	f := &s.flows[i]
	s.virtualTime = max(s.virtualTime, f.start)
	f.finish = f.start + work/f.weight
	f.queued--
	if f.queued == 0 {
		s.deactivate(i)
	} else {
		f.start = f.finish
		heap.Fix(s, int(f.heapIndex))
	}
	if s.virtualTime > rebaseAt {
		s.rebase()
	}
}

// discard takes a request out of flow i that does not go.
func (s *fairQueue) discard(i int32) {
	if f := &s.flows[i]; f.queued > 1 {
		f.queued--
	} else {
		f.queued = 0
		s.deactivate(i)
	}
}

func (s *fairQueue) deactivate(i int32) {
	f := &s.flows[i]
	at, last := int(f.heapIndex), len(s.heap)-1
	s.Swap(at, last)
	s.heap = s.heap[:last]
	f.heapIndex = noIndex
	s.activeWeight -= f.weight
	if at < last {
		heap.Fix(s, at)
	}
	if last == 0 {
		s.virtualTime, s.activeWeight = 0, 0
		s.epoch++
	}
}

// rebaseAt is where virtual time begins to lose fractions of a microsecond.
const rebaseAt = 1e14

func (s *fairQueue) rebase() {
	for i := range s.flows {
		f := &s.flows[i]
		f.start, f.finish = max(0, f.start-s.virtualTime), max(0, f.finish-s.virtualTime)
	}
	s.virtualTime = 0
}

// The heap is container/heap's, of which Fix alone is used: its Push and Pop would allocate.

func (s *fairQueue) Len() int { return len(s.heap) }
func (s *fairQueue) Push(any) {}
func (s *fairQueue) Pop() any { return nil }

func (s *fairQueue) Less(a, b int) bool {
	x, y := &s.flows[s.heap[a]], &s.flows[s.heap[b]]
	return x.start < y.start || x.start == y.start && s.heap[a] < s.heap[b]
}

func (s *fairQueue) Swap(a, b int) {
	s.heap[a], s.heap[b] = s.heap[b], s.heap[a]
	s.flows[s.heap[a]].heapIndex, s.flows[s.heap[b]].heapIndex = int32(a), int32(b)
}

// The door's places.

func (d *Controller) allocate() (int32, Ticket) {
	n := d.freeList
	if n == noIndex {
		n = int32(len(d.entries))
		d.entries = append(d.entries, entry{})
	} else {
		d.freeList = d.entries[n].next
	}
	d.entries[n] = entry{generation: d.entries[n].generation + 1, next: noIndex, prev: noIndex, heapIndex: noIndex}
	return n, d.ticket(n)
}

func (d *Controller) free(n int32) {
	d.entries[n].state = stateFree
	d.entries[n].next = d.freeList
	d.freeList = n
}

func (d *Controller) ticket(n int32) Ticket { return Ticket(d.entries[n].generation)<<32 | Ticket(n+1) }

func (d *Controller) lookup(t Ticket) int32 {
	n := int64(uint32(t)) - 1
	if n < 0 || n >= int64(len(d.entries)) || d.entries[n].generation != uint32(t>>32) || d.entries[n].state == stateFree {
		return noIndex
	}
	return int32(n)
}

// enqueue puts a request into its tenant's, class's and clients' queue.
func (d *Controller) enqueue(n int32) {
	it := &d.entries[n]
	t := &d.tenants[it.tenant]
	if t.buckets == nil {
		t.buckets, t.queues = make([]fairQueue, len(t.lanes.flows)), make([][]list, len(t.lanes.flows))
	}
	if t.queues[it.lane] == nil { // only for those that have had to wait
		t.buckets[it.lane] = newFairQueue(d.settings.QueuesPerClass)
		t.queues[it.lane] = make([]list, d.settings.QueuesPerClass)
		for i := range t.queues[it.lane] {
			t.queues[it.lane][i] = list{noIndex, noIndex}
		}
	}
	it.state = stateQueued
	it.bucket = int32(splitMix64(it.client^d.salt) % uint64(d.settings.QueuesPerClass))
	l := &t.queues[it.lane][it.bucket]
	it.prev, it.next = l.tail, noIndex
	if l.tail == noIndex {
		l.head = n
	} else {
		d.entries[l.tail].next = n
	}
	l.tail = n
	t.buckets[it.lane].push(it.bucket)
	t.lanes.push(it.lane)
	d.tenantOrder.push(it.tenant)
	t.queued++
	t.queuedWork += it.work
	d.queued++
	it.heapIndex = int32(len(d.admitByHeap))
	d.admitByHeap = append(d.admitByHeap, n)
	heap.Fix((*admitByHeap)(d), int(it.heapIndex))
}

// removeQueued takes a request out that does not go in; dequeue one that does.
func (d *Controller) removeQueued(n int32) {
	it := &d.entries[n]
	t := &d.tenants[it.tenant]
	t.buckets[it.lane].discard(it.bucket)
	t.lanes.discard(it.lane)
	d.tenantOrder.discard(it.tenant)
	d.unlink(n)
}

func (d *Controller) dequeue(n int32) {
	it := &d.entries[n]
	t := &d.tenants[it.tenant]
	t.buckets[it.lane].dequeue(it.bucket, it.work)
	t.lanes.dequeue(it.lane, it.work)
	d.tenantOrder.dequeue(it.tenant, it.work)
	d.unlink(n)
}

func (d *Controller) unlink(n int32) {
	it := &d.entries[n]
	t := &d.tenants[it.tenant]
	l := &t.queues[it.lane][it.bucket]
	if it.prev == noIndex {
		l.head = it.next
	} else {
		d.entries[it.prev].next = it.next
	}
	if it.next == noIndex {
		l.tail = it.prev
	} else {
		d.entries[it.next].prev = it.prev
	}
	it.prev, it.next = noIndex, noIndex
	t.queued--
	t.queuedWork -= it.work
	if t.queued == 0 {
		t.queuedWork = 0
	}
	d.queued--
	at, last := int(it.heapIndex), len(d.admitByHeap)-1
	h := (*admitByHeap)(d)
	h.Swap(at, last)
	d.admitByHeap = d.admitByHeap[:last]
	it.heapIndex = noIndex
	if at < last {
		heap.Fix(h, at)
	}
}

// admitByHeap is the heap of the requests that wait, by the last moment at which they may go in.
type admitByHeap Controller

func (d *admitByHeap) Len() int { return len(d.admitByHeap) }
func (d *admitByHeap) Push(any) {}
func (d *admitByHeap) Pop() any { return nil }

func (d *admitByHeap) Less(a, b int) bool {
	x, y := &d.entries[d.admitByHeap[a]], &d.entries[d.admitByHeap[b]]
	return x.admitBy < y.admitBy || x.admitBy == y.admitBy && d.admitByHeap[a] < d.admitByHeap[b]
}

func (d *admitByHeap) Swap(a, b int) {
	d.admitByHeap[a], d.admitByHeap[b] = d.admitByHeap[b], d.admitByHeap[a]
	d.entries[d.admitByHeap[a]].heapIndex, d.entries[d.admitByHeap[b]].heapIndex = int32(a), int32(b)
}

func sortByArrival(items []entry, places []int32) {
	slices.SortFunc(places, func(a, b int32) int {
		return cmp.Or(cmp.Compare(items[a].arrivedAt, items[b].arrivedAt), cmp.Compare(a, b))
	})
}

// splitMix64 scrambles a number (the finaliser of SplitMix64; Steele, Lea, Flood, OOPSLA 2014).
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
