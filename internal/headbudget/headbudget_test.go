package headbudget

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTimeout = 10 * time.Second

// noContent responds at once.
func noContent(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// newServer serves with a budget until the end of the test, and returns the address.
func newServer(t *testing.T, budget *Budget, handler http.HandlerFunc) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		Handler:     budget.Handler(handler),
		ConnContext: budget.ConnContext, ConnState: budget.ConnState,
	}
	go func() { _ = server.Serve(budget.Listener(inner)) }()
	t.Cleanup(func() { server.Close() })
	return inner.Addr().String()
}

// client is a connection to the server.
type client struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func newClient(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &client{t: t, conn: conn, in: bufio.NewReader(conn)}
}

// send sends a head without its last line, with a field of so many bytes.
func (c *client) send(fieldBytes int) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n", strings.Repeat("x", fieldBytes))
	require.NoError(c.t, err)
}

// finish sends the last line of a head.
func (c *client) finish() {
	c.t.Helper()
	_, err := c.conn.Write([]byte("\r\n"))
	require.NoError(c.t, err)
}

// status returns the status code of the next response.
func (c *client) status() int {
	c.t.Helper()
	response, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	response.Body.Close()
	return response.StatusCode
}

func awaitUsed(t *testing.T, budget *Budget, condition func(used int64) bool) {
	t.Helper()
	require.Eventually(t, func() bool { return condition(budget.used.Load()) }, testTimeout, time.Millisecond)
}

// A large head is rejected while unfinished ones take the budget. Heads of an ordinary size are not.
func TestBudget_BoundsUnfinishedHeadsTogether(t *testing.T) {
	const large = 20 << 10
	budget := New(large)
	address := newServer(t, budget, noContent)
	first := newClient(t, address)
	first.send(large)
	awaitUsed(t, budget, func(used int64) bool { return used > large-uncountedBytes })

	second := newClient(t, address)
	second.send(large)
	assert.Equal(t, http.StatusServiceUnavailable, second.status())
	ordinary := newClient(t, address)
	ordinary.send(100)
	ordinary.finish()
	assert.Equal(t, http.StatusNoContent, ordinary.status())

	first.finish()
	assert.Equal(t, http.StatusNoContent, first.status())
	awaitUsed(t, budget, func(used int64) bool { return used == 0 })
	for range 3 { // each head of a connection counts anew
		ordinary.send(large - uncountedBytes)
		ordinary.finish()
		assert.Equal(t, http.StatusNoContent, ordinary.status())
	}
	awaitUsed(t, budget, func(used int64) bool { return used == 0 })
}

// A connection that closes gives back what its head took.
func TestBudget_ClosedConnectionCountsNoMore(t *testing.T) {
	budget := New(1 << 20)
	c := newClient(t, newServer(t, budget, noContent))
	c.send(10 << 10)
	awaitUsed(t, budget, func(used int64) bool { return used > 0 })
	require.NoError(t, c.conn.Close())
	awaitUsed(t, budget, func(used int64) bool { return used == 0 })
}

// The head of a request in flight counts until its response; its body does not.
func TestBudget_RequestInFlightCounts(t *testing.T) {
	const fieldBytes, bodyBytes = 10 << 10, 100 << 10
	budget := New(1 << 20)
	respond := make(chan struct{})
	c := newClient(t, newServer(t, budget, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-respond
		noContent(w, r)
	}))
	_, err := fmt.Fprintf(c.conn, "POST / HTTP/1.1\r\nHost: h\r\nX: %s\r\nContent-Length: %d\r\n\r\n", strings.Repeat("x", fieldBytes), bodyBytes)
	require.NoError(t, err)
	_, err = c.conn.Write(make([]byte, bodyBytes))
	require.NoError(t, err)
	awaitUsed(t, budget, func(used int64) bool { return used > fieldBytes-uncountedBytes })
	assert.Less(t, budget.used.Load(), int64(2*fieldBytes))
	close(respond)
	assert.Equal(t, http.StatusNoContent, c.status())
	awaitUsed(t, budget, func(used int64) bool { return used == 0 })
}
