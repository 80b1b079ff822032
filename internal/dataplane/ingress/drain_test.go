package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
)

// Without the estimate, a stream of 170 tokens that arrived 1.6 s after SIGTERM was accepted, and was aborted when the
// grace time expired.
func TestDrain_CanFinish(t *testing.T) {
	var d drain
	const minute = time.Minute
	assert.True(t, d.canFinish(0, configuration.Streaming, 100_000, minute), "no request may be rejected before draining")
	d.begin(7 * time.Second)
	assert.True(t, d.canFinish(time.Second, configuration.Streaming, 170, minute))
	assert.False(t, d.canFinish(4*time.Second, configuration.Streaming, 170, minute))
	assert.True(t, d.canFinish(4*time.Second, configuration.Streaming, 20, minute))
	assert.True(t, d.canFinish(4*time.Second, configuration.Streaming, 170, 2*time.Second), "deadline before the end")
	assert.True(t, d.canFinish(6*time.Second, configuration.Changing, 0, minute))
	assert.False(t, d.canFinish(6500*time.Millisecond, configuration.Changing, 0, minute))
}

// The estimate is a high quantile of the time per token, so a few slow streams have more effect on it than many fast
// ones.
func TestDrain_EstimatesHighQuantileOfTokenTime(t *testing.T) {
	var d drain
	for range 200 {
		for range 9 {
			d.observeStream(time.Second, 100)
		}
		d.observeStream(4*time.Second, 100)
	}
	assert.InDelta(t, (40 * time.Millisecond).Seconds(), d.timePerToken().Seconds(), 0.015)
	for range 1000 {
		d.observeStream(time.Second, 100)
	}
	assert.InDelta(t, (10 * time.Millisecond).Seconds(), d.timePerToken().Seconds(), 0.003)
	d.observeStream(time.Hour, 0)
	assert.Less(t, d.timePerToken(), maxTokenTime, "a stream without a token count must not be observed")
}

// A stream that is as slow as one in fifty must not be accepted when it cannot be complete: it would be cut when the
// grace time expires.
func TestDrain_RejectsWhatOneSlowStreamInFiftyCouldNotFinish(t *testing.T) {
	var d drain
	for range 40 {
		for range 49 {
			d.observeStream(time.Second, 100)
		}
		d.observeStream(3*time.Second, 100)
	}
	d.begin(2 * time.Second)
	assert.False(t, d.canFinish(0, configuration.Streaming, 100, time.Minute))
	assert.True(t, d.canFinish(0, configuration.Streaming, 20, time.Minute))
}

// The rejection must be a 503 with Retry-After, which promises that the request has not run. So the request must not
// reach a backend.
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
