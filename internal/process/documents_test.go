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

// A large configuration with many faults is rejected with the first of them, and the coordinator goes on serving
// within the memory of its machine.
func TestConfiguration_LargeFaultyDocuments(t *testing.T) {
	m, coordinator, _ := startMachine(t)
	for name, c := range largeFaultyDocuments {
		var status int
		var body string
		coordinator.await("answer: "+name, func() bool {
			status, body = m.putDocument(c.document)
			return status != http.StatusGatewayTimeout
		})
		assert.Equal(t, http.StatusBadRequest, status, name)
		assert.Contains(t, body, c.fault, name)
	}
	assert.Less(t, coordinator.peakMemoryMB(), machineMemoryMB)
	coordinator.await("next configuration", func() bool { return m.putSecondConfiguration() == http.StatusOK })
}

// putDocument sends a configuration that follows version 1. The status 504 says that it is to be sent again.
func (m *machine) putDocument(document string) (status int, body string) {
	m.t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+m.address(controlPort)+"/config", strings.NewReader(document))
	require.NoError(m.t, err)
	request.Header.Set("If-Match", "1")
	response, err := http.DefaultClient.Do(request)
	require.NoError(m.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(m.t, err)
	return response.StatusCode, string(text)
}
