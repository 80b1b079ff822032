package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// The tests in this file reproduce known failures of coordination services, which the state machine must rule out.

// execute executes a call at an issuer and applies its changes to acceptors, at each one's own time.
func execute(issuer *Store, now time.Duration, call message.Call, acceptors map[*Store]time.Duration) message.Answer {
	result := issuer.Execute(now, call)
	for acceptor, at := range acceptors {
		for _, change := range result.Changes {
			acceptor.Apply(at, change)
		}
	}
	return result.Answer
}

// A holder measures its hold from the sending of its call. An acceptor whose clock is an hour ahead receives the hold
// 300 ms late and becomes the issuer. It must not grant the lock before the holder's time has passed, and must grant it
// once the delay has passed too.
func TestNewIssuerGrantsLockOnlyAfterItsHolderEnds(t *testing.T) {
	const sentAt, received, applied = 10 * time.Second, 10*time.Second + time.Millisecond, 10*time.Second + 300*time.Millisecond
	const ahead = time.Hour
	issuer, acceptor := newTestStore(), newTestStore()
	execute(issuer, received, acquire("l", "one", 3000), map[*Store]time.Duration{acceptor: applied + ahead})
	holderEnd := sentAt + 3*time.Second
	assert.Equal(t, StatusHeld, acceptor.Execute(holderEnd-1+ahead, acquire("l", "two", 3000)).Answer.Status)
	assert.Equal(t, StatusHeld, acceptor.Execute(applied+3*time.Second-1+ahead, acquire("l", "two", 3000)).Answer.Status)
	assert.Equal(t, granted(2), acceptor.Execute(applied+3*time.Second+ahead, acquire("l", "two", 3000)).Answer)
}

// A renewal must extend the hold at the acceptors too. Otherwise an acceptor that becomes the issuer grants the lock
// too early.
func TestNewIssuerHonoursRenewals(t *testing.T) {
	issuer, acceptor := newTestStore(), newTestStore()
	execute(issuer, 0, acquire("l", "one", 3000), map[*Store]time.Duration{acceptor: 0})
	at := 2 * time.Second
	execute(issuer, at, renew("l", "one", 1, 3000), map[*Store]time.Duration{acceptor: at})
	assert.Equal(t, StatusHeld, acceptor.Execute(at+3*time.Second-1, acquire("l", "two", 3000)).Answer.Status)
}

// A new member receives the remaining time of a hold in whole milliseconds. If it were rounded down, the new member
// would end the hold before its holder does.
func TestNewMemberDoesNotEndHoldBeforeItsHolder(t *testing.T) {
	issuer, newcomer := newTestStore(), newTestStore()
	issuer.Execute(0, acquire("l", "one", 3000))
	takenAt := 100*time.Microsecond + time.Second
	newcomer.Restore(0, issuer.Snapshot(takenAt), false)
	assert.Equal(t, StatusHeld, newcomer.Execute(3*time.Second-takenAt-1, acquire("l", "two", 3000)).Answer.Status)
	assert.Equal(t, granted(2), newcomer.Execute(2*time.Second, acquire("l", "two", 3000)).Answer)
}

// After a restart it is unknown how long ago the state was written, so each hold lasts for its full duration again.
// This is more than necessary, as the remaining time on disk is never less than the remaining time now. Callers only
// wait longer.
func TestRestartedMemberRestartsHoldsWithFullDuration(t *testing.T) {
	store, restarted := newTestStore(), newTestStore()
	store.Execute(0, acquire("l", "one", 3000))
	onDisk := store.Snapshot(2 * time.Second)
	require.Equal(t, int64(1000), onDisk.Holds[0].LeftMs)
	restarted.Restore(0, onDisk, true)
	assert.Equal(t, StatusHeld, restarted.Execute(3*time.Second-1, acquire("l", "two", 3000)).Answer.Status)
	assert.Equal(t, granted(2), restarted.Execute(3*time.Second, acquire("l", "two", 3000)).Answer)
}

// An expired hold must not be renewed, because another member may have granted the lock in the meantime.
func TestExpiredHoldIsNotRenewed(t *testing.T) {
	store := newTestStore()
	store.Execute(0, acquire("l", "one", 3000))
	assert.Equal(t, StatusHeld, store.Execute(3*time.Second, renew("l", "one", 1, 3000)).Answer.Status)
	assert.Equal(t, granted(2), store.Execute(3*time.Second, acquire("l", "two", 3000)).Answer)
	assert.Equal(t, StatusHeld, store.Execute(3*time.Second, renew("l", "one", 1, 3000)).Answer.Status)
}

