package admission

import (
	"cmp"
	"container/heap"
	"slices"
)

// sched is start-time fair queueing over flows (Goyal, Vin, Cheng, "Start-time Fair Queueing", SIGCOMM 1996): the flow whose
// next request has the least start tag goes next. Over any time in which two flows are both backlogged, what they got,
// each divided by its weight, differs by at most the largest request of the one over its weight and that of the other over
// its. A flow that was idle joins at the present virtual time: it has hoarded nothing, and owes nothing but what its last
// request took. Schedulers are nested: a flow's next request may be what another scheduler below it says.
type sched struct {
	flows []flow
	heap  []int32 // backlogged flows by start, then by number
	v     float64 // virtual time: the start tag of what went last
	sum   float64 // of the weights of backlogged flows
	epoch uint32  // counts the times that nothing was backlogged: tags from before mean nothing
}

type flow struct {
	weight float64
	start  float64
	finish float64 // of what went last
	n      int     // requests that wait
	pos    int32
	epoch  uint32
}

func newSched(n int) sched {
	s := sched{flows: make([]flow, n)}
	for i := range s.flows {
		s.flows[i] = flow{weight: 1, pos: none}
	}
	return s
}

// min is the flow that goes next; there must be one.
func (s *sched) min() int32 { return s.heap[0] }

// push counts a request that waits in flow i.
func (s *sched) push(i int32) {
	f := &s.flows[i]
	if f.n++; f.n > 1 {
		return
	}
	if f.epoch != s.epoch {
		f.epoch, f.finish = s.epoch, 0
	}
	f.start = max(s.v, f.finish)
	s.sum += f.weight
	f.pos = int32(len(s.heap))
	s.heap = append(s.heap, i)
	heap.Fix(s, int(f.pos))
}

// served takes the next request of flow i, which has that much work, out of it.
func (s *sched) served(i int32, work float64) {
	f := &s.flows[i]
	s.v = max(s.v, f.start)
	f.finish = f.start + work/f.weight
	f.n--
	if f.n == 0 {
		s.remove(i)
	} else {
		f.start = f.finish
		heap.Fix(s, int(f.pos))
	}
	if s.v > rebaseAt {
		s.rebase()
	}
}

// cut takes a request out of flow i that does not go.
func (s *sched) cut(i int32) {
	if f := &s.flows[i]; f.n > 1 {
		f.n--
	} else {
		f.n = 0
		s.remove(i)
	}
}

func (s *sched) remove(i int32) {
	f := &s.flows[i]
	at, last := int(f.pos), len(s.heap)-1
	s.Swap(at, last)
	s.heap = s.heap[:last]
	f.pos = none
	s.sum -= f.weight
	if at < last {
		heap.Fix(s, at)
	}
	if last == 0 {
		s.v, s.sum = 0, 0
		s.epoch++
	}
}

// rebaseAt is where virtual time begins to lose fractions of a microsecond.
const rebaseAt = 1e14

func (s *sched) rebase() {
	for i := range s.flows {
		f := &s.flows[i]
		f.start, f.finish = max(0, f.start-s.v), max(0, f.finish-s.v)
	}
	s.v = 0
}

// The heap is container/heap's, of which Fix alone is used: its Push and Pop would allocate.

func (s *sched) Len() int { return len(s.heap) }
func (s *sched) Push(any) {}
func (s *sched) Pop() any { return nil }

func (s *sched) Less(a, b int) bool {
	x, y := &s.flows[s.heap[a]], &s.flows[s.heap[b]]
	return x.start < y.start || x.start == y.start && s.heap[a] < s.heap[b]
}

func (s *sched) Swap(a, b int) {
	s.heap[a], s.heap[b] = s.heap[b], s.heap[a]
	s.flows[s.heap[a]].pos, s.flows[s.heap[b]].pos = int32(a), int32(b)
}

// The door's places.

func (d *Door) grab() (int32, Ticket) {
	n := d.free
	if n == none {
		n = int32(len(d.items))
		d.items = append(d.items, item{})
	} else {
		d.free = d.items[n].next
	}
	d.items[n] = item{gen: d.items[n].gen + 1, next: none, prev: none, place: none}
	return n, d.ticket(n)
}

