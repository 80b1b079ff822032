package configuration

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
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
			_, err = ParseNew([]byte(c.document))
			assert.Error(t, err)
		})
	}
}

// A document that is not one JSON value to its last byte must not come into force: readers that keep to JSON could not
// read it back, and changes on top of it would be refused.
func TestParseNew_RefusesWhatReadersCannotRead(t *testing.T) {
	good := document(1, route("r", "/a/", `"timeoutMs":100,"service":"s"`))
	_, err := ParseNew([]byte(good + " \n\t"))
	require.NoError(t, err, "space after the document")
	cases := []struct{ name, document, want string }{
		{"a closing brace too many", good + "}", "text after the JSON value"},
		{"a closing bracket too many", good + "]", "text after the JSON value"},
		{"a closing brace after blank lines", good + "\n\n }", "text after the JSON value"},
		{"text behind a closing brace", good + "} rest", "text after the JSON value"},
		{"a second document", good + good, "text after the JSON value"},
		{"a byte that is no text", good + "\x00", "text after the JSON value"},
		{"not UTF-8", strings.Replace(good, `"r"`, "\"\xff\"", 1), "not UTF-8"},
		{"a key twice", strings.Replace(good, `"timeoutMs":100`, `"timeoutMs":100,"timeoutMs":200`, 1),
			`routes[]: the key "timeoutMs" stands twice`},
		{"a key twice in the document", `{"version":1,` + good[1:], `the document: the key "version" stands twice`},
		{"nested too deeply", strings.Replace(good, `"version":1`, `"version":1,"x":`+strings.Repeat("[", 40)+strings.Repeat("]", 40), 1),
			"more than 32 levels"},
		{"nothing", "", "not a whole JSON object: unexpected EOF"},
		{"cut in a list", `{"version":1,"routes":[`, "not a whole JSON object: unexpected EOF"},
		{"no object", "[]", "not a whole JSON object"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseNew([]byte(c.document))
			assert.ErrorContains(t, err, c.want)
			result := Validate(&message.ChainState{}, &message.ConfigRequest{Method: http.MethodPut, IfMatch: "0", Body: []byte(c.document)})
			assert.Equal(t, http.StatusBadRequest, result.Status)
		})
	}
}

// Numbers out of their bounds must not come into force: placement could not make a plan from them, or would need more
// memory than there is. A document that an earlier version put in force reads as the nearest bound.
func TestParseNew_RefusesNumbersOutOfBounds(t *testing.T) {
	withService := func(fields string) string {
		return `{"version":1,"routes":[],"services":[{"name":"s",` + fields + `}]}`
	}
	withModel := func(fields string) string { return withService(`"runtime":{"models":[{"name":"m",` + fields + `}]}`) }
	withRoute := func(fields string) string { return document(1, route("r", "/a/", `"service":"s",`+fields)) }
	const inModel = "services[0].runtime.models[0]."
	cases := []struct{ name, document, want string }{
		{"negative adapters", withModel(`"adapters":-3`), inModel + "adapters: must not be negative"},
		{"half an adapter", withModel(`"adapters":2.5`), inModel + "adapters: a whole number is wanted"},
		{"too many adapters", withModel(`"adapters":1e12`), inModel + "adapters: must be at most 100000"},
		{"too many adapters in all", withService(`"runtime":{"models":[{"name":"m","adapters":100000},{"name":"n","adapters":100000},{"name":"o","adapters":1}]}`),
			"services: 200001 adapters in all; at most 200000 are placed"},
		{"negative size of adapters", withModel(`"adapterMb":-5`), inModel + "adapterMb: must not be negative"},
		{"negative weights", withModel(`"weightsMb":-5`), inModel + "weightsMb: must not be negative"},
		{"negative time of a load", withModel(`"loadS":-1`), inModel + "loadS: must not be negative"},
		{"time of a load that overflows", withModel(`"loadS":1e200`), inModel + "loadS: must be at most 86400"},
		{"negative connections", withService(`"maxConns":-1`), "services[0].maxConns: must not be negative"},
		{"negative slots", withService(`"runtime":{"adapterSlots":-1}`), "services[0].runtime.adapterSlots: must not be negative"},
		{"time-out that overflows", withRoute(`"timeoutMs":1e300`), "routes[0].timeoutMs: must be at most 86400000"},
		{"half an attempt", withRoute(`"timeoutMs":1,"tries":1.5`), "routes[0].tries: a whole number is wanted"},
		{"negative body", `{"version":1,"routes":[],"services":[],"limits":{"bodyBytes":-1}}`, "limits.bodyBytes: must not be negative"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseNew([]byte(c.document))
			require.Error(t, err)
			assert.Equal(t, c.want, err.Error())
			inForce, err := Parse([]byte(c.document))
			require.NoError(t, err)
			for _, service := range inForce.Services {
				for _, model := range service.models() {
					assert.GreaterOrEqual(t, model.Adapters, 0)
					assert.LessOrEqual(t, model.Adapters, maxAdapters)
					assert.GreaterOrEqual(t, model.LoadTime, time.Duration(0))
				}
			}
		})
	}
}

