package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/socket"
	"pumiceline/internal/standalone/policy"
)

// serve starts a destination that gives each request of a connection to answer, with the number of the request
// on it, and ends the connection when that says so. It counts connections and requests.
func serve(t *testing.T, answer func(n int, c net.Conn) (goOn bool)) (addr string, conns, requests *atomic.Int32) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns, requests = new(atomic.Int32), new(atomic.Int32)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					requests.Add(1)
					if !answer(n, c) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), conns, requests
}

func fleet(addr string, most int) *Pool {
	f := NewPool(Options{DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxConnections: most,
		ReportColumns: []string{"cpu", "rps"}}, slog.New(slog.DiscardHandler))
	f.SetBackend(1, addr, true)
	return f
}

func post() *http.Request {
	return &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/issue-policy?a=%zz;b"}, Host: "api.internal",
		Header: http.Header{"Idempotency-Key": {"k1"}, "X-Correlation-Id": {"id1"}}}
}

func exchange(t *testing.T, f *Pool) Result {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	return f.Exchange(ctx, 1, Attempt{Request: post(), Body: Body{Buffered: []byte("body")}})
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n42"

func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		text string // what comes back before the connection ends
		want policy.Outcome
	}{
		"served":              {ok, policy.OK},
		"chunked":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n42\r\n0\r\n\r\n", policy.OK},
		"interim":             {"HTTP/1.1 103 Early Hints\r\n\r\n" + ok, policy.OK},
		"error":               {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", policy.ErrorResponse},
		"busy, unseen":        {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", policy.Rejected},
		"late, unseen":        {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", policy.Rejected},
		"busy, perhaps run":   {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", policy.ErrorResponse},
		"busy reply":          {"HTTP/1.1 429 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", policy.ErrorResponse},
		"nothing":             {"", policy.ConnectionReset},
		"half a head":         {"HTTP/1.1 200 OK\r\nConte", policy.ConnectionReset},
		"half a body":         {ok[:len(ok)-1], policy.ConnectionReset},
		"half a chunk":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n42", policy.ConnectionReset},
		"no end told":         {"HTTP/1.1 200 OK\r\n\r\n42", policy.OK},
		"other protocol":      {"HTTP/1.1 101 Switching Protocols\r\n\r\n", policy.ErrorResponse},
		"garbage":             {"\x00\x01\x02 garbage\r\n\r\n", policy.ErrorResponse},
		"too long":            {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", MaxStreamedBody+1) + strings.Repeat("x", MaxBufferedBody), policy.ErrorResponse},
		"long error":          {"HTTP/1.1 500 No\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("x", 400_000), policy.ErrorResponse},
		"the longest":         {"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 65536), policy.OK},
		"endless head":        {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200<<10) + "\r\n\r\n", policy.ErrorResponse},
		"endless interim":     {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50), policy.ErrorResponse},
		"two lengths":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n42", policy.ErrorResponse},
		"a length twice":      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n42", policy.ErrorResponse},
		"noise behind":        {ok + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", policy.OK},
		"length and coding":   {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n42\r\n0\r\n\r\n", policy.ErrorResponse},
		"3 GB to come":        {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n42", policy.ErrorResponse},
		"report not readable": {"HTTP/1.1 200 OK\r\nX-Backend-Load: garbage=,=\r\nContent-Length: 0\r\n\r\n", policy.OK},
	} {
		addr, _, requests := serve(t, func(_ int, conn net.Conn) bool {
			io.WriteString(conn, c.text)
			return false
		})
		res := exchange(t, fleet(addr, 9))
		if res.Outcome != c.want || requests.Load() != 1 || (res.Response != nil) != (c.want == policy.OK) {
			t.Errorf("%s: outcome %d (%v), want %d; %d requests", name, res.Outcome, res.Err, c.want, requests.Load())
		}
	}
}

func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if res := exchange(t, fleet(ln.Addr().String(), 9)); res.Outcome != policy.ConnectFailed {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
}

// A reused connection that breaks after the request went out is a reset, and nobody sends the request again:
// http.Transport would, as it has an Idempotency-Key.
func TestNothingIsSentAgain(t *testing.T) {
	addr, conns, requests := serve(t, func(n int, c net.Conn) bool {
		if n == 0 {
			io.WriteString(c, ok)
		}
		return n == 0
	})
	f := fleet(addr, 9)
	first := exchange(t, f)
	letRest(f)
	second := exchange(t, f)
	if first.Outcome != policy.OK || second.Outcome != policy.ConnectionReset {
		t.Errorf("outcomes %d, %d (%v)", first.Outcome, second.Outcome, second.Err)
	}
	if conns.Load() != 1 || requests.Load() != 2 {
		t.Errorf("%d connections and %d requests, want 1 and 2", conns.Load(), requests.Load())
	}
}

// A connection that breaks before the last byte was written proves that the request never ran; the module may then
// send a keyed request anywhere.
func TestBreakBeforeTheLastByte(t *testing.T) {
	f := fleet("127.0.0.1:1", 9)
	here, there := net.Pipe() // it has no buffer, so what is not read is not written
	go func() {
		io.ReadFull(there, make([]byte, 10))
		there.Close()
	}()
	res, reusable := f.exchange(t.Context(), &conn{nc: here, backend: f.byID[1]}, &Attempt{Request: post(), Body: Body{Buffered: []byte("body")}})
	if res.Outcome != policy.ConnectFailed || reusable {
		t.Errorf("outcome %d, %v, reusable %v", res.Outcome, res.Err, reusable)
	}
}

// A destination whose every report is garbage must not fill the log.
func TestComplaintsAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		f := NewPool(Options{}, slog.New(slog.NewTextHandler(&log, nil)))
		time.Sleep(time.Second)
		for range 300 {
			f.warnMalformed("garbage", &backendState{}, io.EOF)
			time.Sleep(10 * time.Millisecond)
		}
		if lines := strings.Count(log.String(), "\n"); lines != 3 || !strings.Contains(log.String(), "unlogged_before=99") {
			t.Errorf("%d lines: %s", lines, log.String())
		}
	})
}

// A connection that the destination has closed meanwhile, or that is about to be closed, is not written to.
func TestStaleConnectionsAreNotReused(t *testing.T) {
	closed := make(chan struct{}, 2)
	addr, conns, _ := serve(t, func(_ int, c net.Conn) bool {
		io.WriteString(c, ok)
		c.Close()
		closed <- struct{}{}
		return false
	})
	f := fleet(addr, 9)
	for range 2 {
		if res := exchange(t, f); res.Outcome != policy.OK {
			t.Fatalf("outcome %d, %v", res.Outcome, res.Err)
		}
		<-closed
		for len(f.byID[1].idle) > 0 && socket.IsOpenAndEmpty(f.byID[1].idle[0].nc) {
			time.Sleep(time.Millisecond) // until the end has come over
		}
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2", conns.Load())
	}
	addr, conns, _ = serve(t, func(_ int, c net.Conn) bool { io.WriteString(c, ok); return true })
	f = fleet(addr, 9)
	exchange(t, f)
	letRest(f)
	exchange(t, f) // on the same
	f.byID[1].idle[0].lastUsed = time.Now().Add(-f.opts.IdleTimeout * 9 / 10)
	exchange(t, f)
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2: the first was near its idle close", conns.Load())
	}
}

// A connection on which a close or a second answer may still be on its way is never used, and no rest keeps a request from a
// connection of its own.
func TestConnectionsRest(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		ago  []time.Duration // since the last use, in units of the rest
		want int
	}{{[]time.Duration{0}, -1}, {[]time.Duration{1}, 0}, {[]time.Duration{3, 2, 1, 0}, 2}, {[]time.Duration{0, 0, 0}, -1}, {[]time.Duration{4, 3}, 1}} {
		var idle []*conn
		for _, ago := range c.ago {
			idle = append(idle, &conn{lastUsed: now.Add(-ago * minIdleBeforeReuse)})
		}
		if got := lastReusable(idle, now); got != c.want {
			t.Errorf("last used %v rests ago: %d, want %d", c.ago, got, c.want)
		}
	}
	addr, conns, _ := serve(t, func(_ int, c net.Conn) bool { io.WriteString(c, ok); return true })
	f := fleet(addr, 1) // the one that rests has to make way
	for range 2 {
		if res := exchange(t, f); res.Outcome != policy.OK {
			t.Fatalf("outcome %d, %v", res.Outcome, res.Err)
		}
	}
	if f.openConns != 1 {
		t.Errorf("%d connections are open after %d, 1 may be", f.openConns, conns.Load())
	}
}

// letRest has the idle connections of f had their rest.
func letRest(f *Pool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.byID {
		for _, c := range d.idle {
			c.lastUsed = c.lastUsed.Add(-minIdleBeforeReuse)
		}
	}
}

// A second answer that comes within the rest reaches nobody. It comes here in the moment in which the next request has been
// written, which is too late for any look at the connection, and before that request's own answer.
func TestASecondAnswerReachesNobody(t *testing.T) {
	first, second := make(chan net.Conn, 1), make(chan struct{})
	var begun atomic.Bool
	addr, conns, _ := serve(t, func(n int, c net.Conn) bool {
		if begun.CompareAndSwap(false, true) {
			first <- c
			io.WriteString(c, ok)
			return true
		}
		<-second
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
		return true
	})
	f := fleet(addr, 9)
	sent := 0
	f.opts.OnRequestWritten = func() {
		if sent++; sent == 2 {
			io.WriteString(<-first, ok)
			close(second)
		}
	}
	for i, want := range []string{"42", "own", "own"} {
		if res := exchange(t, f); res.Outcome != policy.OK || string(res.Response.Body) != want {
			t.Errorf("request %d: outcome %d, %v, %+v", i, res.Outcome, res.Err, res.Response)
		}
		if i == 1 {
			letRest(f) // now the first connection is looked at, and closed for what lies on it
		}
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2", conns.Load())
	}
}

// Looking at a connection must not wait for the goroutine that reads from it: the front looks at sockets that way, and one
// that said nothing held up all others.
func TestQuietDoesNotWaitForAReader(t *testing.T) {
	addr, _, _ := serve(t, func(int, net.Conn) bool { return true })
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	time.Sleep(10 * time.Millisecond) // the reader is most likely at work by then; without one the test passes anyway
	if !socket.IsOpenAndEmpty(c) {
		t.Error("a connection with nothing to read is not quiet")
	}
	c.Close()
	<-read
}

func TestGivingUpClosesTheConnection(t *testing.T) {
	asked, gone := make(chan struct{}), make(chan struct{})
	addr, _, _ := serve(t, func(_ int, c net.Conn) bool {
		asked <- struct{}{}
		c.Read(make([]byte, 1))
		close(gone)
		return false
	})
	f := fleet(addr, 9)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-asked
		cancel()
	}()
	if res := f.Exchange(ctx, 1, Attempt{Request: post()}); res.Outcome != policy.Cancelled {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
	<-gone
	ctx, cancel = context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	if res := f.Exchange(ctx, 1, Attempt{Request: post()}); res.Outcome != policy.NotSent {
		t.Errorf("out of time before anything was sent: outcome %d, %v", res.Outcome, res.Err)
	}
	if f.openConns != 0 {
		t.Errorf("%d connections are still counted", f.openConns)
	}
}

// A drain holds at once: also for an attempt whose connection was already there when it came.
func TestDrainStopsNewWork(t *testing.T) {
	addr, _, requests := serve(t, func(_ int, c net.Conn) bool { io.WriteString(c, ok); return true })
	f := fleet(addr, 9)
	c, _, _ := f.acquire(t.Context(), 1)
	f.SetBackend(1, addr, false)
	if res, _ := f.exchange(t.Context(), c, &Attempt{Request: post()}); res.Outcome != policy.NotSent {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
	f.release(c, true)
	if res := exchange(t, f); res.Outcome != policy.NotSent {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
	f.SetBackend(1, "", false)
	if requests.Load() != 0 || f.openConns != 0 || len(f.byID) != 0 {
		t.Errorf("%d requests, %d open, %d destinations", requests.Load(), f.openConns, len(f.byID))
	}
}

// The budget holds over all destinations: an idle connection makes way, one in use does not.
func TestSocketBudget(t *testing.T) {
	addr, _, _ := serve(t, func(_ int, c net.Conn) bool { io.WriteString(c, ok); return true })
	f := fleet(addr, 1)
	f.SetBackend(2, addr, true)
	exchange(t, f)
	c, _, err := f.acquire(t.Context(), 2)
	if err != nil || f.openConns != 1 {
		t.Fatalf("no connection (%v), or %d open", err, f.openConns)
	}
	if res := exchange(t, f); res.Outcome != policy.NotSent {
		t.Errorf("over the budget: outcome %d", res.Outcome)
	}
	f.release(c, true)
	if f.openConns != 1 || len(f.byID[1].idle) != 0 || len(f.byID[2].idle) != 1 {
		t.Errorf("%d connections open at the end", f.openConns)
	}
}

func TestRequestPassesUnchanged(t *testing.T) {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(time.Hour))
	defer cancel()
	text, err := encodeRequest(ctx, post(), Body{Buffered: []byte("\x00body")})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"POST /issue-policy?a=%zz;b HTTP/1.1\r\nHost: api.internal\r\n",
		"Idempotency-Key: k1\r\n", "X-Correlation-Id: id1\r\n", "X-Time-Left-Ms: 3599", "\r\n\r\n\x00body"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%q is not in %q", want, text)
		}
	}
}

func TestReports(t *testing.T) {
	columns := []string{"cpu", "rps", "err_rps"}
	for text, want := range map[string][]float32{
		"TEXT util=0.5, qps=12, eps=0.25":              {0.5, 12, 0.25},
		"TEXT err_rps=0,rps=3 , cpu=1e-1, later=9":     {0.1, 3, 0},
		"TEXT util=0.5, qps=12":                        nil,
		"TEXT util=NaN, qps=12, eps=0":                 nil,
		"TEXT util=, qps=12, eps=0":                    nil,
		"JSON {}":                                      nil,
		"TEXT util=0.5 qps=12 eps=0":                   nil,
		fmt.Sprint("TEXT ", strings.Repeat("x,", 999)): nil,
	} {
		got, err := ParseReport(text, columns)
		if !slices.Equal(got, want) || (err == nil) != (want != nil) {
			t.Errorf("%.60q read as %v, %v", text, got, err)
		}
	}
}

// FuzzAnswer feeds an exchange cut and garbled answers: what passes for an answer must be whole.
func FuzzAnswer(f *testing.F) {
	for cut := 0; cut <= len(ok); cut += 5 {
		f.Add([]byte(ok[:cut]))
	}
	f.Add([]byte(ok))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n42\r\n0\r\n\r\n"))
	f.Add([]byte("\xff\x00\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		from := &responseSource{Reader: strings.NewReader(string(text))}
		limit := &io.LimitedReader{R: from}
		here, there := net.Pipe()
		defer here.Close()
		defer there.Close()
		c := &conn{nc: here, source: from, limit: limit, reader: bufio.NewReader(limit), backend: &backendState{}}
		status, answer, _, err := c.readResponse(time.Now().Add(time.Minute), NewPool(Options{}, slog.New(slog.DiscardHandler)), post())
		if (err == nil) != (answer != nil) || err == nil && (status < 200 || len(answer.Body) > MaxBufferedBody) {
			t.Errorf("status %d, %v, %v", status, answer, err)
		}
		if err != nil {
			return
		}
		if answer.Stream != nil { // more than MaxBufferedBody of it came, so that it is passed on
			n, _ := io.Copy(io.Discard, answer.Stream)
			answer.Stream.Close()
			answer.Body = make([]byte, n)
		}
		if len(answer.Body) > len(text) {
			t.Error("a body longer than what came")
		}
	})
}

// FuzzReport looks for load reports that yield other than one sound value a column.
func FuzzReport(f *testing.F) {
	const whole = "TEXT util=0.5, qps=12, eps=0.25"
	for cut := range whole {
		f.Add(whole[:cut])
	}
	f.Add("TEXT util=1e400, qps==, eps=-0x1p4")
	f.Fuzz(func(t *testing.T, text string) {
		columns := []string{"cpu", "rps", "err_rps"}
		values, err := ParseReport(text, columns)
		if (err == nil) != (len(values) == len(columns)) {
			t.Errorf("%v, %v", values, err)
		}
		for _, v := range values {
			if v != v || v-v != 0 {
				t.Errorf("value %v", v)
			}
		}
	})
}

// A connection that the module does not ask to be closed is closed by the clock once it is too old to be used; one used since is not.
func TestOldIdleConnectionsAreReaped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewPool(Options{DialTimeout: time.Second, IdleTimeout: 10 * time.Second, MaxConnections: 9,
			Dial: func(context.Context, string, time.Time) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					br := bufio.NewReader(far)
					for {
						r, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						io.Copy(io.Discard, r.Body)
						io.WriteString(far, ok)
					}
				}()
				return near, nil
			}}, slog.New(slog.DiscardHandler))
		f.SetBackend(1, "10.0.0.1:1", true)
		for _, c := range []struct {
			wait time.Duration
			used bool
			open int
		}{{0, true, 1}, {7 * time.Second, true, 1}, {2 * time.Second, false, 1}, {6500 * time.Millisecond, false, 0}} {
			if time.Sleep(c.wait); c.used {
				exchange(t, f)
			}
			if synctest.Wait(); f.OpenConnections() != c.open {
				t.Errorf("after %v more: %d open, want %d", c.wait, f.OpenConnections(), c.open)
			}
		}
	})
}

