package configuration

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// service is the only service in the test configurations.
const service = `{"name":"s","maxConns":10}`

// document returns a configuration document with the given version and routes.
func document(version int, routes string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s]}`, version, routes, service)
}

// route returns a route in JSON; rest holds its remaining fields.
func route(name, prefix, rest string) string {
	return fmt.Sprintf(`{"name":%q,"host":"h.example","pathStart":%q,"kind":"changing",%s}`, name, prefix, rest)
}

// The error names every fault of a document with its path.
func TestParse_NamesEveryFault(t *testing.T) {
	good := `"timeoutMs":100,"service":"s"`
	cases := []struct{ name, document, want string }{
		{"incomplete JSON", `{"version":1,"routes":[`, "not a whole JSON object: unexpected EOF"},
		{"two JSON values", document(1, "") + "{}", "more than one JSON value"},
		{"unknown service", document(1, route("r", "/a/", `"timeoutMs":100,"service":"x"`)), `routes[0]: no service is called "x"`},
		{"same host and prefix", document(1, route("r", "/a/", good)+","+route("q", "/a/", good)), "routes[1]: another route has its host and prefix"},
		{"same name", document(1, route("r", "/a/", good)+","+route("r", "/b/", good)), `routes[1]: the name "r" stands twice`},
		{"weights sum to 0", document(1, route("r", "/a/", `"timeoutMs":100,"split":[{"service":"s","share":0}]`)), "routes[0]: its weights sum to 0"},
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

func FuzzParse(f *testing.F) {
	f.Add([]byte(document(1, route("r", "/a/", `"timeoutMs":100,"service":"s"`))))
	f.Add([]byte(`{"version":1e99,"routes":{},"services":[null]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := Parse(text)
		if (config == nil) == (err == nil) {
			t.Fatal("Parse must return either a configuration or an error")
		}
	})
}
