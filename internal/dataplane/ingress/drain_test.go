package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
)

// Without the estimate a stream of 170 tokens that came 1.6 s after SIGTERM was accepted, and broken off when the grace
// time was over.
func TestDrain_CanFinish(t *testing.T) {
	var d drain
	const minute = time.Minute
	assert.True(t, d.canFinish(0, configuration.Streaming, 100_000, minute), "nothing is rejected before draining")
	d.begin(7 * time.Second)
	assert.True(t, d.canFinish(time.Second, configuration.Streaming, 170, minute))
	assert.False(t, d.canFinish(4*time.Second, configuration.Streaming, 170, minute))
	assert.True(t, d.canFinish(4*time.Second, configuration.Streaming, 20, minute))
	assert.True(t, d.canFinish(4*time.Second, configuration.Streaming, 170, 2*time.Second), "its deadline comes first")
	assert.True(t, d.canFinish(6*time.Second, configuration.Changing, 0, minute))
	assert.False(t, d.canFinish(6500*time.Millisecond, configuration.Changing, 0, minute))
}

// The time of streams is estimated as a high quantile: a few slow ones weigh more than many fast ones.
func TestDrain_EstimatesHighQuantileOfTokenTime(t *testing.T) {
	var d drain
	for range 200 {
		for range 9 {
			d.observeStream(time.Second, 100)
		}
		d.observeStream(4*time.Second, 100)
	}
	assert.InDelta(t, (40 * time.Millisecond).Seconds(), d.perToken().Seconds(), 0.015)
	for range 1000 {
		d.observeStream(time.Second, 100)
	}
	assert.InDelta(t, (10 * time.Millisecond).Seconds(), d.perToken().Seconds(), 0.003)
	d.observeStream(time.Hour, 0)
	assert.Less(t, d.perToken(), maxTokenTime, "a request that names no tokens is no observation")
}

// The rejection promises that the request has not run, says when to retry, and reaches no backend.
func TestDraining_RejectsWithRetryAfter(t *testing.T) {
	b := newFakeBackend(t, stream(true, 1))
	p := newProxy(t, b)
	p.handler.StartDraining(time.Now().Add(100 * time.Millisecond))
	response, _, err := p.call(t, "/stream/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Equal(t, "0.05", response.Header.Get("Retry-After"))
	assert.Empty(t, b.requests())
}
