package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/dataplane/backend"
)

const farAway = 10 * time.Second // a test that waits so long has failed

func await(t *testing.T, what string, happened <-chan struct{}) {
	t.Helper()
	select {
	case <-happened:
	case <-time.After(farAway):
		t.Fatal(what + " did not happen")
	}
}

// When a client has left, the backend that works for it is told so by the end of its connection, and no other backend
// gets the request.
func TestABackendStopsWhenItsClientHasLeft(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	working := newFakeBackend(t, func(conn net.Conn, _ *http.Request) {
		close(begun)
		_, _ = io.Copy(io.Discard, conn) // until the proxy closes
		close(ended)
	})
	other := newFakeBackend(t)
	p := newProxy(t, working, other)
	ctx, leave := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.server.URL+"/read/a", strings.NewReader("text"))
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set(backend.HeaderRequestID, "r1")
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
		}
	}()
	await(t, "the request", begun)
	leave()
	await(t, "the client's end", answered)
	await(t, "the end of the backend's work", ended)
	assert.Empty(t, other.requests())
}

// A backend that says nothing is given up at the route's time-out, and what may have run gets no promise.
func TestAnAnswerComesAtTheRoutesTimeout(t *testing.T) {
	mute := newFakeBackend(t, func(conn net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, conn) })
	p := newProxy(t, mute)
	config, err := configuration.Parse([]byte(strings.ReplaceAll(routes, `"timeoutMs":60000,"targetMs":40000`, `"timeoutMs":150,"targetMs":100`)))
	require.NoError(t, err)
	p.handler.SetConfig(config)
	began := time.Now()
	response, _, err := p.call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	assert.Less(t, time.Since(began), farAway, "though its client would wait for a minute")
}

// The time that a backend is told is what is left of the client's, never more.
func TestABackendIsToldNoMoreTimeThanIsLeft(t *testing.T) {
	told := make(chan string, 1)
	b := newFakeBackend(t, func(conn net.Conn, request *http.Request) {
		told <- request.Header.Get(backend.HeaderTimeLeft)
		whole("a")(conn, request)
	})
	p := newProxy(t, b)
	request, err := http.NewRequest(http.MethodPost, p.server.URL+"/once/a", strings.NewReader(""))
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set(backend.HeaderRequestID, "r1")
	request.Header.Set(backend.HeaderTimeLeft, "30000")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	response.Body.Close()
	left, err := time.ParseDuration(<-told + "ms")
	require.NoError(t, err)
	assert.LessOrEqual(t, left, 30*time.Second)
	assert.Greater(t, left, 30*time.Second-farAway)
}
