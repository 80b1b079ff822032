package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// newFullStore returns a store with one event more than the budget. The puts are one second apart, starting at 0.
func newFullStore(t *testing.T) *Store {
	t.Helper()
	store := newStore(Options{HistoryRetention: testRetention}, smallLimits())
	for i := range store.limits.eventBudget + 1 {
		result := store.Execute(time.Duration(i)*time.Second, put("g.a", fmt.Sprint(i), message.Revision(i)))
		require.Equal(t, StatusOK, result.Answer.Status)
	}
	return store
}

func TestMaintain_DropsOldEventsBeyondTheBudget(t *testing.T) {
	store := newFullStore(t)
	assert.Empty(t, store.Maintain(testRetention), "not older than the retention")
	want := []message.CoordinationChange{{Trim: &message.HistoryTrim{Group: "g.", Horizon: 1}}}
	assert.Equal(t, want, store.Maintain(testRetention+1))
	assert.Empty(t, store.Maintain(time.Hour), "within the budget")
	assert.Equal(t, StatusOK, store.Execute(time.Hour, watch("g.", 1, 0)).Answer.Status)
	store.Execute(time.Hour, put("g.b", "next", 0))
	store.Maintain(time.Hour)
	assert.Equal(t, answerStatus(StatusHistoryGone), store.Execute(time.Hour, watch("g.", 1, 0)))
	assert.Equal(t, StatusOK, store.Execute(time.Hour, watch("g.", 2, 0)).Answer.Status)
	assert.Equal(t, atRevision(StatusOK, 10), store.Execute(time.Hour, watch("g.", 0, 0)).Answer)
}

func TestMaintain_DropsTheOldestEventsOfAllGroups(t *testing.T) {
	store := newStore(Options{HistoryRetention: testRetention}, smallLimits())
	revisions := map[message.KeyName]message.Revision{}
	for i := range store.limits.eventBudget + 3 {
		key := message.KeyName(fmt.Sprintf("g%d.a", (i+1)%2))
		result := store.Execute(time.Duration(i), put(key, fmt.Sprint(i), revisions[key]))
		revisions[key] = result.Answer.Revision
	}
	want := []message.CoordinationChange{
		{Trim: &message.HistoryTrim{Group: "g1.", Horizon: 2}}, {Trim: &message.HistoryTrim{Group: "g0.", Horizon: 1}},
	}
	assert.Equal(t, want, store.Maintain(time.Hour))
}

func TestTrim_KeepsCurrentValues(t *testing.T) {
	store := newTestStore()
	store.Execute(0, put("g.a", "1", 0))
	store.Execute(0, put("g.b", "2", 0))
	store.Execute(0, put("g.b", "3", 2))
	store.Apply(0, message.CoordinationChange{Trim: &message.HistoryTrim{Group: "g.", Horizon: 3}})
	assert.Equal(t, read("1", 1), store.Execute(0, get("g.a")).Answer)
	assert.Equal(t, read("3", 3), store.Execute(0, get("g.b")).Answer)
	assert.Equal(t, atRevision(StatusOK, 1), store.Execute(0, put("g.a", "1", 0)).Answer, "current value")
	assert.Equal(t, atRevision(StatusRevisionMismatch, 3), store.Execute(0, put("g.b", "2", 0)).Answer, "dropped value")
	assert.Equal(t, atRevision(StatusOK, 4), store.Execute(0, put("g.a", "4", 1)).Answer)
	assert.Equal(t, 1, store.events.count)
}

func TestTrim_IsLimitedToTheEventsOfAnExistingGroup(t *testing.T) {
	store := newTestStore()
	store.Execute(0, put("g.a", "1", 0))
	store.Execute(0, put("g.a", "2", 1))
	for _, trim := range []message.HistoryTrim{{Group: "x.", Horizon: 3}, {Group: "g.", Horizon: 3}, {Group: "g.", Horizon: 1}} {
		store.Apply(0, message.CoordinationChange{Trim: &trim})
	}
	assert.Equal(t, message.Revision(2), store.Snapshot(0).KeyGroups[0].Horizon)
	assert.Equal(t, atRevision(StatusOK, 3), store.Execute(0, put("g.a", "3", 2)).Answer)
	checkInvariants(t, store)
}

// When an acceptor becomes the issuer, its byAge list may still have events that an earlier issuer dropped. Maintain
// must skip them.
func TestMaintain_SkipsEventsDroppedByAnEarlierIssuer(t *testing.T) {
	store := newStore(Options{HistoryRetention: testRetention}, smallLimits())
	for i := range store.limits.eventBudget + 2 {
		key := message.KeyName(fmt.Sprintf("g%d.a", i%2))
		event := &message.KeyEvent{Key: key, Value: fmt.Sprint(i), Revision: message.Revision(i/2 + 1)}
		store.Apply(0, message.CoordinationChange{Put: event})
	}
	store.Apply(0, message.CoordinationChange{Trim: &message.HistoryTrim{Group: "g0.", Horizon: 1}})
	want := []message.CoordinationChange{{Trim: &message.HistoryTrim{Group: "g1.", Horizon: 1}}}
	assert.Equal(t, want, store.Maintain(time.Hour))
}

// An acceptor never trims by itself, and after a restore its byAge list is in another order than the issuer's. Dropped
// events must not accumulate in the list.
func TestTrim_DoesNotAccumulateDroppedEvents(t *testing.T) {
	issuer := newStore(Options{HistoryRetention: testRetention}, smallLimits())
	acceptor := newStore(issuer.options, issuer.limits)
	revisions := map[message.KeyName]message.Revision{}
	for i := range 2000 {
		now := time.Duration(i) * testRetention
		changes := issuer.Maintain(now)
		key := message.KeyName(fmt.Sprintf("g%d.a", i*i%7))
		result := issuer.Execute(now, put(key, fmt.Sprint(i), revisions[key]))
		require.Equal(t, StatusOK, result.Answer.Status)
		revisions[key] = result.Answer.Revision
		for _, change := range append(changes, result.Changes...) {
			acceptor.Apply(now, change)
		}
		if i%100 == 50 {
			acceptor.Restore(now, issuer.Snapshot(now), false)
		}
		require.Equal(t, issuer.events.count, acceptor.events.count)
		require.LessOrEqual(t, len(acceptor.events.byAge), 2*acceptor.events.count+1)
		require.Len(t, acceptor.events.revisions, acceptor.events.count)
	}
}
