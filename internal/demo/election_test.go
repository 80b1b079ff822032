package demo

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/coordinationclient"
	"pumiceline/internal/fake/fakecoordination"
)

func TestElection_HasOneLeaderAtATime(t *testing.T) {
	system, err := fakecoordination.Start(2)
	require.NoError(t, err)
	defer system.Close()
	e, err := newElection(system.Addresses())
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	result := e.run(ctx)
	assert.Equal(t, 1, result.Terms)
	assert.Equal(t, 1, result.LeadersAtOnce)
	assert.False(t, result.HasTokenFault)
}

func TestElection_RecordsTwoLeadersAndVacancy(t *testing.T) {
	system, err := fakecoordination.Start(1)
	require.NoError(t, err)
	defer system.Close()
	e, err := newElection(system.Addresses())
	require.NoError(t, err)
	client, err := coordinationclient.New(coordinationclient.Options{Addresses: system.Addresses()})
	require.NoError(t, err)
	first, err := client.NewLock("one lock", "one", time.Minute).Acquire(t.Context())
	require.NoError(t, err)
	second, err := client.NewLock("another lock", "two", time.Minute).Acquire(t.Context())
	require.NoError(t, err)
	e.addLeader("two", second)
	e.addLeader("one", first)
	assert.True(t, e.result.HasTokenFault, "the second leader has the lower token")
	lastLed := e.sample(time.Time{})
	assert.Equal(t, 2, e.result.LeadersAtOnce)
	require.NoError(t, first.Release(t.Context()))
	require.NoError(t, second.Release(t.Context()))
	assert.Equal(t, lastLed, e.sample(lastLed))
	assert.Positive(t, e.result.LongestVacancy)
	e.result.LongestVacancy = 0
	e.sample(time.Time{})
	assert.Zero(t, e.result.LongestVacancy, "the time before the first leader is not a vacancy")
}
