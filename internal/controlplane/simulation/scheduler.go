package simulation

import (
	"container/heap"
	"time"
)

// scheduler is the simulated clock with the scheduled events. Events of the same time run in the order in which they
// were scheduled.
type scheduler struct {
	now      time.Duration // since the start of the run
	events   eventQueue
	sequence uint64
}

// after schedules an event.
func (s *scheduler) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now + delay, sequence: s.sequence, run: run})
}

// runUntil runs all events up to a time and sets the clock to it.
func (s *scheduler) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue is a heap with the next event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
