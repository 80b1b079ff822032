package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// The tests in this file are named after failures of a coordination service that its state machine must rule out.

// execute executes a call at an issuer and applies its changes to acceptors, each at its own time.
func execute(issuer *Store, now time.Duration, call message.Call, acceptors map[*Store]time.Duration) message.Answer {
	result := issuer.Execute(now, call)
	for acceptor, at := range acceptors {
		for _, change := range result.Changes {
			acceptor.Apply(at, change)
		}
	}
	return result.Answer
}

// A caller counts its hold from when it sent the call. An acceptor whose clock began an hour earlier, and to which the hold
// came 300 ms late, becomes the issuer: it must not grant the lock before the caller's time is over, nor keep it for longer
// than the delay.
func TestNewIssuerGrantsLockWhileItsHolderCounts(t *testing.T) {
	const sentAt, received, applied = 10 * time.Second, 10*time.Second + time.Millisecond, 10*time.Second + 300*time.Millisecond
	const ahead = time.Hour
	issuer, acceptor := newTestStore(), newTestStore()
	execute(issuer, received, acquire("l", "one", 3000), map[*Store]time.Duration{acceptor: applied + ahead})
	holderEnd := sentAt + 3*time.Second
	assert.Equal(t, StatusHeld, acceptor.Execute(holderEnd-1+ahead, acquire("l", "two", 3000)).Answer.Status)
	assert.Equal(t, StatusHeld, acceptor.Execute(applied+3*time.Second-1+ahead, acquire("l", "two", 3000)).Answer.Status)
	assert.Equal(t, granted(2), acceptor.Execute(applied+3*time.Second+ahead, acquire("l", "two", 3000)).Answer)
}

// A renewal prolongs the hold at the acceptors too.
func TestNewIssuerKnowsNoRenewal(t *testing.T) {
	issuer, acceptor := newTestStore(), newTestStore()
	execute(issuer, 0, acquire("l", "one", 3000), map[*Store]time.Duration{acceptor: 0})
	at := 2 * time.Second
	execute(issuer, at, renew("l", "one", 1, 3000), map[*Store]time.Duration{acceptor: at})
	assert.Equal(t, StatusHeld, acceptor.Execute(at+3*time.Second-1, acquire("l", "two", 3000)).Answer.Status)
}

// The time left goes to a newcomer in whole milliseconds: rounded down, its hold would end too early.
func TestNewcomerEndsHoldBeforeItsHolder(t *testing.T) {
	issuer, newcomer := newTestStore(), newTestStore()
	issuer.Execute(0, acquire("l", "one", 3000))
	takenAt := 100*time.Microsecond + time.Second
	newcomer.Restore(0, issuer.Snapshot(takenAt), false)
	assert.Equal(t, StatusHeld, newcomer.Execute(3*time.Second-takenAt-1, acquire("l", "two", 3000)).Answer.Status)
	assert.Equal(t, granted(2), newcomer.Execute(2*time.Second, acquire("l", "two", 3000)).Answer)
}

// After a restart nobody knows how long ago the state was written, so each hold begins anew. (What was left then would be no
// less than what is left now, so this is cautious: no caller can see the difference but by waiting.)
func TestRestartedMemberCountsTimeLeftOnDisk(t *testing.T) {
	store, restarted := newTestStore(), newTestStore()
	store.Execute(0, acquire("l", "one", 3000))
	onDisk := store.Snapshot(2 * time.Second)
	require.Equal(t, int64(1000), onDisk.Holds[0].LeftMs)
	restarted.Restore(0, onDisk, true)
	assert.Equal(t, StatusHeld, restarted.Execute(3*time.Second-1, acquire("l", "two", 3000)).Answer.Status)
	assert.Equal(t, granted(2), restarted.Execute(3*time.Second, acquire("l", "two", 3000)).Answer)
}

// The holder's time is over, and another member might have granted the lock since: no renewal.
func TestExpiredHoldComesBackToLife(t *testing.T) {
	store := newTestStore()
	store.Execute(0, acquire("l", "one", 3000))
	assert.Equal(t, StatusHeld, store.Execute(3*time.Second, renew("l", "one", 1, 3000)).Answer.Status)
	assert.Equal(t, granted(2), store.Execute(3*time.Second, acquire("l", "two", 3000)).Answer)
	assert.Equal(t, StatusHeld, store.Execute(3*time.Second, renew("l", "one", 1, 3000)).Answer.Status)
}

