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

// A coordinator that is cut off tells so: it serves nobody, and says what it waits for.
func TestStatusTellsWhatACutCoordinatorWaitsFor(t *testing.T) {
	hub := distribution.NewHub()
	go hub.Run(t.Context())
	o := &owner{self: message.Member{Identity: "n-1", Address: "a:1"}, hub: hub, results: newResultBoard(1)}
	view := message.View{Number: 4, Members: []message.Member{{Identity: "n-1", Address: "a:1"}}}
	view.Voters = append(view.Members, message.Member{Identity: "n-2", Address: "b:1"})
	o.standing.Store(&standing{view: view, member: true, servesUntil: time.Now().Add(-time.Second), waitsFor: "a majority of the voters"})
	recorder := httptest.NewRecorder()
	(&api{owner: o, node: "n"}).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/status", nil))
	var status Status
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &status))
	assert.Equal(t, []string{"n-1 a:1"}, status.Members)
	assert.Equal(t, []string{"n-1 a:1", "n-2 b:1"}, status.Voters)
	assert.False(t, status.Serves)
	assert.Equal(t, "a majority of the voters", status.WaitsFor)
}

// A result for a call that an earlier process took, or for who had the address before, reaches no caller.
func TestResultsReachTheirCallersOnly(t *testing.T) {
	o := &owner{self: message.Member{Identity: "n-2", Address: "a:1"}, results: newResultBoard(1000)}
	id, waiting := o.results.open()
	o.deliver(&message.Message{To: "n-2", ConfigResponse: &message.ConfigResponse{ID: id - 1000, Status: http.StatusOK}})
	o.deliver(&message.Message{To: "n-1", ConfigResponse: &message.ConfigResponse{ID: id, Status: http.StatusOK}})
	assert.Empty(t, waiting)
	o.deliver(&message.Message{To: "n-2", ConfigResponse: &message.ConfigResponse{ID: id, Status: http.StatusConflict}})
	assert.Equal(t, http.StatusConflict, (<-waiting).Status)
	o.results.close(id)
	o.deliver(&message.Message{To: "n-2", ConfigResponse: &message.ConfigResponse{ID: id, Status: http.StatusOK}})
	assert.Empty(t, waiting)
}
