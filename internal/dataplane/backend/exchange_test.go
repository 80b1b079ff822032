package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakeServer passes each connection to a function of the test, which writes the raw bytes of the responses.
type fakeServer struct {
	address string
	mutex   sync.Mutex
	opened  int
}

func newFakeServer(t *testing.T, serve func(number int, conn net.Conn, reader *bufio.Reader)) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &fakeServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mutex.Lock()
			s.opened++
			number := s.opened
			s.mutex.Unlock()
			go func() {
				defer conn.Close()
				serve(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

func (s *fakeServer) connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.opened
}

func (s *fakeServer) request(id string, body []byte) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{HeaderRequestID: {id}}, Body: body, ID: id,
		BackendID: "b", Address: s.address, Deadline: time.Now().Add(time.Minute),
	}
}

func respond(conn net.Conn, status int, id, extraHeaders, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, id, extraHeaders, len(body), body)
}

// exchange sends a request and returns the status and body of its response.
func exchange(t *testing.T, pool *Pool, request *Request) (int, string) {
	t.Helper()
	got, err := pool.Do(context.Background(), request)
	require.NoError(t, err)
	defer got.Close()
	body, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	return got.Status, string(body)
}

// A backend may send a second rejection of the same attempt, late. It has the same request ID as a retry of the
// request. If the retry used the same connection, the late rejection would be taken as its response, and would
// promise that the request has not run although it runs. The fake server rejects every request on its first
// connection, so the test fails if the retry uses that connection.
func TestDo_RetryUsesAnotherConnection(t *testing.T) {
	server := newFakeServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		for attempt := 1; ; attempt++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get(HeaderRequestID)
			if number == 1 {
				respond(conn, http.StatusServiceUnavailable, id, "Not-Run: 1\r\n", "")
				continue
			}
			respond(conn, http.StatusOK, id, "", "ran")
		}
	})
	pool := NewPool(MaxDialTimeout)
	status, _ := exchange(t, pool, server.request("r1", nil))
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, body := exchange(t, pool, server.request("r1", nil))
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "ran", body)
	assert.Equal(t, 2, server.connections())
	status, _ = exchange(t, pool, server.request("r2", nil))
	assert.Equal(t, http.StatusOK, status, "another request uses the idle connection")
	assert.Equal(t, 2, server.connections())
}

// A backend responds before it has read a long request. Do must return the response before the whole request is
// written. The rest of the request is not sent yet, so the connection must not be reused.
func TestDo_ResponseBeforeLongRequestIsWritten(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	server := newFakeServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(HeaderRequestID)
		if number == 1 {
			respond(conn, http.StatusServiceUnavailable, id, "Not-Run: 1\r\n", "")
			<-done // leaves the rest of the request unread
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		respond(conn, http.StatusOK, id, "", "ran")
	})
	pool := NewPool(MaxDialTimeout)
	long := []byte(strings.Repeat("x", 32<<20)) // more than the socket buffers hold
	got, err := pool.Do(context.Background(), server.request("r1", long))
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, got.Status)
	assert.True(t, got.IsRejected())
	got.Close()
	status, body := exchange(t, pool, server.request("r2", []byte("short")))
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "ran", body)
	assert.Equal(t, 2, server.connections())
}

// After a connection reset the request must not be sent again, and its error must have the phase Sent: it may have run.
func TestDo_NeverRetries(t *testing.T) {
	var mutex sync.Mutex
	var received []string
	server := newFakeServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get(HeaderRequestID)
			mutex.Lock()
			received = append(received, id)
			mutex.Unlock()
			if id == "reset" {
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			}
			respond(conn, http.StatusOK, id, "", "ran")
		}
	})
	pool := NewPool(MaxDialTimeout)
	exchange(t, pool, server.request("first", nil)) // its connection becomes idle
	_, err := pool.Do(context.Background(), server.request("reset", nil))
	var failure *Error
	require.True(t, errors.As(err, &failure))
	assert.Equal(t, Sent, failure.Phase)
	mutex.Lock()
	defer mutex.Unlock()
	assert.Equal(t, []string{"first", "reset"}, received)
	assert.Equal(t, 1, server.connections())
}

// Informational responses must be skipped. Bytes after a complete response, here a response with the ID of the next
// request, must not be taken for the response to that request. So a connection with such bytes must not be reused,
// whether they arrived with the response or after it.
func TestDo_SkipsInformationalResponsesAndSurplusBytes(t *testing.T) {
	const surplus = "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 5\r\n\r\nwrong"
	for name, isSeparate := range map[string]bool{"in one write": false, "in a later write": true} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				id := request.Header.Get(HeaderRequestID)
				if number > 1 {
					respond(conn, http.StatusOK, id, "", "two")
					return
				}
				fmt.Fprint(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
				first := "HTTP/1.1 200 x\r\nRequest-Id: " + id + "\r\nContent-Length: 3\r\n\r\none"
				if isSeparate {
					fmt.Fprint(conn, first)
					fmt.Fprint(conn, surplus)
				} else {
					fmt.Fprint(conn, first+surplus)
				}
				_, _ = io.Copy(io.Discard, conn)
			})
			pool := NewPool(MaxDialTimeout)
			_, body := exchange(t, pool, server.request("r1", nil))
			assert.Equal(t, "one", body)
			// Wait for the surplus bytes: if they arrived after the next request was sent, they could not be
			// distinguished from its response.
			isDetected := func() bool { return len(pool.idle["b"]) == 0 || !pool.idle["b"][0].isReusable() }
			require.Eventually(t, isDetected, 5*time.Second, time.Millisecond)
			_, body = exchange(t, pool, server.request("r2", nil))
			assert.Equal(t, "two", body)
			assert.Equal(t, 2, server.connections())
		})
	}
}
