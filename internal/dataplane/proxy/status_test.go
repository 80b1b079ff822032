package proxy

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/lifecycle"
	"pumiceline/internal/message"
)

func TestProxy_StatusHasAgeOfListInUse(t *testing.T) {
	s := newTestSubscription(t)
	p := &Proxy{process: lifecycle.NewProcess(nil), settings: &bootstrap.Settings{Node: "p1"}, subscription: s}
	list := &message.BackendUpdate{Digest: 5, Backends: []message.Backend{{ID: "b1", Service: "s"}}}
	s.Apply(&message.PollResponse{BackendsKnown: true, Backends: list, BackendsAgeMs: 700}, time.Now())
	s.Apply(&message.PollResponse{BackendsKnown: true, Backends: list, BackendsAgeMs: 60000}, time.Now())
	recorder := httptest.NewRecorder()
	p.serveReady(recorder, httptest.NewRequest(http.MethodGet, statusPath, nil))
	var status Status
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &status))
	assert.Equal(t, "p1", status.Node)
	assert.False(t, status.IsReady)
	assert.InDelta(t, 700, status.List.AgeMs, 500)
	assert.Equal(t, uint64(1), status.List.Rejected, "the second list is older")
	assert.InDelta(t, 700, s.PollRequest().BackendsVersion.OldestMs, 500)

	recorder = httptest.NewRecorder()
	p.serveReady(recorder, httptest.NewRequest(http.MethodGet, "/ready", nil))
	assert.Equal(t, http.StatusServiceUnavailable, recorder.Code, "any other path is a readiness check")
}
