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

// script handles one request at a fake backend. It may close the connection.
type script func(conn net.Conn, request *http.Request)

// fakeBackend handles each request by its next script. It closes the connection if no script is left.
type fakeBackend struct {
	listener net.Listener
	mutex    sync.Mutex
	scripts  []script
	received []string
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
		b.received = append(b.received, fmt.Sprintf("%s %s %q target %s last %q", request.Method, request.RequestURI, body,
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
	return b.received
}

// respond writes a response. It replaces ID in the text by the request's ID.
func respond(text string) script {
	return func(conn net.Conn, request *http.Request) {
		id := request.Header.Get(backend.HeaderRequestID)
		fmt.Fprint(conn, strings.ReplaceAll(strings.ReplaceAll(text, "\n", "\r\n"), "ID", id))
	}
}

func okResponse(body string) script {
	head := "HTTP/1.1 200 OK\nRequest-Id: ID\nServer-Seal: x\n"
	return respond(fmt.Sprintf("%sContent-Length: %d\n\n%s", head, len(body), body))
}

var rejection = respond("HTTP/1.1 503 No\nRequest-Id: ID\nNot-Run: 1\nContent-Length: 0\n\n")

// stream responds with a stream of events. The stream ends properly if isComplete is set. Otherwise the connection is
// closed within the next event.
func stream(isComplete bool, ids ...int) script {
	return func(conn net.Conn, request *http.Request) {
		respond("HTTP/1.1 200 OK\nRequest-Id: ID\nServer-Seal: x\n"+
			"Content-Type: text/event-stream\nTransfer-Encoding: chunked\n\n")(conn, request)
		for _, id := range ids {
			event := fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if isComplete {
			fmt.Fprint(conn, "0\r\n\r\n")
			return
		}
		fmt.Fprint(conn, "c\r\nid: 99\nda") // an incomplete event
		conn.Close()
	}
}

func closeConn(conn net.Conn, _ *http.Request) { conn.Close() }

// proxy is a handler on a real listener, with fake backends.
type proxy struct {
	handler *Handler
	server  *httptest.Server
}

func newProxy(t *testing.T, backends ...*fakeBackend) *proxy {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	budget := balancer.NewRetryBudget(balancer.RetryBudgetOptions{
		Window: time.Minute, Ratio: 1, Allowance: 1000, Started: time.Now().Add(-time.Hour),
	})
	dispatcher := balancer.NewDispatcher(ctx, balancer.New(budget), balancer.DispatcherOptions{})
	config, err := configuration.Parse([]byte(routes))
	require.NoError(t, err)
	var list []message.Backend
	for i, b := range backends {
		list = append(list, message.Backend{
			ID: message.BackendID(fmt.Sprintf("i-%d", i)), Service: "s", Zone: "z", Capacity: 10,
			Address: b.listener.Addr().String(),
		})
	}
	dispatcher.Update(balancer.Update{Config: config, Backends: list, HasBackends: true})
	p := &proxy{handler: New(dispatcher, backend.NewPool(backend.MaxDialTimeout))}
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
