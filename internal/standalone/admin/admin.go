// Package admin is the operators' door: one call to a connection, answered within a second whatever the load. It has few
// descriptors of its own, apart from those of clients and destinations, and a caller that keeps a place without saying
// anything loses it to the next.
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
	"sync"
	"time"

	"pumiceline/internal/standalone/maintenance"
)

const (
	// requestTimeout is what a caller has for its whole call, from the connection's coming.
	requestTimeout = time.Second
	// responseTimeout is what it has to take the answer in, from there.
	responseTimeout = 3 * time.Second
	maxBodyBytes    = 4 << 10
	maxHeaderBytes  = 8 << 10
)

// Options are what the door needs to know.
type Options struct {
	Ready          func() error            // nil when this process can serve, else the reason why not
	Disable        func(host string) error // nil once the host is out; suspension.ErrUnknownBackend for one that was never listed
	Enable         func(host string) error // nil once it is back
	Metrics        http.Handler
	MaxConnections int // connections that there may be at once, 1 at least
	Log            *slog.Logger
}

// API answers operators.
type API struct {
	opts   Options
	server *http.Server

	mu    sync.Mutex
	conns []*conn // by their coming
}

// conn is one connection. It may make way until its call is whole.
type conn struct {
	net.Conn
	api             *API
	requestComplete bool
}

// Close gives the place free.
func (c *conn) Close() error {
	c.api.remove(c)
	return c.Conn.Close()
}

type connKey struct{}

// New returns a door that does not listen yet.
func New(opts Options) *API {
	d := &API{opts: opts}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", d.readyz)
	mux.Handle("GET /v1/metrics", opts.Metrics)
	mux.HandleFunc("POST /v1/backends/{id}/suspend", d.maintenanceHandler("suspended", opts.Disable))
	mux.HandleFunc("POST /v1/backends/{id}/resume", d.maintenanceHandler("resumed", opts.Enable))
	d.server = &http.Server{Handler: d.requireCompleteRequest(mux), ReadHeaderTimeout: requestTimeout, ReadTimeout: requestTimeout,
		WriteTimeout: requestTimeout + responseTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:    slog.NewLogLogger(opts.Log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	d.server.SetKeepAlivesEnabled(false)
	return d
}

// Serve answers callers on ln until ctx ends.
func (d *API) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { d.server.Close() })
	defer stop()
	if err := d.server.Serve(&listener{ln, d}); ctx.Err() == nil {
		return fmt.Errorf("operators' door: %w", err)
	}
	return nil
}

// listener lets the one that has waited longest make way where all places are taken.
type listener struct {
	net.Listener
	api *API
}

// Accept returns the next caller.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, api: l.api}
		if l.api.admit(c) {
			return c, nil
		}
		nc.Close()
	}
}

// admit takes in a caller. With all places taken by whole calls there is no room: they are answered within moments.
func (d *API) admit(c *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) >= max(1, d.opts.MaxConnections) {
		at := -1
		for i, o := range d.conns {
			if !o.requestComplete {
				at = i
				break
			}
		}
		if at < 0 {
			return false
		}
		d.conns[at].Conn.Close() // the descriptor is free once this returns; its server goroutine ends by itself
		d.conns = append(d.conns[:at], d.conns[at+1:]...)
	}
	d.conns = append(d.conns, c)
	return true
}

func (d *API) remove(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, o := range d.conns {
		if o == c {
			d.conns = append(d.conns[:i], d.conns[i+1:]...)
			return
		}
	}
}

// requireCompleteRequest lets only whole calls on: half of one must have no effect.
func (d *API) requireCompleteRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
			http.Error(w, "the body is too long or did not come whole", http.StatusBadRequest)
			return
		}
		if p := r.URL.EscapedPath(); path.Clean(p) != p { // the mux would redirect, which is neither yes nor no
			http.NotFound(w, r)
			return
		}
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			d.mu.Lock()
			c.requestComplete = true
			d.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// maintenanceHandler carries out a call that names a host.
func (d *API) maintenanceHandler(done string, do func(host string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		host := r.PathValue("id")
		err := do(host)
		switch {
		case errors.Is(err, maintenance.ErrUnknownBackend):
			http.Error(w, err.Error(), http.StatusNotFound)
		case errors.Is(err, maintenance.ErrTooManyDisabled):
			http.Error(w, err.Error(), http.StatusConflict)
		case err != nil: // in force, but a process that comes later would not know of it
			d.opts.Log.Error("an operator's call could not be written down", "host", host, "error", err)
			http.Error(w, "in force here, but not written down: "+err.Error(), http.StatusInternalServerError)
		default:
			d.opts.Log.Info("an operator's call", "host", host, "done", done)
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			fmt.Fprintf(w, "%s %s\n", host, done)
		}
	}
}

func (d *API) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := d.opts.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintln(w, "ready")
}