// A caller gives its lock back, gets no answer, takes the lock again, and then the first call arrives.
func TestLateReleaseEndsNewerHoldOfSameOwner(t *testing.T) {
	store := newTestStore()
	first := store.Execute(0, acquire("l", "one", 3000)).Answer.Token
	second := store.Execute(0, acquire("l", "one", 3000)).Answer.Token
	assert.Greater(t, second, first)
	assert.Equal(t, StatusOK, store.Execute(0, release("l", "one", first)).Answer.Status)
	assert.Equal(t, StatusHeld, store.Execute(0, acquire("l", "two", 3000)).Answer.Status)
	assert.Equal(t, granted(second), store.Execute(0, renew("l", "one", second, 3000)).Answer)
}

// A renewal under an earlier hold must not prolong the newer one, which another life of the owner may have got.
func TestLateRenewalProlongsNewerHoldOfSameOwner(t *testing.T) {
	store := newTestStore()
	store.Execute(0, acquire("l", "one", 3000))
	store.Execute(time.Second, release("l", "one", 1))
	store.Execute(time.Second, acquire("l", "one", 3000))
	assert.Equal(t, StatusHeld, store.Execute(2*time.Second, renew("l", "one", 1, 3000)).Answer.Status)
	assert.Equal(t, granted(3), store.Execute(4*time.Second, acquire("l", "two", 3000)).Answer)
}

// Tokens go on when no lock is held, after all members lost power, and at a member that only applies.
func TestTokensAndNumbersRepeatAfterRestart(t *testing.T) {
	issuer, acceptor := newTestStore(), newTestStore()
	at := map[*Store]time.Duration{acceptor: 0}
	execute(issuer, 0, acquire("l", "one", 3000), at)
	execute(issuer, 0, release("l", "one", 1), at)
	execute(issuer, 0, number(), at)
	for _, member := range []*Store{issuer, acceptor} {
		onDisk := member.Snapshot(0)
		require.Empty(t, onDisk.Holds)
		restarted := newTestStore()
		restarted.Restore(0, onDisk, true)
		assert.Equal(t, granted(2), restarted.Execute(0, acquire("k", "two", 3000)).Answer)
		assert.Equal(t, uint64(2), restarted.Execute(0, number()).Answer.Number)
	}
}

// A call that is answered 400, 404, 409, 410, 412 or 507 has changed nothing, so there is nothing that could take effect
// later.
func TestRefusedCallTakesEffect(t *testing.T) {
	store := newStore(Options{HistoryRetention: testRetention}, smallLimits())
	for i := range 3 {
		store.Execute(0, acquire(message.LockName(fmt.Sprint("l", i)), "one", 3000))
	}
	for i := range 32 {
		store.Execute(0, put("g.a", fmt.Sprint(i), message.Revision(i)))
	}
	store.Apply(0, message.CoordinationChange{Trim: &message.HistoryTrim{Group: "g.", Horizon: 2}})
	store.Execute(0, put("g.a", "32", 32))
	store.Execute(0, put("g.a", "33", 33))
	refused := []struct {
		call   message.Call
		status message.CallStatus
	}{
		{acquire("l0", "two", 3000), StatusHeld},
		{renew("l0", "two", 1, 3000), StatusHeld},
		{acquire("l3", "two", 3000), StatusInsufficientMemory},
		{put("g.a", "refused", 3), StatusRevisionMismatch},
		{put("g.a", "refused", 34), StatusInsufficientMemory},
		{put("", "refused", 0), StatusInvalid},
		{get("g.b"), StatusNotFound},
		{watch("g.", 1, 9000), StatusHistoryGone},
		{watch("g.", 99, 9000), StatusInvalid},
	}
	before := store.Snapshot(0)
	for _, refused := range refused {
		result := store.Execute(0, refused.call)
		assert.Equal(t, refused.status, result.Answer.Status, "%+v", refused.call)
		assert.Empty(t, result.Changes, "%+v", refused.call)
	}
	assert.Equal(t, before, store.Snapshot(0))
}

