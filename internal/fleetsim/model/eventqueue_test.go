package model

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestEventQueue_Order compares the queue with a sorted list. Times are near and far, many events share a microsecond,
// and pushes and pops alternate. Events of the same time must be popped in the order in which they were pushed.
func TestEventQueue_Order(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newEventQueue()
		var want []event
		now, n := Time(0), uint64(0)
		spans := rapid.SampledFrom([]Time{0, 1, 500, 1 << bucketBits, 1 << 20, 1 << bucketBits * ringSize, 1 << 40})
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if len(want) == 0 || rapid.Bool().Draw(t, "push") {
				n++
				e := event{at: now + spans.Draw(t, "span") + Time(rapid.IntRange(0, 3).Draw(t, "more")), id: n}
				q.push(e)
				want = append(want, e)
				slices.SortStableFunc(want, func(a, b event) int { return cmp.Compare(a.at, b.at) })
				continue
			}
			got, ok := q.pop()
			if !ok || got.id != want[0].id {
				t.Fatalf("popped %v (%v), want %v", got, ok, want[0])
			}
			now, want = got.at, want[1:]
		}
		for _, e := range want {
			if got, ok := q.pop(); !ok || got.id != e.id {
				t.Fatalf("popped %v (%v), want %v", got, ok, e)
			}
		}
		if _, ok := q.pop(); ok || q.size != 0 {
			t.Fatalf("the queue is not empty: %d", q.size)
		}
	})
}