func (d *Door) drop(n int32) {
	d.items[n].state = free
	d.items[n].next = d.free
	d.free = n
}

func (d *Door) ticket(n int32) Ticket { return Ticket(d.items[n].gen)<<32 | Ticket(n+1) }

func (d *Door) find(t Ticket) int32 {
	n := int64(uint32(t)) - 1
	if n < 0 || n >= int64(len(d.items)) || d.items[n].gen != uint32(t>>32) || d.items[n].state == free {
		return none
	}
	return int32(n)
}

// queue puts a request into its tenant's, class's and clients' queue.
func (d *Door) queue(n int32) {
	it := &d.items[n]
	t := &d.tenants[it.tenant]
	if t.buckets == nil {
		t.buckets, t.heads = make([]sched, len(t.lanes.flows)), make([][]list, len(t.lanes.flows))
	}
	if t.heads[it.lane] == nil { // only for those that have had to wait
		t.buckets[it.lane] = newSched(d.set.Buckets)
		t.heads[it.lane] = make([]list, d.set.Buckets)
		for i := range t.heads[it.lane] {
			t.heads[it.lane][i] = list{none, none}
		}
	}
	it.state = waiting
	it.bucket = int32(mix(it.client^d.salt) % uint64(d.set.Buckets))
	l := &t.heads[it.lane][it.bucket]
	it.prev, it.next = l.tail, none
	if l.tail == none {
		l.head = n
	} else {
		d.items[l.tail].next = n
	}
	l.tail = n
	t.buckets[it.lane].push(it.bucket)
	t.lanes.push(it.lane)
	d.order.push(it.tenant)
	t.waiting++
	t.backlog += it.work
	d.waits++
	it.place = int32(len(d.ends))
	d.ends = append(d.ends, n)
	heap.Fix((*ends)(d), int(it.place))
}

// unqueue takes a request out that does not go in; unqueueServed one that does.
func (d *Door) unqueue(n int32) {
	it := &d.items[n]
	t := &d.tenants[it.tenant]
	t.buckets[it.lane].cut(it.bucket)
	t.lanes.cut(it.lane)
	d.order.cut(it.tenant)
	d.unlink(n)
}

func (d *Door) unqueueServed(n int32) {
	it := &d.items[n]
	t := &d.tenants[it.tenant]
	t.buckets[it.lane].served(it.bucket, it.work)
	t.lanes.served(it.lane, it.work)
	d.order.served(it.tenant, it.work)
	d.unlink(n)
}

func (d *Door) unlink(n int32) {
	it := &d.items[n]
	t := &d.tenants[it.tenant]
	l := &t.heads[it.lane][it.bucket]
	if it.prev == none {
		l.head = it.next
	} else {
		d.items[it.prev].next = it.next
	}
	if it.next == none {
		l.tail = it.prev
	} else {
		d.items[it.next].prev = it.prev
	}
	it.prev, it.next = none, none
	t.waiting--
	t.backlog -= it.work
	if t.waiting == 0 {
		t.backlog = 0
	}
	d.waits--
	at, last := int(it.place), len(d.ends)-1
	h := (*ends)(d)
	h.Swap(at, last)
	d.ends = d.ends[:last]
	it.place = none
	if at < last {
		heap.Fix(h, at)
	}
}

// ends is the heap of the requests that wait, by the last moment at which they may go in.
type ends Door

func (d *ends) Len() int { return len(d.ends) }
func (d *ends) Push(any) {}
func (d *ends) Pop() any { return nil }

func (d *ends) Less(a, b int) bool {
	x, y := &d.items[d.ends[a]], &d.items[d.ends[b]]
	return x.ends < y.ends || x.ends == y.ends && d.ends[a] < d.ends[b]
}

func (d *ends) Swap(a, b int) {
	d.ends[a], d.ends[b] = d.ends[b], d.ends[a]
	d.items[d.ends[a]].place, d.items[d.ends[b]].place = int32(a), int32(b)
}

func sortByArrival(items []item, places []int32) {
	slices.SortFunc(places, func(a, b int32) int {
		return cmp.Or(cmp.Compare(items[a].arrived, items[b].arrived), cmp.Compare(a, b))
	})
}

// mix scrambles a number (the finaliser of SplitMix64; Steele, Lea, Flood, OOPSLA 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
