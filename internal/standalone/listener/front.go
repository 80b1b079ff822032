// Package listener holds the front sockets, where clients come in: it reads a request's headers and body, hands it
// on, keeps to its part of the socket budget, and ends without losing what it has taken.
package listener

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"pumiceline/internal/standalone/forwarder"
	"pumiceline/internal/standalone/metrics"
	"pumiceline/internal/standalone/settings"
)

// acceptGrace is how long after the request to stop new connections are still taken: the front layer learns of
// the stop only with some delay.
const acceptGrace = 600 * time.Millisecond

// What a client may take its time for. A socket on which nothing comes, or something that never ends, takes a place
// that another client needs.
const (
	headTimeout = 2600 * time.Millisecond // from a request's first byte, or the connection's start, to the end of the head
	idleTimeout = 5 * time.Second         // between requests
)

// Options are what a Front needs to know.
type Options struct {
	Settings          *settings.Settings
	Transport         http.RoundTripper
	Ready             func() bool // whether the proxy can serve
	GuaranteedSockets int         // front sockets that there may be in any case
	SocketLimit       func() int  // front sockets that there may be now, GuaranteedSockets at least; nil: no more than that
	Metrics           *metrics.Metrics
	HasSuccessor      func() bool // whether another process takes this one's connections when it stops; nil: none does
	Gate              *Gate       // nil: whoever has come in goes on at once
	Log               *slog.Logger
}

// Server serves clients.
type Server struct {
	opts               Options
	requests           *requestReader
	proxy              *httputil.ReverseProxy
	httpServer         *http.Server
	budget             *socketBudget
	openIDs            *openIDSet
	closeAfterResponse atomic.Bool     // each answer closes its connection
	longestDeadline    atomic.Int64    // the longest deadline of the settings in force, in nanoseconds
	lastResponseAt     atomic.Int64    // when a stopping front gives its last answer, in Unix nanoseconds; 0: it does not stop
	ended              context.Context // ends then
	end                context.CancelFunc
	inFlight           atomic.Int64 // requests taken and not ended
}

// New returns a front that does not listen yet.
func New(opts Options) *Server {
	if opts.Metrics == nil {
		opts.Metrics = metrics.New()
	}
	f := &Server{opts: opts, requests: &requestReader{}, budget: newSocketBudget(opts.GuaranteedSockets, opts.SocketLimit),
		openIDs: newOpenIDSet()}
	f.ended, f.end = context.WithCancel(context.Background())
	f.longestDeadline.Store(int64(longestHardLimit(opts.Settings)))
	if err := f.ApplySettings(opts.Settings, func(*settings.Settings) error { return nil }); err != nil {
		opts.Log.Error("settings with too many classes: no request is understood", "error", err)
	}
	complaints := slog.NewLogLogger(opts.Log.Handler(), slog.LevelDebug)
	f.proxy = &httputil.ReverseProxy{Rewrite: rewriteRequest, Transport: opts.Transport, ErrorLog: complaints,
		ErrorHandler: f.handleProxyError, BufferPool: newBufferPool()}
	f.httpServer = &http.Server{Handler: f, ErrorLog: complaints, ConnState: f.budget.onConnState,
		ConnContext: contextWithConn, DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 32 << 10}
	return f
}

// Serve takes clients from ln until ctx ends, then finishes what it has taken.
func (f *Server) Serve(ctx context.Context, ln net.Listener) error {
	ended := make(chan error, 1)
	door := &budgetListener{Listener: ln, budget: f.budget}
	go func() { ended <- f.httpServer.Serve(door) }()
	select {
	case err := <-ended:
		return fmt.Errorf("front sockets: %w", err)
	case <-ctx.Done():
	}
	stop := time.Now()
	handed := f.opts.HasSuccessor != nil && f.opts.HasSuccessor()
	closeFrom, last := shutdownTimes(stop, time.Duration(f.longestDeadline.Load()))
	if handed { // what comes from now on is the successor's, and so are the clients of the kept connections
		closeFrom = stop
	}
	f.lastResponseAt.Store(last.UnixNano())
	defer time.AfterFunc(time.Until(last), f.end).Stop()
	// First: a lent socket may be blocking, and its Close waits for an Accept that only a client sent away brings.
	f.closeAfterResponse.Store(!closeFrom.After(stop))
	if handed {
		door.Close()
	}
	f.opts.Log.Info("stopping", "front_sockets", f.budget.count(), "successor", handed,
		"closing_in", closeFrom.Sub(stop), "last_answer_in", last.Sub(stop))
	grace := time.NewTimer(acceptGrace)
	defer grace.Stop()
	<-grace.C
	door.closeWhenDrained()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("front sockets: %w", err)
	}
	if wait := time.Until(closeFrom); wait > 0 {
		kept := time.NewTimer(wait)
		defer kept.Stop()
		<-kept.C
	}
	f.closeAfterResponse.Store(true) // from here each answer closes its connection
	f.budget.drain(last)
	return nil
}

