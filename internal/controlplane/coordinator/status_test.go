package coordinator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/message"
)

// The status of a partitioned coordinator says that it does not serve proxies, and what it waits for.
func TestStatus_PartitionedCoordinator(t *testing.T) {
	hub := distribution.NewHub(0)
	go hub.Run(t.Context())
	loop := &replicaLoop{self: message.Member{Identity: "n-1", Address: "a:1"}, hub: hub, pending: newPendingResults(1)}
	view := message.View{Number: 4, Members: []message.Member{{Identity: "n-1", Address: "a:1"}}}
	view.Voters = append(view.Members, message.Member{Identity: "n-2", Address: "b:1"})
	loop.snapshot.Store(&membershipSnapshot{view: view, isMember: true, servingUntil: time.Now().Add(-time.Second), waitingFor: "a majority of the voters"})
	recorder := httptest.NewRecorder()
	(&operatorAPI{loop: loop, node: "n"}).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/status", nil))
	var status Status
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &status))
	assert.Equal(t, []string{"n-1 a:1"}, status.Members)
	assert.Equal(t, []string{"n-1 a:1", "n-2 b:1"}, status.Voters)
	assert.False(t, status.IsServing)
	assert.Equal(t, "a majority of the voters", status.WaitingFor)
}

// Responses to requests of an earlier process, or to another process at this address, are dropped.
func TestPendingResults_IgnoreResponsesToEarlierProcesses(t *testing.T) {
	loop := &replicaLoop{self: message.Member{Identity: "n-2", Address: "a:1"}, pending: newPendingResults(1000)}
	id, waiting := loop.pending.register()
	loop.deliver(&message.Message{To: "n-2", ConfigResponse: &message.ConfigResponse{ID: id - 1000, Status: http.StatusOK}})
	loop.deliver(&message.Message{To: "n-1", ConfigResponse: &message.ConfigResponse{ID: id, Status: http.StatusOK}})
	assert.Empty(t, waiting)
	loop.deliver(&message.Message{To: "n-2", ConfigResponse: &message.ConfigResponse{ID: id, Status: http.StatusConflict}})
	assert.Equal(t, http.StatusConflict, (<-waiting).Status)
	loop.pending.unregister(id)
	loop.deliver(&message.Message{To: "n-2", ConfigResponse: &message.ConfigResponse{ID: id, Status: http.StatusOK}})
	assert.Empty(t, waiting)
}
