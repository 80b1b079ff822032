package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// holders makes a balancer before that many holders of m, all but the last with a queue.
func holders(t *testing.T, count int) (*Balancer, []message.BackendLoad) {
	t.Helper()
	var list []message.Backend
	var loads []message.BackendLoad
	for i := range count {
		id := message.BackendID(fmt.Sprintf("b%02d", i))
		list = append(list, holding(id, "m"))
		if i < count-1 {
			loads = append(loads, message.BackendLoad{Backend: id, Running: 1, Queued: 200})
		}
	}
	return newBalancer(t, list...), loads
}

func TestFreshLoadsAreComparedOverAllHolders(t *testing.T) {
	b, loads := holders(t, 20)
	b.Refresh("llm", "m", loads, start)
	grant, waiting := arrive(b, request("llm", "m", start), start)
	require.False(t, waiting)
	assert.Equal(t, message.BackendID("b19"), grant.ID)
}

func TestOlderLoadsAreComparedOverTheDueTurns(t *testing.T) {
	b, loads := holders(t, 20)
	b.Refresh("llm", "m", loads, start)
	later := start.Add(freshLifetime + time.Millisecond)
	grant, waiting := arrive(b, request("llm", "m", later), later)
	require.False(t, waiting)
	assert.Equal(t, message.BackendID("b00"), grant.ID, "the first of those due; the idle one is not among them")
}

func TestFreshLoadsStandAboveOlderSums(t *testing.T) {
	b, loads := holders(t, 3)
	b.Refresh("llm", "m", loads, start)
	b.SetTotals([]message.BackendLoad{{Backend: "b02", Running: 50, Queued: 900}}, nil, start.Add(ownWordLifetime))
	assert.Zero(t, b.backends["b02"].others)
	b.Observe(b.backends["b02"], 9, 9, start.Add(ownWordLifetime))
	assert.Zero(t, b.backends["b02"].others)
	b.SetTotals([]message.BackendLoad{{Backend: "b02", Running: 50, Queued: 900}}, nil, start.Add(ownWordLifetime+1))
	assert.Equal(t, 50, b.backends["b02"].others)
	assert.Equal(t, 900.0, b.backends["b02"].queuedOut)
}

// TestEachChangeIsToldOnce follows one request from its grant to its end.
func TestEachChangeIsToldOnce(t *testing.T) {
	b := newBalancer(t, holding("b1", "m"))
	r := request("llm", "m", start)
	r.PromptTokens = 1000
	grant, _ := arrive(b, r, start)
	assert.Equal(t, []message.BackendLoad{{Backend: "b1", Running: 1, Queued: 50}}, b.TakeChanged())
	assert.Empty(t, b.TakeChanged())
	b.Began(r, grant.Backend, 100*time.Millisecond)
	assert.Equal(t, []message.BackendLoad{{Backend: "b1", Running: 1}}, b.TakeChanged())
	b.Finish(r, grant.Backend, Answered, time.Second, start)
	assert.Equal(t, []message.BackendLoad{{Backend: "b1"}}, b.TakeChanged())
}

func TestABackendWithAConnectionIsPreferredUntilItIsBusier(t *testing.T) {
	b, _ := holders(t, 20)
	b.SetConnections(func(id message.BackendID) bool { return id == "b07" })
	arriveAt := func(queued int) message.BackendID {
		b.Refresh("llm", "m", []message.BackendLoad{{Backend: "b07", Queued: queued}}, start)
		grant, waiting := arrive(b, request("llm", "m", start), start)
		require.False(t, waiting)
		b.Finish(&Request{Service: "llm", Model: "m"}, grant.Backend, Answered, time.Millisecond, start)
		return grant.ID
	}
	assert.Equal(t, message.BackendID("b07"), arriveAt(0))
	assert.Equal(t, message.BackendID("b07"), arriveAt(connectionCost-10))
	assert.NotEqual(t, message.BackendID("b07"), arriveAt(connectionCost+10))
}