// A caller releases its lock, gets no answer and acquires the lock again. Then the release arrives. It must not end the
// new hold.
func TestLateReleaseDoesNotEndNewerHoldOfSameOwner(t *testing.T) {
	store := newTestStore()
	first := store.Execute(0, acquire("l", "one", 3000)).Answer.Token
	second := store.Execute(0, acquire("l", "one", 3000)).Answer.Token
	assert.Greater(t, second, first)
	assert.Equal(t, StatusOK, store.Execute(0, release("l", "one", first)).Answer.Status)
	assert.Equal(t, StatusHeld, store.Execute(0, acquire("l", "two", 3000)).Answer.Status)
	assert.Equal(t, granted(second), store.Execute(0, renew("l", "one", second, 3000)).Answer)
}

// A late renewal of an earlier hold must not extend a newer hold of the same owner, which the owner may have acquired
// after a restart of its process.
func TestLateRenewalDoesNotExtendNewerHoldOfSameOwner(t *testing.T) {
	store := newTestStore()
	store.Execute(0, acquire("l", "one", 3000))
	store.Execute(time.Second, release("l", "one", 1))
	store.Execute(time.Second, acquire("l", "one", 3000))
	assert.Equal(t, StatusHeld, store.Execute(2*time.Second, renew("l", "one", 1, 3000)).Answer.Status)
	assert.Equal(t, granted(3), store.Execute(4*time.Second, acquire("l", "two", 3000)).Answer)
}

// Tokens and numbers must continue when no lock is held, after a restart of all members, and at a member that only
// applies changes.
func TestTokensAndNumbersDoNotRepeatAfterRestart(t *testing.T) {
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

// A call that is answered with 400, 404, 409, 410, 412 or 507 must not change anything, so that it cannot take effect
// later.
func TestRejectedCallChangesNothing(t *testing.T) {
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
	rejected := []struct {
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
	for _, test := range rejected {
		result := store.Execute(0, test.call)
		assert.Equal(t, test.status, result.Answer.Status, "%+v", test.call)
		assert.Empty(t, result.Changes, "%+v", test.call)
	}
	assert.Equal(t, before, store.Snapshot(0))
}

// The answer of a put is lost, another put replaces its value, and all members restart. When the first put is sent
// again, it must be recognised as a repeat: a 412 would tell the caller that it never took effect.
func TestRepeatedPutGetsItsFirstRevision(t *testing.T) {
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

// A 412 must report the revision of the key. The group's revision may belong to another key, so no put of this key
// would have it.
func TestMismatchReportsRevisionOfTheKey(t *testing.T) {
	store := newTestStore()
	store.Execute(0, put("g.a", "1", 0))
	store.Execute(0, put("g.b", "2", 0))
	assert.Equal(t, atRevision(StatusRevisionMismatch, 1), store.Execute(0, put("g.a", "3", 2)).Answer)
	assert.Equal(t, atRevision(StatusRevisionMismatch, 0), store.Execute(0, put("g.c", "4", 2)).Answer)
}

// A rejected put must not take effect when it is repeated: once the key has passed the expected revision, it never has
// it again.
func TestRejectedPutStaysRejectedWhenRepeated(t *testing.T) {
	store := newTestStore()
	store.Execute(0, put("g.a", "1", 0))
	store.Execute(0, put("g.a", "2", 1))
	late := put("g.a", "late", 1)
	for i := range 20 {
		require.Equal(t, StatusRevisionMismatch, store.Execute(0, late).Answer.Status)
		store.Execute(0, put("g.a", fmt.Sprint("v", i), message.Revision(i+2)))
	}
}

// Restores, restarts and dropped history must neither skip nor repeat a revision of a group.
func TestRevisionsAreNeitherRepeatedNorSkipped(t *testing.T) {
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

// A watcher resumes at a restarted member from a revision that it received shortly before. The restart must not make
// events old enough to be dropped.
func TestWatcherCanResumeAfterRestart(t *testing.T) {
	store := newFullStore(t)
	store.Execute(time.Minute, put("g.a", "next", 9))
	restarted := newStore(store.options, store.limits)
	restarted.Restore(0, store.Snapshot(time.Minute), true)
	require.Empty(t, restarted.Maintain(testRetention))
	answer := restarted.Execute(testRetention, watch("g.", 9, 9000)).Answer
	assert.Equal(t, []message.KeyEvent{{Key: "g.a", Value: "next", Revision: 10}}, answer.Events)
	assert.Equal(t, StatusOK, restarted.Execute(testRetention, watch("g.", 1, 9000)).Answer.Status)
}

// A watcher must see each put once, although history is dropped, answers are truncated and the issuer changes.
func TestWatcherSeesEachPutOnce(t *testing.T) {
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
			require.Equal(t, seen, answer.Revision, "all puts up to the revision were reported")
		}
		if i%50 == 20 {
			next := newStore(issuer.options, issuer.limits)
			next.Restore(now, issuer.Snapshot(now), false)
			issuer = next
		}
	}
	assert.Equal(t, message.Revision(puts-puts%7+1), seen)
}
