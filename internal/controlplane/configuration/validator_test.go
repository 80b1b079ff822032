package configuration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// A copy of a request is not read again, and what is kept of requests is bounded.
func TestValidator_ReadsRequestOnce(t *testing.T) {
	validator := NewValidator()
	for range 3 {
		for i := range 2 * keptResults {
			read := validator.readPut(fmt.Appendf(nil, `{"version":%d}`, 1+i))
			assert.NoError(t, read.err)
			assert.Equal(t, Version(1+i), read.version)
		}
		assert.Len(t, validator.results, keptResults)
		assert.Equal(t, 1, lo.CountBy(validator.results, func(r readResult) bool { return r.text != nil }), "texts are large")
	}
	faulty := []byte(`{"version":`)
	first := validator.readPut(faulty).err
	assert.Error(t, first)
	assert.Same(t, first, validator.readPut(faulty).err)
}

// A PATCH that was read on top of one configuration is read again on top of another.
func TestValidator_ReadsPatchForEachConfiguration(t *testing.T) {
	validator := NewValidator()
	body := []byte(`{"version":9,"remove":{"routes":["a"]}}`)
	for _, name := range []string{"a", "b", "a"} {
		inForce := document(3, route(name, "/a/", `"timeoutMs":1,"service":"s"`))
		read := validator.readPatch([]byte(inForce), body)
		require.NoError(t, read.err)
		assert.Equal(t, name == "b", strings.Contains(string(read.text), `"name":"b"`))
		assert.NotContains(t, string(read.text), `"name":"a"`)
	}
}

// The result depends on the state, also for a document that was read before.
func TestValidator_ChecksKnownDocumentAgainstState(t *testing.T) {
	validator := NewValidator()
	request := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "1", Body: []byte(`{"version":2}`)}
	for _, c := range []struct {
		version uint64
		want    int
	}{{0, 0}, {1, http.StatusOK}, {2, http.StatusPreconditionFailed}, {1, http.StatusOK}} {
		assert.Equal(t, c.want, validator.Validate(&message.ChainState{Version: c.version}, request).Status, "on version %d", c.version)
	}
}
