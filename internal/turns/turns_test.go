package turns

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// The queue against a plain search, through additions, removals and changed deadlines, many of them equal.
func TestOrder(t *testing.T) {
	type waiter struct{ Turn[waiter] }
	r := rand.New(rand.NewPCG(1, 2))
	var q Queue[waiter]
	var all []*waiter
	for i := range 3000 {
		n := r.IntN(len(all) + 1)
		switch op := r.IntN(4); {
		case op == 0 || n == len(all):
			w := &waiter{}
			w.Due, w.Tie, w.Of = float64(r.IntN(20)), uint32(i), w
			q.Add(&w.Turn)
			all = append(all, w)
		case op == 1:
			q.Remove(&all[n].Turn)
			all = slices.Delete(all, n, n+1)
		default:
			all[n].Due = float64(r.IntN(20))
			q.Fix(&all[n].Turn)
		}
		if len(all) == 0 {
			continue
		}
		first := slices.MinFunc(all, func(a, b *waiter) int { return int(20*(a.Due-b.Due)) + map[bool]int{true: -1, false: 1}[a.Tie < b.Tie] })
		if q.Len() != len(all) || q.First() != first || q.Soon(3)[0].Of != first || !first.Waits() {
			t.Fatalf("step %d: another one is first", i)
		}
		if i%5 == 0 {
			if q.Pop() != first || first.Waits() {
				t.Fatalf("step %d: another one was taken out", i)
			}
			all = slices.DeleteFunc(all, func(w *waiter) bool { return w == first })
		}
	}
}
