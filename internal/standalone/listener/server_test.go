package listener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/standalone/settings"
)

type roundTripperFunc func(*http.Request) (*http.Response, error)

func (t roundTripperFunc) RoundTrip(r *http.Request) (*http.Response, error) { return t(r) }

func testSettings() *settings.Settings {
	return &settings.Settings{Classes: []settings.Class{{Name: "quote", Semantics: "pure", ClientTimeout: 1.5e6},
		{Name: "issue", Semantics: "token", ClientTimeout: 3e6}}, Tenants: []settings.Tenant{{Name: "acme"}, {Name: "zenith"}}}
}

// newTestServer returns a server with test settings and a budget of sockets.
func newTestServer(rt roundTripperFunc, sockets int) *Server {
	return newTestServerWith(rt, func(opts *Options) { opts.GuaranteedSockets = sockets })
}

// newTestServerWith returns a server with test settings and nine sockets, unless change sets other options.
func newTestServerWith(rt roundTripperFunc, change func(opts *Options)) *Server {
	opts := Options{
		Settings:          testSettings(),
		Transport:         rt,
		Ready:             func() bool { return true },
		GuaranteedSockets: 9,
		Log:               slog.New(slog.DiscardHandler),
	}
	change(&opts)
	return New(opts)
}

// withSuccessor changes opts so that another process takes over at shutdown.
func withSuccessor(opts *Options) { opts.HasSuccessor = func() bool { return true } }

func respondOK(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("42")), Request: r}, nil
}

// gatewayTimeout returns the response of a transport to a request that has timed out.
func gatewayTimeout(r *http.Request) *http.Response {
	return &http.Response{StatusCode: http.StatusGatewayTimeout, Header: http.Header{}, Body: http.NoBody, Request: r}
}

// pipeListener is a listener whose connections are pipes.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error { close(l.done); return nil }

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() (net.Conn, *bufio.Reader) {
	clientEnd, serverEnd := net.Pipe()
	l.conns <- serverEnd
	return clientEnd, bufio.NewReader(clientEnd)
}

func newPipeListener() *pipeListener { return &pipeListener{make(chan net.Conn), make(chan struct{})} }

// serveOnPipes serves until stop is called. The channel that stop returns receives the result of Serve.
func serveOnPipes(t *testing.T, server *Server) (ln *pipeListener, stop func() chan error) {
	ln = newPipeListener()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, ln) }()
	return ln, func() chan error { cancel(); return ended }
}

const issueHeaders = "Host: api.internal\r\nX-Correlation-Id: 9b1f\r\nX-Service-Class: issue\r\nX-Account: zenith\r\n" +
	"X-Time-Left-Ms: 480\r\nX-Weight-Hint: 900\r\nIdempotency-Key: 5c0f\r\nX-Session-Key: 7f3a\r\nX-Forwarded-For: 1.2.3.4\r\n"

const quoteRequest = "GET /quote HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: 1\r\nX-Service-Class: quote\r\n" +
	"X-Account: acme\r\nX-Time-Left-Ms: 400\r\n\r\n"

func exchange(c net.Conn, r *bufio.Reader, text string) (*http.Response, string, error) {
	go io.WriteString(c, text) // a pipe has no buffer, and the response may come before the last byte is written
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// If the transport panics, the client still gets a response.
func TestServer_AnswersAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln, stop := serveOnPipes(t, newTestServer(func(*http.Request) (*http.Response, error) { panic("in test") }, 9))
		c, r := ln.dial()
		if resp, _, err := exchange(c, r, quoteRequest); err != nil || resp.StatusCode != 500 {
			t.Errorf("%v, %v", resp, err)
		}
		c.Close()
		<-stop()
	})
}

func TestServer_ReadinessCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(respondOK, 9)
		isReady := false
		server.opts.Ready = func() bool { return isReady }
		ln, stop := serveOnPipes(t, server)
		for _, want := range []int{503, 200} {
			c, r := ln.dial()
			if resp, _, err := exchange(c, r, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil || resp.StatusCode != want {
				t.Errorf("%v, %v, want %d", resp, err, want)
			}
			c.Close()
			isReady = true
		}
		<-stop()
	})
}

