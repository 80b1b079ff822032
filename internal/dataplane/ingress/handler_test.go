package ingress

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
)

func TestHandler_CopiesResponseUnchanged(t *testing.T) {
	b := newFakeBackend(t, okResponse("hello"))
	p := newProxy(t, b)
	response, body, err := p.call(t, "/once/a?b=c", "text")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "hello", body)
	assert.Equal(t, "x", response.Header.Get(backend.HeaderSeal))
	assert.Equal(t, []string{`POST /once/a?b=c "text" target i-0 last ""`}, b.requests())
}

func TestHandler_ChangingRequestRetriedOnlyAfterRejection(t *testing.T) {
	rejecting, serving := newFakeBackend(t, rejection), newFakeBackend(t, okResponse("served"))
	response, body, err := newProxy(t, rejecting, serving).call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "served", body)

	breaking, other := newFakeBackend(t, closeConn), newFakeBackend(t, okResponse("again"))
	response, _, err = newProxy(t, breaking, other).call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, response.StatusCode, "it may have run: 503 would promise that it has not")
	assert.Empty(t, other.requests(), "a request that may have run must not be retried")
}

func TestHandler_IdempotentRequestRetriedWithinAttempts(t *testing.T) {
	breaking, other := newFakeBackend(t, closeConn), newFakeBackend(t, okResponse("again"))
	response, body, err := newProxy(t, breaking, other).call(t, "/read/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "again", body)

	response, _, err = newProxy(t, newFakeBackend(t, closeConn), newFakeBackend(t, closeConn)).call(t, "/read/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, response.StatusCode, "it may have run: 503 would promise that it has not")
}

func TestHandler_SkipsResponseToOtherRequest(t *testing.T) {
	b := newFakeBackend(t, respond("HTTP/1.1 200 OK\nRequest-Id: old\nServer-Seal: y\nContent-Length: 3\n\noldHTTP/1.1 200 OK\n"+
		"Request-Id: ID\nServer-Seal: x\nContent-Length: 3\n\nnew"))
	response, body, err := newProxy(t, b).call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, "new", body)
	assert.Equal(t, "x", response.Header.Get(backend.HeaderSeal))
}

func TestHandler_TruncatedResponseIsBadGateway(t *testing.T) {
	b := newFakeBackend(t, func(conn net.Conn, r *http.Request) {
		respond("HTTP/1.1 200 OK\nRequest-Id: ID\nServer-Seal: x\nContent-Length: 30\n\nhalf")(conn, r)
		conn.Close()
	})
	response, _, err := newProxy(t, b).call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, response.StatusCode)
	assert.Empty(t, response.Header.Get(backend.HeaderSeal))
}

func TestHandler_StreamEndsCompleteOrAborted(t *testing.T) {
	_, body, err := newProxy(t, newFakeBackend(t, stream(true, 1, 2))).call(t, "/stream/a", "")
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", body)

	breaking, other := newFakeBackend(t, stream(false, 1, 2)), newFakeBackend(t, stream(true, 3))
	_, body, err = newProxy(t, breaking, other).call(t, "/stream/a", "")
	require.Error(t, err, "a broken stream that cannot be resumed must be aborted")
	assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", body, "only complete events must be copied")
}

func TestHandler_ResumesStreamAtOtherBackend(t *testing.T) {
	first, second := newFakeBackend(t, stream(false, 1, 2)), newFakeBackend(t, stream(true, 3, 4))
	_, body, err := newProxy(t, first, second).call(t, "/resume/a", "")
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n", body)
	assert.Equal(t, []string{`POST /resume/a "" target i-1 last "2"`}, second.requests())
}

func TestHandler_UnknownRouteDeniedUnlessConfigStale(t *testing.T) {
	p := newProxy(t, newFakeBackend(t, rejection))
	response, _, err := p.call(t, "/none/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusNotFound, response.StatusCode)
	p.handler.confirmed.Store(int64(-time.Hour))
	response, _, err = p.call(t, "/none/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "a newer configuration may have the route")
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
}

func TestHandler_RejectsWithoutConfig(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	budget := balancer.NewRetryBudget(balancer.RetryBudgetOptions{Window: time.Minute, Ratio: 1, Allowance: 1, Started: time.Now()})
	handler := New(balancer.NewDispatcher(ctx, balancer.New(budget), balancer.DispatcherOptions{}), backend.NewPool(backend.MaxDialTimeout))
	server := httptest.NewServer(handler)
	defer server.Close()
	p := &proxy{handler: handler, server: server}
	response, _, err := p.call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

func TestHandler_DrainingClosesConnectionAfterResponse(t *testing.T) {
	p := newProxy(t, newFakeBackend(t, okResponse("a")))
	p.handler.StartDraining(time.Now().Add(time.Minute))
	response, body, err := p.call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, "a", body)
	assert.True(t, response.Close)
}

// endless responds with a stream whose event does not end, until the proxy closes the connection.
func endless(conn net.Conn, request *http.Request) {
	respond("HTTP/1.1 200 OK\nRequest-Id: ID\nServer-Seal: x\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n")(conn, request)
	part := "10000\r\n" + strings.Repeat("x", 1<<16) + "\r\n"
	for {
		if _, err := conn.Write([]byte(part)); err != nil {
			return
		}
	}
}

// endlessHead responds with a header that does not end.
func endlessHead(conn net.Conn, _ *http.Request) {
	_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nX: "))
	for err == nil {
		_, err = conn.Write(make([]byte, 1<<16))
	}
}

// A backend whose event or head does not end is given up: neither is held without a bound.
func TestHandler_GivesUpEndlessResponse(t *testing.T) {
	_, body, err := newProxy(t, newFakeBackend(t, endless)).call(t, "/stream/a", "")
	require.Error(t, err)
	assert.Empty(t, body)
	response, _, err := newProxy(t, newFakeBackend(t, endlessHead)).call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, response.StatusCode)
}
