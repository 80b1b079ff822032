package distribution

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

func load(backend message.BackendID, inFlight, queuedPrefillMs int) message.BackendLoad {
	return message.BackendLoad{Backend: backend, InFlight: inFlight, QueuedPrefillMs: queuedPrefillMs}
}

// The queries are for a model, for an adapter, and for a model of another service, which no backend holds.
func TestHub_AnswersLoadQueriesByModel(t *testing.T) {
	hub := NewHub(0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go hub.Run(ctx)
	query := func(proxy string, report message.LoadReport) *message.LoadResponse {
		t.Helper()
		answer := make(chan *message.Message, 1)
		report.ID = 7
		hub.HandleLoadReport(proxy, &report, func(m *message.Message) { answer <- m })
		response := (<-answer).LoadResponse
		assert.Equal(t, uint64(7), response.ID)
		return response
	}
	assert.True(t, query("p1", message.LoadReport{Service: "s", Model: "m"}).Unknown, "no list of backends yet")
	list := &discovery.BackendList{ObservedAt: time.Now(), Backends: []message.Backend{
		{ID: "b1", Service: "s", Models: []message.LoadedModel{{Name: "m", Adapters: []string{"a1"}}}},
		{ID: "b2", Service: "s", Models: []message.LoadedModel{{Name: "m"}}},
		{ID: "b3", Service: "s", Models: []message.LoadedModel{{Name: "n"}}},
	}}
	list.SetDigest()
	hub.SetBackends(list)
	hub.HandleLoadReport("p2", &message.LoadReport{Loads: []message.BackendLoad{load("b1", 1, 20), load("b3", 5, 0)}}, nil)
	own := message.LoadReport{Service: "s", Model: "m", Loads: []message.BackendLoad{load("b2", 9, 0)}}
	others := []message.BackendLoad{load("b1", 1, 20)}
	assert.Equal(t, others, query("p1", own).Loads, "the asking proxy's own load is left out")
	both := []message.BackendLoad{load("b1", 1, 20), load("b2", 9, 0)}
	assert.Equal(t, both, query("p3", message.LoadReport{Service: "s", Model: "m"}).Loads)
	assert.Equal(t, others, query("p3", message.LoadReport{Service: "s", Model: "m/a1"}).Loads)
	assert.Empty(t, query("p3", message.LoadReport{Service: "other", Model: "m"}).Loads)
}
