package model

import "math/bits"

const (
	bucketBits = 11   // a bucket holds 2^11 microseconds, about 2 ms
	ringSize   = 8192 // buckets, about 16 s
)

// eventQueue is a calendar queue (Brown, "Calendar queues", CACM 1988) in the ladder form. Events of the current bucket
// are in a heap, those of the next 16 s are unsorted in a ring of buckets, and later ones are in a second heap. An
// event within the ring's range is sorted only among the events of its own bucket (2 ms), so its cost does not grow
// with the number of pending events. The order is total: by time, then by the order of scheduling.
type eventQueue struct {
	now    []event // heap: events up to the end of the current bucket
	ring   [][]event
	used   []uint64 // bitmap of the buckets with events
	far    []event  // heap: events beyond the ring
	bucket int64
	seq    uint64
	size   int
}

func newEventQueue() *eventQueue {
	return &eventQueue{ring: make([][]event, ringSize), used: make([]uint64, ringSize/64)}
}

func (q *eventQueue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.size++
	q.put(e)
}

// put inserts an event whose sequence number is set.
func (q *eventQueue) put(e event) {
	switch k := e.at >> bucketBits; {
	case k <= q.bucket:
		heapPush(&q.now, e)
	case k < q.bucket+ringSize:
		i := k & (ringSize - 1)
		q.ring[i] = append(q.ring[i], e)
		q.used[i>>6] |= 1 << (i & 63)
	default:
		heapPush(&q.far, e)
	}
}

// pop removes and returns the earliest event. It returns false if the queue is empty.
func (q *eventQueue) pop() (event, bool) {
	for len(q.now) == 0 {
		if !q.advance() {
			return event{}, false
		}
	}
	q.size--
	return heapPop(&q.now), true
}

// advance moves to the next bucket with events.
func (q *eventQueue) advance() bool {
	next := q.nextUsed()
	if len(q.far) > 0 {
		if k := q.far[0].at >> bucketBits; next < 0 || k < next {
			next = k
		}
	}
	if next < 0 {
		return false
	}
	q.bucket = next
	for len(q.far) > 0 && q.far[0].at>>bucketBits < next+ringSize {
		q.put(heapPop(&q.far))
	}
	i := next & (ringSize - 1)
	for _, e := range q.ring[i] {
		heapPush(&q.now, e)
	}
	q.ring[i] = q.ring[i][:0]
	q.used[i>>6] &^= 1 << (i & 63)
	return true
}

// nextUsed returns the number of the first bucket in the ring, after the current one, that has events, or -1.
func (q *eventQueue) nextUsed() int64 {
	start := (q.bucket + 1) & (ringSize - 1)
	for step := int64(0); step <= ringSize/64; step++ {
		word := (start>>6 + step) & (ringSize/64 - 1)
		set := q.used[word]
		if step == 0 {
			set &= ^uint64(0) << (start & 63)
		}
		if set != 0 {
			i := word<<6 | int64(bits.TrailingZeros64(set))
			return q.bucket + 1 + (i-start)&(ringSize-1)
		}
	}
	return -1
}

// heapPush adds an event to a 4-ary heap. The children of a node share cache lines, and the heap is half as deep as a
// binary one.
func heapPush(h *[]event, e event) {
	*h = append(*h, e)
	s := *h
	i := len(s) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&s[up]) {
			break
		}
		s[i] = s[up]
		i = up
	}
	s[i] = e
}

// heapPop removes the earliest event.
func heapPop(h *[]event) event {
	s := *h
	top, n := s[0], len(s)-1
	last := s[n]
	s = s[:n]
	*h = s
	if n == 0 {
		return top
	}
	i := 0
	for {
		first := 4*i + 1
		if first >= n {
			break
		}
		least := first
		for c := first + 1; c < min(first+4, n); c++ {
			if s[c].before(&s[least]) {
				least = c
			}
		}
		if !s[least].before(&last) {
			break
		}
		s[i] = s[least]
		i = least
	}
	s[i] = last
	return top
}
