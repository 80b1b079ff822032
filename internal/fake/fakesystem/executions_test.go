package fakesystem

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A backend that streams by token count sends an event a token, works on others for its work time, and records when it did.
func TestBackend_RecordsExecutions(t *testing.T) {
	executions := NewExecutionCounter()
	streams := &Backend{ID: "b-1", Capacity: 2, StreamEvents: 2, StreamsByTokenCount: true}
	require.NoError(t, streams.Start(executions))
	t.Cleanup(streams.Close)
	documents := &Backend{ID: "b-2", Capacity: 2, WorkTime: 20 * time.Millisecond}
	require.NoError(t, documents.Start(executions))
	t.Cleanup(documents.Close)
	_, byCount := send(t, "POST", "http://"+streams.address+"/a", "", "Request-Id", "r1", "Token-Count", "300,5")
	_, byDefault := send(t, "POST", "http://"+streams.address+"/a", "", "Request-Id", "r2")
	_, document := send(t, "POST", "http://"+documents.address+"/a", "", "Request-Id", "r3")
	assert.Equal(t, 5, strings.Count(byCount, "data: "))
	assert.Equal(t, 2, strings.Count(byDefault, "data: "))
	assert.Equal(t, ResponsePrefix+"b-2", document)
	all := executions.All()
	assert.Len(t, all, 3)
	require.Len(t, all["r3"], 1)
	assert.Equal(t, "b-2", all["r3"][0].BackendID)
	assert.GreaterOrEqual(t, all["r3"][0].EndedAt.Sub(all["r3"][0].StartedAt), documents.WorkTime)
	assert.Equal(t, 1, executions.Count("r1"))
	assert.Zero(t, executions.Count("r9"))
}
