package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func TestAcquire(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{"grants a free lock", []step{
			{at: 0, call: acquire("l", "one", 1000), answer: granted(1)},
		}},
		{"uses one sequence of tokens for all locks", []step{
			{at: 0, call: acquire("l", "one", 1000), answer: granted(1)},
			{at: 0, call: acquire("k", "two", 1000), answer: granted(2)},
		}},
		{"is rejected until the hold has ended, to the nanosecond", []step{
			{at: time.Second, call: acquire("l", "one", 1000), answer: granted(1)},
			{at: 2*time.Second - 1, call: acquire("l", "two", 1000), answer: status(StatusHeld)},
			{at: 2 * time.Second, call: acquire("l", "two", 1000), answer: granted(2)},
		}},
		{"grants the holder a higher token and the new duration from now on", []step{
			{at: 0, call: acquire("l", "one", 2000), answer: granted(1)},
			{at: time.Second, call: acquire("l", "one", 2000), answer: granted(2)},
			{at: 3*time.Second - 1, call: acquire("l", "two", 1000), answer: status(StatusHeld)},
			{at: 3 * time.Second, call: acquire("l", "two", 1000), answer: granted(3)},
		}},
		{"does not shorten the hold when a call with a shorter duration arrives late", []step{
			{at: 0, call: acquire("l", "one", 10000), answer: granted(1)},
			{at: time.Second, call: acquire("l", "one", 2000), answer: granted(2)},
			{at: 10*time.Second - 1, call: acquire("l", "two", 1000), answer: status(StatusHeld)},
			{at: 10 * time.Second, call: acquire("l", "two", 1000), answer: granted(3)},
		}},
		{"grants a higher token than that of a released hold", []step{
			{at: 0, call: acquire("l", "one", 1000), answer: granted(1)},
			{at: 0, call: release("l", "one", 1), answer: status(StatusOK)},
			{at: 0, call: acquire("l", "one", 1000), answer: granted(2)},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { runSteps(t, test.steps) })
	}
}

func TestRenew(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{"extends the hold from now, with its own duration", []step{
			{at: 0, call: acquire("l", "one", 1000), answer: granted(1)},
			{at: time.Second - 1, call: renew("l", "one", 1, 3000), answer: granted(1)},
			{at: 4*time.Second - 2, call: acquire("l", "two", 1000), answer: status(StatusHeld)},
			{at: 4*time.Second - 1, call: acquire("l", "two", 1000), answer: granted(2)},
		}},
		{"does not shorten the hold when a renewal with a shorter time comes late", []step{
			{at: 0, call: acquire("l", "one", 10000), answer: granted(1)},
			{at: time.Second, call: renew("l", "one", 1, 2000), answer: granted(1)},
			{at: 10*time.Second - 1, call: acquire("l", "two", 1000), answer: status(StatusHeld)},
			{at: 10 * time.Second, call: acquire("l", "two", 1000), answer: granted(2)},
		}},
		{"is rejected if the lock is free", []step{
			{at: 0, call: renew("l", "one", 1, 1000), answer: status(StatusHeld)},
		}},
		{"is rejected after the end of the hold, although the lock is free", []step{
			{at: 0, call: acquire("l", "one", 1000), answer: granted(1)},
			{at: time.Second, call: renew("l", "one", 1, 1000), answer: status(StatusHeld)},
		}},
		{"is rejected for another owner", []step{
			{at: 0, call: acquire("l", "one", 1000), answer: granted(1)},
			{at: 0, call: renew("l", "two", 1, 1000), answer: status(StatusHeld)},
		}},
		{"is rejected after the hold was released", []step{
			{at: 0, call: acquire("l", "one", 1000), answer: granted(1)},
			{at: 0, call: release("l", "one", 1), answer: status(StatusOK)},
			{at: 0, call: renew("l", "one", 1, 1000), answer: status(StatusHeld)},
		}},
		{"accepts only the tokens of the current hold", []step{
			{at: 0, call: acquire("l", "one", 1000), answer: granted(1)},
			{at: time.Second, call: acquire("l", "one", 1000), answer: granted(2)},
			{at: time.Second, call: acquire("l", "one", 1000), answer: granted(3)},
			{at: time.Second, call: renew("l", "one", 1, 1000), answer: status(StatusHeld)},
			{at: time.Second, call: renew("l", "one", 2, 1000), answer: granted(3)},
			{at: time.Second, call: renew("l", "one", 3, 1000), answer: granted(3)},
			{at: time.Second, call: renew("l", "one", 4, 1000), answer: status(StatusHeld)},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { runSteps(t, test.steps) })
	}
}

