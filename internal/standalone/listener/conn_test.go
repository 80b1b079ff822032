package listener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"pumiceline/internal/socket"
)

// pausingConn is a TCP connection. While isPausing is set, a Read that has received bytes pauses before it returns. The
// connection closes writeClosed when its writing side is closed.
type pausingConn struct {
	*net.TCPConn
	isPausing     atomic.Bool
	paused        chan struct{} // receives a value for each read that pauses
	proceed       chan struct{} // each value lets one paused read return
	writeClosed   chan struct{} // closed with CloseWrite or Close
	isWriteClosed atomic.Bool
}

func (c *pausingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.isPausing.Load() {
		c.paused <- struct{}{}
		<-c.proceed
	}
	return n, err
}

func (c *pausingConn) CloseWrite() error {
	err := c.TCPConn.CloseWrite()
	c.notifyWriteClosed()
	return err
}

func (c *pausingConn) Close() error { err := c.TCPConn.Close(); c.notifyWriteClosed(); return err }

func (c *pausingConn) notifyWriteClosed() {
	if c.isWriteClosed.CompareAndSwap(false, true) {
		close(c.writeClosed)
	}
}

type pausingListener struct {
	net.Listener
	conns chan *pausingConn
}

func (l *pausingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &pausingConn{
		TCPConn:     nc.(*net.TCPConn),
		paused:      make(chan struct{}, 1),
		proceed:     make(chan struct{}, 1),
		writeClosed: make(chan struct{}),
	}
	if err := c.SetWriteBuffer(1 << 18); err != nil {
		return nil, err
	}
	l.conns <- c
	return c, nil
}

// servePausing serves on a TCP socket and connects one client to it.
func servePausing(t *testing.T, server *Server) (client *net.TCPConn, serverConn *pausingConn, stop func() chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	pl := &pausingListener{ln, make(chan *pausingConn, 8)}
	go func() { ended <- server.Serve(ctx, pl) }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close(); cancel() })
	return nc.(*net.TCPConn), <-pl.conns, func() chan error { cancel(); return ended }
}

// A request that is read while the proxy ends its connection must not be forwarded: its response would find the
// connection closed, and its client sends it again. This is a regression test for a race between a read, which already
// had the bytes of the request, and the check for an idle connection, which did not see them.
func TestClientConn_DiscardsRequestReadDuringClose(t *testing.T) {
	for name, end := range map[string]func(server *Server, stop func() chan error){
		"eviction": func(server *Server, _ func() chan error) {
			if !server.tracker.evict() {
				t.Error("no connection was evicted")
			}
		},
		"shutdown": func(_ *Server, stop func() chan error) { stop() },
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			server := newTestServerWith(func(r *http.Request) (*http.Response, error) {
				requests.Add(1)
				return respondOK(r)
			}, withSuccessor)
			client, serverConn, stop := servePausing(t, server)
			br := bufio.NewReader(client)
			if resp, _, err := exchange(client, br, quoteRequest); err != nil || resp.StatusCode != 200 {
				t.Fatalf("%v, %v", resp, err)
			}
			for server.tracker.idleNow() == 0 { // the state changes just after the response
				time.Sleep(time.Millisecond)
			}
			serverConn.isPausing.Store(true)
			if _, err := io.WriteString(client, quoteRequest); err != nil {
				t.Fatal(err)
			}
			<-serverConn.paused // the bytes have left the kernel, and Read has not returned
			end(server, stop)
			<-serverConn.writeClosed
			serverConn.isPausing.Store(false)
			serverConn.proceed <- struct{}{}
			if _, err := br.ReadByte(); err == nil {
				t.Error("the request that was read during the close was answered")
			}
			client.Close()
			if err := <-stop(); err != nil {
				t.Error(err)
			}
			if n := requests.Load(); n != 1 {
				t.Errorf("%d requests were forwarded, want the first alone", n)
			}
		})
	}
}

