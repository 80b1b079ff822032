package listener

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowListener accepts no connection before proceed is closed, as in a proxy that is short of CPU. It closes
// drainStarted when it is told to drain or close.
type slowListener struct {
	*net.TCPListener
	proceed      chan struct{}
	drainStarted chan struct{}
	once         sync.Once
}

func (l *slowListener) Accept() (net.Conn, error) { <-l.proceed; return l.TCPListener.Accept() }

func (l *slowListener) SetDeadline(t time.Time) error {
	defer l.once.Do(func() { close(l.drainStarted) })
	return l.TCPListener.SetDeadline(t)
}

func (l *slowListener) Close() error {
	defer l.once.Do(func() { close(l.drainStarted) })
	return l.TCPListener.Close()
}

// Connections that are still queued in the kernel at the end of acceptGrace are served.
func TestServer_ShutdownAcceptsQueuedConnections(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	slow := &slowListener{TCPListener: tcp.(*net.TCPListener), proceed: make(chan struct{}), drainStarted: make(chan struct{})}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	server := newTestServer(respondOK, 9)
	go func() { ended <- server.Serve(ctx, slow) }()
	var clients []net.Conn
	for i := range 5 {
		client, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		if _, err := io.WriteString(client, strings.Replace(quoteRequest, "Id: 1", "Id: "+strconv.Itoa(i), 1)); err != nil {
			t.Fatal(err)
		}
		clients = append(clients, client)
	}
	stop()
	<-slow.drainStarted
	close(slow.proceed)
	for i, client := range clients {
		if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("client %d: %v, %v", i, resp, err)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
