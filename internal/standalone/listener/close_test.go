package listener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
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
func (h *heldConn) Close() error      { err := h.TCPConn.Close(); h.told(); return err }

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

// idleNow is how many sockets are idle, and muteNow how many have brought nothing yet.
func (s *socketBudget) idleNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle
}

func (s *socketBudget) muteNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unused
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

// A client that was sending a head when the stop came is answered if the head becomes whole in time, and is no reason to stay for
// ever if it does not.
func TestHeadsThatComeAcrossAStop(t *testing.T) {
	for name, c := range map[string]struct {
		kept bool // the connection had a request before
		rest bool // the rest comes
	}{"on a new connection": {false, true}, "on a kept one": {true, true}, "never whole": {true, false}} {
		synctest.Test(t, func(t *testing.T) {
			f := New(Options{Settings: site(), Ready: func() bool { return true }, GuaranteedSockets: 9, Log: slog.New(slog.DiscardHandler),
				HasSuccessor: func() bool { return true }, Transport: transport(answer)})
			ln, stop := start(t, f)
			client, r := ln.dial()
			defer client.Close()
			if c.kept {
				if resp, _, err := request(client, r, quote); err != nil || resp.StatusCode != 200 {
					t.Errorf("%s: %v, %v", name, resp, err)
				}
			}
			if _, err := io.WriteString(client, quote[:30]); err != nil {
				t.Error(err)
			}
			synctest.Wait()
			begin, ended := time.Now(), stop()
			time.Sleep(2 * time.Second)
			if c.rest {
				if resp, body, err := request(client, r, quote[30:]); err != nil || body != "42" || !resp.Close {
					t.Errorf("%s: %v, %q, %v", name, resp, body, err)
				}
			} else if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("%s: %v", name, err)
			}
			if err := <-ended; err != nil || time.Since(begin) > maxCountedDeadline+killDelay {
				t.Errorf("%s: %v after %v", name, err, time.Since(begin))
			}
		})
	}
}

// A class may be called as the readiness check is: what comes with a class is a request, and what comes without is the check, which
// counts among the messages of its connection.
func TestAClassMayBeCalledReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := site()
		set.Classes[0].Name = "ready"
		f := New(Options{Settings: set, Ready: func() bool { return true }, GuaranteedSockets: 9, Log: slog.New(slog.DiscardHandler), Transport: transport(answer)})
		ln, stop := start(t, f)
		c, r := ln.dial()
		for _, x := range [][2]string{
			{"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", "ready\n"},
			{strings.NewReplacer("/quote", "/ready", "Class: quote", "Class: ready").Replace(quote), "42"},
			{"POST /issue HTTP/1.1\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", "42"},
		} {
			if resp, body, err := request(c, r, x[0]); err != nil || resp.StatusCode != 200 || body != x[1] {
				t.Errorf("%q: %v, %q, %v", x[0], resp, body, err)
			}
		}
		c.Close()
		<-stop()
	})
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
