package coordination

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

const testRetention = 30 * time.Second

func newTestStore() *Store { return New(Options{HistoryRetention: testRetention}) }

func acquire(lock message.LockName, owner message.OwnerName, holdMs int64) message.Call {
	return message.Call{Kind: message.CallAcquire, Lock: lock, Owner: owner, HoldMs: holdMs}
}

func renew(lock message.LockName, owner message.OwnerName, token message.FencingToken, holdMs int64) message.Call {
	return message.Call{Kind: message.CallRenew, Lock: lock, Owner: owner, Token: token, HoldMs: holdMs}
}

func release(lock message.LockName, owner message.OwnerName, token message.FencingToken) message.Call {
	return message.Call{Kind: message.CallRelease, Lock: lock, Owner: owner, Token: token}
}

func put(key message.KeyName, value string, ifRevision message.Revision) message.Call {
	return message.Call{Kind: message.CallPut, Key: key, Value: value, IfRevision: ifRevision}
}

func get(key message.KeyName) message.Call { return message.Call{Kind: message.CallGet, Key: key} }

func watch(group message.KeyGroup, after message.Revision, waitMs int64) message.Call {
	return message.Call{Kind: message.CallWatch, Group: group, After: after, WaitMs: waitMs}
}

func number() message.Call { return message.Call{Kind: message.CallNumber} }

// watchAll returns a watch of all events of a group after the first one.
func watchAll(group message.KeyGroup) message.Call { return watch(group, 1, 0) }

// smallLimits returns limits that a few calls reach.
func smallLimits() limits {
	limits := defaultLimits()
	limits.holds, limits.events, limits.eventBudget, limits.answerEvents = 3, 32, 8, 5
	return limits
}

// step is a call at a time with the expected answer. The times of a table must not decrease.
type step struct {
	at     time.Duration
	call   message.Call
	answer message.Answer
	waits  bool
}

// runSteps executes the steps on one store and checks each answer. It also checks that an acceptor which applies the
// changes has the same state at the end.
func runSteps(t *testing.T, steps []step) {
	t.Helper()
	issuer, acceptor := newTestStore(), newTestStore()
	for i, step := range steps {
		result := issuer.Execute(step.at, step.call)
		require.Equal(t, step.answer, result.Answer, "answer of step %d", i)
		require.Equal(t, step.waits, result.Waits, "step %d waits", i)
		for _, change := range result.Changes {
			acceptor.Apply(step.at, change)
		}
	}
	at := steps[len(steps)-1].at
	assert.Equal(t, issuer.Snapshot(at), acceptor.Snapshot(at))
}

func granted(token message.FencingToken) message.Answer {
	return message.Answer{Status: StatusOK, Token: token}
}

func status(status message.CallStatus) message.Answer { return message.Answer{Status: status} }

func atRevision(status message.CallStatus, revision message.Revision) message.Answer {
	return message.Answer{Status: status, Revision: revision}
}

func TestExecute_LocksNumbersKeysAndWatches(t *testing.T) {
	second := time.Second
	event := message.KeyEvent{Key: "g.a", Value: "x", Revision: 1}
	runSteps(t, []step{
		{at: 0, call: acquire("l", "one", 3000), answer: granted(1)},
		{at: 1 * second, call: acquire("l", "two", 3000), answer: status(StatusHeld)},
		{at: 2 * second, call: renew("l", "one", 1, 3000), answer: granted(1)},
		{at: 4 * second, call: acquire("l", "two", 3000), answer: status(StatusHeld)},
		{at: 5 * second, call: renew("l", "one", 1, 3000), answer: status(StatusHeld)},
		{at: 5 * second, call: acquire("l", "two", 3000), answer: granted(2)},
		{at: 6 * second, call: release("l", "two", 2), answer: status(StatusOK)},
		{at: 6 * second, call: acquire("l", "one", 3000), answer: granted(3)},
		{at: 6 * second, call: number(), answer: message.Answer{Status: StatusOK, Number: 1}},
		{at: 6 * second, call: number(), answer: message.Answer{Status: StatusOK, Number: 2}},
		{at: 6 * second, call: get("g.a"), answer: status(StatusNotFound)},
		{at: 6 * second, call: watch("g.", 0, 1000), answer: atRevision(StatusOK, 0)},
		{at: 6 * second, call: put("g.a", "x", 0), answer: atRevision(StatusOK, 1)},
		{at: 6 * second, call: put("g.a", "y", 0), answer: atRevision(StatusRevisionMismatch, 1)},
		{at: 6 * second, call: put("g.b", "z", 0), answer: atRevision(StatusOK, 2)},
		{at: 6 * second, call: get("g.a"), answer: message.Answer{Status: StatusOK, Value: "x", Revision: 1}},
		{at: 6 * second, call: watch("g.", 2, 1000), waits: true},
		{at: 6 * second, call: watch("g.", 2, 0), answer: atRevision(StatusOK, 2)},
		{at: 6 * second, call: put("g.a", "y", 1), answer: atRevision(StatusOK, 3)},
		{at: 6 * second, call: put("g.a", "x", 7), answer: atRevision(StatusOK, event.Revision)},
	})
}

func TestApply_OfAnOlderNumberOrTokenDoesNotLowerTheCounters(t *testing.T) {
	store := newTestStore()
	store.Execute(0, number())
	store.Execute(0, number())
	store.Execute(0, acquire("l", "one", 3000))
	store.Execute(0, acquire("k", "one", 3000))
	store.Apply(0, message.CoordinationChange{Number: 1})
	store.Apply(0, message.CoordinationChange{Hold: &message.LockHold{Lock: "l", Owner: "one", FirstToken: 1, Token: 1, HoldMs: 1}})
	assert.Equal(t, uint64(3), store.Execute(0, number()).Answer.Number)
	assert.Equal(t, granted(3), store.Execute(time.Second, acquire("l", "two", 3000)).Answer)
}

// The acceptor group is not part of the store's state.
func TestApply_OfAnAcceptorGroupDoesNothing(t *testing.T) {
	store := newTestStore()
	before := store.Snapshot(0)
	store.Apply(0, message.CoordinationChange{NextGroup: &message.AcceptorGroup{Number: 2}})
	assert.Equal(t, before, store.Snapshot(0))
}

func TestSnapshot_RestoresToAnEqualStore(t *testing.T) {
	store, restored := newTestStore(), newTestStore()
	store.Execute(0, acquire("l", "one", 3000))
	store.Execute(0, acquire("k", "two", 3000))
	store.Execute(0, put("g.b", "1", 0))
	store.Execute(0, put("g.a", "2", 0))
	store.Execute(0, number())
	snapshot := store.Snapshot(time.Second)
	restored.Restore(time.Minute, snapshot, false)
	assert.Equal(t, snapshot, restored.Snapshot(time.Minute))
	assert.Equal(t, int64(2000), snapshot.Holds[0].LeftMs)
	restored.Restore(time.Minute, snapshot, true)
	assert.Equal(t, int64(3000), restored.Snapshot(time.Minute).Holds[0].LeftMs)
}
