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
	// callWithin is what a caller has for its whole call, from the connection's coming.
	callWithin = time.Second
	// answerWithin is what it has to take the answer in, from there.
	answerWithin = 3 * time.Second
	mostBody     = 4 << 10
	mostHead     = 8 << 10
)

// Options are what the door needs to know.
type Options struct {
	Ready   func() error            // nil when this process can serve, else the reason why not
	Suspend func(host string) error // nil once the host is out; suspension.ErrUnknown for one that was never listed
	Resume  func(host string) error // nil once it is back
	Metrics http.Handler
	Most    int // connections that there may be at once, 1 at least
	Log     *slog.Logger
}

// Door answers operators.
type Door struct {
	opts   Options
	server *http.Server

	mu    sync.Mutex
	order []*caller // by their coming
}

// caller is one connection. It may make way until its call is whole.
type caller struct {
	net.Conn
	door  *Door
	whole bool
}

// Close gives the place free.
func (c *caller) Close() error {
	c.door.drop(c)
	return c.Conn.Close()
}

type callerKey struct{}

// New returns a door that does not listen yet.
func New(opts Options) *Door {
	d := &Door{opts: opts}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", d.readyz)
	mux.Handle("GET /v1/metrics", opts.Metrics)
	mux.HandleFunc("POST /v1/backends/{id}/suspend", d.hand("suspended", opts.Suspend))
	mux.HandleFunc("POST /v1/backends/{id}/resume", d.hand("resumed", opts.Resume))
	d.server = &http.Server{Handler: d.whole(mux), ReadHeaderTimeout: callWithin, ReadTimeout: callWithin,
		WriteTimeout: callWithin + answerWithin, MaxHeaderBytes: mostHead,
		ErrorLog:    slog.NewLogLogger(opts.Log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, callerKey{}, c) }}
	d.server.SetKeepAlivesEnabled(false)
	return d
}

// Serve answers callers on ln until ctx ends.
func (d *Door) Serve(ctx context.Context, ln net.Listener) error {
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
	door *Door
}

// Accept returns the next caller.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &caller{Conn: nc, door: l.door}
		if l.door.admit(c) {
			return c, nil
		}
		nc.Close()
	}
}

// admit takes in a caller. With all places taken by whole calls there is no room: they are answered within moments.
func (d *Door) admit(c *caller) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.order) >= max(1, d.opts.Most) {
		at := -1
		for i, o := range d.order {
			if !o.whole {
				at = i
				break
			}
		}
		if at < 0 {
			return false
		}
		d.order[at].Conn.Close() // the descriptor is free once this returns; its server goroutine ends by itself
		d.order = append(d.order[:at], d.order[at+1:]...)
	}
	d.order = append(d.order, c)
	return true
}

func (d *Door) drop(c *caller) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, o := range d.order {
		if o == c {
			d.order = append(d.order[:i], d.order[i+1:]...)
			return
		}
	}
}

// whole lets only whole calls on: half of one must have no effect.
func (d *Door) whole(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, mostBody)); err != nil {
			http.Error(w, "the body is too long or did not come whole", http.StatusBadRequest)
			return
		}
		if p := r.URL.EscapedPath(); path.Clean(p) != p { // the mux would redirect, which is neither yes nor no
			http.NotFound(w, r)
			return
		}
		if c, ok := r.Context().Value(callerKey{}).(*caller); ok {
			d.mu.Lock()
			c.whole = true
			d.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// hand carries out a call that names a host.
func (d *Door) hand(done string, do func(host string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		host := r.PathValue("id")
		err := do(host)
		switch {
		case errors.Is(err, maintenance.ErrUnknown):
			http.Error(w, err.Error(), http.StatusNotFound)
		case errors.Is(err, maintenance.ErrFull):
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

func (d *Door) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := d.opts.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintln(w, "ready")
}
