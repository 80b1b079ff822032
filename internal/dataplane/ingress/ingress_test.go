package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
	"pumiceline/internal/message"
)

const routes = `{"version":3,"services":[{"name":"s","maxConns":100}],"routes":[
{"name":"once","host":"h","pathStart":"/once/","kind":"changing","timeoutMs":60000,"targetMs":40000,"service":"s","tries":2},
{"name":"read","host":"h","pathStart":"/read/","kind":"read_only","timeoutMs":60000,"targetMs":40000,"service":"s","tries":2},
{"name":"stream","host":"h","pathStart":"/stream/","kind":"streaming","timeoutMs":60000,"targetMs":40000,"service":"s","tries":2},
{"name":"resumable","host":"h","pathStart":"/resume/","kind":"streaming","timeoutMs":60000,"targetMs":40000,"service":"s","tries":2,"resumable":true}
]}`

// script is what a fake backend writes to one request; it may close the connection after it.
type script func(conn net.Conn, request *http.Request)

// fakeBackend answers each request by the next script, in bytes of its own.
type fakeBackend struct {
	listener net.Listener
	mutex    sync.Mutex
	scripts  []script
	seen     []string
}

func newFakeBackend(t *testing.T, scripts ...script) *fakeBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &fakeBackend{listener: listener, scripts: scripts}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *fakeBackend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		b.mutex.Lock()
		b.seen = append(b.seen, fmt.Sprintf("%s %s %q target %s last %q", request.Method, request.RequestURI, body,
			request.Header.Get(backend.HeaderTarget), request.Header.Get(backend.HeaderLastEventID)))
		if len(b.scripts) == 0 {
			b.mutex.Unlock()
			return
		}
		next := b.scripts[0]
		b.scripts = b.scripts[1:]
		b.mutex.Unlock()
		next(conn, request)
	}
}

func (b *fakeBackend) requests() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.seen
}

func write(text string) script {
	return func(conn net.Conn, request *http.Request) {
		id := request.Header.Get(backend.HeaderRequestID)
		fmt.Fprint(conn, strings.ReplaceAll(strings.ReplaceAll(text, "\n", "\r\n"), "ID", id))
	}
}

func whole(body string) script {
	return write(fmt.Sprintf("HTTP/1.1 200 OK\nRequest-Id: ID\nServer-Seal: x\nContent-Length: %d\n\n%s", len(body), body))
}

var notRun = write("HTTP/1.1 503 No\nRequest-Id: ID\nNot-Run: 1\nContent-Length: 0\n\n")

// events writes a stream of events, whole or broken off after them.
func events(end bool, ids ...int) script {
	return func(conn net.Conn, request *http.Request) {
		write("HTTP/1.1 200 OK\nRequest-Id: ID\nServer-Seal: x\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n")(conn, request)
		for _, id := range ids {
			event := fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if end {
			fmt.Fprint(conn, "0\r\n\r\n")
			return
		}
		fmt.Fprint(conn, "c\r\nid: 99\nda") // a part of an event
		conn.Close()
	}
}

func closeNow(conn net.Conn, _ *http.Request) { conn.Close() }

// proxy is a handler with its fake backends, reached by a real client.
type proxy struct {
	handler *Handler
	server  *httptest.Server
}

func newProxy(t *testing.T, backends ...*fakeBackend) *proxy {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	budget := balancer.NewRetryBudget(time.Minute, 1, 1000, time.Now().Add(-time.Hour))
	dispatcher := balancer.NewDispatcher(ctx, balancer.New("z", budget), func() {}, nil)
	config, err := configuration.Parse([]byte(routes))
	require.NoError(t, err)
	var list []message.Backend
	for i, b := range backends {
		list = append(list, message.Backend{
			ID: message.BackendID(fmt.Sprintf("i-%d", i)), Service: "s", Zone: "z", Capacity: 10, Address: b.listener.Addr().String(),
		})
	}
	dispatcher.Update(config, list, true, nil, nil, nil)
	p := &proxy{handler: New(dispatcher, backend.NewPool())}
	p.handler.SetConfig(config)
	p.handler.Confirm()
	p.server = httptest.NewServer(p.handler)
	t.Cleanup(p.server.Close)
	return p
}

func (p *proxy) call(t *testing.T, path, body string) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, p.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set(backend.HeaderRequestID, "r1")
	request.Header.Set(backend.HeaderTimeLeft, "60000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

func TestAnAnswerIsPassedOnUnchanged(t *testing.T) {
	b := newFakeBackend(t, whole("hello"))
	p := newProxy(t, b)
	response, body, err := p.call(t, "/once/a?b=c", "text")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "hello", body)
	assert.Equal(t, "x", response.Header.Get(backend.HeaderSeal))
	assert.Equal(t, []string{`POST /once/a?b=c "text" target i-0 last ""`}, b.requests())
}

func TestOnlyAPromiseLetsAChangingRequestGoOn(t *testing.T) {
	refusing, serving := newFakeBackend(t, notRun), newFakeBackend(t, whole("served"))
	response, body, err := newProxy(t, refusing, serving).call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "served", body)

	breaking, other := newFakeBackend(t, closeNow), newFakeBackend(t, whole("again"))
	response, _, err = newProxy(t, breaking, other).call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, response.StatusCode, "it may have run: no promise")
	assert.Empty(t, other.requests(), "and it is sent nowhere else")
}

