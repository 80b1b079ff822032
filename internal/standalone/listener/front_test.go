package listener

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceline/internal/socket"
	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/forwarder"
	"pumiceline/internal/standalone/settings"
)

type transport func(*http.Request) (*http.Response, error)

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) { return t(r) }

func site() *settings.Settings {
	return &settings.Settings{Classes: []settings.Class{{Name: "quote", Semantics: "pure", ClientTimeout: 1.5e6},
		{Name: "issue", Semantics: "token", ClientTimeout: 3e6}}, Tenants: []settings.Tenant{{Name: "acme"}, {Name: "zenith"}}}
}

func newFront(t transport, most int) *Server {
	return New(Options{Settings: site(), Transport: t, Ready: func() bool { return true }, GuaranteedSockets: most,
		Log: slog.New(slog.DiscardHandler)})
}

func answer(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("42")), Request: r}, nil
}

// pipes hands out the server's ends of pipes.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func listen() *pipes { return &pipes{make(chan net.Conn), make(chan struct{})} }

func (l *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipes) Close() error   { close(l.done); return nil }
func (l *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipes) dial() (net.Conn, *bufio.Reader) {
	here, there := net.Pipe()
	l.conns <- there
	return here, bufio.NewReader(here)
}

// start serves until stop is called, which returns Serve's error once it has ended.
func start(t *testing.T, f *Server) (ln *pipes, stop func() chan error) {
	ln = listen()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx, ln) }()
	return ln, func() chan error { cancel(); return ended }
}

const headers = "Host: api.internal\r\nX-Correlation-Id: 9b1f\r\nX-Service-Class: issue\r\nX-Account: zenith\r\n" +
	"X-Time-Left-Ms: 480\r\nX-Weight-Hint: 900\r\nIdempotency-Key: 5c0f\r\nX-Session-Key: 7f3a\r\nX-Forwarded-For: 1.2.3.4\r\n"

func request(c net.Conn, r *bufio.Reader, text string) (*http.Response, string, error) {
	go io.WriteString(c, text) // a pipe has no buffer, and an answer may come before the last byte
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// What a destination is sent is what the client wrote, odd queries and paths too, and nothing about the client.
func TestRequestsPassUnchanged(t *testing.T) {
	for _, target := range []string{"/issue", "/issue?a=1;b=%zz&&c", "/issue/%2F/x%20y?", "/issue//a/../b?q=%", "//issue?x"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFront(func(r *http.Request) (*http.Response, error) {
				if got := r.URL.RequestURI(); got != target {
					t.Errorf("target %q became %q", target, got)
				}
				if r.Method != "POST" || r.Host != "api.internal" || r.Header.Get("Idempotency-Key") != "5c0f" ||
					r.Header.Get("X-Correlation-Id") != "9b1f" || r.Header.Get("X-Session-Key") != "7f3a" || len(r.Header["X-Forwarded-For"]) != 0 ||
					len(r.Header["Upgrade"]) != 0 || len(r.Header["Connection"]) != 0 {
					t.Errorf("%s %s %v", r.Method, r.Host, r.Header)
				}
				deadline, _ := r.Context().Deadline()
				if key := forwarder.RequestInfoFrom(r.Context()).SessionKey; key != xxhash.Sum64String("7f3a") {
					t.Errorf("key %x goes to the module", key)
				}
				if left := time.Until(deadline); left != 480*time.Millisecond {
					t.Errorf("%v left", left)
				}
				return answer(r)
			}, 9)
			ln, stop := start(t, f)
			c, r := ln.dial()
			resp, body, err := request(c, r, "POST "+target+" HTTP/1.1\r\n"+headers+
				"Connection: Upgrade, Idempotency-Key, X-Session-Key\r\nUpgrade: h2c\r\nContent-Length: 4\r\n\r\nbody")
			if err != nil || resp.StatusCode != 200 || body != "42" {
				t.Errorf("%s: %v %q %v", target, resp, body, err)
			}
			c.Close()
			if err := <-stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Bad input gets a plain answer that is no busy reply and goes no further.
func TestBadRequests(t *testing.T) {
	post := func(h string) string { return "POST /issue HTTP/1.1\r\n" + h + "Content-Length: 0\r\n\r\n" }
	without := func(name string) string {
		i := strings.Index(headers, name)
		return headers[:i] + headers[i+strings.Index(headers[i:], "\r\n")+2:]
	}
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"no id":          {post(without("X-Correlation-Id")), 400},
		"no class":       {post(without("X-Service-Class")), 400},
		"no tenant":      {post(without("X-Account")), 400},
		"no time":        {post(without("X-Time-Left-Ms")), 400},
		"no key":         {post(without("Idempotency-Key")), 400},
		"two ids":        {post(headers + "X-Correlation-Id: 9b20\r\n"), 400},
		"unknown class":  {post(strings.Replace(headers, "issue", "other", 1)), 400},
		"unknown tenant": {post(strings.Replace(headers, "zenith", "other", 1)), 400},
		"odd time":       {post(strings.Replace(headers, "480", "-480", 1)), 400},
		"odd hint":       {post(strings.Replace(headers, "900", "much", 1)), 400},
		"wrong method":   {"GET /issue HTTP/1.1\r\n" + headers + "\r\n", 405},
		"long body":      {"POST /issue HTTP/1.1\r\n" + headers + "Content-Length: 33554433\r\n\r\n", 413},
		"garbage":        {"\x00\x01\r\n\r\n", 400},
		"length and coding": {"POST /issue HTTP/1.1\r\n" + headers + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"0\r\n\r\nPOST /issue HTTP/1.1\r\n" + headers + "Content-Length: 0\r\n\r\n", 400},
		"coding in 1.0": {"POST /issue HTTP/1.0\r\n" + headers + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"0\r\n\r\n", 400},
		"half a body": {"POST /issue HTTP/1.1\r\n" + strings.Replace(headers, "480", "3000", 1) + "Content-Length: 4\r\n\r\nbo", 400},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFront(func(*http.Request) (*http.Response, error) {
				t.Errorf("%s: it went on", name)
				return nil, io.EOF
			}, 9)
			ln, stop := start(t, f)
			conn, r := ln.dial()
			begun := time.Now()
			resp, _, err := request(conn, r, c.text)
			if err != nil || resp.StatusCode != c.status {
				t.Errorf("%s: %v, %v, want status %d", name, resp, err, c.status)
			}
			if strings.Contains(c.text, "Transfer-Encoding") {
				if rest, err := io.ReadAll(r); len(rest) > 0 || err != nil {
					t.Errorf("%s: behind the answer %q, %v", name, rest, err)
				}
			}
			if took := time.Since(begun); took > 2500*time.Millisecond {
				t.Errorf("%s: took %v", name, took)
			}
			conn.Close()
			<-stop()
		})
	}
}