// capDeadline shortens a deadline to the last answer of a stopping front: SIGKILL would find the request unanswered.
func (f *Server) capDeadline(deadline time.Time) time.Time {
	if last := f.lastResponseAt.Load(); last != 0 && deadline.UnixNano() > last {
		return time.Unix(0, last)
	}
	return deadline
}

// ApplySettings takes over other settings as one whole or not at all: apply is given them with the classes in the order of the numbers
// that requests will bring, and says whether all others who go by them have taken them. Classes that vanish stay in that order
// while requests of theirs are under way.
func (f *Server) ApplySettings(s *settings.Settings, apply func(numbered *settings.Settings) error) error {
	if err := f.requests.applySettings(s, apply); err != nil {
		return err
	}
	f.longestDeadline.Store(int64(longestHardLimit(s)))
	return nil
}

// SocketLimit is how many front sockets are open.
func (f *Server) OpenSockets() int { return f.budget.count() }

// TableSizes is how many entries are held: correlation ids of requests under way, numbers of classes, requests waiting at the gate.
func (f *Server) TableSizes() (ids, classes, waiting int) {
	f.openIDs.mu.Lock()
	ids = len(f.openIDs.ids)
	f.openIDs.mu.Unlock()
	f.requests.mu.Lock()
	classes = f.requests.classes.Numbers()
	f.requests.mu.Unlock()
	if g := f.opts.Gate; g != nil {
		g.mu.Lock()
		waiting = len(g.pending)
		g.mu.Unlock()
	}
	return ids, classes, waiting
}

// InFlight is how many requests are taken and not ended.
func (f *Server) InFlight() int { return int(f.inFlight.Load()) }

// ServeHTTP answers one request.
func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := &responseWriter{ResponseWriter: w, conn: http.NewResponseController(w), closeAfterResponse: &f.closeAfterResponse}
	w = answer
	defer answer.clearWriteDeadline()
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(p) // the client is gone: net/http closes the connection
			}
			// A request that was taken must get an answer; net/http would just close the connection.
			f.opts.Log.Error("a handler panicked", "panic", p, "stack", string(debug.Stack()))
			if answer.headSent { // what goes out now would pass for a part of it
				panic(http.ErrAbortHandler)
			}
			http.Error(w, "internal error", http.StatusInternalServerError)
		}
	}()
	if f.closeAfterResponse.Load() || f.budget.shouldShedKeepAlive() {
		w.Header().Set("Connection", "close")
	}
	taken := time.Now()
	coded, both := recordRequest(r)
	if r.URL.Path == "/ready" && len(r.Header[classHeader]) == 0 { // else it is a request of a class that has this name
		f.serveReady(w)
		return
	}
	if coded { // where the next request would begin is not known any more
		w.Header().Set("Connection", "close")
	}
	in, deadline, err := f.requests.read(w, r, taken, coded, both)
	if err == nil {
		defer f.requests.end(in)
		id := r.Header.Get(correlationIDHeader)
		if f.openIDs.reserve(id) {
			defer f.openIDs.release(id)
		} else {
			err = badRequestf("%s is that of a request still open", correlationIDHeader)
		}
	}
	if err != nil {
		f.opts.Log.Debug("request not understood", "error", err)
		var bad *requestError
		status := http.StatusBadRequest
		if errors.As(err, &bad) {
			status = bad.status
		}
		if r.ContentLength != 0 {
			// The body may still be on its way, or never come whole; net/http would wait for its end before it
			// sent the answer.
			w.Header().Set("Connection", "close")
		}
		http.Error(w, err.Error(), status)
		return
	}
	deadline = f.capDeadline(deadline)
	client, leave := context.WithCancel(r.Context())
	defer leave()
	in.ClientDisconnected = func() bool {
		if client.Err() == nil && clientDisconnected(r) {
			leave()
		}
		return client.Err() != nil
	}
	f.inFlight.Add(1)
	ended := metrics.Errored // unless it is known better: a handler that panics has failed its request
	defer func() {
		f.inFlight.Add(-1)
		if client.Err() != nil { // it was seen to leave
			ended = metrics.Left
		}
		f.opts.Metrics.End(singleValue(r.Header, classHeader), ended)
	}()
	ctx, cancel := f.requestContext(client, in, deadline)
	defer cancel()
	if in.Stream != nil {
		defer f.abortIncompleteBody(w, in, &ended)
	}
	if f.opts.Gate != nil {
		leave, refused := f.opts.Gate.admit(ctx, r, in, deadline)
		if leave == nil {
			ended = metrics.Deferred
			writeRejection(w, refused)
			return
		}
		defer func() { leave(in.Answered) }()
	}
	if in.Stream != nil {
		w.Header().Set("Connection", "close") // it may end before its body does
	}
	f.proxy.ServeHTTP(w, r.WithContext(ctx))
	switch {
	case in.Answered:
		ended = metrics.Answered
	case in.Rejected:
		ended = metrics.Deferred
	}
}