func TestAnIdempotentRequestIsRepeatedWithinItsTries(t *testing.T) {
	breaking, other := newFakeBackend(t, closeNow), newFakeBackend(t, whole("again"))
	response, body, err := newProxy(t, breaking, other).call(t, "/read/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "again", body)

	response, _, err = newProxy(t, newFakeBackend(t, closeNow), newFakeBackend(t, closeNow)).call(t, "/read/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, response.StatusCode, "it may have run: 503 would promise that it has not")
}

func TestAnAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	b := newFakeBackend(t, write("HTTP/1.1 200 OK\nRequest-Id: old\nServer-Seal: y\nContent-Length: 3\n\noldHTTP/1.1 200 OK\n"+
		"Request-Id: ID\nServer-Seal: x\nContent-Length: 3\n\nnew"))
	response, body, err := newProxy(t, b).call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, "new", body)
	assert.Equal(t, "x", response.Header.Get(backend.HeaderSeal))
}

func TestAnAnswerCutOffIsNeverASuccess(t *testing.T) {
	b := newFakeBackend(t, func(conn net.Conn, r *http.Request) {
		write("HTTP/1.1 200 OK\nRequest-Id: ID\nServer-Seal: x\nContent-Length: 30\n\nhalf")(conn, r)
		conn.Close()
	})
	response, _, err := newProxy(t, b).call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, response.StatusCode)
	assert.Empty(t, response.Header.Get(backend.HeaderSeal))
}

func TestAStreamEndsWholeOrVisiblyBroken(t *testing.T) {
	_, body, err := newProxy(t, newFakeBackend(t, events(true, 1, 2))).call(t, "/stream/a", "")
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", body)

	_, body, err = newProxy(t, newFakeBackend(t, events(false, 1, 2)), newFakeBackend(t, events(true, 3))).call(t, "/stream/a", "")
	require.Error(t, err, "one that may not be resumed breaks")
	assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", body, "only whole events were passed on")
}

func TestAResumableStreamGoesOnElsewhere(t *testing.T) {
	first, second := newFakeBackend(t, events(false, 1, 2)), newFakeBackend(t, events(true, 3, 4))
	_, body, err := newProxy(t, first, second).call(t, "/resume/a", "")
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n", body)
	assert.Equal(t, []string{`POST /resume/a "" target i-1 last "2"`}, second.requests())
}

func TestWhatNobodyTakes(t *testing.T) {
	p := newProxy(t, newFakeBackend(t, notRun))
	response, _, err := p.call(t, "/none/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusNotFound, response.StatusCode)
	p.handler.confirmed.Store(int64(-time.Hour))
	response, _, err = p.call(t, "/none/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "the route may be there in a newer configuration")
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
}

func TestNoConfigurationDeniesNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	budget := balancer.NewRetryBudget(time.Minute, 1, 1, time.Now())
	handler := New(balancer.NewDispatcher(ctx, balancer.New("z", budget), func() {}, nil), backend.NewPool())
	server := httptest.NewServer(handler)
	defer server.Close()
	p := &proxy{handler: handler, server: server}
	response, _, err := p.call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

func TestAStoppingProxyClosesConnectionsInOrder(t *testing.T) {
	p := newProxy(t, newFakeBackend(t, whole("a")))
	p.handler.SetLeaving(time.Now().Add(time.Minute))
	response, body, err := p.call(t, "/once/a", "")
	require.NoError(t, err)
	assert.Equal(t, "a", body)
	assert.True(t, response.Close)
}
