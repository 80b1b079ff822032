package configuration

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// stateMachine applies requests in order to one state.
type stateMachine struct{ state message.ChainState }

// apply validates a request, applies it if it is valid, and returns the status of the response.
func (m *stateMachine) apply(method, ifMatch, body string) int {
	result := Validate(&m.state, &message.ConfigRequest{Method: method, IfMatch: ifMatch, Body: []byte(body)})
	if result.Apply {
		m.state.Version, m.state.Document = result.Change.Version, result.Document
		m.state.History = append(m.state.History, result.Change)
	}
	return result.Status
}

func TestValidate_AppliesEachChangeOnce(t *testing.T) {
	good := `"timeoutMs":100,"service":"s"`
	m := &stateMachine{}
	first := document(5, route("r", "/a/", good))
	second := document(9, route("r", "/b/", good))
	steps := []struct {
		name, method, ifMatch, body string
		status                      int
		version                     uint64
	}{
		{"first change", http.MethodPut, "0", first, 200, 5},
		{"sent again", http.MethodPut, "0", first, 200, 5},
		{"based on an older version", http.MethodPut, "0", second, 412, 5},
		{"version does not rise", http.MethodPut, "5", document(5, ""), 400, 5},
		{"quoted If-Match", http.MethodPut, `"5"`, second, 200, 9},
		{"sent again after a later change", http.MethodPut, "0", first, 200, 9},
		{"another change with that version", http.MethodPut, "5", document(9, ""), 412, 9},
		{"remove a route", http.MethodPatch, "9", `{"version":12,"remove":{"routes":["r"]}}`, 200, 12},
		{"add an invalid route", http.MethodPatch, "12",
			`{"version":13,"add":{"routes":[` + route("x", "/x/", `"timeoutMs":1,"service":"none"`) + `]}}`, 400, 12},
		{"add a route", http.MethodPatch, "12", `{"version":14,"add":{"routes":[` + route("y", "/y/", good) + `]}}`, 200, 14},
		{"replace a route", http.MethodPatch, "14", `{"version":15,"add":{"routes":[` + route("y", "/z/", good) + `]}}`, 200, 15},
		{"incomplete JSON", http.MethodPatch, "15", `{"version":`, 400, 15},
		{"no version", http.MethodPatch, "15", `{"add":{}}`, 400, 15},
		{"no If-Match", http.MethodPut, "", second, 400, 15},
	}
	for _, step := range steps {
		require.Equal(t, step.status, m.apply(step.method, step.ifMatch, step.body), step.name)
		require.Equal(t, step.version, m.state.Version, step.name)
	}
	config, err := Parse(m.state.Document)
	require.NoError(t, err)
	require.Len(t, config.Routes, 1)
	assert.Equal(t, "/z/", config.Routes[0].Prefix, "an item with the same name is replaced")
}

// A change based on a version that is not current yet gets no response. A copy of it may be validated once that version
// is current, and a rejected change must never be applied.
func TestValidate_ChangeAheadOfState(t *testing.T) {
	state := message.ChainState{Version: 5}
	ahead := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "7", Body: []byte(document(9, ""))}
	assert.Zero(t, Validate(&state, ahead).Status)
	patched := &message.ConfigRequest{Method: http.MethodPatch, IfMatch: "7", Body: []byte(`{"version":9}`)}
	assert.Zero(t, Validate(&state, patched).Status)
	broken := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "7", Body: []byte(`{"version":9,`)}
	assert.Equal(t, http.StatusBadRequest, Validate(&state, broken).Status, "it is invalid on every state")
	state.Version = 7
	assert.True(t, Validate(&state, ahead).Apply)
}

// The history does not hold changes before the horizon. A request based on such a version may be a copy of an applied
// one, so it is not rejected.
func TestValidate_ChangeBeforeHorizon(t *testing.T) {
	state := message.ChainState{Version: 50, Horizon: 40}
	old := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "39", Body: []byte(document(41, ""))}
	assert.Zero(t, Validate(&state, old).Status)
	known := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "40", Body: []byte(document(41, ""))}
	assert.Equal(t, http.StatusPreconditionFailed, Validate(&state, known).Status)
}
