package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

func TestPeerLoads_TakePrecedenceOverTotals(t *testing.T) {
	b, loads := balancerWithLoads(t, 3)
	b.SetPeerLoads("llm", "m", loads, start)
	b.SetTotalLoads([]message.BackendLoad{{Backend: "b02", InFlight: 50, QueuedPrefillMs: 900}}, nil, start.Add(loadReportLifetime))
	assert.Zero(t, b.backends["b02"].peersInFlight)
	b.ObserveLoad(b.backends["b02"], 9, 9, start.Add(loadReportLifetime))
	assert.Zero(t, b.backends["b02"].peersInFlight)
	b.SetTotalLoads([]message.BackendLoad{{Backend: "b02", InFlight: 50, QueuedPrefillMs: 900}}, nil, start.Add(loadReportLifetime+1))
	assert.Equal(t, 50, b.backends["b02"].peersInFlight)
	assert.Equal(t, 900.0, b.backends["b02"].peersQueuedPrefillMs)
}

// The load changes with the pick, the first event and the end of one request. Each change must be returned once.
func TestTakeChangedLoads_ReturnsEachChangeOnce(t *testing.T) {
	b := newBalancer(t, backendWith("b1", "m"))
	r := newRequest("llm", "m", start)
	r.PromptTokens = 1000
	result, _ := submit(b, r, start)
	assert.Equal(t, []message.BackendLoad{{Backend: "b1", InFlight: 1, QueuedPrefillMs: 50}}, b.TakeChangedLoads())
	assert.Empty(t, b.TakeChangedLoads())
	b.FirstEvent(r, result.Backend, 100*time.Millisecond)
	assert.Equal(t, []message.BackendLoad{{Backend: "b1", InFlight: 1}}, b.TakeChangedLoads())
	b.Finish(r, result.Backend, Succeeded, time.Second, start)
	assert.Equal(t, []message.BackendLoad{{Backend: "b1"}}, b.TakeChangedLoads())
}
