package listener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
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

// heldConn is a real connection that stops where a test says so: a read that has brought something, before anybody hears of that,
// and the end of writing, after it has gone out.
type heldConn struct {
	*net.TCPConn
	holding atomic.Bool
	brought chan struct{} // a value for each read that is held
	goOn    chan struct{} // lets one go on
	ended   chan struct{} // closed with the end of writing, or of all
	once    atomic.Bool
}

func (h *heldConn) Read(b []byte) (int, error) {
	n, err := h.TCPConn.Read(b)
	if n > 0 && h.holding.Load() {
		h.brought <- struct{}{}
		<-h.goOn
	}
	return n, err
}

func (h *heldConn) CloseWrite() error { err := h.TCPConn.CloseWrite(); h.told(); return err }

func (h *heldConn) Close() error { err := h.TCPConn.Close(); h.told(); return err }

func (h *heldConn) told() {
	if h.once.CompareAndSwap(false, true) {
		close(h.ended)
	}
}

type heldListener struct {
	net.Listener
	conns chan *heldConn
}

func (l *heldListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	h := &heldConn{TCPConn: nc.(*net.TCPConn), brought: make(chan struct{}, 1), goOn: make(chan struct{}, 1), ended: make(chan struct{})}
	if err := h.SetWriteBuffer(1 << 18); err != nil {
		return nil, err
	}
	l.conns <- h
	return h, nil
}

// serveHeld serves on a real socket, and connects one client to it.
func serveHeld(t *testing.T, f *Server) (client *net.TCPConn, held *heldConn, stop func() chan error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	hl := &heldListener{ln, make(chan *heldConn, 8)}
	go func() { ended <- f.Serve(ctx, hl) }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close(); cancel() })
	return nc.(*net.TCPConn), <-hl.conns, func() chan error { cancel(); return ended }
}

// A request that is read in the moment in which the proxy ends its connection is not sent on: its answer would find no connection,
// and its client sends it again. Without the lock between the two it was read, as the read had taken its bytes when the proxy looked.
func TestARequestThatCrossesTheEndIsNotRead(t *testing.T) {
	for name, end := range map[string]func(f *Server, stop func() chan error){
		"making room": func(f *Server, _ func() chan error) {
			if !f.budget.evict() {
				t.Error("no room was made")
			}
		},
		"stopping": func(_ *Server, stop func() chan error) { stop() },
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			f := New(Options{Settings: site(), Ready: func() bool { return true }, GuaranteedSockets: 9, Log: slog.New(slog.DiscardHandler),
				HasSuccessor: func() bool { return true }, Transport: transport(func(r *http.Request) (*http.Response, error) {
					requests.Add(1)
					return answer(r)
				})})
			client, held, stop := serveHeld(t, f)
			br := bufio.NewReader(client)
			if resp, _, err := request(client, br, quote); err != nil || resp.StatusCode != 200 {
				t.Fatalf("%v, %v", resp, err)
			}
			for f.budget.idleNow() == 0 { // the state changes just after the answer
				time.Sleep(time.Millisecond)
			}
			held.holding.Store(true)
			if _, err := io.WriteString(client, quote); err != nil {
				t.Fatal(err)
			}
			<-held.brought // it has left the kernel, and nobody knows yet
			end(f, stop)
			<-held.ended
			held.holding.Store(false)
			held.goOn <- struct{}{}
			if _, err := br.ReadByte(); err == nil {
				t.Error("the request that crossed the end was answered")
			}
			client.Close()
			if err := <-stop(); err != nil {
				t.Error(err)
			}
			if n := requests.Load(); n != 1 {
				t.Errorf("%d requests were sent on, want the first alone", n)
			}
		})
	}
}

