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

// lateListener takes no connection before it may, as one of a proxy that is short of CPU, and tells when it is to take no more.
type lateListener struct {
	*net.TCPListener
	goOn chan struct{}
	told chan struct{}
	once sync.Once
}

func (l *lateListener) Accept() (net.Conn, error) { <-l.goOn; return l.TCPListener.Accept() }

func (l *lateListener) SetDeadline(t time.Time) error {
	defer l.once.Do(func() { close(l.told) })
	return l.TCPListener.SetDeadline(t)
}

func (l *lateListener) Close() error {
	defer l.once.Do(func() { close(l.told) })
	return l.TCPListener.Close()
}

// Requests on connections that the system has accepted, but the proxy not when its time to accept is over, are taken all the same.
func TestNoConnectionIsLeftInTheQueue(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	late := &lateListener{TCPListener: tcp.(*net.TCPListener), goOn: make(chan struct{}), told: make(chan struct{})}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	f := newFront(answer, 9)
	go func() { ended <- f.Serve(ctx, late) }()
	var clients []net.Conn
	for i := range 5 {
		client, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		if _, err := io.WriteString(client, strings.Replace(quote, "Id: 1", "Id: "+strconv.Itoa(i), 1)); err != nil {
			t.Fatal(err)
		}
		clients = append(clients, client)
	}
	stop()
	<-late.told
	close(late.goOn)
	for i, client := range clients {
		if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("client %d: %v, %v", i, resp, err)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
