package configuration

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

// A change on top of one that is still under way gets no answer: a copy of it may be judged again when that one is in
// force, and what was refused must never be.
func TestAChangeAheadOfTheStateIsNotRefused(t *testing.T) {
	state := message.ChainState{Version: 5}
	ahead := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "7", Body: []byte(document(9, ""))}
	assert.Zero(t, Judge(&state, ahead).Status)
	patched := &message.ConfigRequest{Method: http.MethodPatch, IfMatch: "7", Body: []byte(`{"version":9}`)}
	assert.Zero(t, Judge(&state, patched).Status)
	broken := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "7", Body: []byte(`{"version":9,`)}
	assert.Equal(t, http.StatusBadRequest, Judge(&state, broken).Status, "no state makes it valid")
	state.Version = 7
	assert.True(t, Judge(&state, ahead).Apply)
}

// Of changes before the horizon nothing is known: one of them may be sent again, so none is refused.
func TestNothingIsRefusedBeforeTheHorizon(t *testing.T) {
	state := message.ChainState{Version: 50, Horizon: 40}
	old := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "39", Body: []byte(document(41, ""))}
	assert.Zero(t, Judge(&state, old).Status)
	known := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "40", Body: []byte(document(41, ""))}
	assert.Equal(t, http.StatusPreconditionFailed, Judge(&state, known).Status)
}
