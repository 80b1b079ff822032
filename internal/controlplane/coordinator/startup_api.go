package coordinator

import (
	"net/http"
	"sync/atomic"

	"pumiceline/internal/lifecycle"
)

// waitingForState is Status.WaitingFor of a coordinator that has not opened its listener and its state yet.
const waitingForState = "its internal port and its state folder"

// startupAPI serves the control address from the start of the process. Until the coordinator has its state, it answers
// GET /status with what the process waits for, and rejects other calls. It is safe for concurrent use.
type startupAPI struct {
	node    string
	process *lifecycle.Process
	api     atomic.Pointer[operatorAPI] // nil: the state is not open yet
}

func newStartupAPI(node string, process *lifecycle.Process) *startupAPI {
	return &startupAPI{node: node, process: process}
}

// set makes the API answer all calls from now on.
func (s *startupAPI) set(api *operatorAPI) { s.api.Store(api) }

// ServeHTTP answers a call.
func (s *startupAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if api := s.api.Load(); api != nil {
		api.ServeHTTP(w, r)
		return
	}
	if r.URL.Path == "/status" && r.Method == http.MethodGet {
		status := s.process.Status()
		writeStatus(w, &Status{Node: s.node, WaitingFor: waitingForState, Process: &status})
		return
	}
	w.Header().Set("Retry-After", "0.2")
	http.Error(w, "the coordinator has not opened its state yet: ask again", http.StatusServiceUnavailable)
}