const quote = "GET /quote HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: 1\r\nX-Service-Class: quote\r\n" +
	"X-Account: acme\r\nX-Time-Left-Ms: 400\r\n\r\n"

// A panic must not cost the client its answer.
func TestPanicIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln, stop := start(t, newFront(func(*http.Request) (*http.Response, error) { panic("a fault") }, 9))
		c, r := ln.dial()
		if resp, _, err := request(c, r, quote); err != nil || resp.StatusCode != 500 {
			t.Errorf("%v, %v", resp, err)
		}
		c.Close()
		<-stop()
	})
}

// After the request to stop: new connections are taken for a while, answers close their connections, what was
// taken is finished, and connections that never brought a request hold nothing up.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(func(r *http.Request) (*http.Response, error) {
			time.Sleep(time.Second)
			return answer(r)
		}, 9)
		ln, stop := start(t, f)
		early, earlyReader := ln.dial()
		idle, idleReader := ln.dial()
		time.Sleep(time.Second)
		answered := make(chan string, 2)
		ask := func(c net.Conn, r *bufio.Reader) {
			resp, body, err := request(c, r, strings.Replace(quote, "Id: 1", fmt.Sprintf("Id: %p", c), 1))
			answered <- fmt.Sprint(resp != nil && resp.Close, body, err)
		}
		go ask(early, earlyReader)
		time.Sleep(100 * time.Millisecond)
		ended := stop()
		time.Sleep(500 * time.Millisecond)
		go ask(ln.dial())
		late, _ := ln.dial() // taken just before the end, and never used
		defer late.Close()
		begun := time.Now()
		for range 2 {
			if got := <-answered; !strings.Contains(got, "42") || !strings.Contains(got, "<nil>") {
				t.Errorf("answer: %s", got)
			}
		}
		if _, err := idleReader.ReadByte(); err != io.EOF {
			t.Errorf("the unused connection: %v", err)
		}
		if err := <-ended; err != nil || time.Since(begun) > 2*time.Second {
			t.Errorf("%v, ended after %v", err, time.Since(begun))
		}
		idle.Close()
	})
}

func TestReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(answer, 9)
		held := false
		f.opts.Ready = func() bool { return held }
		ln, stop := start(t, f)
		for _, want := range []int{503, 200} {
			c, r := ln.dial()
			if resp, _, err := request(c, r, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil || resp.StatusCode != want {
				t.Errorf("%v, %v, want %d", resp, err, want)
			}
			c.Close()
			held = true
		}
		<-stop()
	})
}

// Over the budget the socket that is idle for longest makes way, and the new one is served.
func TestSocketBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(answer, 2)
		ln, stop := start(t, f)
		var conns []net.Conn
		var readers []*bufio.Reader
		for i := range 3 {
			c, r := ln.dial()
			if resp, _, err := request(c, r, quote); err != nil || resp.StatusCode != 200 {
				t.Errorf("connection %d: %v, %v", i, resp, err)
			}
			conns, readers = append(conns, c), append(readers, r)
			time.Sleep(time.Millisecond)
		}
		if _, err := readers[0].ReadByte(); err != io.EOF {
			t.Errorf("the oldest: %v", err)
		}
		if resp, _, err := request(conns[1], readers[1], quote); err != nil || resp.StatusCode != 200 {
			t.Errorf("the second: %v, %v", resp, err)
		}
		if n := f.budget.count(); n != 2 {
			t.Errorf("%d sockets, want 2", n)
		}
		for _, c := range conns {
			c.Close()
		}
		<-stop()
	})
}

// A chunked request is served, and is the last on its connection: what stands behind it is not looked at.
func TestChunkedIsServedAndCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := 0
		ln, stop := start(t, newFront(func(r *http.Request) (*http.Response, error) { served++; return answer(r) }, 9))
		c, r := ln.dial()
		plain := "POST /issue HTTP/1.1\r\n" + headers + "Content-Length: 4\r\n\r\nbody"
		if resp, _, err := request(c, r, plain); err != nil || resp.StatusCode != 200 || resp.Close {
			t.Errorf("%v, %v", resp, err)
		}
		resp, body, err := request(c, r, "POST /issue HTTP/1.1\r\n"+headers+
			"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"+plain)
		if err != nil || resp.StatusCode != 200 || body != "42" || !resp.Close || served != 2 {
			t.Errorf("%v, %q, %v, %d served", resp, body, err, served)
		}
		c.Close()
		<-stop()
	})
}

// An id is taken while its request is open, and free afterwards.
func TestOpenIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln, stop := start(t, newFront(func(r *http.Request) (*http.Response, error) {
			time.Sleep(100 * time.Millisecond)
			return answer(r)
		}, 9))
		first, firstReader := ln.dial()
		statuses := make(chan int)
		go func() {
			resp, _, err := request(first, firstReader, quote)
			if err != nil {
				t.Error(err)
			}
			statuses <- resp.StatusCode
		}()
		time.Sleep(time.Millisecond)
		for _, want := range []int{400, 200} {
			c, r := ln.dial()
			if resp, _, err := request(c, r, quote); err != nil || resp.StatusCode != want {
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

// SocketLimit that say nothing, or only half of something, are closed in time; silent ones by the hundred push out no client
// that has been served, and one that says something is served in between.
func TestSilentSocketsMakeWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(answer, 10)
		ln, stop := start(t, f)
		usual, usualReader := ln.dial()
		if resp, _, err := request(usual, usualReader, quote); err != nil || resp.StatusCode != 200 {
			t.Errorf("%v, %v", resp, err)
		}
		half, halfReader := ln.dial()
		io.WriteString(half, quote[:30])
		var silent []net.Conn
		for i := range 300 {
			c, _ := ln.dial()
			silent = append(silent, c)
			time.Sleep(3 * time.Millisecond)
			if n := f.budget.count(); n > 10 {
				t.Fatalf("%d sockets with a budget of 10", n)
			}
			if i%50 == 49 {
				if resp, _, err := request(usual, usualReader, quote); err != nil || resp.StatusCode != 200 {
					t.Errorf("after %d: %v, %v", i, resp, err)
				}
			}
		}
		if _, err := io.ReadAll(halfReader); err != nil {
			t.Error(err)
		}
		time.Sleep(headTimeout + time.Millisecond)
		synctest.Wait()
		if n := f.budget.count(); n != 1 {
			t.Errorf("%d sockets, want the usual one", n)
		}
		time.Sleep(idleTimeout)
		synctest.Wait()
		if n := f.budget.count(); n != 0 {
			t.Errorf("%d sockets that have been idle for long", n)
		}
		for _, c := range append(silent, usual, half) {
			c.Close()
		}
		<-stop()
	})
}

