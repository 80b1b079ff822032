package engine

import (
	"container/heap"
	"context"
	"time"

	"pumiceline/internal/standalone/policy"
)

// noTimerWait is how long Run waits when no timer is set; setTimer wakes it earlier.
const noTimerWait = time.Hour

// timer is a timer that the policy has set.
type timer struct {
	due time.Time
	seq uint64 // timers due at the same time fire in the order in which they were set
	id  uint64 // the policy's ID of the timer
}

// setTimer sets a timer and wakes Run if it is the next to fire. Called with mu held.
func (e *Engine) setTimer(id uint64, after time.Duration) {
	e.timerSeq++
	heap.Push(&e.timers, timer{due: time.Now().Add(after), seq: e.timerSeq, id: id})
	if e.timers[0].seq != e.timerSeq {
		return
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run fires the policy's timers until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	alarm := time.NewTimer(noTimerWait)
	defer alarm.Stop()
	for {
		alarm.Reset(time.Until(e.fireDueTimers()))
		select {
		case <-ctx.Done():
			return
		case <-alarm.C:
		case <-e.wake:
		}
	}
}

// fireDueTimers fires the timers that are due and returns when the next one is due. A timer that the policy sets
// meanwhile fires in the next pass: otherwise a policy that sets a due timer in response to each timer would hold the
// lock forever.
func (e *Engine) fireDueTimers() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, lastSeq := time.Now(), e.timerSeq
	var postponed []timer
	for len(e.timers) > 0 && !e.timers[0].due.After(now) {
		t := heap.Pop(&e.timers).(timer)
		if t.seq > lastSeq {
			postponed = append(postponed, t)
			continue
		}
		e.dispatch(&policy.Event{Kind: policy.TimerFired, ID: t.id})
	}
	for _, t := range postponed {
		heap.Push(&e.timers, t)
	}
	if len(e.timers) == 0 {
		return now.Add(noTimerWait)
	}
	return e.timers[0].due
}

// timerQueue is a heap.Interface of timers, ordered by due, then by seq.
type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	if !q[i].due.Equal(q[j].due) {
		return q[i].due.Before(q[j].due)
	}
	return q[i].seq < q[j].seq
}

func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timerQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	return t
}
