package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The test uses a connection to a real server, and passes future times to closeExpired.
func TestIdleConnections_ClosedBeyondLimit(t *testing.T) {
	idle := &idleConnections{}
	idled := make(chan struct{}, 8)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "a") }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			idle.track(conn, state)
			if state == http.StateIdle {
				idled <- struct{}{}
			}
		},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	reader := bufio.NewReader(conn)
	const limit = 10 * time.Second
	sendRequest := func() error {
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_, err = io.ReadAll(response.Body)
		<-idled
		return err
	}
	require.NoError(t, sendRequest())
	idle.closeExpired(time.Now().Add(limit), limit)
	idle.closeExpired(time.Now().Add(time.Hour), 0)
	require.NoError(t, sendRequest(), "within the limit, or without a limit, the connection must stay open")
	idle.closeExpired(time.Now().Add(limit+2*idleGrace), limit)
	_, err = reader.ReadByte()
	assert.Error(t, err, "beyond the limit the server must close the connection")
}
