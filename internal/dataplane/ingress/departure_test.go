package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
)

// Found on the bench: a stream of 170 tokens that came 1.6 s after SIGTERM was taken, and cut when the grace time was
// over.
func TestAStoppingProxyTakesNoStreamThatItCannotFinish(t *testing.T) {
	var d departure
	const minute = time.Minute
	assert.False(t, d.mustRefuse(0, configuration.Streaming, 100_000, minute), "nothing is refused before the stop")
	d.begin(7 * time.Second)
	assert.False(t, d.mustRefuse(time.Second, configuration.Streaming, 170, minute))
	assert.True(t, d.mustRefuse(4*time.Second, configuration.Streaming, 170, minute))
	assert.False(t, d.mustRefuse(4*time.Second, configuration.Streaming, 20, minute))
	assert.False(t, d.mustRefuse(4*time.Second, configuration.Streaming, 170, 2*time.Second), "its deadline comes first")
	assert.False(t, d.mustRefuse(6*time.Second, configuration.Changing, 0, minute))
	assert.True(t, d.mustRefuse(6500*time.Millisecond, configuration.Changing, 0, minute))
}

// What streams take is learnt as a high quantile: a few slow ones weigh more than many fast ones.
func TestSlowStreamsAreLearnt(t *testing.T) {
	var d departure
	for range 200 {
		for range 9 {
			d.learn(time.Second, 100)
		}
		d.learn(4*time.Second, 100)
	}
	assert.InDelta(t, (40 * time.Millisecond).Seconds(), d.perToken().Seconds(), 0.015)
	for range 1000 {
		d.learn(time.Second, 100)
	}
	assert.InDelta(t, (10 * time.Millisecond).Seconds(), d.perToken().Seconds(), 0.003)
	d.learn(time.Hour, 0)
	assert.Less(t, d.perToken(), mostTokenTime, "a request that names no tokens teaches nothing")
}

// The refusal is a promise with a time to come back, and reaches no backend.
func TestARefusalOfAStoppingProxyIsUnrun(t *testing.T) {
	b := newFakeBackend(t, events(true, 1))
	p := newProxy(t, b)
	p.handler.SetLeaving(time.Now().Add(100 * time.Millisecond))
	response, _, err := p.call(t, "/stream/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Equal(t, "0.05", response.Header.Get("Retry-After"))
	assert.Empty(t, b.requests())
}
