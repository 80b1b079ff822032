package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

var start = time.Unix(1_000_000, 0)

const document = `{"version":1,"routes":[],"services":[{"name":"plain","maxConns":1000},{"name":"llm","maxConns":1000,
"runtime":{"capacity":64,"cacheTokens":100000,"weightsMb":200,"adapterSlots":4,"loadsPerS":2,
"models":[{"name":"m","weightsMb":60,"loadS":5,"adapters":4,"adapterMb":1},{"name":"n","weightsMb":60,"loadS":5}]}}]}`

func newBalancer(t *testing.T, backends ...message.Backend) *Balancer {
	t.Helper()
	b := New(newRetryBudget(start.Add(-time.Minute)))
	config, err := configuration.Parse([]byte(document))
	require.NoError(t, err)
	b.SetConfig(config, start)
	b.SetBackends(backends, start)
	return b
}

func plainBackend(id message.BackendID) message.Backend {
	return message.Backend{ID: id, Service: "plain", Address: string(id) + ":1", Zone: "here", Capacity: 1000}
}

func backendWith(id message.BackendID, models ...message.ModelName) message.Backend {
	backend := message.Backend{ID: id, Service: "llm", Address: string(id) + ":1", Zone: "here", Capacity: 64}
	for _, model := range models {
		backend.Models = append(backend.Models, message.LoadedModel{Name: model})
	}
	return backend
}

func newRequest(service string, model message.ModelName, now time.Time) *Request {
	return &Request{
		Service: service, Model: model, Arrived: now, LatencyTarget: time.Second, PromptTokens: 10, OutputTokens: 10,
		Deadline: now.Add(20 * time.Second), ClientTimeoutAt: now.Add(20 * time.Second), result: make(chan PickResult, 1),
	}
}

// submit submits a request and returns its result if there is one at once. Otherwise waiting is true.
func submit(b *Balancer, r *Request, now time.Time) (result PickResult, waiting bool) {
	b.Submit(r, now)
	select {
	case result = <-r.result:
		return result, false
	default:
		return PickResult{}, true
	}
}

// A request that waits for a model could still wait when the grace time of a draining proxy expires, and would be lost.
func TestDraining_RejectsRequestsForMissingModel(t *testing.T) {
	b := newBalancer(t, backendWith("a", "n"))
	queued := newRequest("llm", "m", start)
	_, waiting := submit(b, queued, start)
	require.True(t, waiting)
	b.StartDraining(start.Add(time.Second))
	assert.Nil(t, (<-queued.result).Backend)
	result, waiting := submit(b, newRequest("llm", "m", start), start.Add(time.Second))
	assert.False(t, waiting)
	assert.Nil(t, result.Backend)
	result, _ = submit(b, newRequest("llm", "n", start), start.Add(time.Second))
	assert.NotNil(t, result.Backend, "a request for a loaded model must be served")
}