// A repeat's window is judged in the moment of the write, whatever was decided before: it may run out while the connection is made
// or while a destination takes the request slowly. The destination is not blamed for it.
func TestNothingIsWrittenPastItsWindow(t *testing.T) {
	for name, c := range map[string]struct {
		connecting time.Duration // how long the connection takes to come up
		reads      int           // how many bytes the destination takes
		want       policy.Outcome
	}{
		"in time":                  {250 * time.Millisecond, 1 << 20, policy.OK},
		"over with the connection": {300 * time.Millisecond, 1 << 20, policy.NotSent},
		"over in the writing":      {0, 20, policy.NotSent},
	} {
		synctest.Test(t, func(t *testing.T) {
			here, there := net.Pipe()
			f := NewPool(Options{DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxConnections: 9,
				Dial: func(context.Context, string, time.Time) (net.Conn, error) { time.Sleep(c.connecting); return here, nil }},
				slog.New(slog.DiscardHandler))
			f.SetBackend(1, "a", true)
			got := 0
			go func() {
				for b := make([]byte, 1); got < c.reads; got++ {
					if _, err := there.Read(b); err != nil {
						return
					} else if b[0] == '!' { // the body's last byte
						_, _ = io.WriteString(there, ok)
						return
					}
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			start := time.Now()
			res := f.Exchange(ctx, 1, Attempt{Request: post(), Body: Body{Buffered: []byte("body!")}, WriteBy: start.Add(300 * time.Millisecond)})
			if res.Outcome != c.want || c.connecting == 300*time.Millisecond && got > 0 || time.Since(start) > 300*time.Millisecond {
				t.Errorf("%s: outcome %d (%v) after %v, %d bytes arrived", name, res.Outcome, res.Err, time.Since(start), got)
			}
			here.Close()
			time.Sleep(2 * time.Minute) // until the fleet has forgotten the connection
		})
	}
}

// A destination that turns a request away before it has read it whole, and closes over what it has not read, has its connection
// reset. Its answer, which lies there already, is heard, or the request's last byte never went out: both prove that it never ran.
func TestAnEarlyRefusalIsHeard(t *testing.T) {
	for name, size := range map[string]int{"short": 100, "as long as is kept": MaxBufferedBody, "longer than all buffers": 20 << 20} {
		goOn := make(chan struct{})
		f, _ := once(t, func(c net.Conn) error {
			defer close(goOn)
			if _, err := io.WriteString(c, "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 5\r\n\r\nbusy\n"); err != nil {
				return err
			}
			return c.Close()
		})
		f.opts.Dial = func(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
			nc, err := DialTCP(ctx, addr, by)
			return &heldReads{nc, goOn}, err
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		res := f.Exchange(ctx, 1, Attempt{Request: post(), Body: Body{Buffered: []byte(strings.Repeat("x", size))}})
		cancel()
		if res.Outcome != policy.Rejected && res.Outcome != policy.ConnectFailed {
			t.Errorf("%s: outcome %d, %v", name, res.Outcome, res.Err)
		}
	}
}