// A put whose answer was lost is sent again through another machine, after others overwrote it and all lost power.
func TestRepeatedPutIsRefusedThoughItTookEffect(t *testing.T) {
	issuer, acceptor := newTestStore(), newTestStore()
	at := map[*Store]time.Duration{acceptor: 0}
	first := put("g.a", "mine", 0)
	require.Equal(t, atRevision(StatusOK, 1), execute(issuer, 0, first, at))
	require.Equal(t, atRevision(StatusOK, 2), execute(issuer, 0, put("g.a", "other", 1), at))
	for _, member := range []*Store{issuer, acceptor} {
		assert.Equal(t, atRevision(StatusOK, 1), member.Execute(0, first).Answer)
		restarted := newTestStore()
		restarted.Restore(0, member.Snapshot(0), true)
		assert.Equal(t, atRevision(StatusOK, 1), restarted.Execute(0, first).Answer)
		assert.Equal(t, read("other", 2), restarted.Execute(0, get("g.a")).Answer)
	}
}

// The group has later revisions than the key: a 412 that names one of them would name none that a put gave the key.
func TestMismatchNamesRevisionOfAnotherKey(t *testing.T) {
	store := newTestStore()
	store.Execute(0, put("g.a", "1", 0))
	store.Execute(0, put("g.b", "2", 0))
	assert.Equal(t, atRevision(StatusRevisionMismatch, 1), store.Execute(0, put("g.a", "3", 2)).Answer)
	assert.Equal(t, atRevision(StatusRevisionMismatch, 0), store.Execute(0, put("g.c", "4", 2)).Answer)
}

// A refused put can never take effect later: the revision that it builds on, once passed, does not come back.
func TestRefusedPutTakesEffectWhenRepeatedLate(t *testing.T) {
	store := newTestStore()
	store.Execute(0, put("g.a", "1", 0))
	store.Execute(0, put("g.a", "2", 1))
	late := put("g.a", "late", 1)
	for i := range 20 {
		require.Equal(t, StatusRevisionMismatch, store.Execute(0, late).Answer.Status)
		store.Execute(0, put("g.a", fmt.Sprint("v", i), message.Revision(i+2)))
	}
}

// Restores, restarts and dropped history leave no gap in the revisions of a group and never give one twice.
func TestRevisionIsGivenTwiceOrSkipped(t *testing.T) {
	store := newStore(Options{HistoryRetention: testRetention}, smallLimits())
	for i := range 500 {
		now := time.Duration(i) * testRetention
		store.Maintain(now)
		result := store.Execute(now, put("g.a", fmt.Sprint(i), message.Revision(i)))
		require.Equal(t, atRevision(StatusOK, message.Revision(i+1)), result.Answer)
		if i%10 == 3 {
			restored := newStore(store.options, store.limits)
			restored.Restore(now, store.Snapshot(now), i%20 == 3)
			store = restored
		}
	}
}

// A watcher resumes at a restarted member from a revision that it was given just before: nothing ages in between.
func TestWatcherLosesHistoryInRestart(t *testing.T) {
	store := newFullStore(t)
	store.Execute(time.Minute, put("g.a", "next", 9))
	restarted := newStore(store.options, store.limits)
	restarted.Restore(0, store.Snapshot(time.Minute), true)
	require.Empty(t, restarted.Maintain(testRetention))
	answer := restarted.Execute(testRetention, watch("g.", 9, 9000)).Answer
	assert.Equal(t, []message.KeyEvent{{Key: "g.a", Value: "next", Revision: 10}}, answer.Events)
	assert.Equal(t, StatusOK, restarted.Execute(testRetention, watch("g.", 1, 9000)).Answer.Status)
}

// A watcher that follows a group while history is dropped, answers are cut off and members change sees each put once.
func TestWatcherSkipsPuts(t *testing.T) {
	issuer := newStore(Options{HistoryRetention: testRetention}, smallLimits())
	const puts = 300
	seen := message.Revision(1)
	for i := range puts {
		now := time.Duration(i) * testRetention / 8
		issuer.Maintain(now)
		require.Equal(t, StatusOK, issuer.Execute(now, put("g.a", fmt.Sprint(i), message.Revision(i))).Answer.Status)
		for i%7 == 0 && seen <= message.Revision(i) {
			answer := issuer.Execute(now, watch("g.", seen, 0)).Answer
			require.Equal(t, StatusOK, answer.Status)
			for _, event := range answer.Events {
				require.Equal(t, message.KeyEvent{Key: "g.a", Value: fmt.Sprint(seen), Revision: seen + 1}, event)
				seen++
			}
			require.Equal(t, seen, answer.Revision, "all up to it was reported")
		}
		if i%50 == 20 {
			next := newStore(issuer.options, issuer.limits)
			next.Restore(now, issuer.Snapshot(now), false)
			issuer = next
		}
	}
	assert.Equal(t, message.Revision(puts-puts%7+1), seen)
}
