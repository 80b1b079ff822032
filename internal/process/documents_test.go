package process_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// largestDocument is the number of bytes of the largest configuration that is kept.
const largestDocument = 3 << 20

// largeFaultyDocuments are configurations of nearly that size, and what the rejection says.
var largeFaultyDocuments = map[string]struct{ document, fault string }{
	"empty routes":   {`{"version":2,"routes":[` + manyOf("{}") + `]}`, "values"},
	"empty services": {`{"version":2,"services":[` + manyOf("{}") + `]}`, "values"},
	"empty models":   {`{"version":2,"services":[{"name":"s","runtime":{"models":[` + manyOf("{}") + `]}}]}`, "values"},
	"numbers":        {`{"version":2,"unknown":[` + manyOf("0") + `]}`, "values"},
	"long names":     {`{"version":2,"routes":[` + manyOf(`{"name":"a name that each of them has"}`) + `]}`, "more faults"},
	"nested lists":   {strings.Repeat("[", largestDocument-100), "levels"},
}

// manyOf returns as many copies of a JSON value as fit into the largest document.
func manyOf(value string) string {
	const rest = 200 // bytes of the document around the list
	return strings.TrimSuffix(strings.Repeat(value+",", (largestDocument-rest)/(len(value)+1)), ",")
}

// A large configuration with many faults is rejected at once with the first of them, and the coordinator goes on serving
// within the memory of its machine.
func TestConfiguration_LargeFaultyDocuments(t *testing.T) {
	m, coordinator, _ := startMachine(t)
	for name, c := range largeFaultyDocuments {
		request, err := http.NewRequest(http.MethodPut, "http://"+m.address(controlPort)+"/config", strings.NewReader(c.document))
		require.NoError(t, err)
		request.Header.Set("If-Match", "1")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err, name)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err, name)
		response.Body.Close()
		assert.Equal(t, http.StatusBadRequest, response.StatusCode, name)
		assert.Contains(t, string(body), c.fault, name)
	}
	assert.Less(t, coordinator.peakMemoryMB(), machineMemoryMB)
	assert.Equal(t, http.StatusOK, m.putSecondConfiguration())
}
