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

// crossing is a proxy between real sockets whose module, listener and connections to the backend wait where a test says so.
type crossing struct {
	t       *testing.T
	base    string
	planner *engine.Engine
	fleet   *backend.Pool
	front   *Server
	arrived chan struct{}                    // a value for each request that the module is told of
	accept  chan struct{}                    // nil: the listener takes connections at once; else a value for each
	taken   atomic.Pointer[clientSide]       // the connection accepted last
	dialing chan struct{}                    // a value for each connection that is being made to the backend
	dial    func(net.Conn) (net.Conn, error) // what becomes of one
	written atomic.Int64                     // bytes written to the backend
	heard   atomic.Int64                     // attempts that have ended
	outcome atomic.Uint32                    // of the last one
	atOnce  bool                             // the module sends what arrives; else only what it is asked to
	last    atomic.Uint64                    // the request that came last
}

// Handle is planner.Module's. Nothing is ever called off, as where the settings allow no cancelling, and a list makes it send the
// last request once more.
func (c *crossing) Handle(_ policy.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	switch ev.Kind {
	case policy.RequestArrived:
		c.last.Store(ev.ID)
		defer func() { c.arrived <- struct{}{} }()
		if c.atOnce {
			return append(out, policy.Action{Kind: policy.SendAttempt, ID: ev.ID, Server: 1})
		}
	case policy.AttemptEnded:
		c.outcome.Store(uint32(ev.Outcome))
		c.heard.Add(1)
	case policy.MembershipFull:
		return append(out, policy.Action{Kind: policy.SendAttempt, ID: c.last.Load(), Server: 1})
	}
	return out
}

// sendOn has the module send the last request.
func (c *crossing) sendOn() { c.planner.UpdateMembers(policy.MembershipFull, nil) }

// clientSide is a connection that a listener took, and how many bytes the proxy has read from it.
type clientSide struct {
	*net.TCPConn
	read atomic.Int64
}

func (c *clientSide) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

type crossingListener struct {
	net.Listener
	c *crossing
}

func (l *crossingListener) Accept() (net.Conn, error) {
	if l.c.accept != nil {
		<-l.c.accept
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	side := &clientSide{TCPConn: nc.(*net.TCPConn)}
	l.c.taken.Store(side)
	return side, nil
}

// backendSide counts what is written to a backend.
type backendSide struct {
	net.Conn
	written *atomic.Int64
}

func (b *backendSide) Write(p []byte) (int, error) {
	n, err := b.Conn.Write(p)
	b.written.Add(int64(n))
	return n, err
}

func newCrossing(t *testing.T, set func(c *crossing, o *Options)) *crossing {
	t.Parallel()
	c := &crossing{t: t, arrived: make(chan struct{}, 16), dialing: make(chan struct{}, 16)}
	log := slog.New(slog.DiscardHandler)
	c.dial = func(nc net.Conn) (net.Conn, error) { return nc, nil }
	c.planner = engine.New(c, engine.Hooks{}, log)
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { upstream.Close() })
	go func() {
		_ = http.Serve(upstream, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "42") }))
	}()
	c.fleet = backend.NewPool(backend.Options{DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxConnections: 9,
		Dial: func(_ context.Context, addr string, by time.Time) (net.Conn, error) {
			c.dialing <- struct{}{}
			nc, err := backend.DialTCP(context.Background(), addr, by) // as one that comes up in the moment of a cancel
			if err != nil {
				return nil, err
			}
			if nc, err = c.dial(nc); err != nil {
				return nil, err
			}
			return &backendSide{nc, &c.written}, nil
		}}, log)
	c.fleet.SetBackend(1, upstream.Addr().String(), true)
	transport := &forwarder.Transport{Engine: c.planner, Backends: c.fleet, Log: log}
	opts := Options{Settings: site(), Transport: transport, Ready: func() bool { return true }, GuaranteedSockets: 9, Log: log,
		HasSuccessor: func() bool { return true }} // it ends sooner then
	if set != nil {
		set(c, &opts)
	}
	c.front = New(opts)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.base = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.front.Serve(ctx, &crossingListener{ln, c}) }()
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

// ask connects and sends a request with three seconds to live and this body.
func (c *crossing) ask(body string) (client *net.TCPConn, length int64) {
	nc, err := net.Dial("tcp", c.base)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { nc.Close() })
	text := "POST /issue HTTP/1.1\r\n" + strings.Replace(headers, "Left-Ms: 480", "Left-Ms: 3000", 1) +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	if _, err := io.WriteString(nc, text); err != nil {
		c.t.Fatal(err)
	}
	return nc.(*net.TCPConn), int64(len(text))
}

// until waits for what is certain to come.
func (c *crossing) until(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			c.t.Fatalf("never: %s", what)
		}
	}
}

// seen waits until the proxy's socket knows of the leave.
func (c *crossing) seen() {
	c.until("the proxy's socket hears of the leave", func() bool { side := c.taken.Load(); return side != nil && socket.HasPeerClosed(side.TCPConn) })
}

// settled waits until nothing is left of the requests that the module was told of.
func (c *crossing) settled() {
	c.until("requests and attempts all end", func() bool { return c.planner.TableSizes().Calls == 0 && c.front.InFlight() == 0 })
}

