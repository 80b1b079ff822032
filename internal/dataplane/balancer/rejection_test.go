package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func TestMissingModel_QueuedOrRejectedByClientTimeout(t *testing.T) {
	b := newBalancer(t, backendWith("a", "n"))
	longTimeout := newRequest("llm", "m", start)
	_, waiting := submit(b, longTimeout, start)
	assert.True(t, waiting, "a load of 5 s can end before the client's time-out")
	assert.True(t, b.hasUnmetDemand, "the coordinators must be notified at once")
	shortTimeout := newRequest("llm", "m", start)
	shortTimeout.ClientTimeoutAt = start.Add(2 * time.Second)
	_, waiting = submit(b, shortTimeout, start)
	assert.True(t, waiting, "at first a warm load can still provide the model in time")
	b.Tick(start.Add(300 * time.Millisecond))
	result := <-shortTimeout.result
	assert.Nil(t, result.Backend)
	assert.Positive(t, result.RetryAfter)
	b.SetBackends([]message.Backend{backendWith("a", "n", "m")}, start.Add(3*time.Second))
	result = <-longTimeout.result
	assert.Equal(t, message.BackendID("a"), result.Backend.ID, "the queued request must get it once its model is loaded")
}

func TestNoCapacity_RejectedAfterQuarterOfLatencyTarget(t *testing.T) {
	full := plainBackend("a")
	full.Capacity = 1
	b := newBalancer(t, full)
	submit(b, newRequest("plain", "", start), start)
	r := newRequest("plain", "", start)
	_, waiting := submit(b, r, start)
	require.True(t, waiting)
	b.Tick(start.Add(249 * time.Millisecond))
	assert.Empty(t, r.result)
	b.Tick(start.Add(250 * time.Millisecond))
	assert.Nil(t, (<-r.result).Backend)
}

func TestQueuedPrefill_BoundedByClientTimeout(t *testing.T) {
	b := newBalancer(t, backendWith("a", "m"))
	for range 3 {
		r := newRequest("llm", "m", start)
		r.PromptTokens, r.ClientTimeoutAt = 7000, start.Add(2*time.Second)
		submit(b, r, start)
	}
	r := newRequest("llm", "m", start)
	r.PromptTokens, r.ClientTimeoutAt = 4000, start.Add(2*time.Second)
	_, waiting := submit(b, r, start)
	require.True(t, waiting, "more than 1 s of prefill is queued at the only backend with the model")
	b.Tick(start.Add(time.Second / 4))
	assert.Nil(t, (<-r.result).Backend, "the request must be rejected before its client gives up")
}
