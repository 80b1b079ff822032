// Package listener is the client side of the standalone proxy: it accepts client connections within a budget of
// sockets, reads and checks each request, admits it through the gate if there is one, and hands it to an
// http.RoundTripper. On shutdown it finishes the requests that it has accepted before it closes their connections.
//
// server.go contains the Server and its options, handler.go the steps of one request, request.go and body.go the
// reading and checking of its head and body, correlation.go the correlation ids in flight, proxy.go the forwarding to
// the transport, response.go the writing of the response, accept.go, conn.go and conntracker.go the connections,
// gate.go admission control, and shutdown.go the shutdown.
package listener

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"pumiceline/internal/standalone/metrics"
	"pumiceline/internal/standalone/settings"
)

// Limits on a client's connection. A client that sends nothing, or a request that never ends, uses up a socket that
// another client needs.
const (
	// headTimeout bounds a request's head, from its first byte or, for the first request, from the connection's start.
	// Later requests of a connection have laterHeadExtension more.
	headTimeout = 2600 * time.Millisecond
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = 5 * time.Second
	// maxHeadBytes bounds the size of a request's head.
	maxHeadBytes = 32 << 10
)

// Options configure a Server. Settings, Transport, Ready and Log are required.
type Options struct {
	// Settings are the deployment's settings at the start; ApplySettings replaces them.
	Settings *settings.Settings
	// Transport answers the requests. Their contexts carry a forwarder.RequestInfo.
	Transport http.RoundTripper
	// Ready reports whether the proxy can serve; it is the result of the readiness check.
	Ready func() bool
	// GuaranteedSockets is the number of client sockets that may always be open.
	GuaranteedSockets int
	// SocketLimit returns how many client sockets may be open now, at least GuaranteedSockets. nil: GuaranteedSockets.
	SocketLimit func() int
	// Metrics counts the requests. nil: they are counted, but not exported.
	Metrics *metrics.Metrics
	// HasSuccessor reports, at shutdown, whether another process takes over new connections. nil: none does.
	HasSuccessor func() bool
	// Gate is admission control in front of the transport. nil: every request is admitted at once.
	Gate *Gate
	Log  *slog.Logger
}

// Server serves clients on one listener. Its methods are safe for concurrent use.
type Server struct {
	opts       Options
	requests   *requestReader
	proxy      *httputil.ReverseProxy
	httpServer *http.Server
	tracker    *connTracker
	openIDs    *openIDSet
	inFlight   atomic.Int64 // requests that are accepted and have not ended

	longestDeadline    atomic.Int64    // of the classes in force, in nanoseconds
	closeAfterResponse atomic.Bool     // set during shutdown: each response closes its connection
	lastResponseAt     atomic.Int64    // when the last response is due, in Unix nanoseconds; 0: no shutdown
	abortCtx           context.Context // done at lastResponseAt; ends the contexts of requests in flight
	abortRequests      context.CancelFunc
}

// New returns a Server that does not listen yet.
func New(opts Options) *Server {
	if opts.Metrics == nil {
		opts.Metrics = metrics.New()
	}
	s := &Server{
		opts:     opts,
		requests: &requestReader{},
		tracker:  newConnTracker(opts.GuaranteedSockets, opts.SocketLimit),
		openIDs:  newOpenIDSet(),
	}
	s.abortCtx, s.abortRequests = context.WithCancel(context.Background())
	s.longestDeadline.Store(int64(longestClientTimeout(opts.Settings)))
	if err := s.ApplySettings(opts.Settings, func(*settings.Settings) error { return nil }); err != nil {
		opts.Log.Error("settings have too many classes: every request is rejected", "error", err)
	}
	debugLog := slog.NewLogLogger(opts.Log.Handler(), slog.LevelDebug)
	s.proxy = &httputil.ReverseProxy{
		Rewrite:      rewriteRequest,
		Transport:    opts.Transport,
		ErrorLog:     debugLog,
		ErrorHandler: s.handleProxyError,
		BufferPool:   newBufferPool(),
	}
	s.httpServer = &http.Server{
		Handler:                      s,
		ErrorLog:                     debugLog,
		ConnState:                    s.tracker.onConnState,
		ConnContext:                  contextWithConn,
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            headTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeadBytes,
	}
	return s
}

// Serve accepts clients from ln until ctx ends, then shuts down: it returns once every accepted request is answered or
// the last response is due (see shutdownTimes). An error means that ln failed.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	ended := make(chan error, 1)
	clients := &limitListener{Listener: ln, tracker: s.tracker}
	go func() { ended <- s.httpServer.Serve(clients) }()
	select {
	case err := <-ended:
		return fmt.Errorf("client sockets: %w", err)
	case <-ctx.Done():
		return s.shutDown(clients, ended)
	}
}

// ApplySettings replaces the settings completely or not at all. apply is called with the settings, their classes in the
// order of the numbers that requests will carry (package requestclass), and returns an error if another part rejects
// them. A class that is not in the settings any more keeps its number while requests of it are in flight.
func (s *Server) ApplySettings(next *settings.Settings, apply func(numbered *settings.Settings) error) error {
	if err := s.requests.applySettings(next, apply); err != nil {
		return err
	}
	s.longestDeadline.Store(int64(longestClientTimeout(next)))
	return nil
}

// OpenSockets returns how many client sockets are open.
func (s *Server) OpenSockets() int { return s.tracker.count() }

// InFlight returns how many requests are accepted and have not ended.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// TableSizes contains the numbers of entries in a Server's tables, for the admin API. Each returns to a small number
// once the requests have ended.
type TableSizes struct {
	CorrelationIDs int // of requests in flight
	ClassNumbers   int // assigned by package requestclass
	GateQueue      int // requests that wait for the gate's decision
}

// TableSizes returns the numbers of entries in the tables now.
func (s *Server) TableSizes() TableSizes {
	sizes := TableSizes{CorrelationIDs: s.openIDs.size(), ClassNumbers: s.requests.classNumbers()}
	if s.opts.Gate != nil {
		sizes.GateQueue = s.opts.Gate.queueLength()
	}
	return sizes
}
