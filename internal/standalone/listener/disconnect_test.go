package listener

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pumiceline/internal/socket"
	"pumiceline/internal/standalone/admission"
	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/forwarder"
	"pumiceline/internal/standalone/policy"
)

// disconnectTest is a proxy between TCP sockets. A test can pause its policy, its listener and its connections to the
// backend.
type disconnectTest struct {
	t             *testing.T
	addr          string
	engine        *engine.Engine
	backends      *backend.Pool
	server        *Server
	arrived       chan struct{}                      // receives a value for each request that arrives at the policy
	accept        chan struct{}                      // nil: connections are accepted at once; else one per value
	lastConn      atomic.Pointer[countingClientConn] // the connection accepted last
	dialing       chan struct{}                      // receives a value for each dial to the backend
	dial          func(net.Conn) (net.Conn, error)   // wraps or fails a connection to the backend
	written       atomic.Int64                       // bytes written to the backend
	attemptsEnded atomic.Int64                       // attempts that have ended
	lastOutcome   atomic.Uint32                      // of the last one
	sendsAtOnce   bool                               // the policy sends requests on arrival; else after sendLastRequest
	lastRequest   atomic.Uint64                      // the request that arrived last
}

// Handle implements engine.Policy. It never cancels an attempt, as if the settings forbade it. A MembershipFull event
// makes it send the last request again.
func (c *disconnectTest) Handle(_ policy.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	switch ev.Kind {
	case policy.RequestArrived:
		c.lastRequest.Store(ev.ID)
		defer func() { c.arrived <- struct{}{} }()
		if c.sendsAtOnce {
			return append(out, policy.Action{Kind: policy.SendAttempt, ID: ev.ID, Server: 1})
		}
	case policy.AttemptEnded:
		c.lastOutcome.Store(uint32(ev.Outcome))
		c.attemptsEnded.Add(1)
	case policy.MembershipFull:
		return append(out, policy.Action{Kind: policy.SendAttempt, ID: c.lastRequest.Load(), Server: 1})
	}
	return out
}

// sendLastRequest makes the policy send the last request.
func (c *disconnectTest) sendLastRequest() { c.engine.UpdateMembers(policy.MembershipFull, nil) }

// countingClientConn is an accepted connection that counts the bytes that the proxy has read from it.
type countingClientConn struct {
	*net.TCPConn
	readBytes atomic.Int64
}

func (c *countingClientConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.readBytes.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	c *disconnectTest
}

func (l *countingListener) Accept() (net.Conn, error) {
	if l.c.accept != nil {
		<-l.c.accept
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &countingClientConn{TCPConn: nc.(*net.TCPConn)}
	l.c.lastConn.Store(conn)
	return conn, nil
}

// countingBackendConn counts the bytes written to a backend.
type countingBackendConn struct {
	net.Conn
	written *atomic.Int64
}

func (b *countingBackendConn) Write(p []byte) (int, error) {
	n, err := b.Conn.Write(p)
	b.written.Add(int64(n))
	return n, err
}

func newDisconnectTest(t *testing.T, set func(c *disconnectTest, o *Options)) *disconnectTest {
	t.Helper()
	t.Parallel()
	c := &disconnectTest{t: t, arrived: make(chan struct{}, 16), dialing: make(chan struct{}, 16)}
	log := slog.New(slog.DiscardHandler)
	c.dial = func(nc net.Conn) (net.Conn, error) { return nc, nil }
	c.engine = engine.New(c, engine.Hooks{}, log)
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { upstream.Close() })
	go func() {
		_ = http.Serve(upstream, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "42") }))
	}()
	c.backends = backend.NewPool(backend.Options{DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxConnections: 9,
		Dial: func(_ context.Context, addr string, by time.Time) (net.Conn, error) {
			c.dialing <- struct{}{}
			nc, err := backend.DialTCP(context.Background(), addr, by) // as a dial that completes during a cancel
			if err != nil {
				return nil, err
			}
			if nc, err = c.dial(nc); err != nil {
				return nil, err
			}
			return &countingBackendConn{nc, &c.written}, nil
		}}, log)
	c.backends.SetBackend(1, upstream.Addr().String(), true)
	transport := &forwarder.Transport{Engine: c.engine, Backends: c.backends, Log: log}
	opts := Options{Settings: testSettings(), Transport: transport, Ready: func() bool { return true }, GuaranteedSockets: 9, Log: log,
		HasSuccessor: func() bool { return true }} // for a shorter shutdown
	if set != nil {
		set(c, &opts)
	}
	c.server = New(opts)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.addr = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.server.Serve(ctx, &countingListener{ln, c}) }()
	t.Cleanup(func() {
		stop()
		if c.accept != nil {
			close(c.accept)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return c
}

// send connects and sends a request with a time-out of three seconds and this body.
func (c *disconnectTest) send(body string) (client *net.TCPConn, length int64) {
	c.t.Helper()
	nc, err := net.Dial("tcp", c.addr)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { nc.Close() })
	text := "POST /issue HTTP/1.1\r\n" + strings.Replace(issueHeaders, "Left-Ms: 480", "Left-Ms: 3000", 1) +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	if _, err := io.WriteString(nc, text); err != nil {
		c.t.Fatal(err)
	}
	return nc.(*net.TCPConn), int64(len(text))
}

// waitUntil waits until holds returns true. event is the name of what it waits for, for the failure message.
func (c *disconnectTest) waitUntil(event string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			c.t.Fatalf("it never happened that %s", event)
		}
	}
}

