package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// Each of these bodies would be applied, shown or passed on as another value than the one that was checked, or would be
// acknowledged without an effect.
func TestValidate_RefusesWhatIsNotAppliedAsSent(t *testing.T) {
	inForce := document(3, route("r", "/a/", `"timeoutMs":100,"service":"s"`))
	withRoute := func(fields string) string { return document(5, fields) }
	withName := func(name string) string {
		return withRoute(route("x", "/a/", `"timeoutMs":100,"service":"s","note":`+name))
	}
	cases := []struct{ name, method, body, want string }{
		{"two versions", http.MethodPatch, `{"version":5,"Version":16,"add":{"routes":[]}}`, "differ in case only"},
		{"only a version in capitals", http.MethodPatch, `{"VERSION":26}`, "VERSION: cannot be changed by a PATCH"},
		{"a list in capitals", http.MethodPatch, `{"version":5,"add":{"Routes":[]}}`, "add.Routes: cannot be changed by a PATCH"},
		{"an unknown list", http.MethodPatch, `{"version":5,"remove":{"models":["m"]}}`, "remove.models: cannot be changed by a PATCH"},
		{"an unknown change", http.MethodPatch, `{"version":5,"replace":{"routes":[]}}`, "replace: cannot be changed by a PATCH"},
		{"a list in place of lists", http.MethodPatch, `{"version":5,"add":[]}`, "add: an object is wanted"},
		{"a name that is added twice", http.MethodPatch,
			`{"version":5,"add":{"services":[{"name":"q"},{"name":"q"}]}}`, `add.services[1].name: the name "q" stands twice`},
		{"an item without a name", http.MethodPatch, `{"version":5,"add":{"services":[{}]}}`, "add.services[0].name: must be given"},
		{"an item that is no object", http.MethodPatch, `{"version":5,"add":{"services":[7]}}`, "must be given"},
		{"a number out of bounds", http.MethodPatch, `{"version":5,"add":{"services":[{"name":"q","maxConns":-1}]}}`, "add.services[0].maxConns: must not be negative"},
		{"a name that is no text", http.MethodPatch, `{"version":5,"remove":{"routes":[7]}}`, "remove.routes[0]: a text is wanted"},
		{"half of a character", http.MethodPut, withName(`"\ud800"`), "half of a character"},
		{"a number beyond all floats", http.MethodPut, withName(`1e999`), "out of range"},
		{"routes in capitals", http.MethodPut, `{"version":5,"ROUTES":[]}`, "ROUTES: is not a key"},
		{"a time-out in capitals", http.MethodPut, withRoute(route("x", "/a/", `"timeoutMs":100,"service":"s","Tries":3`)), "routes[0].Tries: is not a key"},
		{"a control character in a name", http.MethodPut, withRoute(route("a\nb", "/a/", `"timeoutMs":100,"service":"s"`)), "routes[0].name: must not have control characters"},
		{"a line end in a health path", http.MethodPut, `{"version":5,"services":[{"name":"s","healthPath":"/h\r\nX: y"}]}`, "services[0].healthPath: must not have control characters"},
		{"a space in a health path", http.MethodPut, `{"version":5,"services":[{"name":"s","healthPath":"/h HTTP/1.1"}]}`, "services[0].healthPath: must not have spaces"},
		{"a share out of bounds", http.MethodPut, withRoute(route("x", "/a/", `"timeoutMs":100,"split":[{"service":"s","share":1e300}]`)),
			"routes[0].split[0].share: must be at most 1000000000"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := &message.ChainState{Version: 3, Document: []byte(inForce)}
			result := Validate(state, &message.ConfigRequest{Method: c.method, IfMatch: "3", Body: []byte(c.body)})
			assert.Equal(t, http.StatusBadRequest, result.Status)
			assert.False(t, result.Apply)
			var rejection struct{ Error string }
			require.NoError(t, json.Unmarshal(result.Body, &rejection))
			assert.Contains(t, rejection.Error, c.want)
		})
	}
}

// The canonical text has the value of the text that was sent: numbers stay as they are written, and members that are not
// read here are kept. A version is written as a whole number.
func TestDocument_TextKeepsValue(t *testing.T) {
	sent := `{"services":[{"usesTls":false, "name":"s<&>é\u2028", "x":65099.99999999999}],"version":7e0, "routes" : [ ] , "big":18446744073709551616}`
	document, err := NewDocument([]byte(sent))
	require.NoError(t, err)
	text, err := document.Text()
	require.NoError(t, err)
	assert.Equal(t, `{"big":18446744073709551616,"routes":[],"services":[{"name":"s<&>é\u2028","usesTls":false,"x":65099.99999999999}],"version":7}`, string(text))
	again, err := NewDocument(text)
	require.NoError(t, err)
	assert.Equal(t, document, again)
}

