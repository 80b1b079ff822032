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

const testTimeout = 10 * time.Second // a test that waits for so long has failed

func waitFor(t *testing.T, what string, happened <-chan struct{}) {
	t.Helper()
	select {
	case <-happened:
	case <-time.After(testTimeout):
		t.Fatal(what + " did not happen")
	}
}

// When a client has disconnected, the connection to the backend that works for it is closed, and the request is not retried.
func TestExchange_ClientDisconnectClosesBackendConnection(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	working := newFakeBackend(t, func(conn net.Conn, _ *http.Request) {
		close(begun)
		_, _ = io.Copy(io.Discard, conn) // until the proxy closes
		close(ended)
	})
	other := newFakeBackend(t)
	p := newProxy(t, working, other)
	ctx, disconnect := context.WithCancel(context.Background())
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
	waitFor(t, "the request", begun)
	disconnect()
	waitFor(t, "the client's end", answered)
	waitFor(t, "the end of the backend's work", ended)
	assert.Empty(t, other.requests())
}

// The attempt at an unresponsive backend ends at the route's time-out. The request may have run, so that 503 would be wrong.
func TestExchange_GatewayTimeoutAtRouteTimeout(t *testing.T) {
	unresponsive := newFakeBackend(t, func(conn net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, conn) })
	p := newProxy(t, unresponsive)
	short := strings.ReplaceAll(routes, `"timeoutMs":60000,"targetMs":40000`, `"timeoutMs":150,"targetMs":100`)
	config, err := configuration.Parse([]byte(short))
	require.NoError(t, err)
	p.handler.SetConfig(config)
	began := time.Now()
	response, _, err := p.call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	assert.Less(t, time.Since(began), testTimeout, "though its client would wait for a minute")
}

// The backend receives the time that is left of the client's, never more.
func TestExchange_ForwardsRemainingTime(t *testing.T) {
	sent := make(chan string, 1)
	b := newFakeBackend(t, func(conn net.Conn, request *http.Request) {
		sent <- request.Header.Get(backend.HeaderTimeLeft)
		okResponse("a")(conn, request)
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
	left, err := time.ParseDuration(<-sent + "ms")
	require.NoError(t, err)
	assert.LessOrEqual(t, left, 30*time.Second)
	assert.Greater(t, left, 30*time.Second-testTimeout)
}