func (s *Service) models() []Model {
	if s.Runtime == nil {
		return nil
	}
	return s.Runtime.Models
}

// A version must be kept exactly: if it is rounded, the operator's next change builds on a version that never was.
func TestParse_KeepsVersionsExactly(t *testing.T) {
	for text, want := range map[string]Version{
		"7": 7, "7.0": 7, "1e3": 1000, "9007199254740993": 9007199254740993, "18446744073709551615": math.MaxUint64,
		"0": 0, "-1": 0, "2.5": 0, "18446744073709551616": 0, "9.007199254740994e15": 0, "1e300": 0, `"7"`: 0,
	} {
		config, err := ParseNew([]byte(`{"version":` + text + `,"routes":[],"services":[]}`))
		if want == 0 {
			assert.Error(t, err, text)
			continue
		}
		require.NoError(t, err, text)
		assert.Equal(t, want, config.Version, text)
	}
}

// A change on top of a document that an earlier version accepted with a closing brace too many must be possible.
func TestValidate_PatchOfDocumentWithTextAfterIt(t *testing.T) {
	state := &message.ChainState{Version: 3, Document: []byte(document(3, "") + "}")}
	_, err := Parse(state.Document)
	require.NoError(t, err, "proxies go on with the document in force")
	result := Validate(state, &message.ConfigRequest{
		Method: http.MethodPatch, IfMatch: "3", Body: []byte(`{"version":5,"add":{"routes":[]}}`),
	})
	assert.Equal(t, http.StatusOK, result.Status, string(result.Body))
	assert.True(t, json.Valid(result.Document))
}

func TestValidate_RefusesPatchThatReadersReadDifferently(t *testing.T) {
	state := &message.ChainState{Version: 3, Document: []byte(document(3, ""))}
	for _, body := range []string{`{"version":5,"version":6}`, `{"version":5}}`, `{"version":5,"add":{"routes":[{"name":"a","name":"b"}]}}`} {
		result := Validate(state, &message.ConfigRequest{Method: http.MethodPatch, IfMatch: "3", Body: []byte(body)})
		assert.Equal(t, http.StatusBadRequest, result.Status, body)
	}
}

// requireReadable fails unless a document that was accepted can be read, means the same when it is read again, and can be
// patched.
func requireReadable(t *testing.T, text []byte, accepted *Config) {
	t.Helper()
	require.True(t, json.Valid(text), "readers that keep to JSON must be able to read it")
	again, err := Parse(text)
	require.NoError(t, err)
	assert.Equal(t, accepted, again)
	if accepted.Version == math.MaxUint64 {
		return // no version is above it
	}
	state := &message.ChainState{Version: uint64(accepted.Version), Document: text}
	next := strconv.FormatUint(uint64(accepted.Version)+1, 10)
	result := Validate(state, &message.ConfigRequest{
		Method: http.MethodPatch, IfMatch: strconv.FormatUint(uint64(accepted.Version), 10), Body: []byte(`{"version":` + next + `}`),
	})
	assert.Equal(t, http.StatusOK, result.Status, string(result.Body))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(document(1, route("r", "/a/", `"timeoutMs":100,"service":"s"`))))
	f.Add([]byte(`{"version":1e99,"routes":{},"services":[null]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := Parse(text)
		if (config == nil) == (err == nil) {
			t.Fatal("Parse must return either a configuration or an error")
		}
		accepted, err := ParseNew(text)
		if err != nil {
			return
		}
		requireReadable(t, text, accepted)
	})
}
