// Package edf holds an earliest-deadline-first queue of what waits for its turn. It is pure, and decides nothing but the order.
package edf

import "container/heap"

// Turn is embedded by what waits in a Queue. Change Due of one that waits only with Fix to follow.
type Turn[T any] struct {
	Due  float64 // any unit; the least goes first
	Tie  uint32  // among equals, the least goes first: the order must never depend on how the queue came about
	Of   *T      // whose turn it is
	slot int     // its place in the queue, from 1; 0: it is in none
}

// Waits says whether it is in a queue.
func (t *Turn[T]) Waits() bool { return t.slot > 0 }

// Queue gives out turns in the order of their deadlines. The zero Queue is empty.
type Queue[T any] struct{ all order[T] }

// Len is how many wait.
func (q *Queue[T]) Len() int { return len(q.all) }

// First is whose turn is due first. There must be one.
func (q *Queue[T]) First() *T { return q.all[0].Of }

// Soon is at most n of the turns that wait: each is due before two of the others, the first of all among them.
func (q *Queue[T]) Soon(n int) []*Turn[T] { return q.all[:min(n, len(q.all))] }

// Add lets t, which waits in no queue, wait.
func (q *Queue[T]) Add(t *Turn[T]) { heap.Push(&q.all, t) }

// Pop takes out the turn that is due first and returns whose it is. There must be one.
func (q *Queue[T]) Pop() *T { return heap.Pop(&q.all).(*Turn[T]).Of }

// Remove takes out t, which waits here.
func (q *Queue[T]) Remove(t *Turn[T]) { heap.Remove(&q.all, t.slot-1) }

// Fix puts t, which waits here and whose deadline has changed, where it belongs.
func (q *Queue[T]) Fix(t *Turn[T]) { heap.Fix(&q.all, t.slot-1) }

// order is what package heap works on.
type order[T any] []*Turn[T]

func (o order[T]) Len() int { return len(o) }

func (o order[T]) Less(i, j int) bool {
	if o[i].Due != o[j].Due {
		return o[i].Due < o[j].Due
	}
	return o[i].Tie < o[j].Tie
}

func (o order[T]) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].slot, o[j].slot = i+1, j+1
}

func (o *order[T]) Push(x any) {
	t := x.(*Turn[T])
	*o = append(*o, t)
	t.slot = len(*o)
}

func (o *order[T]) Pop() any {
	n := len(*o) - 1
	t := (*o)[n]
	(*o)[n], *o = nil, (*o)[:n]
	t.slot = 0
	return t
}