// An answer that its client has not taken yet when the proxy closes the connection is not lost to bytes that lie there unread. What
// the client sent behind its request has the kernel reset the connection otherwise, and drop what it still holds.
func TestACloseTakesNoAnswerBack(t *testing.T) {
	const size = 60_000
	taken, more := make(chan struct{}), make(chan struct{})
	f := newFront(func(r *http.Request) (*http.Response, error) {
		close(taken)
		<-more
		return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", size))),
			ContentLength: size, Request: r}, nil
	}, 9)
	client, held, stop := serveHeld(t, f)
	if err := client.SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	// A chunked request is its connection's last.
	if _, err := io.WriteString(client, "POST /issue HTTP/1.1\r\n"+headers+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-taken
	if _, err := io.WriteString(client, strings.Repeat("more than belongs here", 100)); err != nil {
		t.Fatal(err)
	}
	close(more)
	<-held.ended // the proxy has closed, and the client has taken next to nothing
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

// A connection that is ended while it rests hears an end and no reset, also when a request crosses it, and does not hold the stop up.
func TestARestingConnectionIsEndedInOrder(t *testing.T) {
	f := New(Options{Settings: site(), Ready: func() bool { return true }, GuaranteedSockets: 9, Log: slog.New(slog.DiscardHandler),
		HasSuccessor: func() bool { return true }, Transport: transport(answer)})
	client, held, stop := serveHeld(t, f)
	br := bufio.NewReader(client)
	if resp, _, err := request(client, br, quote); err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v, %v", resp, err)
	}
	begin, ended := time.Now(), stop()
	<-held.ended
	for range 3 { // over a connection that was closed outright, the second write would fail
		if _, err := io.WriteString(client, quote); err != nil {
			t.Errorf("sending across the end: %v", err)
		}
		for wait := time.Now().Add(10 * time.Second); !quietOut(client); time.Sleep(time.Millisecond) {
			if time.Now().After(wait) {
				t.Fatal("what crosses the end is never taken")
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

// quietOut says whether all that was written has reached the other side's system.
func quietOut(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	left := 0
	if err := raw.Control(func(fd uintptr) { left, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return true
	}
	return left == 0
}

// A later request on a connection may be slow where a first one may not: its client is a usual one, and cut off when its
// last byte is on the way it would be lost. It must not take for ever either.
func TestLaterHeadsMayTakeLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(answer, 10)
		ln, stop := start(t, f)
		c, r := ln.dial()
		for i := range 3 {
			io.WriteString(c, quote[:30])
			if i > 0 {
				time.Sleep(headTimeout + time.Second)
			}
			if resp, _, err := request(c, r, quote[30:]); err != nil || resp.StatusCode != 200 {
				t.Fatalf("request %d: %v, %v", i, resp, err)
			}
		}
		begin := time.Now()
		io.WriteString(c, quote[:30])
		if _, err := io.ReadAll(r); err != nil {
			t.Error(err)
		}
		if took := time.Since(begin); took != headTimeout+laterHeadExtension {
			t.Errorf("half a later head held its socket for %v", took)
		}
		c.Close()
		<-stop()
	})
}

// lateReader is a connection whose reads notice their deadline before what has come, as those of a proxy that is short
// of CPU do.
type lateReader struct {
	*net.TCPConn
	late bool
}

func (l *lateReader) Read(b []byte) (int, error) {
	if l.late {
		l.late = false
		return 0, os.ErrDeadlineExceeded
	}
	return l.TCPConn.Read(b)
}

// What has come is taken even if its time was up before the proxy came to read it. A read that net/http itself has
// stopped does not go on.
func TestWhatHasComeIsReadPastItsTime(t *testing.T) {
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
	late := &lateReader{TCPConn: nc.(*net.TCPConn)}
	c := &clientConn{Conn: late}
	defer c.Close()
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	for socket.IsOpenAndEmpty(nc) { // until it has come
		time.Sleep(time.Millisecond)
	}
	var b [8]byte
	late.late = true
	c.SetReadDeadline(time.Unix(1, 0)) // as net/http does to stop its own read
	if n, err := c.Read(b[:]); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read that was stopped: %d, %v", n, err)
	}
	late.late = true
	c.SetReadDeadline(time.Now().Add(time.Hour))
	if n, err := c.Read(b[:]); n != 3 || err != nil {
		t.Errorf("what has come: %d, %v", n, err)
	}
	late.late = true
	if n, err := c.Read(b[:]); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("nothing has come: %d, %v", n, err)
	}
}