// errShutdown ends what a stopping proxy has not answered by its last answer: as their deadline would, which may be far behind SIGKILL.
var errShutdown = fmt.Errorf("the proxy ends: %w", context.DeadlineExceeded)

// requestContext is a request's context, which ends with the client's time. That of one whose body is still coming begins with its last byte.
func (f *Server) requestContext(client context.Context, in *forwarder.RequestInfo, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, done := forwarder.WithRequestInfo(client, in), func() {}
	if in.Stream == nil {
		ctx, done = context.WithDeadline(ctx, deadline)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	if in.Stream != nil {
		go in.Stream.WatchDeadline(ctx.Done(), 0, func() { cancel(context.DeadlineExceeded) }, func(err error) { cancel(err) })
	}
	stop := context.AfterFunc(f.ended, func() { cancel(errShutdown) })
	return ctx, func() { stop(); cancel(nil); done() }
}

// abortIncompleteBody ends a request whose body may not have come whole: whoever still reads it has to stop, and the connection is of no
// further use.
func (f *Server) abortIncompleteBody(w http.ResponseWriter, in *forwarder.RequestInfo, ended *metrics.Ended) {
	select {
	case <-in.Stream.Ended():
		if _, err := in.Stream.End(); err != nil {
			*ended = metrics.Left // no request, as its last byte never came
		}
	default:
		_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // as in paced
	}
}

func (f *Server) serveReady(w http.ResponseWriter) {
	if !f.opts.Ready() {
		http.Error(w, "no pool config yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintln(w, "ready")
}

// rewriteRequest keeps the request's target as the client wrote it: parsing and writing it again would change odd
// queries, and ReverseProxy drops parameters that it cannot parse.
func rewriteRequest(pr *httputil.ProxyRequest) {
	target := &url.URL{Opaque: pr.In.RequestURI}
	if !strings.HasPrefix(pr.In.RequestURI, "/") || strings.HasPrefix(pr.In.RequestURI, "//") {
		target = &url.URL{Path: pr.In.URL.Path, RawPath: pr.In.URL.RawPath, RawQuery: pr.In.URL.RawQuery,
			ForceQuery: pr.In.URL.ForceQuery} // a form that an opaque URL is not written in
	}
	pr.Out.URL, pr.Out.Host = target, pr.In.Host
	pr.Out.Header.Del("Upgrade") // a destination must not be asked for another protocol
	pr.Out.Header.Del("Connection")
	pr.Out.Header.Del("Expect") // the body is in
	// A client that names them in Connection would have ReverseProxy drop them, and a keyed request without its
	// key could be carried out twice.
	for _, name := range []string{correlationIDHeader, idempotencyKeyHeader, sessionKeyHeader} {
		if v, ok := pr.In.Header[name]; ok {
			pr.Out.Header[name] = v
		}
	}
}

// handleProxyError is for requests that ended without an answer from the transport.
func (f *Server) handleProxyError(w http.ResponseWriter, r *http.Request, err error) {
	if !errors.Is(err, context.Canceled) {
		f.opts.Log.Error("a request failed", "error", err)
	}
	w.WriteHeader(http.StatusBadGateway)
}