// Where sockets that have had a request come near what clients may hold, as clients that ask once leave them, answers close
// theirs. Sockets that have brought nothing are no reason to.
func TestManyIdleSocketsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(answer, 20) // nine may be kept
		ln, stop := start(t, f)
		closed := 0
		var conns []net.Conn
		for range 5 {
			c, _ := ln.dial()
			conns = append(conns, c)
		}
		for range 12 {
			c, r := ln.dial()
			resp, _, err := request(c, r, quote)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("%v, %v", resp, err)
			}
			if resp.Close {
				closed++
			}
			conns = append(conns, c)
			synctest.Wait()
		}
		if n := f.budget.count(); closed != 3 || n != 14 || f.budget.idleNow() != 9 || f.budget.muteNow() != 5 {
			t.Errorf("%d closed, %d open, %d idle, %d mute", closed, n, f.budget.idleNow(), f.budget.muteNow())
		}
		time.Sleep(idleTimeout + time.Second)
		synctest.Wait()
		if f.budget.idleNow() != 0 {
			t.Errorf("%d idle with no socket open", f.budget.idleNow())
		}
		for _, c := range conns {
			c.Close()
		}
		<-stop()
	})
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

// Server sockets may use what destinations have no use for, and no more.
func TestSocketsMayGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := 3
		f := New(Options{Settings: site(), Ready: func() bool { return true }, Log: slog.New(slog.DiscardHandler), GuaranteedSockets: 2,
			SocketLimit: func() int { return now }, Transport: transport(func(r *http.Request) (*http.Response, error) {
				time.Sleep(time.Second)
				return answer(r)
			})})
		ln, stop := start(t, f)
		var conns []net.Conn
		ask := func() bool { // whether it was taken
			c, r := ln.dial()
			conns = append(conns, c)
			io.WriteString(c, strings.Replace(quote, "Id: 1", fmt.Sprint("Id: 1", len(conns)), 1))
			taken := make(chan bool, 1)
			go func() {
				_, err := r.ReadByte()
				taken <- err == nil
			}()
			time.Sleep(10 * time.Millisecond)
			select {
			case ok := <-taken:
				return ok
			default:
				return true
			}
		}
		for i := range 5 {
			if got, want := ask(), i < 3; got != want {
				t.Errorf("socket %d: taken %v", i, got)
			}
		}
		now = 4
		if !ask() || ask() {
			t.Error("the budget did not grow by one")
		}
		for _, c := range conns {
			c.Close()
		}
		<-stop()
	})
}

// With no socket to spare a new one is closed, and none of those with a request is.
func TestNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(func(r *http.Request) (*http.Response, error) { time.Sleep(time.Second); return answer(r) }, 1)
		ln, stop := start(t, f)
		c, r := ln.dial()
		time.AfterFunc(100*time.Millisecond, func() {
			_, r := ln.dial()
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("the second: %v", err)
			}
		})
		if resp, _, err := request(c, r, quote); err != nil || resp.StatusCode != 200 {
			t.Errorf("%v, %v", resp, err)
		}
		c.Close()
		<-stop()
	})
}

// A session key is the same number at every proxy and in every version, and none, or one that stands twice, is no key.
func TestSessionKeys(t *testing.T) {
	for want, values := range map[uint64][]string{0: {"a", "b"}, 0x580fd9631c029177: {"7f3a9c21e0b4d655"}} {
		if got := sessionKey(singleValue(http.Header{sessionKeyHeader: values}, sessionKeyHeader)); got != want {
			t.Errorf("%q: %#x, want %#x", values, got, want)
		}
	}
}

// FuzzHead feeds garbled headers: what passes must be within the settings.
func FuzzHead(f *testing.F) {
	f.Add("POST", "9b1f", "issue", "zenith", "480", "900", "5c0f")
	f.Add("GET", "9b1f", "quote", "acme", "4294967296", "-1", "")
	f.Add("\x00", "", "iss", "\xff", "1e3", "0x9", "k")
	rd := newFront(nil, 1).requests
	f.Fuzz(func(t *testing.T, method, id, class, tenant, left, hint, key string) {
		h := http.Header{correlationIDHeader: {id}, classHeader: {class}, tenantHeader: {tenant}, timeLeftHeader: {left},
			workHintHeader: {hint}, idempotencyKeyHeader: {key}}
		var in *forwarder.RequestInfo
		in, wait, err := rd.readHead(method, h)
		if err != nil {
			return
		}
		defer rd.end(in)
		if in.Class > 1 || in.Tenant > 1 || in.WorkHint < 0 || wait < 0 || wait > 3*time.Second ||
			id == "" || in.Class == 1 && key == "" {
			t.Errorf("passed: %+v, %v", in, wait)
		}
	})
}

