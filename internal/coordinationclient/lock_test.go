package coordinationclient

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	granted = `{"fenceNo":41}`
	hold    = 3 * time.Second
)

func TestLockIsHeldByOneOwner(t *testing.T) {
	client := newSystem(t, 2)
	first, second := client.NewLock("l", "first", hold), client.NewLock("l", "second", hold)
	one, err := first.Acquire(t.Context())
	require.NoError(t, err)
	assert.True(t, one.IsHeld())
	_, err = second.Acquire(t.Context())
	require.ErrorIs(t, err, ErrHeld)
	require.NoError(t, one.Renew(t.Context()))
	again, err := first.Acquire(t.Context())
	require.NoError(t, err)
	assert.GreaterOrEqual(t, again.Token(), one.Token())
	require.NoError(t, again.Release(t.Context()))
	assert.False(t, again.IsHeld())
	two, err := second.Acquire(t.Context())
	require.NoError(t, err)
	assert.Greater(t, two.Token(), again.Token())
	require.ErrorIs(t, one.Renew(t.Context()), ErrLost)
	assert.False(t, one.IsHeld())
	require.NoError(t, one.Release(t.Context()), "a late release must have no effect")
	assert.True(t, two.IsHeld())
	require.NoError(t, two.Renew(t.Context()))
}

func TestHoldIsMeasuredFromTheSendingOfTheSuccessfulAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := reply(200, granted, 400*time.Millisecond)
		n, client := newNetwork(map[string]script{"a": inTurn(neverRespond, slow), "b": slow})
		got, err := client.NewLock("l", "o", hold).Acquire(t.Context())
		require.NoError(t, err)
		sent := n.recordedAttempts()[1].at
		assert.Equal(t, sent+hold, got.Until().Sub(n.start), "from the sending of the attempt, not from its answer")
		time.Sleep(time.Second)
		renewed := time.Since(n.start)
		require.NoError(t, got.Renew(t.Context()))
		assert.Equal(t, renewed+hold, got.Until().Sub(n.start))
	})
}

func TestGrantThatArrivesAfterTheEndOfTheHoldIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := newNetwork(map[string]script{"a": reply(200, granted, 200*time.Millisecond)})
		_, err := client.NewLock("l", "o", 150*time.Millisecond).Acquire(t.Context())
		require.ErrorIs(t, err, ErrLost)
	})
}

func TestLateRenewalHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := newNetwork(map[string]script{"a": inTurn(reply(200, granted, 0), reply(200, `{}`, 300*time.Millisecond))})
		got, err := client.NewLock("l", "o", hold).Acquire(t.Context())
		require.NoError(t, err)
		time.Sleep(hold - 200*time.Millisecond)
		require.ErrorIs(t, got.Renew(t.Context()), ErrLost)
		assert.False(t, got.IsHeld())
		assert.Equal(t, hold, time.Since(n.start), "Renew must return when the hold ends")
		require.ErrorIs(t, got.Renew(t.Context()), ErrLost)
		assert.Len(t, n.recordedAttempts(), 2, "a hold that has ended must not be renewed")
	})
}

func TestRenewalWithoutAnAnswerDoesNotChangeTheHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := newNetwork(map[string]script{"a": inTurn(reply(200, granted, 0), neverRespond), "b": neverRespond})
		got, err := client.NewLock("l", "o", hold).Acquire(t.Context())
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, got.Renew(ctx), ErrOutcomeUnknown)
		assert.True(t, got.IsHeld())
		assert.Equal(t, hold, got.Until().Sub(n.start))
	})
}

func TestHoldIsResumedByItsToken(t *testing.T) {
	client := newSystem(t, 1)
	lock := client.NewLock("l", "o", hold)
	acquired, err := lock.Acquire(t.Context())
	require.NoError(t, err)
	resumed, err := lock.Renew(t.Context(), acquired.Token())
	require.NoError(t, err)
	assert.Equal(t, acquired.Token(), resumed.Token())
	assert.True(t, resumed.IsHeld())
	_, err = lock.Renew(t.Context(), acquired.Token()+1)
	require.ErrorIs(t, err, ErrLost)
	require.NoError(t, lock.Release(t.Context(), acquired.Token()))
	_, err = lock.Renew(t.Context(), acquired.Token())
	require.ErrorIs(t, err, ErrLost)
}

func TestDurationIsTruncatedToWholeMilliseconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := newNetwork(map[string]script{"a": reply(200, granted, 0)})
		got, err := client.NewLock("l", "o", 1999*time.Microsecond).Acquire(t.Context())
		require.NoError(t, err)
		assert.Equal(t, time.Millisecond, got.Until().Sub(n.start))
		assert.JSONEq(t, `{"owner":"o","holdMs":1}`, n.recordedAttempts()[0].body)
	})
}

func TestHoldEndsWhenTheReleaseIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := newNetwork(map[string]script{"a": inTurn(reply(200, granted, 0), neverRespond)})
		got, err := client.NewLock("l", "o", hold).Acquire(t.Context())
		require.NoError(t, err)
		go func() { _ = got.Release(t.Context()) }()
		synctest.Wait()
		assert.False(t, got.IsHeld())
		require.ErrorIs(t, got.Renew(t.Context()), ErrLost)
	})
}

func TestRenewalInFlightDuringAReleaseHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := newNetwork(map[string]script{"a": inTurn(
			reply(200, granted, 0), reply(200, `{}`, 100*time.Millisecond), reply(200, `{}`, 0),
		)})
		got, err := client.NewLock("l", "o", hold).Acquire(t.Context())
		require.NoError(t, err)
		renewed := make(chan error)
		go func() { renewed <- got.Renew(t.Context()) }()
		synctest.Wait()
		require.NoError(t, got.Release(t.Context()))
		require.ErrorIs(t, <-renewed, ErrLost)
		assert.False(t, got.IsHeld())
	})
}

func TestKeeperRenewsUntilReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := newNetwork(map[string]script{"a": inTurn(reply(200, granted, 0), reply(200, `{}`, time.Millisecond))})
		got, err := client.NewLock("l", "o", hold).Acquire(t.Context())
		require.NoError(t, err)
		keeper := got.Keep(t.Context())
		time.Sleep(10 * hold)
		assert.True(t, keeper.Hold().IsHeld())
		require.NoError(t, keeper.Release(t.Context()))
		<-keeper.Done()
		attempts := n.recordedAttempts()
		assert.Equal(t, "DELETE", attempts[len(attempts)-1].method)
		assert.InDelta(t, 10*renewalsPerHold, len(attempts), 2)
		time.Sleep(10 * hold)
		assert.Len(t, n.recordedAttempts(), len(attempts), "no renewal after the release")
	})
}

func TestKeeperEndsWithTheHold(t *testing.T) {
	for name, c := range map[string]struct {
		renewal script
		at      time.Duration
	}{
		"another owner has the lock": {reply(409, `{}`, 0), hold / renewalsPerHold},
		"no coordinator answers":     {neverRespond, hold},
		"all coordinators fail":      {reply(503, `{}`, 0), hold},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, client := newNetwork(map[string]script{"a": inTurn(reply(200, granted, 0), c.renewal), "b": c.renewal})
				got, err := client.NewLock("l", "o", hold).Acquire(t.Context())
				require.NoError(t, err)
				keeper := got.Keep(t.Context())
				<-keeper.Done()
				assert.Equal(t, c.at, time.Since(n.start))
				assert.False(t, keeper.Hold().IsHeld())
			})
		})
	}
}

func TestKeeperSurvivesTheLossOfACoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := newNetwork(map[string]script{
			"a": inTurn(reply(200, granted, 0), neverRespond), "b": reply(200, `{}`, time.Millisecond),
		})
		got, err := client.NewLock("l", "o", hold).Acquire(t.Context())
		require.NoError(t, err)
		keeper := got.Keep(t.Context())
		time.Sleep(5 * hold)
		assert.True(t, keeper.Hold().IsHeld())
		require.NoError(t, keeper.Release(t.Context()))
		assert.NotEmpty(t, n.recordedAttempts())
	})
}

func TestElectionPassesToTheNextCandidate(t *testing.T) {
	client := newSystem(t, 2)
	first, err := client.NewElection("e", "first", hold).Campaign(t.Context())
	require.NoError(t, err)
	elected := make(chan *Keeper)
	go func() {
		second, _ := client.NewElection("e", "second", hold).Campaign(t.Context())
		elected <- second
	}()
	select {
	case <-elected:
		t.Fatal("two leaders")
	case <-time.After(50 * time.Millisecond): // a second leader would have been elected by now
	}
	require.NoError(t, first.Release(t.Context()))
	second := <-elected
	require.NotNil(t, second)
	assert.Greater(t, second.Hold().Token(), first.Hold().Token())
	require.NoError(t, second.Release(t.Context()))
}

func TestCampaignEndsWithItsContextAndWithRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := newNetwork(map[string]script{"a": reply(409, `{}`, 0)})
		ctx, cancel := context.WithTimeout(t.Context(), 10*campaignInterval-time.Millisecond)
		defer cancel()
		_, err := client.NewElection("e", "c", hold).Campaign(ctx)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Len(t, n.recordedAttempts(), 10)

		_, client = newNetwork(map[string]script{"a": reply(400, `{"error":"owner is empty"}`, 0)})
		_, err = client.NewElection("e", "", hold).Campaign(t.Context())
		require.ErrorContains(t, err, "owner is empty")
	})
}
