package fakesystem

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// With StreamsByTokenCount a stream has one event per output token. A request whose response is not a stream takes
// WorkTime. Both are recorded, with the times at which they ran.
func TestBackend_RecordsExecutions(t *testing.T) {
	executions := NewExecutionCounter()
	streaming := &Backend{ID: "b-1", Capacity: 2, StreamEvents: 2, StreamsByTokenCount: true}
	require.NoError(t, streaming.Start(executions))
	t.Cleanup(streaming.Close)
	nonStreaming := &Backend{ID: "b-2", Capacity: 2, WorkTime: 20 * time.Millisecond}
	require.NoError(t, nonStreaming.Start(executions))
	t.Cleanup(nonStreaming.Close)
	_, byCount := send(t, "POST", "http://"+streaming.address+"/a", "", "Request-Id", "r1", "Token-Count", "300,5")
	_, byDefault := send(t, "POST", "http://"+streaming.address+"/a", "", "Request-Id", "r2")
	_, text := send(t, "POST", "http://"+nonStreaming.address+"/a", "", "Request-Id", "r3")
	assert.Equal(t, 5, strings.Count(byCount, "data: "))
	assert.Equal(t, 2, strings.Count(byDefault, "data: "))
	assert.Equal(t, ResponsePrefix+"b-2", text)
	all := executions.All()
	assert.Len(t, all, 3)
	require.Len(t, all["r3"], 1)
	assert.Equal(t, "b-2", all["r3"][0].BackendID)
	assert.GreaterOrEqual(t, all["r3"][0].EndedAt.Sub(all["r3"][0].StartedAt), nonStreaming.WorkTime)
	assert.Equal(t, 1, executions.Count("r1"))
	assert.Zero(t, executions.Count("r9"))
}
