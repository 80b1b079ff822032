package executor

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/bodybudget"
	"pumiceline/internal/jsonbound"
	"pumiceline/internal/message"
)

// rawBackend passes the requests on its connections to serve, which writes the responses, and counts them by path.
type rawBackend struct {
	listener net.Listener
	mutex    sync.Mutex
	received map[string]int
	serve    func(connection net.Conn, request *http.Request, earlier int) // earlier: requests on this connection so far
}

func newRawBackend(t *testing.T, serve func(net.Conn, *http.Request, int)) (*rawBackend, message.Backend) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	b := &rawBackend{listener: listener, received: map[string]int{}, serve: serve}
	go b.accept()
	return b, message.Backend{ID: "b-1", Address: listener.Addr().String()}
}

func (b *rawBackend) accept() {
	for {
		connection, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.read(connection)
	}
}

func (b *rawBackend) read(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for earlier := 0; ; earlier++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		b.mutex.Lock()
		b.received[request.URL.Path]++
		b.mutex.Unlock()
		b.serve(connection, request, earlier)
	}
}

func (b *rawBackend) count(path string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.received[path]
}

const (
	fullReport = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 41\r\n\r\n" +
		`{"models":[],"inUse":false,"callCount":0}`
	accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
)

// Regression test: commands and reports shared a connection. A second response to a report request, which arrived
// after the command was sent, was taken for the response to the command. Its status 200 stands for AlreadyMet.
func TestBackendClient_LateReportIsNotTakenForCommandResponse(t *testing.T) {
	_, target := newRawBackend(t, func(connection net.Conn, request *http.Request, earlier int) {
		switch {
		case request.URL.Path == "/report":
			_, _ = connection.Write([]byte(fullReport))
		case earlier > 0: // a second response to the previous request
			_, _ = connection.Write([]byte(fullReport + accepted))
		default:
			_, _ = connection.Write([]byte(accepted))
		}
	})
	client := NewBackendClient()
	_, err := client.FetchReport(context.Background(), target)
	require.NoError(t, err)
	assert.Equal(t, Accepted, client.SendCommand(context.Background(), target, Command{Operation: LoadModel, Model: "m"}))
	_, err = client.FetchReport(context.Background(), target)
	require.NoError(t, err)
	assert.Equal(t, Accepted, client.SendCommand(context.Background(), target, Command{Operation: LoadModel, Model: "n"}))
}

// Reports that would take much memory are errors: one with many values, and one beside others that are read.
func TestBackendClient_BoundsReports(t *testing.T) {
	reports := []string{`{"models":[` + strings.Repeat("{},", maxReportValues) + `{}]}`, strings.Repeat(" ", maxResponseBytes)}
	for i, report := range reports {
		_, target := newRawBackend(t, func(connection net.Conn, _ *http.Request, _ int) {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		})
		client := NewBackendClient()
		others := client.reportsInFlight.Reader(bytes.NewReader(make([]byte, maxReportsBytes-maxResponseBytes/2)))
		_, _ = io.Copy(io.Discard, others) // as other reports in flight
		_, err := client.FetchReport(t.Context(), target)
		assert.ErrorIs(t, err, []error{jsonbound.ErrTooManyValues, bodybudget.ErrExhausted}[i])
	}
}

// A command without a response may have been accepted: neither the client nor the HTTP library sends it again.
func TestBackendClient_SendsUnansweredCommandOnce(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"closed": func(connection net.Conn) { connection.Close() },
		"reset": func(connection net.Conn) {
			_ = connection.(*net.TCPConn).SetLinger(0)
			connection.Close()
		},
		"half a response": func(connection net.Conn) {
			_, _ = connection.Write([]byte("HTTP/1.1 20"))
			connection.Close()
		},
	} {
		backend, target := newRawBackend(t, func(connection net.Conn, request *http.Request, _ int) {
			if request.URL.Path == "/order" {
				end(connection)
				return
			}
			_, _ = connection.Write([]byte(fullReport))
		})
		client := NewBackendClient()
		_, err := client.FetchReport(context.Background(), target) // leaves an idle connection
		require.NoError(t, err)
		answer := client.SendCommand(context.Background(), target, Command{Operation: LoadModel, Model: "m"})
		assert.Equal(t, Unknown, answer, name)
		assert.Equal(t, 1, backend.count("/order"), name)
	}
}