// waitForDisconnect waits until the client's disconnect has reached the proxy's socket.
func (c *disconnectTest) waitForDisconnect() {
	c.t.Helper()
	c.waitUntil("the disconnect reaches the proxy's socket", func() bool {
		accepted := c.lastConn.Load()
		return accepted != nil && socket.HasPeerClosed(accepted.TCPConn)
	})
}

// waitForEnd waits until no request is left in the engine or the server.
func (c *disconnectTest) waitForEnd() {
	c.t.Helper()
	c.waitUntil("requests and attempts all end", func() bool {
		return c.engine.TableSizes().Calls == 0 && c.server.InFlight() == 0
	})
}

// disconnectKinds are the ways in which a client may disconnect. net/http does not detect a disconnect that follows
// bytes that it has not read.
var disconnectKinds = map[string]func(c *disconnectTest, client *net.TCPConn, length int64){
	"closed":      func(_ *disconnectTest, client *net.TCPConn, _ int64) { client.Close() },
	"half closed": func(_ *disconnectTest, client *net.TCPConn, _ int64) { _ = client.CloseWrite() },
	"reset":       func(_ *disconnectTest, client *net.TCPConn, _ int64) { _ = client.SetLinger(0); client.Close() },
	"closed behind bytes": func(_ *disconnectTest, client *net.TCPConn, _ int64) {
		_, _ = io.WriteString(client, "GET /next")
		client.Close()
	},
	"reset behind bytes": func(c *disconnectTest, client *net.TCPConn, length int64) {
		_, _ = io.WriteString(client, "GET /next")
		c.waitUntil("a byte after the request is read", func() bool {
			accepted := c.lastConn.Load()
			return accepted != nil && accepted.readBytes.Load() > length
		})
		_ = client.SetLinger(0)
		client.Close()
	},
}

