package fakesystem

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func send(t *testing.T, method, url, body string, header ...string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(text)
}

// A backend serves requests, model commands and reports as the protocol defines. It rejects a request for a model that
// is not resident and a request for another backend without running it.
func TestBackend_ImplementsProtocol(t *testing.T) {
	executions := NewExecutionCounter()
	b := &Backend{ID: "b-1", Service: "s", Zone: "z", Capacity: 2, StreamEvents: 2}
	require.NoError(t, b.Start(executions, "small"))
	t.Cleanup(b.Close)
	url := "http://" + b.address
	var lines []string
	record := func(name string, status int, body string) {
		lines = append(lines, fmt.Sprintf("%s: %d %s", name, status, strings.ReplaceAll(strings.TrimSpace(body), "\n", "|")))
	}
	call := func(name, method, path, body string, header ...string) {
		status, text := send(t, method, url+path, body, header...)
		record(name, status, text)
	}
	call("stream", "POST", "/a", "", "Request-Id", "r1", "Model", "small")
	call("model not resident", "POST", "/a", "", "Request-Id", "r2", "Model", "large")
	call("another backend", "POST", "/a", "", "Request-Id", "r3", "Target-Backend", "b-2")
	call("command without owner", "POST", "/order", `{"operation":"model_load","model":"large","fenceNo":1}`)
	call("load adapter", "POST", "/order", `{"operation":"model_load","model":"small","adapter":"a1","owner":"o","fenceNo":1,"ifRevision":0}`)
	call("old revision", "POST", "/order", `{"operation":"model_load","model":"large","owner":"o","fenceNo":1,"ifRevision":0}`)
	call("load resident model", "POST", "/order", `{"operation":"model_load","model":"small","owner":"o","fenceNo":1}`)
	call("report", "GET", "/report", "")
	assert.Equal(t, []string{
		"stream: 200 id: 1|data: word 1||id: 2|data: word 2",
		"model not resident: 421 ",
		"another backend: 421 ",
		"command without owner: 400 ",
		"load adapter: 202 ",
		"old revision: 409 ",
		"load resident model: 200 ",
		`report: 200 {"active":0,"callCount":1,"inUse":false,"models":[{"name":"small","version":1,"adapters":["a1"]}],"queued":0,"stage":"full"}`,
	}, lines)
	assert.Equal(t, 1, executions.Count("r1"))
	assert.Zero(t, executions.Count("r2"))
}
