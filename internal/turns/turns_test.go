package turns

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
)

type waiter struct{ Turn[waiter] }

// The queue against a sorted list, through additions, removals and changed deadlines, many of them equal.
func TestOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var q Queue[waiter]
	var want []*waiter
	for i := range 5000 {
		switch {
		case len(want) == 0 || r.IntN(3) == 0:
			w := &waiter{}
			w.Due, w.Tie, w.Of = float64(r.IntN(20)), uint32(i), w
			q.Add(&w.Turn)
			want = append(want, w)
		case r.IntN(3) == 0:
			n := r.IntN(len(want))
			q.Remove(&want[n].Turn)
			if want[n].Waits() {
				t.Fatal("it waits after its removal")
			}
			want = slices.Delete(want, n, n+1)
		case r.IntN(2) == 0:
			w := want[r.IntN(len(want))]
			w.Due = float64(r.IntN(20))
			q.Fix(&w.Turn)
		}
		slices.SortFunc(want, func(a, b *waiter) int {
			return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.Tie, b.Tie))
		})
		if q.Len() != len(want) || len(want) > 0 && (q.First() != want[0] || !want[0].Waits() || q.Soon(3)[0].Of != want[0]) {
			t.Fatalf("step %d: another one is first", i)
		}
		if len(want) > 0 && r.IntN(5) == 0 {
			if q.Pop() != want[0] || want[0].Waits() {
				t.Fatalf("step %d: another one was taken out", i)
			}
			want = want[1:]
		}
	}
}
