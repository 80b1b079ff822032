package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
	"pumiceline/internal/message"
)

const testTimeout = 10 * time.Second // a test fails if it waits longer for an event

func waitFor(t *testing.T, event string, occurred <-chan struct{}) {
	t.Helper()
	select {
	case <-occurred:
	case <-time.After(testTimeout):
		t.Fatal(event + " did not happen")
	}
}

// When a client disconnects, the proxy must close the connection to the backend that processes its request, so that the
// backend can stop. The request must not be retried.
func TestExchange_ClientDisconnectClosesBackendConnection(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	working := newFakeBackend(t, func(conn net.Conn, _ *http.Request) {
		close(begun)
		_, _ = io.Copy(io.Discard, conn) // returns when the proxy closes the connection
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
	waitFor(t, "the arrival of the request at the backend", begun)
	disconnect()
	waitFor(t, "the end of the client's call", answered)
	waitFor(t, "the close of the connection to the backend", ended)
	assert.Empty(t, other.requests())
}

// The attempt at an unresponsive backend must end at the route's time-out. The request may have run, so the response
// must be 504: a 503 would promise that it has not.
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
	assert.Less(t, time.Since(began), testTimeout, "the client's own time-out is a minute")
}

// The backend must receive the remainder of the time that the client gave, never more.
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

// A backend that is shown as draining after it was picked, while the proxy connects or waits for its processor, must not
// get the request.
func TestExchange_NotSentToBackendThatDrainsAfterPick(t *testing.T) {
	draining := newFakeBackend(t, okResponse("a"))
	p := newProxy(t, draining)
	route := p.handler.config.Load().Routes[0]
	x := &exchange{
		handler: p.handler, writer: httptest.NewRecorder(), route: route,
		request:  &balancer.Request{Service: "s", Deadline: time.Now().Add(testTimeout)},
		outgoing: backend.Request{Method: http.MethodPost, Target: "/once/a", ID: "r1", Deadline: time.Now().Add(testTimeout)},
	}
	picked, err := p.handler.dispatcher.Pick(context.Background(), x.request)
	require.NoError(t, err)
	require.NotNil(t, picked.Backend)
	entry := message.Backend{ID: picked.BackendID, Service: "s", Zone: "z", Capacity: 10, Address: picked.Address, Draining: true}
	p.handler.dispatcher.Update(balancer.Update{Backends: []message.Backend{entry}, HasBackends: true})
	p.handler.dispatcher.Report() // returns once the update is applied
	assert.Equal(t, attemptRetryable, x.attempt(context.Background(), picked))
	assert.Empty(t, draining.requests())
}
