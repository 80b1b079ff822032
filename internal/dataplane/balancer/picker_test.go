package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func TestPick_SpreadsEvenlyByWeight(t *testing.T) {
	pick := func() string {
		b := newBalancer(t, plainBackend("a"), plainBackend("b"), plainBackend("c"))
		b.backends["a"].weight = 2
		order := ""
		for i := range 16 {
			now := start.Add(time.Duration(i) * time.Second)
			r := newRequest("plain", "", now)
			result, waiting := submit(b, r, now)
			require.False(t, waiting)
			order += string(result.Backend.ID)
			result.Backend.inFlight-- // ends the attempt without a completion
		}
		return order
	}
	first := pick()
	assert.Equal(t, first, pick())
	counts := map[rune]int{}
	for _, id := range first {
		counts[id]++
	}
	assert.Equal(t, map[rune]int{'a': 8, 'b': 4, 'c': 4}, counts)
	assert.NotContains(t, first, "aaa")
}

func TestPick_OnlyBackendsWithModel(t *testing.T) {
	draining := backendWith("c", "m")
	draining.Draining = true
	b := newBalancer(t, backendWith("a", "n"), backendWith("b", "m"), draining)
	for range 10 {
		result, waiting := submit(b, newRequest("llm", "m", start), start)
		require.False(t, waiting)
		assert.Equal(t, message.BackendID("b"), result.Backend.ID)
	}
}

func TestPick_LeastQueuedPrefill(t *testing.T) {
	b := newBalancer(t, backendWith("a", "m"), backendWith("b", "m"))
	long := newRequest("llm", "m", start)
	long.PromptTokens = 8000
	first, _ := submit(b, long, start)
	for range 3 {
		result, waiting := submit(b, newRequest("llm", "m", start), start)
		require.False(t, waiting)
		assert.NotEqual(t, first.BackendID, result.BackendID, "the backend with the long queued prefill must not be picked")
	}
	b.FirstEvent(long, first.Backend, 400*time.Millisecond)
	assert.Zero(t, first.Backend.queuedPrefillMs)
}

// balancerWithLoads returns a balancer with count backends that have loaded m, and peer loads for all but the last.
func balancerWithLoads(t *testing.T, count int) (*Balancer, []message.BackendLoad) {
	t.Helper()
	var list []message.Backend
	var loads []message.BackendLoad
	for i := range count {
		id := message.BackendID(fmt.Sprintf("b%02d", i))
		list = append(list, backendWith(id, "m"))
		if i < count-1 {
			loads = append(loads, message.BackendLoad{Backend: id, InFlight: 1, QueuedPrefillMs: 200})
		}
	}
	return newBalancer(t, list...), loads
}

func TestPick_FreshPeerLoadsComparedOverAllBackends(t *testing.T) {
	b, loads := balancerWithLoads(t, 20)
	b.SetPeerLoads("llm", "m", loads, start)
	result, waiting := submit(b, newRequest("llm", "m", start), start)
	require.False(t, waiting)
	assert.Equal(t, message.BackendID("b19"), result.BackendID)
}

func TestPick_StalePeerLoadsComparedOverPickWindow(t *testing.T) {
	b, loads := balancerWithLoads(t, 20)
	b.SetPeerLoads("llm", "m", loads, start)
	later := start.Add(peerLoadLifetime + time.Millisecond)
	result, waiting := submit(b, newRequest("llm", "m", later), later)
	require.False(t, waiting)
	assert.Equal(t, message.BackendID("b00"), result.BackendID, "earliest deadline; the idle one is outside the window")
}

func TestPick_IdleConnectionPreferredUntilBusier(t *testing.T) {
	b, _ := balancerWithLoads(t, 20)
	b.SetIdleConnectionCheck(func(id message.BackendID) bool { return id == "b07" })
	pickedAt := func(queued int) message.BackendID {
		b.SetPeerLoads("llm", "m", []message.BackendLoad{{Backend: "b07", QueuedPrefillMs: queued}}, start)
		result, waiting := submit(b, newRequest("llm", "m", start), start)
		require.False(t, waiting)
		b.Finish(&Request{Service: "llm", Model: "m"}, result.Backend, Succeeded, time.Millisecond, start)
		return result.BackendID
	}
	assert.Equal(t, message.BackendID("b07"), pickedAt(0))
	assert.Equal(t, message.BackendID("b07"), pickedAt(dialCostMs-10))
	assert.NotEqual(t, message.BackendID("b07"), pickedAt(dialCostMs+10))
}