func TestRelease(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{"frees the lock", []step{
			{at: 0, call: acquire("l", "one", 1000), answer: granted(1)},
			{at: 0, call: release("l", "one", 1), answer: status(StatusOK)},
			{at: 0, call: acquire("l", "two", 1000), answer: granted(2)},
		}},
		{"of a free lock does nothing", []step{
			{at: 0, call: release("l", "one", 1), answer: status(StatusOK)},
		}},
		{"of another owner does nothing", []step{
			{at: 0, call: acquire("l", "one", 1000), answer: granted(1)},
			{at: 0, call: release("l", "two", 1), answer: status(StatusOK)},
			{at: 0, call: acquire("l", "two", 1000), answer: status(StatusHeld)},
		}},
		{"with an older token of the same hold does nothing", []step{
			{at: 0, call: acquire("l", "one", 1000), answer: granted(1)},
			{at: 0, call: acquire("l", "one", 1000), answer: granted(2)},
			{at: 0, call: release("l", "one", 1), answer: status(StatusOK)},
			{at: 0, call: acquire("l", "two", 1000), answer: status(StatusHeld)},
			{at: 0, call: release("l", "one", 2), answer: status(StatusOK)},
			{at: 0, call: acquire("l", "two", 1000), answer: granted(3)},
		}},
		{"of an expired hold is answered with success", []step{
			{at: 0, call: acquire("l", "one", 1000), answer: granted(1)},
			{at: time.Minute, call: release("l", "one", 1), answer: status(StatusOK)},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { runSteps(t, test.steps) })
	}
}

func TestMaintain_ReleasesExpiredHoldsInTheOrderOfTheirEnds(t *testing.T) {
	store := newTestStore()
	for i, holdMs := range []int64{3000, 1000, 2000, 9000} {
		store.Execute(0, acquire(message.LockName(fmt.Sprint("l", i)), "one", holdMs))
	}
	assert.Empty(t, store.Maintain(time.Second-1))
	want := []message.CoordinationChange{
		{Release: &message.LockRelease{Lock: "l1", Token: 2}},
		{Release: &message.LockRelease{Lock: "l2", Token: 3}},
		{Release: &message.LockRelease{Lock: "l0", Token: 1}},
	}
	assert.Equal(t, want, store.Maintain(3*time.Second))
	assert.Len(t, store.Snapshot(0).Holds, 1)
}

// A renewal keeps the token. If Maintain released the hold at its old end, the release would end the renewed hold.
func TestMaintain_KeepsRenewedHolds(t *testing.T) {
	store := newTestStore()
	store.Execute(0, acquire("l", "one", 1000))
	store.Execute(time.Second-1, renew("l", "one", 1, 1000))
	assert.Empty(t, store.Maintain(time.Second))
	assert.Len(t, store.Maintain(2*time.Second), 1)
}

func TestApply_ReleaseOfAnOlderTokenKeepsTheHold(t *testing.T) {
	store := newTestStore()
	store.Execute(0, acquire("l", "one", 1000))
	store.Execute(0, acquire("l", "one", 1000))
	store.Apply(0, message.CoordinationChange{Release: &message.LockRelease{Lock: "l", Token: 1}})
	assert.Len(t, store.Snapshot(0).Holds, 1)
}

func TestAcquire_BeyondTheNumberOfHoldsChangesNothing(t *testing.T) {
	store := newTestStore()
	for i := range MaxHolds {
		require.Equal(t, StatusOK, store.Execute(0, acquire(message.LockName(fmt.Sprint(i)), "one", 1000)).Answer.Status)
	}
	before := store.Snapshot(0)
	result := store.Execute(0, acquire("another", "one", 1000))
	assert.Equal(t, answerStatus(StatusInsufficientMemory), result)
	assert.Equal(t, before, store.Snapshot(0))
	assert.Equal(t, StatusOK, store.Execute(0, acquire("7", "one", 1000)).Answer.Status, "a held lock needs no new hold")
	store.Maintain(time.Second)
	assert.Equal(t, StatusOK, store.Execute(time.Second, acquire("another", "one", 1000)).Answer.Status)
}
