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

func ask(t *testing.T, method, url, body string, header ...string) (int, string) {
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

// A whole exchange with a backend: what it holds, what it declines unrun, and what it runs.
func TestABackendSpeaksTheProtocol(t *testing.T) {
	runs := NewExecutionCounter()
	b := &Backend{ID: "b-1", Service: "s", Zone: "z", Capacity: 2, StreamEvents: 2}
	require.NoError(t, b.Start(runs, "small"))
	t.Cleanup(b.Close)
	url := "http://" + b.address
	var lines []string
	note := func(what string, status int, body string) {
		lines = append(lines, fmt.Sprintf("%s: %d %s", what, status, strings.ReplaceAll(strings.TrimSpace(body), "\n", "|")))
	}
	call := func(what, method, path, body string, header ...string) {
		status, text := ask(t, method, url+path, body, header...)
		note(what, status, text)
	}
	call("stream", "POST", "/a", "", "Request-Id", "r1", "Model", "small")
	call("not held", "POST", "/a", "", "Request-Id", "r2", "Model", "large")
	call("another", "POST", "/a", "", "Request-Id", "r3", "Target-Backend", "b-2")
	call("order without owner", "POST", "/order", `{"operation":"model_load","model":"large","fenceNo":1}`)
	call("order", "POST", "/order", `{"operation":"model_load","model":"small","adapter":"a1","owner":"o","fenceNo":1,"ifRevision":0}`)
	call("old count", "POST", "/order", `{"operation":"model_load","model":"large","owner":"o","fenceNo":1,"ifRevision":0}`)
	call("held", "POST", "/order", `{"operation":"model_load","model":"small","owner":"o","fenceNo":1}`)
	call("report", "GET", "/report", "")
	assert.Equal(t, []string{
		"stream: 200 id: 1|data: word 1||id: 2|data: word 2",
		"not held: 421 ",
		"another: 421 ",
		"order without owner: 400 ",
		"order: 202 ",
		"old count: 409 ",
		"held: 200 ",
		`report: 200 {"active":0,"callCount":1,"inUse":false,"models":[{"name":"small","version":1,"adapters":["a1"]}],"queued":0,"stage":"full"}`,
	}, lines)
	assert.Equal(t, 1, runs.Count("r1"))
	assert.Zero(t, runs.Count("r2"))
}

func TestThePlatformListsItsBackends(t *testing.T) {
	b := &Backend{ID: "b-1", Service: "s", Zone: "z", Capacity: 2}
	require.NoError(t, b.Start(NewExecutionCounter(), "small"))
	t.Cleanup(b.Close)
	p := &Platform{}
	require.NoError(t, p.Start(b))
	t.Cleanup(p.Close)
	status, text := ask(t, "GET", "http://"+p.Address+"/backends", "")
	assert.Equal(t, http.StatusOK, status)
	assert.Contains(t, text, `"id":"b-1"`)
	assert.Contains(t, text, `"state":"ready"`)
	assert.Equal(t, 1, p.ListRequests())
}
