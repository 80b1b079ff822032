package edf

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

type entry struct {
	Item[entry]
	name string
}

func newEntry(name string, deadline float64, tieBreaker uint32) *entry {
	e := &entry{name: name}
	e.Item = Item[entry]{Deadline: deadline, TieBreaker: tieBreaker, Value: e}
	return e
}

func popAll(q *Queue[entry]) (names []string) {
	for q.Len() > 0 {
		names = append(names, q.Pop().name)
	}
	return names
}

func TestQueue_PopsByDeadlineThenTieBreaker(t *testing.T) {
	entries := []*entry{newEntry("c", 2, 1), newEntry("b", 1, 2), newEntry("a", 1, 1), newEntry("d", 3, 0)}
	var q Queue[entry]
	for _, e := range entries {
		assert.False(t, e.IsQueued())
		q.Push(&e.Item)
		assert.True(t, e.IsQueued())
	}
	assert.Equal(t, "a", q.Peek().name)
	assert.Equal(t, []string{"a", "b", "c", "d"}, popAll(&q))
	assert.False(t, entries[0].IsQueued())
}

func TestQueue_FixAndRemove(t *testing.T) {
	a, b, c := newEntry("a", 1, 0), newEntry("b", 2, 0), newEntry("c", 3, 0)
	var q Queue[entry]
	for _, e := range []*entry{a, b, c} {
		q.Push(&e.Item)
	}
	a.Deadline = 4
	q.Fix(&a.Item)
	assert.Equal(t, "b", q.Peek().name)
	q.Remove(&b.Item)
	assert.False(t, b.IsQueued())
	assert.Equal(t, []string{"c", "a"}, popAll(&q))
}

func TestQueue_FrontBeginsWithEarliest(t *testing.T) {
	var q Queue[entry]
	assert.Empty(t, q.Front(3))
	random := rand.New(rand.NewPCG(1, 2))
	var deadlines []float64
	for range 100 {
		e := newEntry("", random.Float64(), 0)
		deadlines = append(deadlines, e.Deadline)
		q.Push(&e.Item)
	}
	front := q.Front(7)
	assert.Len(t, front, 7)
	assert.Equal(t, slices.Min(deadlines), front[0].Deadline)
	assert.Len(t, q.Front(1000), 100)
}