// takesRest is a transport that reads what of a body is still coming, as an attempt would, and counts it.
func takesRest(got *int, ended *error) transport {
	return func(r *http.Request) (*http.Response, error) {
		in := forwarder.RequestInfoFrom(r.Context())
		*got = len(in.Body)
		if in.Stream != nil {
			n, err := io.Copy(io.Discard, in.Stream)
			*got += int(n)
			if *ended = err; err != nil {
				<-r.Context().Done()
				return nil, context.Cause(r.Context())
			}
		}
		return answer(r)
	}
}

// A body is served however long and slow it is, while it keeps coming: 32 kB/s on the whole are enough after its first 2 s. One
// that stalls, ends early or has no end makes way. Times are those of a fake clock.
func TestBodiesThatKeepComing(t *testing.T) {
	for name, c := range map[string]struct {
		size   int // in all
		coded  bool
		piece  int
		pause  time.Duration
		sent   int  // before it stops; 0: all
		leaves bool // there, rather than stall
		status int  // 0: an end without an answer
		most   time.Duration
	}{
		"short, slow":        {size: 60_000, piece: 16_000, pause: 250 * time.Millisecond, status: 200, most: 2 * time.Second},
		"long":               {size: 2_000_000, piece: 50_000, status: 200, most: time.Second},
		"long, slow":         {size: 640_000, piece: 64_000, pause: time.Second, status: 200, most: 12 * time.Second},
		"coded, slow":        {size: 300_000, coded: true, piece: 20_000, pause: 300 * time.Millisecond, status: 200, most: 6 * time.Second},
		"single bytes":       {size: 3000, coded: true, piece: 1, status: 200, most: time.Second},
		"exactly kept":       {size: backend.MaxBufferedBody, coded: true, piece: 4096, status: 200, most: time.Second},
		"stalls at once":     {size: 640_000, piece: 10, sent: 10, status: 400, most: 2100 * time.Millisecond},
		"stalls later":       {size: 640_000, piece: 64_000, sent: 320_000, most: 8 * time.Second},
		"far too slow":       {size: 640_000, piece: 4000, pause: time.Second, status: 400, most: 4 * time.Second},
		"client leaves":      {size: 900_000, piece: 100_000, sent: 300_000, leaves: true, most: time.Second},
		"longer than it may": {size: backend.MaxStreamedBody + 1000, coded: true, piece: 1 << 20, most: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, ended := 0, error(nil)
				f := newFront(takesRest(&got, &ended), 9)
				ln, stop := start(t, f)
				conn, r := ln.dial()
				begun := time.Now()
				gone := make(chan struct{})
				go func() {
					defer close(gone)
					head := fmt.Sprintf("Content-Length: %d\r\n\r\n", c.size)
					if c.coded {
						head = "Transfer-Encoding: chunked\r\n\r\n"
					}
					if _, err := io.WriteString(conn, "POST /issue HTTP/1.1\r\n"+headers+head); err != nil {
						return
					}
					for sent := 0; sent < c.size; {
						if c.sent > 0 && sent >= c.sent {
							if c.leaves {
								conn.Close()
							}
							return
						}
						n := min(c.piece, c.size-sent)
						text := strings.Repeat("x", n)
						if c.coded {
							text = fmt.Sprintf("%x;a=b\r\n%s\r\n", n, text)
						}
						if _, err := io.WriteString(conn, text); err != nil {
							return
						}
						sent += n
						time.Sleep(c.pause)
					}
					if c.coded {
						io.WriteString(conn, "0\r\nX-Trailer: a\r\n\r\n")
					}
				}()
				resp, err := http.ReadResponse(r, nil)
				took := time.Since(begun)
				if c.status > 0 && (err != nil || resp.StatusCode != c.status) || c.status == 0 && err == nil && resp.StatusCode < 400 {
					t.Errorf("%v, %v", resp, err)
				}
				if c.status == 200 && got != c.size {
					t.Errorf("%d bytes of %d came through, %v", got, c.size, ended)
				}
				if took > c.most {
					t.Errorf("it took %v", took)
				}
				conn.Close()
				<-gone
				if err := <-stop(); err != nil {
					t.Error(err)
				}
				if f.InFlight() != 0 || len(f.openIDs.ids) != 0 || f.OpenSockets() != 0 {
					t.Error("something is kept of it")
				}
				if c.leaves && (ended == nil || got != c.sent) { // the step that reads must learn of it
					t.Errorf("the step read %d bytes, %v", got, ended)
				}
			})
		})
	}
}

