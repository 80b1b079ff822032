package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func TestGroupOf(t *testing.T) {
	tests := []struct {
		key   message.KeyName
		group message.KeyGroup
	}{
		{"g1.2d", "g1."},
		{"g1.a.b", "g1."},
		{"g1.", "g1."},
		{".a", "."},
		{"g1", "g1"},
	}
	for _, test := range tests {
		assert.Equal(t, test.group, GroupOf(test.key), "group of %q", test.key)
		assert.True(t, isGroup(test.group), "%q is a group", test.group)
	}
	assert.False(t, isGroup("g1.a"))
}

func read(value string, revision message.Revision) message.Answer {
	return message.Answer{Status: StatusOK, Value: value, Revision: revision}
}

func TestPutAndGet(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{"creates a key at revision 0", []step{
			{call: get("g.a"), answer: status(StatusNotFound)},
			{call: put("g.a", "x", 0), answer: atRevision(StatusOK, 1)},
			{call: get("g.a"), answer: read("x", 1)},
		}},
		{"reports revision 0 for a key that does not exist", []step{
			{call: put("g.a", "x", 3), answer: atRevision(StatusRevisionMismatch, 0)},
			{call: get("g.a"), answer: status(StatusNotFound)},
			{call: watch("g.", 0, 0), answer: atRevision(StatusOK, 0)},
		}},
		{"has one sequence of revisions per group", []step{
			{call: put("g.a", "1", 0), answer: atRevision(StatusOK, 1)},
			{call: put("g.b", "2", 0), answer: atRevision(StatusOK, 2)},
			{call: put("h.a", "3", 0), answer: atRevision(StatusOK, 1)},
			{call: put("g", "4", 0), answer: atRevision(StatusOK, 1)},
			{call: put("g.a", "5", 1), answer: atRevision(StatusOK, 3)},
			{call: get("g.a"), answer: read("5", 3)},
			{call: get("g.b"), answer: read("2", 2)},
		}},
		{"reports the key's own revision in a mismatch, not the group's", []step{
			{call: put("g.a", "1", 0), answer: atRevision(StatusOK, 1)},
			{call: put("g.b", "2", 0), answer: atRevision(StatusOK, 2)},
			{call: put("g.a", "3", 2), answer: atRevision(StatusRevisionMismatch, 1)},
			{call: put("g.a", "4", 0), answer: atRevision(StatusRevisionMismatch, 1)},
		}},
		{"distinguishes the same value of two keys", []step{
			{call: put("g.a", "1", 0), answer: atRevision(StatusOK, 1)},
			{call: put("g.b", "1", 0), answer: atRevision(StatusOK, 2)},
		}},
		{"answers a repeated put with its first revision, whatever ifRevision is", []step{
			{call: put("g.a", "1", 0), answer: atRevision(StatusOK, 1)},
			{call: put("g.a", "2", 1), answer: atRevision(StatusOK, 2)},
			{call: put("g.a", "1", 0), answer: atRevision(StatusOK, 1)},
			{call: put("g.a", "1", 2), answer: atRevision(StatusOK, 1)},
			{call: put("g.a", "2", 9), answer: atRevision(StatusOK, 2)},
			{call: get("g.a"), answer: read("2", 2)},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { runSteps(t, test.steps) })
	}
}

func TestPut_BeyondTheSizeOfTheStateChangesNothing(t *testing.T) {
	store := newTestStore()
	value := strings.Repeat("x", MaxValueBytes-8)
	accepted := 0
	for ; ; accepted++ {
		call := put(message.KeyName(fmt.Sprintf("g.%d", accepted)), fmt.Sprintf("%s%08d", value, accepted), 0)
		before := store.Snapshot(0)
		result := store.Execute(0, call)
		if result.Answer.Status == StatusInsufficientMemory {
			require.Empty(t, result.Changes)
			require.Equal(t, before, store.Snapshot(0))
			break
		}
		require.Equal(t, atRevision(StatusOK, message.Revision(accepted+1)), result.Answer)
	}
	// Each put stores its key and value twice: as the current value and in the history.
	assert.InDelta(t, MaxStateBytes/(2*MaxValueBytes), accepted, 8)
	assert.Equal(t, StatusOK, store.Execute(0, put("g.0", value+"00000000", 0)).Answer.Status, "a repeated put needs no memory")
	assert.Equal(t, StatusOK, store.Execute(0, get("g.7")).Answer.Status)
}

// A put replaces the current value in the size of the state and adds the new value to the history.
func TestPut_ReplacesTheCurrentValueInTheSizeOfTheState(t *testing.T) {
	limits := defaultLimits()
	size := eventBytes("g.a", "1")
	limits.stateBytes = groupBytes("g.") + 3*size
	store := newStore(Options{HistoryRetention: testRetention}, limits)
	assert.Equal(t, atRevision(StatusOK, 1), store.Execute(0, put("g.a", "1", 0)).Answer)
	assert.Equal(t, atRevision(StatusOK, 2), store.Execute(0, put("g.a", "2", 1)).Answer)
	assert.Equal(t, status(StatusInsufficientMemory), store.Execute(0, put("g.a", "3", 2)).Answer)
	assert.Equal(t, status(StatusInsufficientMemory), store.Execute(0, put("g.b", "4", 0)).Answer)
	store.Apply(0, message.CoordinationChange{Trim: &message.HistoryTrim{Group: "g.", Horizon: 1}})
	assert.Equal(t, atRevision(StatusOK, 3), store.Execute(0, put("g.a", "3", 2)).Answer)
}

// With large values the state is full long before the number of events reaches its budget. Events must then be dropped
// because of their size, or no put would succeed any more.
func TestPut_WithLargeValuesSucceedsOnceOldEventsAreDropped(t *testing.T) {
	store := newTestStore()
	value := strings.Repeat("x", MaxValueBytes-8)
	revision := message.Revision(0)
	for at := range 2000 {
		now := time.Duration(at) * testRetention / 50
		store.Maintain(now)
		result := store.Execute(now, put("g.a", fmt.Sprintf("%s%08d", value, at), revision))
		require.Equal(t, StatusOK, result.Answer.Status, "put %d", at)
		revision = result.Answer.Revision
	}
}

// If the number of events reaches its bound before any event is old enough to be dropped, the store keeps the events
// and rejects puts.
func TestPut_IsRejectedInsteadOfDroppingRecentEvents(t *testing.T) {
	store := newStore(Options{HistoryRetention: testRetention}, smallLimits())
	bound := store.limits.events
	for i := range bound {
		result := store.Execute(0, put("g.a", fmt.Sprint(i), message.Revision(i)))
		require.Equal(t, atRevision(StatusOK, message.Revision(i+1)), result.Answer)
		require.Empty(t, store.Maintain(testRetention))
	}
	next := put("g.a", "next", message.Revision(bound))
	assert.Equal(t, answerStatus(StatusInsufficientMemory), store.Execute(testRetention, next))
	assert.Len(t, store.Snapshot(0).KeyGroups[0].History, bound)
	assert.Len(t, store.Maintain(testRetention+1), 1)
	assert.Equal(t, atRevision(StatusOK, message.Revision(bound+1)), store.Execute(testRetention+1, next).Answer)
}
