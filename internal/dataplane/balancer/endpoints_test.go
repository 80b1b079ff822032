package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// The platform's list lags by a varying time, so a later reading may show a draining backend as ready once more.
func TestSetBackends_LaggingListDoesNotEndDraining(t *testing.T) {
	ready, draining := plainBackend("a"), plainBackend("a")
	draining.Draining = true
	b := newBalancer(t, ready)
	b.SetBackends([]message.Backend{draining}, start)
	lagging := start.Add(time.Second)
	b.SetBackends([]message.Backend{ready}, lagging)
	request := newRequest("plain", "", lagging)
	_, waiting := submit(b, request, lagging)
	require.True(t, waiting, "a backend that drains got a request")
	b.Tick(lagging.Add(drainingLifetime))
	assert.NotNil(t, (<-request.result).Backend, "a backend that stays ready is used again")
}

func TestSetBackends_BackendThatIsListedAgainIsReady(t *testing.T) {
	ready, draining := plainBackend("a"), plainBackend("a")
	draining.Draining = true
	b := newBalancer(t, draining)
	b.SetBackends(nil, start)
	b.SetBackends([]message.Backend{ready}, start)
	result, _ := submit(b, newRequest("plain", "", start), start)
	assert.NotNil(t, result.Backend)
}