// The client's time counts from the last byte of a body that takes its time, and from the head where all came at once.
func TestTimeCountsFromTheLastByte(t *testing.T) {
	for _, c := range []struct {
		size int
		wait time.Duration
	}{{10, 0}, {10, time.Second}, {100_000, time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			var over time.Time
			f := newFront(func(r *http.Request) (*http.Response, error) {
				if in := forwarder.RequestInfoFrom(r.Context()); in.Stream != nil {
					go io.Copy(io.Discard, in.Stream)
				}
				<-r.Context().Done()
				if over = time.Now(); !errors.Is(context.Cause(r.Context()), context.DeadlineExceeded) {
					t.Errorf("ended by %v", context.Cause(r.Context()))
				}
				return answer(r)
			}, 9)
			ln, stop := start(t, f)
			conn, r := ln.dial()
			begun := time.Now()
			go func() {
				fmt.Fprintf(conn, "POST /issue HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", headers, c.size, strings.Repeat("x", c.size-1))
				time.Sleep(c.wait)
				io.WriteString(conn, "x")
			}()
			if _, err := http.ReadResponse(r, nil); err != nil {
				t.Error(err)
			}
			if got := over.Sub(begun); got != c.wait+480*time.Millisecond {
				t.Errorf("%d bytes, the last after %v: over after %v", c.size, c.wait, got)
			}
			conn.Close()
			if err := <-stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// An answer that breaks off, or whose handler panics half-way, is one that the client can tell from a whole one.
func TestBrokenAnswersShow(t *testing.T) {
	long := strings.Repeat("x", 300_000)
	for _, breaks := range []string{"", "breaks off", "panics"} {
		for _, length := range []string{"300000", ""} {
			f := newFront(func(r *http.Request) (*http.Response, error) {
				body := io.MultiReader(strings.NewReader(long[:100_000]), broken{breaks == "panics"})
				if breaks == "" {
					body = strings.NewReader(long)
				}
				h := http.Header{}
				if length != "" {
					h.Set("Content-Length", length)
				}
				return &http.Response{StatusCode: 200, Header: h, ContentLength: -1, Body: io.NopCloser(body), Request: r}, nil
			}, 9)
			ln, stop := start(t, f)
			conn, r := ln.dial()
			go io.WriteString(conn, "POST /issue HTTP/1.1\r\n"+headers+"Content-Length: 0\r\n\r\n")
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if whole := int(n) == len(long) && err == nil; whole != (breaks == "") || breaks != "" && err == nil {
				t.Errorf("%q, length %q: %d bytes, %v", breaks, length, n, err)
			}
			conn.Close()
			if err := <-stop(); err != nil {
				t.Error(err)
			}
		}
	}
}

// stalled is a client that takes the first piece of an answer and then nothing until a deadline ends the write.
type stalled struct {
	http.ResponseWriter
	wrote    int
	deadline time.Time
}

func (s *stalled) SetWriteDeadline(t time.Time) error { s.deadline = t; return nil }

func (s *stalled) Write(b []byte) (int, error) {
	if s.wrote++; s.wrote == 1 {
		return len(b), nil
	}
	time.Sleep(time.Until(s.deadline))
	return 0, os.ErrDeadlineExceeded
}

// A client that takes nothing of a long answer any more makes way; short answers have no watch, and the next one has none left.
func TestClientsThatTakeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stalled{}
		a := &responseWriter{ResponseWriter: s, conn: http.NewResponseController(s)}
		if _, err := a.Write([]byte("x")); err != nil || !s.deadline.IsZero() {
			t.Errorf("the first piece: %v, deadline %v", err, s.deadline)
		}
		begun := time.Now()
		if _, err := a.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begun) != writeStallTimeout {
			t.Errorf("%v after %v", err, time.Since(begun))
		}
		if a.clearWriteDeadline(); !s.deadline.IsZero() {
			t.Error("a deadline is left")
		}
	})
}

type broken struct{ panics bool }

func (b broken) Read([]byte) (int, error) {
	if b.panics {
		panic("a fault")
	}
	return 0, errors.New("the destination is gone")
}
