package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func TestEndpointStats_WeightFollowsA58(t *testing.T) {
	e := &endpointStats{}
	now := start
	for i := range 40 {
		now = now.Add(500 * time.Millisecond)
		if i%4 == 3 {
			e.addError(now)
		} else {
			e.addCompletion(now, 200*time.Millisecond)
		}
	}
	weight, ok := e.weight(now, 10)
	require.True(t, ok)
	rate := e.completions / statsTimeConstant.Seconds()
	utilization := e.busySeconds / statsTimeConstant.Seconds() / 10
	assert.InDelta(t, rate/(utilization+e.errors/e.completions*errorUtilizationPenalty), weight, 1e-9)
	assert.InDelta(t, 1.0/3, e.errors/e.completions, 0.05)
}

func TestEndpointStats_NoWeightInBlackoutAndAfterExpiration(t *testing.T) {
	e := &endpointStats{}
	now := start
	for range 20 {
		now = now.Add(400 * time.Millisecond)
		e.addCompletion(now, 100*time.Millisecond)
	}
	_, ok := e.weight(now, 10)
	assert.False(t, ok, "blackout")
	now = start.Add(400*time.Millisecond + blackoutPeriod)
	_, ok = e.weight(now, 10)
	assert.True(t, ok)
	_, ok = e.weight(now.Add(weightExpiration), 10)
	assert.False(t, ok, "expired")
	e.addCompletion(now.Add(2*weightExpiration), time.Second)
	_, ok = e.weight(now.Add(2*weightExpiration+time.Second), 10)
	assert.False(t, ok, "a new blackout period must begin after expiration")
}

func TestSlowStartFactor_FollowsA100(t *testing.T) {
	assert.InDelta(t, math.Max(slowStartFloor, 1/slowStartWindow.Seconds()), slowStartFactor(start, start), 1e-9)
	half := slowStartWindow / 2
	want := math.Pow(half.Seconds()/slowStartWindow.Seconds(), 1/slowStartAggression)
	assert.InDelta(t, want, slowStartFactor(start, start.Add(half)), 1e-9)
	assert.Equal(t, 1.0, slowStartFactor(start, start.Add(slowStartWindow)))
	assert.Equal(t, 1.0, slowStartFactor(time.Time{}, start), "ready since before the proxy started")
}

func TestNewBackend_SlowStart(t *testing.T) {
	b := newBalancer(t, plainBackend("a"), plainBackend("b"))
	now := start.Add(time.Minute)
	b.SetBackends([]message.Backend{plainBackend("a"), plainBackend("b"), plainBackend("new")}, now)
	b.updateWeights("plain", now)
	assert.InDelta(t, 1/slowStartWindow.Seconds(), b.backends["new"].weight, 1e-9)
	assert.Equal(t, 1.0, b.backends["a"].weight)
	now = now.Add(slowStartWindow)
	b.updateWeights("plain", now)
	assert.Equal(t, 1.0, b.backends["new"].weight)
}

func TestNewModel_SlowStartOnlyOnBackendThatLoadedIt(t *testing.T) {
	b := newBalancer(t, backendWith("a", "m", "n"), backendWith("b", "n"))
	now := start.Add(time.Minute)
	b.SetBackends([]message.Backend{backendWith("a", "m", "n"), backendWith("b", "n", "m")}, now)
	weights := func(model message.ModelName, now time.Time) (float64, float64) {
		r := newRequest("llm", model, now)
		return b.backends["a"].weightFor(r, now), b.backends["b"].weightFor(r, now)
	}
	old, fresh := weights("m", now)
	assert.Equal(t, 1.0, old)
	assert.InDelta(t, 1/slowStartWindow.Seconds(), fresh, 1e-9)
	old, other := weights("n", now)
	assert.Equal(t, old, other, "a model that was loaded before must have no slow start")
	_, ready := weights("m", now.Add(slowStartWindow))
	assert.Equal(t, 1.0, ready)
}
