package admission

import "container/heap"

// fairQueue implements start-time fair queueing over flows (Goyal, Vin, Cheng, "Start-time Fair Queueing", SIGCOMM
// 1996): the flow whose next request has the lowest start tag is served next. Over any time in which two flows are both
// backlogged, the service that each gets, divided by its weight, differs by at most the sum of the largest request of
// each flow divided by that flow's weight. A flow that was idle joins at the present virtual time, or at the finish tag
// of its last request if that is later: it gains no credit while it is idle. Fair queues are nested: the next request
// of a flow may be the next request of a fair queue below it.
type fairQueue struct {
	flows        []flow
	heap         []int32 // backlogged flows by start tag, then by number
	virtualTime  float64 // start tag of the request that was served last
	activeWeight float64 // the sum of the weights of backlogged flows
	epoch        uint32  // counts the times that the last backlogged flow became idle: earlier tags are invalid
}

// flow is one of the flows that share a fairQueue.
type flow struct {
	weight    float64 // share of the service, relative to the weights of the other flows
	start     float64 // start tag of the next request
	finish    float64 // finish tag of the last request that was served
	queued    int     // requests; the flow is backlogged while there are any
	heapIndex int32   // in fairQueue.heap; noIndex: not backlogged
	epoch     uint32  // fairQueue.epoch at the last push
}

const (
	// minWeight replaces a weight of zero: such a flow gets next to no service while another flow is backlogged.
	minWeight = 1e-6
	// rebaseAt is the virtual time above which all tags are reduced, before float64 loses fractions of a microsecond.
	rebaseAt = 1e14
)

// positiveWeight returns x, or minWeight if x is lower.
func positiveWeight(x float64) float64 { return max(x, minWeight) }

func newFairQueue(flows int) fairQueue {
	q := fairQueue{flows: make([]flow, flows)}
	for i := range q.flows {
		q.flows[i] = flow{weight: 1, heapIndex: noIndex}
	}
	return q
}

// next returns the flow that is served next. At least one flow must be backlogged.
func (q *fairQueue) next() int32 { return q.heap[0] }

// push adds a request to flow i.
func (q *fairQueue) push(i int32) {
	f := &q.flows[i]
	f.queued++
	if f.queued > 1 {
		return
	}
	if f.epoch != q.epoch {
		f.epoch, f.finish = q.epoch, 0
	}
	f.start = max(q.virtualTime, f.finish)
	q.activeWeight += f.weight
	f.heapIndex = int32(len(q.heap))
	q.heap = append(q.heap, i)
	heap.Fix(q, int(f.heapIndex))
}

// dequeue removes the next request of flow i, which is served and has this work.
func (q *fairQueue) dequeue(i int32, work float64) {
	f := &q.flows[i]
	q.virtualTime = max(q.virtualTime, f.start)
	f.finish = f.start + work/f.weight
	f.queued--
	if f.queued == 0 {
		q.deactivate(i)
	} else {
		f.start = f.finish
		heap.Fix(q, int(f.heapIndex))
	}
	if q.virtualTime > rebaseAt {
		q.rebase()
	}
}

// discard removes a request of flow i that is not served.
func (q *fairQueue) discard(i int32) {
	f := &q.flows[i]
	f.queued--
	if f.queued == 0 {
		q.deactivate(i)
	}
}

// deactivate removes a flow without requests from the heap.
func (q *fairQueue) deactivate(i int32) {
	f := &q.flows[i]
	at, last := int(f.heapIndex), len(q.heap)-1
	q.Swap(at, last)
	q.heap = q.heap[:last]
	f.heapIndex = noIndex
	q.activeWeight -= f.weight
	if at < last {
		heap.Fix(q, at)
	}
	if last == 0 {
		q.virtualTime, q.activeWeight = 0, 0
		q.epoch++
	}
}

// rebase subtracts the virtual time from all tags, and sets it to 0.
func (q *fairQueue) rebase() {
	for i := range q.flows {
		f := &q.flows[i]
		f.start, f.finish = max(0, f.start-q.virtualTime), max(0, f.finish-q.virtualTime)
	}
	q.virtualTime = 0
}

// The methods of heap.Interface. Only Fix of container/heap is used, since its Push and Pop would allocate.

func (q *fairQueue) Len() int { return len(q.heap) }
func (q *fairQueue) Push(any) {}
func (q *fairQueue) Pop() any { return nil }

func (q *fairQueue) Less(a, b int) bool {
	x, y := &q.flows[q.heap[a]], &q.flows[q.heap[b]]
	return x.start < y.start || x.start == y.start && q.heap[a] < q.heap[b]
}

func (q *fairQueue) Swap(a, b int) {
	q.heap[a], q.heap[b] = q.heap[b], q.heap[a]
	q.flows[q.heap[a]].heapIndex, q.flows[q.heap[b]].heapIndex = int32(a), int32(b)
}
