// Package edf provides an earliest-deadline-first queue, the schedule of weighted round robin. The package is pure:
// deadlines are numbers of any unit, and the queue only orders items by them.
package edf

import "container/heap"

// Item is embedded in the values that a Queue orders. It may be in one queue at a time. A caller that changes the
// deadline of a queued item must call Queue.Fix afterwards.
type Item[T any] struct {
	Deadline   float64 // the lowest comes first
	TieBreaker uint32  // orders equal deadlines, lowest first: otherwise their order would depend on earlier calls
	Value      *T      // the value that embeds the item
	position   int     // in the heap, from 1; 0: not queued
}

// IsQueued reports whether the item is in a queue.
func (i *Item[T]) IsQueued() bool { return i.position > 0 }

// Queue is a priority queue of items by deadline. The zero value is an empty queue. It is not safe for concurrent use.
type Queue[T any] struct{ heap itemHeap[T] }

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Peek returns the value with the earliest deadline. The queue must not be empty.
func (q *Queue[T]) Peek() *T { return q.heap[0].Value }

// Front returns up to n items from the front of the heap. The first has the earliest deadline. The others are not
// sorted, and not necessarily the next earliest. The slice is valid until the queue changes.
func (q *Queue[T]) Front(n int) []*Item[T] { return q.heap[:min(n, len(q.heap))] }

// Push adds an item, which must not be in a queue.
func (q *Queue[T]) Push(i *Item[T]) { heap.Push(&q.heap, i) }

// Pop removes the item with the earliest deadline and returns its value. The queue must not be empty.
func (q *Queue[T]) Pop() *T { return heap.Pop(&q.heap).(*Item[T]).Value }

// Remove removes an item, which must be in this queue.
func (q *Queue[T]) Remove(i *Item[T]) { heap.Remove(&q.heap, i.position-1) }

// Fix restores the order after the deadline of an item in this queue has changed.
func (q *Queue[T]) Fix(i *Item[T]) { heap.Fix(&q.heap, i.position-1) }

// itemHeap implements heap.Interface.
type itemHeap[T any] []*Item[T]

// Len returns the number of items.
func (h itemHeap[T]) Len() int { return len(h) }

// Less reports whether the item at i comes before that at j.
func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].TieBreaker < h[j].TieBreaker
}

// Swap swaps the items at i and j.
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i+1, j+1
}

// Push appends an item, for package heap.
func (h *itemHeap[T]) Push(x any) {
	i := x.(*Item[T])
	*h = append(*h, i)
	i.position = len(*h)
}

// Pop removes the last item, for package heap.
func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	i := (*h)[last]
	(*h)[last], *h = nil, (*h)[:last]
	i.position = 0
	return i
}
