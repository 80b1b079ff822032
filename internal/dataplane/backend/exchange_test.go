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

// fakeServer hands each connection to the test, which answers byte by byte.
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
		Backend: "b", Address: s.address, Deadline: time.Now().Add(time.Minute),
	}
}

func answer(conn net.Conn, status int, id, extra, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
}

// read makes an exchange and returns status and body.
func read(t *testing.T, pool *Pool, request *Request) (int, string) {
	t.Helper()
	got, err := pool.Do(context.Background(), request)
	require.NoError(t, err)
	defer got.Close()
	body, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	return got.Status, string(body)
}

// A backend declined a request, and says so once more when the request comes again: the second word is about the first
// attempt, and bears the right id. Taken for an answer to the second attempt it would promise that a request that runs
// has not.
func TestDo_SkipsSecondResponseToEarlierAttempt(t *testing.T) {
	server := newFakeServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		for attempt := 1; ; attempt++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get(HeaderRequestID)
			if number == 1 {
				answer(conn, http.StatusServiceUnavailable, id, "Not-Run: 1\r\n", "")
				continue
			}
			answer(conn, http.StatusOK, id, "", "ran")
		}
	})
	pool := NewPool()
	status, _ := read(t, pool, server.request("r1", nil))
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, body := read(t, pool, server.request("r1", nil))
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "ran", body)
	assert.Equal(t, 2, server.connections())
	status, _ = read(t, pool, server.request("r2", nil))
	assert.Equal(t, http.StatusOK, status, "another request goes on a connection that rests")
	assert.Equal(t, 2, server.connections())
}

// A backend answers before it has read a long request, and reads on only then: the answer is not waited for until the
// whole request is written, and the connection, on which the rest is due, carries no other request.
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
			answer(conn, http.StatusServiceUnavailable, id, "Not-Run: 1\r\n", "")
			<-done // the rest is left unread
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer(conn, http.StatusOK, id, "", "ran")
	})
	pool := NewPool()
	long := []byte(strings.Repeat("x", 32<<20)) // more than the sockets hold
	got, err := pool.Do(context.Background(), server.request("r1", long))
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, got.Status)
	assert.True(t, got.IsRejected())
	got.Close()
	status, body := read(t, pool, server.request("r2", []byte("short")))
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "ran", body)
	assert.Equal(t, 2, server.connections())
}

// After silence, a close or a reset nothing is sent again by itself, and what was written may have run.
func TestDo_NeverRetries(t *testing.T) {
	var mutex sync.Mutex
	var seen []string
	server := newFakeServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get(HeaderRequestID)
			mutex.Lock()
			seen = append(seen, id)
			mutex.Unlock()
			if id == "reset" {
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			}
			answer(conn, http.StatusOK, id, "", "ran")
		}
	})
	pool := NewPool()
	read(t, pool, server.request("first", nil)) // its connection is kept
	_, err := pool.Do(context.Background(), server.request("reset", nil))
	var failure *Error
	require.True(t, errors.As(err, &failure))
	assert.Equal(t, Sent, failure.Phase)
	mutex.Lock()
	defer mutex.Unlock()
	assert.Equal(t, []string{"first", "reset"}, seen)
	assert.Equal(t, 1, server.connections())
}

// Informational answers are no answers, and bytes after a whole answer end its connection.
func TestDo_SkipsInformationalResponsesAndSurplusBytes(t *testing.T) {
	server := newFakeServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(HeaderRequestID)
		if number == 1 {
			fmt.Fprint(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
			answer(conn, http.StatusOK, id, "", "one")
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 5\r\n\r\nwrong")
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		answer(conn, http.StatusOK, id, "", "two")
	})
	pool := NewPool()
	_, body := read(t, pool, server.request("r1", nil))
	assert.Equal(t, "one", body)
	_, body = read(t, pool, server.request("r2", nil))
	assert.Equal(t, "two", body)
}

func TestPool_HasIdleUntilExpiration(t *testing.T) {
	pool := NewPool()
	assert.False(t, pool.HasIdle("b"))
	client, server := net.Pipe()
	defer server.Close()
	pool.release("b", &conn{Conn: client}, time.Hour)
	assert.True(t, pool.HasIdle("b"))
	assert.False(t, pool.HasIdle("c"))
	pool.release("b", &conn{Conn: client}, -time.Second)
	assert.False(t, pool.HasIdle("b"), "the newest has expired, so all have")
	pool.Forget("b")
	assert.False(t, pool.HasIdle("b"))
}
