package coordination

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func TestSnapshot_IsSorted(t *testing.T) {
	store := newTestStore()
	for _, i := range rand.New(rand.NewPCG(1, 2)).Perm(200) {
		store.Execute(0, acquire(message.LockName(fmt.Sprint("l", i)), "one", 1000))
		store.Execute(0, put(message.KeyName(fmt.Sprintf("g%d.k%d", i%7, i)), fmt.Sprint(i), 0))
	}
	snapshot := store.Snapshot(0)
	assert.True(t, slices.IsSortedFunc(snapshot.Holds, func(a, b message.LockHold) int {
		return compareNames(a.Lock, b.Lock)
	}))
	assert.True(t, slices.IsSortedFunc(snapshot.KeyGroups, func(a, b message.KeyGroupState) int {
		return compareNames(a.Name, b.Name)
	}))
	assert.Len(t, snapshot.KeyGroups, 7)
	for _, group := range snapshot.KeyGroups {
		assert.True(t, slices.IsSortedFunc(group.Keys, func(a, b message.KeyEvent) int { return compareNames(a.Key, b.Key) }))
	}
}

func compareNames[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// The size of the state includes the overhead of each group and key on the wire and on disk. Otherwise a snapshot of
// many small groups or keys would exceed MaxStateBytes.
func TestSnapshot_OfFullStoreIsWithinTheSizeOfTheState(t *testing.T) {
	longest := strings.Repeat("n", MaxNameBytes-9)
	tests := map[string]func(i int) message.Call{
		"empty values":                 func(i int) message.Call { return put(message.KeyName(fmt.Sprint("g.", i)), "", 0) },
		"groups of one key":            func(i int) message.Call { return put(message.KeyName(fmt.Sprint(i)), "", 0) },
		"groups with the longest name": func(i int) message.Call { return put(message.KeyName(fmt.Sprintf("%s%08d.", longest, i)), "", 0) },
		"large values": func(i int) message.Call {
			return put(message.KeyName(fmt.Sprint("g.", i)), strings.Repeat("x", MaxValueBytes), 0)
		},
		"puts of one key": func(i int) message.Call { return put("g.a", fmt.Sprint(i), message.Revision(i)) },
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			store := newTestStore()
			accepted := 0
			for store.Execute(0, call(accepted)).Answer.Status == StatusOK {
				accepted++
			}
			require.Positive(t, accepted)
			snapshot := store.Snapshot(0)
			packed, err := snapshot.MarshalMsg(nil)
			require.NoError(t, err)
			assert.LessOrEqual(t, len(packed), MaxStateBytes)
			assert.LessOrEqual(t, store.groupBytes+store.events.bytes, MaxStateBytes)
			checkInvariants(t, store)
		})
	}
}

func TestSnapshot_SharesNoMemoryWithTheStore(t *testing.T) {
	store := newTestStore()
	store.Execute(0, acquire("l", "one", 1000))
	store.Execute(0, put("g.a", "1", 0))
	first, second := store.Snapshot(0), store.Snapshot(0)
	first.Holds[0].Owner = "changed"
	first.KeyGroups[0].Keys[0].Value, first.KeyGroups[0].History[0].Value = "changed", "changed"
	assert.Equal(t, second, store.Snapshot(0))
	store.Execute(0, put("g.a", "2", 1))
	store.Apply(0, message.CoordinationChange{Trim: &message.HistoryTrim{Group: "g.", Horizon: 1}})
	assert.Equal(t, message.KeyEvent{Key: "g.a", Value: "1", Revision: 1}, second.KeyGroups[0].History[0])
}

func TestRestore_ReplacesTheWholeState(t *testing.T) {
	empty := newTestStore().Snapshot(0)
	store := newTestStore()
	store.Execute(0, acquire("l", "one", 1000))
	store.Execute(0, put("g.a", "1", 0))
	store.Execute(0, number())
	store.Restore(0, empty, false)
	assert.Equal(t, empty, store.Snapshot(0))
	assert.Equal(t, granted(1), store.Execute(0, acquire("l", "two", 1000)).Answer)
	assert.Equal(t, atRevision(StatusOK, 1), store.Execute(0, put("g.a", "1", 0)).Answer)
}

func TestRestore_ContinuesFromTheSnapshot(t *testing.T) {
	store, restored := newFullStore(t), newTestStore()
	store.Execute(0, acquire("l", "one", 3000))
	store.Execute(0, release("l", "one", 1))
	store.Execute(0, number())
	store.Maintain(time.Hour)
	restored.Restore(0, store.Snapshot(time.Hour), false)
	assert.Equal(t, granted(2), restored.Execute(0, acquire("l", "two", 1000)).Answer, "tokens continue without a hold")
	assert.Equal(t, uint64(2), restored.Execute(0, number()).Answer.Number)
	assert.Equal(t, answerStatus(StatusInvalid), restored.Execute(0, watch("g.", 10, 0)))
	assert.Equal(t, atRevision(StatusOK, 2), restored.Execute(0, put("g.a", "1", 0)).Answer, "repeated puts are recognised")
	assert.Equal(t, atRevision(StatusOK, 10), restored.Execute(0, put("g.a", "10", 9)).Answer)
}

func TestRestore_RestartsTheAgeOfEvents(t *testing.T) {
	store := newFullStore(t)
	restored := newStore(store.options, store.limits)
	restored.Restore(time.Hour, store.Snapshot(time.Minute), false)
	assert.Empty(t, restored.Maintain(time.Hour+testRetention))
	require.Len(t, restored.Maintain(time.Hour+testRetention+1), 1)
}