// What an earlier version put in force is read as that version applied it, and shown as what it is read as.
func TestStoredDocument_ReadsDocumentsOfEarlierVersions(t *testing.T) {
	cases := []struct{ name, stored, want string }{
		{"text after it", document(3, "") + "} and more", `{"routes":[],"services":[{"maxConns":10,"name":"s"}],"version":3}`},
		{"a key twice", `{"version":3,"routes":[],"version":4}`, `{"routes":[],"version":4}`},
		{"not UTF-8", "{\"version\":3,\"services\":[{\"name\":\"a\xff\"}]}", `{"services":[{"name":"a` + "\uFFFD" + `"}],"version":3}`},
		{"half of a character", `{"version":3,"services":[{"name":"a\ud800"}]}`, `{"services":[{"name":"a` + "\uFFFD" + `"}],"version":3}`},
		{"numbers out of bounds", `{"version":3,"services":[{"name":"s","maxConns":-1,"runtime":{"capacity":2.5,"loadsPerS":1e300}}]}`,
			`{"services":[{"maxConns":0,"name":"s","runtime":{"capacity":2,"loadsPerS":1000000000}}],"version":3}`},
		{"a key in capitals", `{"version":3,"VERSION":9,"services":[{"name":"s","MaxConns":7}]}`, `{"services":[{"name":"s"}],"version":3}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text, err := CanonicalText([]byte(c.stored))
			require.NoError(t, err)
			assert.Equal(t, c.want, string(text))
			applied, err := Parse([]byte(c.stored))
			require.NoError(t, err)
			shown, err := Parse(text)
			require.NoError(t, err)
			assert.Equal(t, applied, shown, "proxies and planner apply what is shown")
			changed := patchStored(t, c.stored, applied.Version)
			assert.NotContains(t, changed, "and more")
		})
	}
}

// patchStored returns the configuration after a change on top of a stored one, which must be accepted.
func patchStored(t *testing.T, stored string, version Version) string {
	t.Helper()
	state := &message.ChainState{Version: uint64(version), Document: []byte(stored)}
	body := fmt.Sprintf(`{"version":%d,"add":{"services":[{"name":"new"}]}}`, version+1)
	result := Validate(state, &message.ConfigRequest{Method: http.MethodPatch, IfMatch: fmt.Sprint(version), Body: []byte(body)})
	require.Equal(t, http.StatusOK, result.Status, string(result.Body))
	_, err := NewDocument(result.Document)
	require.NoError(t, err, "the result is strict")
	return string(result.Document)
}

// independentReader reads a configuration as an operator's tool may: into structs of the standard library, which match
// keys without regard to case and take the last of several.
type independentReader struct {
	Version json.Number
	Routes  []struct {
		Name, Host, PathStart, Service string
		TimeoutMs                      float64
	}
	Services []struct{ Name string }
}

// requireReadAlike fails unless an independent reader gets from a text in force what the typed form has.
func requireReadAlike(t *testing.T, text []byte, config *Config) {
	t.Helper()
	var read independentReader
	require.NoError(t, json.Unmarshal(text, &read))
	require.Equal(t, fmt.Sprint(uint64(config.Version)), read.Version.String())
	require.Len(t, read.Routes, len(config.Routes))
	for i, route := range config.Routes {
		require.Equal(t, route.Name, read.Routes[i].Name)
		require.Equal(t, route.Host, strings.ToLower(read.Routes[i].Host))
		require.Equal(t, route.Prefix, read.Routes[i].PathStart)
		require.InDelta(t, float64(route.Timeout.Nanoseconds())/1e6, read.Routes[i].TimeoutMs, 1e-6)
	}
	require.Len(t, read.Services, len(config.Services))
	for _, service := range read.Services {
		require.Contains(t, config.Services, service.Name)
	}
}

// decodeValue decodes a JSON text by the standard library alone.
func decodeValue(t *testing.T, text []byte) map[string]any {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value map[string]any
	require.NoError(t, decoder.Decode(&value))
	return value
}

// For any body of a PUT or a PATCH: what is acknowledged is read back as the same value, by this package and by an
// independent reader, and what is refused changes nothing.
func FuzzValidate(f *testing.F) {
	inForce := document(3, route("r", "/a/", `"timeoutMs":100,"service":"s"`))
	for _, body := range []string{
		inForce, inForce + "}", document(5, ""), `{"version":5,"Version":16,"add":{"routes":[]}}`, `{"VERSION":26}`,
		`{"version":5,"add":{"services":[{"name":"q\ud800"}]},"remove":{"routes":["r"]}}`, `{"version":5e0,"add":{"routes":null}}`,
		document(7, route("q", "/\u017f/", `"timeoutMs":1e0,"split":[{"service":"s","share":2}],"x":[1e308,-0,"\u0000"]`)),
		`{"version":5,"remove":{"services":["s"]}}`, `{"version":9,"routes":[],"route` + "\u017f" + `":[{}]}`,
	} {
		f.Add([]byte(body), true)
		f.Add([]byte(body), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, isPatch bool) {
		state := &message.ChainState{Version: 3, Document: []byte(inForce)}
		request := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "3", Body: body}
		if isPatch {
			request.Method = http.MethodPatch
		}
		result := Validate(state, request)
		require.Equal(t, &message.ChainState{Version: 3, Document: []byte(inForce)}, state)
		require.Equal(t, result.Apply, result.Status == http.StatusOK)
		if !result.Apply {
			return
		}
		requireAppliedAsSent(t, request, result.Document)
	})
}

// requireAppliedAsSent fails unless a document in force has the value that a request asked for, for all its readers.
func requireAppliedAsSent(t *testing.T, request *message.ConfigRequest, inForce []byte) {
	t.Helper()
	config, err := Parse(inForce)
	require.NoError(t, err)
	requireReadAlike(t, inForce, config)
	requireReadable(t, inForce, config)
	canonical, err := CanonicalText(inForce)
	require.NoError(t, err)
	require.Equal(t, string(inForce), string(canonical))
	sent, shown := decodeValue(t, request.Body), decodeValue(t, inForce)
	require.Equal(t, config.Version, readVersionOf(t, sent))
	if request.Method == http.MethodPut {
		delete(sent, "version")
		delete(shown, "version")
		require.Equal(t, sent, shown)
	}
}

func readVersionOf(t *testing.T, sent map[string]any) Version {
	t.Helper()
	text, err := json.Marshal(map[string]any{"version": sent["version"]})
	require.NoError(t, err)
	config, err := Parse(text)
	require.NoError(t, err)
	return config.Version
}
