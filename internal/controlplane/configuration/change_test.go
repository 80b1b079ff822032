package configuration

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

// A change based on one that is still under way gets no response: a copy of it may be decided after that one is in force,
// and what was rejected must never be applied.
func TestValidate_ChangeAheadOfState(t *testing.T) {
	state := message.ChainState{Version: 5}
	ahead := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "7", Body: []byte(document(9, ""))}
	assert.Zero(t, Validate(&state, ahead).Status)
	patched := &message.ConfigRequest{Method: http.MethodPatch, IfMatch: "7", Body: []byte(`{"version":9}`)}
	assert.Zero(t, Validate(&state, patched).Status)
	broken := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "7", Body: []byte(`{"version":9,`)}
	assert.Equal(t, http.StatusBadRequest, Validate(&state, broken).Status, "no state makes it valid")
	state.Version = 7
	assert.True(t, Validate(&state, ahead).Apply)
}

// Changes before the horizon are forgotten: a request that is sent again may have been applied, so it is not rejected.
func TestValidate_ChangeBeforeHorizon(t *testing.T) {
	state := message.ChainState{Version: 50, Horizon: 40}
	old := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "39", Body: []byte(document(41, ""))}
	assert.Zero(t, Validate(&state, old).Status)
	known := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "40", Body: []byte(document(41, ""))}
	assert.Equal(t, http.StatusPreconditionFailed, Validate(&state, known).Status)
}