// leaving is the ways in which a client goes. Behind bytes that nobody reads, net/http does not hear of it.
var leaving = map[string]func(c *crossing, client *net.TCPConn, length int64){
	"closed":      func(_ *crossing, client *net.TCPConn, _ int64) { client.Close() },
	"half closed": func(_ *crossing, client *net.TCPConn, _ int64) { _ = client.CloseWrite() },
	"reset":       func(_ *crossing, client *net.TCPConn, _ int64) { _ = client.SetLinger(0); client.Close() },
	"closed behind bytes": func(_ *crossing, client *net.TCPConn, _ int64) {
		_, _ = io.WriteString(client, "GET /next")
		client.Close()
	},
	"reset behind bytes": func(c *crossing, client *net.TCPConn, length int64) {
		_, _ = io.WriteString(client, "GET /next")
		c.until("a byte behind the request is read", func() bool { side := c.taken.Load(); return side != nil && side.read.Load() > length })
		_ = client.SetLinger(0)
		client.Close()
	},
}

// TestNothingIsSentOnForAClientThatLeft: wherever a request waits, and however its client goes, no byte of it reaches a backend
// afterwards, where nothing may be cancelled either.
func TestNothingIsSentOnForAClientThatLeft(t *testing.T) {
	for way, leave := range leaving {
		t.Run("held by the module, "+way, func(t *testing.T) {
			c := newCrossing(t, nil)
			client, n := c.ask("body")
			<-c.arrived
			leave(c, client, n)
			c.seen()
			c.sendOn()
			c.settled()
			c.nothingWritten()
		})
		t.Run("while its connection is made, "+way, func(t *testing.T) {
			goOn := make(chan struct{})
			c := newCrossing(t, func(c *crossing, _ *Options) {
				c.atOnce = true
				c.dial = func(nc net.Conn) (net.Conn, error) { <-goOn; return nc, nil }
			})
			client, n := c.ask("body")
			<-c.dialing
			leave(c, client, n)
			c.seen()
			close(goOn)
			c.settled()
			c.nothingWritten()
		})
		t.Run("between two attempts, "+way, func(t *testing.T) {
			c := newCrossing(t, func(c *crossing, _ *Options) {
				c.atOnce = true
				c.dial = func(nc net.Conn) (net.Conn, error) { nc.Close(); return nil, net.ErrClosed }
			})
			client, n := c.ask("body")
			c.until("the first attempt fails", func() bool { return c.heard.Load() == 1 })
			c.dial = func(nc net.Conn) (net.Conn, error) { return nc, nil }
			leave(c, client, n)
			c.seen()
			c.sendOn()
			c.settled()
			c.nothingWritten()
		})
		t.Run("with no socket left for the backend, "+way, func(t *testing.T) {
			c := newCrossing(t, func(c *crossing, _ *Options) { c.atOnce = true; c.fleet.SetMaxConnections(0) })
			client, n := c.ask("body")
			c.until("the first attempt finds no socket", func() bool { return c.heard.Load() == 1 })
			leave(c, client, n)
			c.seen()
			c.fleet.SetMaxConnections(9)
			c.sendOn()
			c.settled()
			c.nothingWritten()
		})
		t.Run("behind the door, "+way, func(t *testing.T) {
			var gate *Gate
			c := newCrossing(t, func(c *crossing, o *Options) {
				c.atOnce = true
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
			running, end := context.WithCancel(t.Context())
			defer end()
			go gate.Run(running)
			room, _ := gate.admit(t.Context(), &http.Request{RemoteAddr: "127.0.0.9:1"}, &forwarder.RequestInfo{}, time.Now().Add(time.Hour))
			client, n := c.ask("body")
			c.until("it waits behind the door", func() bool { return c.front.TableSizes().GateQueue == 1 })
			leave(c, client, n)
			c.seen()
			room(true)
			c.settled()
			c.nothingWritten()
		})
		if way == "reset behind bytes" {
			continue // it waits for a byte to be read, which nobody does before
		}
		t.Run("before it is accepted, "+way, func(t *testing.T) {
			c := newCrossing(t, func(c *crossing, _ *Options) { c.atOnce = true; c.accept = make(chan struct{}) })
			client, n := c.ask("body")
			leave(c, client, n)
			c.accept <- struct{}{}
			c.seen()
			c.until("the connection is given up", func() bool { return c.front.OpenSockets() == 0 })
			c.settled()
			c.nothingWritten()
		})
	}
}

func (c *crossing) nothingWritten() {
	c.t.Helper()
	if n := c.written.Load(); n > 0 {
		c.t.Errorf("%d bytes went to the backend after the client had left", n)
	}
}

// A client that leaves while its request is being written to a backend that does not read: no more of it goes out, and the backend
// is not blamed. One whose request has gone out whole is no concern of ours.
func TestALeaveStopsARequestHalfWritten(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	c := newCrossing(t, func(c *crossing, _ *Options) {
		c.atOnce = true
		c.dial = func(nc net.Conn) (net.Conn, error) { nc.Close(); return here, nil }
	})
	client, _ := c.ask(strings.Repeat("x", 60_000))
	if _, err := io.ReadFull(there, make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	client.Close()
	c.seen()
	c.settled()
	// Without the leave it would be the attempt's own time that ends it.
	if n, outcome := c.written.Load(), policy.Outcome(c.outcome.Load()); n != 100 || outcome != policy.NotSent {
		t.Errorf("%d bytes written, of which 100 before the client left; outcome %d", n, outcome)
	}
}
