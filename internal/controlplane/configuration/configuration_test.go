package configuration

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

const service = `{"name":"s","maxConns":10}`

func document(version int, routes string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s]}`, version, routes, service)
}

func route(name, prefix, rest string) string {
	return fmt.Sprintf(`{"name":%q,"host":"h.example","pathStart":%q,"kind":"changing",%s}`, name, prefix, rest)
}

// An error names all faults of a document with their paths.
func TestParse_NamesEveryFault(t *testing.T) {
	good := `"timeoutMs":100,"service":"s"`
	cases := []struct{ name, document, want string }{
		{"cut short", `{"version":1,"routes":[`, "not a whole JSON object: unexpected EOF"},
		{"two values", document(1, "") + "{}", "more than one JSON value"},
		{"unknown service", document(1, route("r", "/a/", `"timeoutMs":100,"service":"x"`)), `routes[0]: no service is called "x"`},
		{"same place", document(1, route("r", "/a/", good)+","+route("q", "/a/", good)), "routes[1]: another route has its host and prefix"},
		{"same name", document(1, route("r", "/a/", good)+","+route("r", "/b/", good)), `routes[1]: the name "r" stands twice`},
		{"no weight", document(1, route("r", "/a/", `"timeoutMs":100,"split":[{"service":"s","share":0}]`)), "routes[0]: its weights sum to 0"},
		{"no timeout", document(1, route("r", "/a/", `"timeoutMs":0,"service":"s"`)), "routes[0].timeoutMs: must be above 0"},
		{"no version", `{"routes":[],"services":[]}`, "version: a whole number above 0 is wanted"},
		{"two faults", document(1, route("r", "/a/", `"timeoutMs":0,"service":"x"`)),
			`routes[0].timeoutMs: must be above 0; routes[0]: no service is called "x"`},
		{"wrong type", document(1, route("r", "/a/", `"timeoutMs":"soon","service":"s"`)),
			"routes[0].timeoutMs: a number is wanted; routes[0].timeoutMs: must be above 0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.document))
			require.Error(t, err)
			assert.Equal(t, c.want, err.Error())
		})
	}
}

func TestConfig_MatchLongestPrefix(t *testing.T) {
	good := `"timeoutMs":100,"service":"s"`
	config, err := Parse([]byte(document(1, route("short", "/a/", good)+","+route("long", "/a/b/", good))))
	require.NoError(t, err)
	assert.Equal(t, "long", config.Match("H.example:80", "/a/b/c").Name)
	assert.Equal(t, "short", config.Match("h.example", "/a/bc").Name)
	assert.Nil(t, config.Match("h.example", "/b/"))
	assert.Nil(t, config.Match("other.example", "/a/"))
}

// stateMachine applies requests one after the other to one state.
type stateMachine struct{ state message.ChainState }

// apply returns the status of the response.
func (m *stateMachine) apply(method, ifMatch, body string) int {
	decision := Validate(&m.state, &message.ConfigRequest{Method: method, IfMatch: ifMatch, Body: []byte(body)})
	if decision.Apply {
		m.state.Version, m.state.Document = decision.Change.Version, decision.Document
		m.state.History = append(m.state.History, decision.Change)
	}
	return decision.Status
}

func TestValidate_AppliesEachChangeOnce(t *testing.T) {
	good := `"timeoutMs":100,"service":"s"`
	m := &stateMachine{}
	first := document(5, route("r", "/a/", good))
	second := document(9, route("r", "/b/", good))
	steps := []struct {
		method, ifMatch, body string
		status                int
		version               uint64
	}{
		{http.MethodPut, "0", first, 200, 5},
		{http.MethodPut, "0", first, 200, 5},           // sent again
		{http.MethodPut, "0", second, 412, 5},          // built on an older version
		{http.MethodPut, "5", document(5, ""), 400, 5}, // its version does not rise
		{http.MethodPut, `"5"`, second, 200, 9},        // quoted, as If-Match may be
		{http.MethodPut, "0", first, 200, 9},           // sent again after a later one
		{http.MethodPut, "5", document(9, ""), 412, 9}, // another change with that number
		{http.MethodPatch, "9", `{"version":12,"remove":{"routes":["r"]}}`, 200, 12},
		{http.MethodPatch, "12", `{"version":13,"add":{"routes":[` + route("x", "/x/", `"timeoutMs":1,"service":"none"`) + `]}}`, 400, 12},
		{http.MethodPatch, "12", `{"version":14,"add":{"routes":[` + route("y", "/y/", good) + `]}}`, 200, 14},
		{http.MethodPatch, "14", `{"version":15,"add":{"routes":[` + route("y", "/z/", good) + `]}}`, 200, 15},
		{http.MethodPatch, "15", `{"version":`, 400, 15},
		{http.MethodPatch, "15", `{"add":{}}`, 400, 15},
		{http.MethodPut, "", second, 400, 15},
	}
	for i, step := range steps {
		require.Equal(t, step.status, m.apply(step.method, step.ifMatch, step.body), "step %d", i)
		require.Equal(t, step.version, m.state.Version, "step %d", i)
	}
	config, err := Parse(m.state.Document)
	require.NoError(t, err)
	require.Len(t, config.Routes, 1)
	assert.Equal(t, "/z/", config.Routes[0].Prefix, "an item with the same name is replaced")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(document(1, route("r", "/a/", `"timeoutMs":100,"service":"s"`))))
	f.Add([]byte(`{"version":1e99,"routes":{},"services":[null]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := Parse(text)
		if (config == nil) == (err == nil) {
			t.Fatal("a configuration or an error, not both")
		}
	})
}
