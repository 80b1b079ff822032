package listener

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"pumiceline/internal/standalone/forwarder"
	"pumiceline/internal/standalone/metrics"
)

// readyPath is the path of the readiness check.
const readyPath = "/ready"

// ServeHTTP answers one request: it checks the request, then forwards it and waits until the client's deadline at most.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rw := &responseWriter{
		ResponseWriter:     w,
		conn:               http.NewResponseController(w),
		closeAfterResponse: &s.closeAfterResponse,
	}
	defer rw.clearWriteDeadline()
	defer s.recoverPanic(rw)
	if s.closeAfterResponse.Load() || s.tracker.shouldShedKeepAlive() {
		rw.Header().Set("Connection", "close")
	}
	receivedAt := time.Now()
	framing := recordRequest(r)
	if isReadinessCheck(r) {
		s.serveReady(rw)
		return
	}
	if framing.hasTransferEncoding { // the scanner cannot find the start of the next request on the connection
		rw.Header().Set("Connection", "close")
	}
	accepted, err := s.requests.read(rw, r, receivedAt, framing)
	if err != nil {
		s.rejectMalformed(rw, r, err)
		return
	}
	defer s.requests.end(accepted.info)
	id := r.Header.Get(correlationIDHeader)
	if !s.openIDs.reserve(id) {
		s.rejectMalformed(rw, r, badRequestf("%s is that of a request still open", correlationIDHeader))
		return
	}
	defer s.openIDs.release(id)
	accepted.deadline = s.capDeadline(accepted.deadline)
	s.serveRequest(rw, r, accepted)
}

// recoverPanic answers a request whose handler panicked; net/http would only close the connection. It must be deferred
// directly.
func (s *Server) recoverPanic(rw *responseWriter) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p) // the client has disconnected: net/http closes the connection
	}
	s.opts.Log.Error("request handler panicked", "panic", p, "stack", string(debug.Stack()))
	if rw.headSent { // the client would mistake an error text for a part of the response
		panic(http.ErrAbortHandler)
	}
	http.Error(rw, "internal error", http.StatusInternalServerError)
}

// isReadinessCheck reports whether r is a readiness check. A request to readyPath with a service class is not one: it
// is a regular request of a class named "ready".
func isReadinessCheck(r *http.Request) bool {
	return r.URL.Path == readyPath && len(r.Header[classHeader]) == 0
}

// serveReady answers the readiness check: 200 once there is an endpoint list.
func (s *Server) serveReady(w http.ResponseWriter) {
	if !s.opts.Ready() {
		http.Error(w, "no pool config yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintln(w, "ready")
}

// rejectMalformed answers a request that did not pass the checks, with the status of a requestError.
func (s *Server) rejectMalformed(w http.ResponseWriter, r *http.Request, err error) {
	s.opts.Log.Debug("request rejected as malformed", "error", err)
	status := http.StatusBadRequest
	var malformed *requestError
	if errors.As(err, &malformed) {
		status = malformed.status
	}
	if r.ContentLength != 0 {
		// The body may still be on its way, or never complete; net/http would wait for its end before it sends the
		// response.
		w.Header().Set("Connection", "close")
	}
	http.Error(w, err.Error(), status)
}

// serveRequest serves a request that has passed the checks, and counts how it ended.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, accepted acceptedRequest) {
	info := accepted.info
	clientCtx, disconnect := context.WithCancel(r.Context())
	defer disconnect()
	info.ClientDisconnected = func() bool {
		if clientCtx.Err() == nil && clientDisconnected(r) {
			disconnect()
		}
		return clientCtx.Err() != nil
	}
	s.inFlight.Add(1)
	outcome := metrics.Failed // stays if the handler panics
	defer func() {
		s.inFlight.Add(-1)
		if clientCtx.Err() != nil {
			outcome = metrics.Canceled
		}
		s.opts.Metrics.RequestEnded(singleValue(r.Header, classHeader), outcome)
	}()
	ctx, cancel := s.requestContext(clientCtx, accepted)
	defer cancel()
	if info.Stream != nil {
		defer s.abortIncompleteBody(w, info, &outcome)
	}
	outcome = s.admitAndForward(ctx, w, r, accepted)
}

// admitAndForward passes a request through the gate and to the transport, and returns how it ended.
func (s *Server) admitAndForward(ctx context.Context, w http.ResponseWriter, r *http.Request,
	accepted acceptedRequest) metrics.Outcome {
	info := accepted.info
	if s.opts.Gate != nil {
		finish, rejection := s.opts.Gate.admit(ctx, r, accepted)
		if finish == nil {
			writeRejection(w, rejection)
			return metrics.Rejected
		}
		defer func() { finish(info.Served) }()
	}
	if info.Stream != nil {
		w.Header().Set("Connection", "close") // the response may end before the request's body does
	}
	s.proxy.ServeHTTP(w, r.WithContext(ctx))
	switch {
	case info.Served:
		return metrics.Served
	case info.Rejected:
		return metrics.Rejected
	}
	return metrics.Failed
}

// errShutdown is the cause of the end of a request's context when the last response of a shutdown is due. It wraps
// context.DeadlineExceeded so that the request gets the response of an expired deadline: the client's own deadline may
// be long after SIGKILL.
var errShutdown = fmt.Errorf("the proxy ends: %w", context.DeadlineExceeded)

// requestContext returns a request's context. It ends at the client's deadline, which for a streamed body counts from
// the last byte; when clientCtx ends, because the client has disconnected; when a streamed body breaks off; and when
// the last response of a shutdown is due.
func (s *Server) requestContext(clientCtx context.Context, accepted acceptedRequest) (
	context.Context, context.CancelFunc) {
	info := accepted.info
	ctx, cancelDeadline := forwarder.WithRequestInfo(clientCtx, info), func() {}
	if info.Stream == nil {
		ctx, cancelDeadline = context.WithDeadline(ctx, accepted.deadline)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	if info.Stream != nil {
		go info.Stream.WatchDeadline(ctx.Done(), 0,
			func() { cancel(context.DeadlineExceeded) },
			func(err error) { cancel(err) })
	}
	stopWatching := context.AfterFunc(s.abortCtx, func() { cancel(errShutdown) })
	return ctx, func() { stopWatching(); cancel(nil); cancelDeadline() }
}

// abortIncompleteBody aborts the read of a streamed body when its request ends: an attempt that still reads the body
// must stop, and the connection is not used again. If the body broke off, it sets the outcome to that of a disconnect.
func (s *Server) abortIncompleteBody(w http.ResponseWriter, info *forwarder.RequestInfo, outcome *metrics.Outcome) {
	select {
	case <-info.Stream.Ended():
		if _, err := info.Stream.End(); err != nil {
			*outcome = metrics.Canceled
		}
	default:
		_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // fails only on a closed connection
	}
}