// A class may be named "ready". A request to /ready with that class is forwarded; one without a class is the readiness
// check, which also counts as a request of its connection.
func TestServer_ClassNamedReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := testSettings()
		set.Classes[0].Name = "ready"
		server := newTestServerWith(respondOK, func(opts *Options) { opts.Settings = set })
		ln, stop := serveOnPipes(t, server)
		c, r := ln.dial()
		for _, x := range [][2]string{
			{"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", "ready\n"},
			{strings.NewReplacer("/quote", "/ready", "Class: quote", "Class: ready").Replace(quoteRequest), "42"},
			{"POST /issue HTTP/1.1\r\n" + issueHeaders + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", "42"},
		} {
			if resp, body, err := exchange(c, r, x[0]); err != nil || resp.StatusCode != 200 || body != x[1] {
				t.Errorf("%q: %v, %q, %v", x[0], resp, body, err)
			}
		}
		c.Close()
		<-stop()
	})
}

// A correlation id is reserved while its request is in flight, and free afterwards.
func TestServer_CorrelationIDIsUniqueWhileOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln, stop := serveOnPipes(t, newTestServer(func(r *http.Request) (*http.Response, error) {
			time.Sleep(100 * time.Millisecond)
			return respondOK(r)
		}, 9))
		first, firstReader := ln.dial()
		statuses := make(chan int)
		go func() {
			resp, _, err := exchange(first, firstReader, quoteRequest)
			if err != nil {
				t.Error(err)
			}
			statuses <- resp.StatusCode
		}()
		time.Sleep(time.Millisecond)
		for _, want := range []int{400, 200} {
			c, r := ln.dial()
			if resp, _, err := exchange(c, r, quoteRequest); err != nil || resp.StatusCode != want {
				t.Errorf("%v, %v, want %d", resp, err, want)
			}
			c.Close()
			if want == 400 {
				if got := <-statuses; got != 200 {
					t.Errorf("the first got %d", got)
				}
			}
		}
		first.Close()
		<-stop()
	})
}

// New settings apply to requests that arrive after the change. A new class is served, without an idempotency key if its
// requests are never retried; a removed class gets 400. Settings that another part rejects change nothing.
func TestServer_ApplySettingsWithRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarded, proceed := make(chan struct{}, 9), make(chan struct{})
		server := newTestServer(func(r *http.Request) (*http.Response, error) {
			forwarded <- struct{}{}
			<-proceed
			return respondOK(r)
		}, 9)
		ln, stop := serveOnPipes(t, server)
		request := func(class, method, id string) int {
			c, r := ln.dial()
			defer c.Close()
			resp, _, err := exchange(c, r, method+" /"+class+" HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: "+id+"\r\nX-Service-Class: "+class+
				"\r\nX-Account: acme\r\nX-Time-Left-Ms: 900\r\nContent-Length: 0\r\n\r\n")
			if err != nil {
				t.Error(err)
				return 0
			}
			return resp.StatusCode
		}
		oldStatus := make(chan int, 1)
		go func() { oldStatus <- request("quote", "GET", "1") }()
		<-forwarded
		next := testSettings()
		next.Classes = []settings.Class{{Name: "bind", Semantics: "side_effect", ClientTimeout: 1e6}, next.Classes[1]}
		if err := server.ApplySettings(next, func(*settings.Settings) error { return errors.New("no") }); err == nil {
			t.Error("a change that another part rejected was applied")
		}
		if got := request("bind", "POST", "2"); got != 400 {
			t.Errorf("status of a class that only rejected settings contain: %d", got)
		}
		var numbered []settings.Class
		if err := server.ApplySettings(next, func(s *settings.Settings) error { numbered = s.Classes; return nil }); err != nil {
			t.Error(err)
		}
		if len(numbered) != 3 || numbered[0].Name != "quote" {
			t.Errorf("the class number of a request in flight was given to another class: %+v", numbered)
		}
		if server.InFlight() != 1 {
			t.Errorf("%d requests are in flight", server.InFlight())
		}
		close(proceed)
		if got := <-oldStatus; got != 200 {
			t.Errorf("the request in flight got %d", got)
		}
		for class, want := range map[string]int{"bind": 200, "quote": 400} {
			if got := request(class, "POST", class); got != want {
				t.Errorf("%s: %d, want %d", class, got, want)
			}
		}
		if err := <-stop(); err != nil {
			t.Error(err)
		}
	})
}