// After a client has disconnected in any way, no byte of its request reaches a backend, whatever the request was
// waiting for, and even if no attempt may be canceled.
func TestServer_ForwardsNothingAfterDisconnect(t *testing.T) {
	for kind, disconnect := range disconnectKinds {
		t.Run("queued in the policy, "+kind, func(t *testing.T) {
			c := newDisconnectTest(t, nil)
			client, n := c.send("body")
			<-c.arrived
			disconnect(c, client, n)
			c.waitForDisconnect()
			c.sendLastRequest()
			c.waitForEnd()
			c.checkNothingWritten()
		})
		t.Run("while the backend connection is made, "+kind, func(t *testing.T) {
			proceed := make(chan struct{})
			c := newDisconnectTest(t, func(c *disconnectTest, _ *Options) {
				c.sendsAtOnce = true
				c.dial = func(nc net.Conn) (net.Conn, error) { <-proceed; return nc, nil }
			})
			client, n := c.send("body")
			<-c.dialing
			disconnect(c, client, n)
			c.waitForDisconnect()
			close(proceed)
			c.waitForEnd()
			c.checkNothingWritten()
		})
		t.Run("between two attempts, "+kind, func(t *testing.T) {
			c := newDisconnectTest(t, func(c *disconnectTest, _ *Options) {
				c.sendsAtOnce = true
				c.dial = func(nc net.Conn) (net.Conn, error) { nc.Close(); return nil, net.ErrClosed }
			})
			client, n := c.send("body")
			c.waitUntil("the first attempt fails", func() bool { return c.attemptsEnded.Load() == 1 })
			c.dial = func(nc net.Conn) (net.Conn, error) { return nc, nil }
			disconnect(c, client, n)
			c.waitForDisconnect()
			c.sendLastRequest()
			c.waitForEnd()
			c.checkNothingWritten()
		})
		t.Run("at the connection limit, "+kind, func(t *testing.T) {
			c := newDisconnectTest(t, func(c *disconnectTest, _ *Options) { c.sendsAtOnce = true; c.backends.SetMaxConnections(0) })
			client, n := c.send("body")
			c.waitUntil("the first attempt finds no free connection", func() bool { return c.attemptsEnded.Load() == 1 })
			disconnect(c, client, n)
			c.waitForDisconnect()
			c.backends.SetMaxConnections(9)
			c.sendLastRequest()
			c.waitForEnd()
			c.checkNothingWritten()
		})
		t.Run("queued at the gate, "+kind, func(t *testing.T) {
			var gate *Gate
			c := newDisconnectTest(t, func(c *disconnectTest, o *Options) {
				c.sendsAtOnce = true
				s := admission.Defaults()
				s.Tenants = []admission.Tenant{{Name: "acme", Share: 1}, {Name: "zenith", Share: 1}}
				s.Classes = []admission.Class{{Name: "quote", Value: 1, Work: 100_000}, {Name: "issue", Value: 5, Work: 100_000}}
				s.MinLimit, s.InitialLimit, s.MaxLimit = 1, 1, 1
				var err error
				if gate, err = NewGate(s, o.Log); err != nil {
					t.Fatal(err)
				}
				o.Gate = gate
			})
			gateCtx, stopGate := context.WithCancel(t.Context())
			defer stopGate()
			go gate.Run(gateCtx)
			other := &http.Request{RemoteAddr: "127.0.0.9:1"}
			finish, _ := gate.admit(t.Context(), other, acceptedRequest{info: &forwarder.RequestInfo{}, deadline: time.Now().Add(time.Hour)})
			client, n := c.send("body")
			c.waitUntil("the gate queues the request", func() bool { return c.server.TableSizes().GateQueue == 1 })
			disconnect(c, client, n)
			c.waitForDisconnect()
			finish(true)
			c.waitForEnd()
			c.checkNothingWritten()
		})
		if kind == "reset behind bytes" {
			continue // this kind waits until a byte is read, which does not happen before Accept
		}
		t.Run("before it is accepted, "+kind, func(t *testing.T) {
			c := newDisconnectTest(t, func(c *disconnectTest, _ *Options) { c.sendsAtOnce = true; c.accept = make(chan struct{}) })
			client, n := c.send("body")
			disconnect(c, client, n)
			c.accept <- struct{}{}
			c.waitForDisconnect()
			c.waitUntil("the proxy closes the connection", func() bool { return c.server.OpenSockets() == 0 })
			c.waitForEnd()
			c.checkNothingWritten()
		})
	}
}

func (c *disconnectTest) checkNothingWritten() {
	c.t.Helper()
	if n := c.written.Load(); n > 0 {
		c.t.Errorf("%d bytes were written to the backend after the client had disconnected", n)
	}
}

// If a client disconnects while its request is being written to a backend that does not read, no more of the request is
// written, and the outcome does not count against the backend.
func TestServer_DisconnectStopsPartialWrite(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	c := newDisconnectTest(t, func(c *disconnectTest, _ *Options) {
		c.sendsAtOnce = true
		c.dial = func(nc net.Conn) (net.Conn, error) { nc.Close(); return here, nil }
	})
	client, _ := c.send(strings.Repeat("x", 60_000))
	if _, err := io.ReadFull(there, make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	client.Close()
	c.waitForDisconnect()
	c.waitForEnd()
	// Without the disconnect the attempt would end with its own time-out.
	if n, outcome := c.written.Load(), policy.Outcome(c.lastOutcome.Load()); n != 100 || outcome != policy.NotSent {
		t.Errorf("%d bytes written, of which 100 before the client disconnected; outcome %d", n, outcome)
	}
}