// A response that the client has not read yet is not lost when the proxy closes the connection while bytes of the
// client are unread. Without lingering, those would make the kernel reset the connection and drop the rest of the
// response.
func TestClientConn_CloseKeepsUnreadResponse(t *testing.T) {
	const size = 60_000
	forwarded, proceed := make(chan struct{}), make(chan struct{})
	server := newTestServer(func(r *http.Request) (*http.Response, error) {
		close(forwarded)
		<-proceed
		return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", size))),
			ContentLength: size, Request: r}, nil
	}, 9)
	client, serverConn, stop := servePausing(t, server)
	if err := client.SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	// A chunked request is its connection's last.
	chunked := "POST /issue HTTP/1.1\r\n" + issueHeaders + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	if _, err := io.WriteString(client, chunked); err != nil {
		t.Fatal(err)
	}
	<-forwarded
	if _, err := io.WriteString(client, strings.Repeat("more than belongs here", 100)); err != nil {
		t.Fatal(err)
	}
	close(proceed)
	<-serverConn.writeClosed // the proxy has closed its writing side, and the client has read almost nothing
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
		t.Errorf("%d bytes of %d, %v", n, size, err)
	}
	client.Close()
	if err := <-stop(); err != nil {
		t.Error(err)
	}
}

// A client whose idle connection is closed at shutdown reads EOF and gets no reset, even if it sends requests during
// the close, and it does not delay the shutdown.
func TestClientConn_IdleConnectionClosesGracefully(t *testing.T) {
	server := newTestServerWith(respondOK, withSuccessor)
	client, serverConn, stop := servePausing(t, server)
	br := bufio.NewReader(client)
	if resp, _, err := exchange(client, br, quoteRequest); err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v, %v", resp, err)
	}
	begin, ended := time.Now(), stop()
	<-serverConn.writeClosed
	for range 3 { // on a connection that is closed without lingering, the second write would fail
		if _, err := io.WriteString(client, quoteRequest); err != nil {
			t.Errorf("sending during the close: %v", err)
		}
		for wait := time.Now().Add(10 * time.Second); !isSendBufferEmpty(client); time.Sleep(time.Millisecond) {
			if time.Now().After(wait) {
				t.Fatal("the bytes sent during the close are never read")
			}
		}
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the client reads %v", err)
	}
	if err := <-ended; err != nil || time.Since(begin) > acceptGrace+2*lingerTimeout {
		t.Errorf("%v after %v", err, time.Since(begin))
	}
}

// isSendBufferEmpty reports whether the peer's kernel has acknowledged all that was written.
func isSendBufferEmpty(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	unacked := 0
	if err := raw.Control(func(fd uintptr) { unacked, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return true
	}
	return unacked == 0
}

// The head of a later request may take laterHeadExtension longer than the first. If the connection were closed while
// the last byte is on its way, the request would be lost.
func TestClientConn_LaterHeadsHaveLongerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(respondOK, 10)
		ln, stop := serveOnPipes(t, server)
		c, r := ln.dial()
		for i := range 3 {
			io.WriteString(c, quoteRequest[:30])
			if i > 0 {
				time.Sleep(headTimeout + time.Second)
			}
			if resp, _, err := exchange(c, r, quoteRequest[30:]); err != nil || resp.StatusCode != 200 {
				t.Fatalf("request %d: %v, %v", i, resp, err)
			}
		}
		begin := time.Now()
		io.WriteString(c, quoteRequest[:30])
		if _, err := io.ReadAll(r); err != nil {
			t.Error(err)
		}
		if took := time.Since(begin); took != headTimeout+laterHeadExtension {
			t.Errorf("an incomplete later head kept its connection open for %v", took)
		}
		c.Close()
		<-stop()
	})
}

// lateConn is a connection whose next read, if late is set, reports an expired deadline although bytes may have
// arrived, as in a proxy that is short of CPU.
type lateConn struct {
	*net.TCPConn
	late bool
}

func (l *lateConn) Read(b []byte) (int, error) {
	if l.late {
		l.late = false
		return 0, os.ErrDeadlineExceeded
	}
	return l.TCPConn.Read(b)
}

// Bytes that have arrived are read even if the deadline passed before the proxy read them. A read that net/http has
// aborted is not extended.
func TestClientConn_ReadsArrivedBytesPastDeadline(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	late := &lateConn{TCPConn: nc.(*net.TCPConn)}
	c := &clientConn{Conn: late}
	defer c.Close()
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	for socket.IsOpenAndEmpty(nc) { // until the bytes have arrived
		time.Sleep(time.Millisecond)
	}
	var b [8]byte
	late.late = true
	c.SetReadDeadline(time.Unix(1, 0)) // as net/http does to abort its background read
	if n, err := c.Read(b[:]); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an aborted read: %d, %v", n, err)
	}
	late.late = true
	c.SetReadDeadline(time.Now().Add(time.Hour))
	if n, err := c.Read(b[:]); n != 3 || err != nil {
		t.Errorf("with bytes that have arrived: %d, %v", n, err)
	}
	late.late = true
	if n, err := c.Read(b[:]); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("without bytes: %d, %v", n, err)
	}
}
