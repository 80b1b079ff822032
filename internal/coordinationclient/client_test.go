package coordinationclient

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestNewRejectsInvalidOptions(t *testing.T) {
	_, err := New(Options{})
	require.ErrorContains(t, err, "addresses")
	_, err = New(Options{Addresses: []string{"a"}, RetryTimeout: -1})
	require.ErrorContains(t, err, "patience")
}

func TestAnotherCoordinatorIsCalledAfterAFailure(t *testing.T) {
	number := reply(200, `{"value":7}`, 0)
	for name, c := range map[string]struct {
		first    script
		earliest time.Duration // of the call to the other coordinator
	}{
		"refused connection":       {refuse, 0},
		"reset connection":         {reset, 0},
		"500":                      {reply(500, ``, 0), 0},
		"503":                      {reply(503, `{}`, 0), 0},
		"504":                      {reply(504, `{}`, 0), 0},
		"429":                      {reply(429, `{}`, 0), 0},
		"no response for a second": {neverRespond, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, client := newNetwork(map[string]script{"a": c.first, "b": number})
				counter := client.NewCounter("n")
				got, err := counter.Next(t.Context())
				require.NoError(t, err)
				assert.EqualValues(t, 7, got)
				assert.GreaterOrEqual(t, n.recordedAttempts()[1].at, c.earliest)
				assert.LessOrEqual(t, n.recordedAttempts()[1].at, c.earliest+firstPause)
				_, err = counter.Next(t.Context())
				require.NoError(t, err)
				assert.Equal(t, "b", n.recordedAttempts()[2].address, "the next call goes to the address that answered")
			})
		})
	}
}

func TestPausesGrowUntilTheTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := newNetwork(nil)
		_, err := client.NewCounter("n").Next(t.Context())
		require.ErrorIs(t, err, ErrNotExecuted)
		attempts := n.recordedAttempts()
		assert.Less(t, len(attempts), 40)
		assert.LessOrEqual(t, time.Since(n.start), defaultRetryTimeout)
		last := attempts[len(attempts)-1].at - attempts[len(attempts)-2].at
		assert.GreaterOrEqual(t, last, maxPause/2)
		assert.LessOrEqual(t, last, maxPause)
	})
}

func TestErrorSaysWhetherTheCallMayHaveBeenExecuted(t *testing.T) {
	for name, c := range map[string]struct {
		a, b script
		want error
	}{
		"all refused or 503":      {refuse, reply(503, `{}`, 0), ErrNotExecuted},
		"429":                     {reply(429, `{}`, 0), reply(429, `{}`, 0), ErrNotExecuted},
		"one reset":               {inTurn(reset, refuse), refuse, ErrOutcomeUnknown},
		"one 504":                 {refuse, inTurn(reply(504, `{}`, 0), refuse), ErrOutcomeUnknown},
		"one without a response":  {inTurn(neverRespond, refuse), refuse, ErrOutcomeUnknown},
		"one 500":                 {inTurn(reply(500, ``, 0), refuse), refuse, ErrOutcomeUnknown},
		"one 502":                 {reply(502, ``, 0), refuse, ErrOutcomeUnknown},
		"a body that is not JSON": {reply(200, `{`, 0), refuse, ErrInvalidResponse},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, client := newNetwork(map[string]script{"a": c.a, "b": c.b})
				_, err := client.NewCounter("n").Next(t.Context())
				require.ErrorIs(t, err, c.want)
			})
		})
	}
}

func TestRejectionIsNotRepeated(t *testing.T) {
	for _, status := range []int{400, 404, 413, 507} {
		synctest.Test(t, func(t *testing.T) {
			n, client := newNetwork(map[string]script{"a": reply(status, `{"error":"why"}`, 0)})
			_, err := client.NewCounter("n").Next(t.Context())
			var rejected *RejectedError
			require.ErrorAs(t, err, &rejected)
			assert.Equal(t, RejectedError{Status: status, Text: "why"}, *rejected)
			assert.Len(t, n.recordedAttempts(), 1)
		})
	}
}

func TestCallEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := newNetwork(map[string]script{"a": neverRespond})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := client.NewCounter("n").Next(ctx)
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, 300*time.Millisecond, time.Since(n.start))
	})
}

func TestNumbersIncrease(t *testing.T) {
	client := newSystem(t, 3)
	counter := client.NewCounter("n/1")
	last := uint64(0)
	for range 20 {
		number, err := counter.Next(t.Context())
		require.NoError(t, err)
		assert.Greater(t, number, last)
		last = number
	}
}
