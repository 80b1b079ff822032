// Package admin is the admin API for operators: readiness, metrics, and disabling of backends. Each connection carries
// one request, which is answered within a second at any load of the proxy. For this the API has a few connections of
// its own, apart from those of clients and backends. When all are in use, the oldest one without a complete request is
// closed to make room for a new one.
package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path"
	"time"

	"pumiceline/internal/logkey"
	"pumiceline/internal/standalone/maintenance"
)

const (
	// requestTimeout bounds the time from the start of a connection to the last byte of its request.
	requestTimeout = time.Second
	// responseTimeout is how long a client may then take to read the response.
	responseTimeout = 3 * time.Second
	// maxBodyBytes and maxHeaderBytes bound the size of a request.
	maxBodyBytes   = 4 << 10
	maxHeaderBytes = 8 << 10
)

// Options configure an API.
type Options struct {
	Ready          func() error // returns nil if this process can serve, else the reason
	Metrics        http.Handler
	Disable        func(backend string) error // discovery.Watcher.Disable, except in tests
	Enable         func(backend string) error // discovery.Watcher.Enable
	MaxConnections int                        // at once; less than 1 counts as 1
	Log            *slog.Logger
}

// API serves the admin API.
type API struct {
	opts   Options
	server *http.Server
	conns  *connLimiter
}

// New returns an API that does not listen yet.
func New(opts Options) *API {
	a := &API{opts: opts, conns: newConnLimiter(opts.MaxConnections)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", a.readyz)
	mux.Handle("GET /v1/metrics", opts.Metrics)
	mux.HandleFunc("POST /v1/backends/{id}/suspend", a.maintenanceHandler("suspended", opts.Disable))
	mux.HandleFunc("POST /v1/backends/{id}/resume", a.maintenanceHandler("resumed", opts.Enable))
	a.server = &http.Server{
		Handler:           requireCompleteRequest(mux),
		ReadHeaderTimeout: requestTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout + responseTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(opts.Log.Handler(), slog.LevelDebug),
		ConnContext:       withConn,
	}
	a.server.SetKeepAlivesEnabled(false)
	return a
}

// Serve serves clients from ln until ctx ends.
func (a *API) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { a.server.Close() })
	defer stop()
	if err := a.server.Serve(&listener{ln, a.conns}); ctx.Err() == nil {
		return fmt.Errorf("serve admin API: %w", err)
	}
	return nil
}

// requireCompleteRequest passes only complete requests to next: a request that is cut off must have no effect.
func requireCompleteRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
			http.Error(w, "the body is too long or did not come whole", http.StatusBadRequest)
			return
		}
		if p := r.URL.EscapedPath(); path.Clean(p) != p { // the mux would redirect, which a client may take for success
			http.NotFound(w, r)
			return
		}
		if c := connFrom(r.Context()); c != nil {
			c.markRequestComplete()
		}
		next.ServeHTTP(w, r)
	})
}

// maintenanceHandler returns a handler that calls change to disable or enable the backend that a request names. The
// response to the operator contains result.
func (a *API) maintenanceHandler(result string, change func(backend string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		backend := r.PathValue("id")
		err := change(backend)
		switch {
		case errors.Is(err, maintenance.ErrUnknownBackend):
			http.Error(w, err.Error(), http.StatusNotFound)
		case errors.Is(err, maintenance.ErrTooManyDisabled):
			http.Error(w, err.Error(), http.StatusConflict)
		case err != nil: // applied here, but not stored: other processes and a successor cannot read it
			a.opts.Log.Error("maintenance state not stored", logkey.Backend, backend, "error", err)
			http.Error(w, "in force here, but not written down: "+err.Error(), http.StatusInternalServerError)
		default:
			a.opts.Log.Info("maintenance request", logkey.Backend, backend, "result", result)
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			fmt.Fprintf(w, "%s %s\n", backend, result)
		}
	}
}

// readyz answers 200 if this process can serve, else 503 with the reason.
func (a *API) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := a.opts.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintln(w, "ready")
}
