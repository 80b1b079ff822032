// Package toy is a small stand-in for what surrounds the proxy: discovery, and destinations that answer every
// request. It is for trying the proxy and for its end-to-end test, not for measuring.
package toy

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pumiceline/internal/pool"
)

// heartbeat is how often a watch says that nothing has changed.
const heartbeat = 2 * time.Second

type list struct {
	Seq   int          `json:"seq"`
	Whole bool         `json:"whole"`
	Hosts []pool.Entry `json:"hosts"`
}

// Serve runs discovery on one listener and a destination on each of the others until ctx ends. Destinations
// stand in the given site and take the given time for an answer.
func Serve(ctx context.Context, discovery net.Listener, destinations []net.Listener, site string, work func()) error {
	all := list{Seq: 1, Whole: true}
	ended := make(chan error, len(destinations)+1)
	run := func(ln net.Listener, h http.Handler) {
		server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
		context.AfterFunc(ctx, func() { server.Close() })
		go func() { ended <- server.Serve(ln) }()
	}
	for i, ln := range destinations {
		name := fmt.Sprintf("toy-%d", i+1)
		all.Hosts = append(all.Hosts, pool.Entry{Host: name, Dial: ln.Addr().String(), Site: site, Class: "std-8", Block: 1,
			Health: "SERVING", Share: 1})
		run(ln, &destination{name: name, work: work})
	}
	run(discovery, all)
	select {
	case err := <-ended:
		return fmt.Errorf("toy: %w", err)
	case <-ctx.Done():
		return nil
	}
}

// ServeHTTP is discovery: the whole list, at once or as the beginning of a watch.
func (l list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(l) != nil || r.URL.Query().Get("stream") != "1" {
		return // the proxy is gone, or wanted no watch
	}
	lines := http.NewResponseController(w)
	for lines.Flush() == nil {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(heartbeat):
			fmt.Fprintln(w)
		}
	}
}

type destination struct {
	name   string
	work   func()
	served atomic.Int64
}

func (d *destination) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Correlation-Id") == "" {
		http.NotFound(w, r)
		return
	}
	d.work()
	w.Header().Set("X-Backend-Load", "TEXT util=0.2, qps=10, eps=0")
	fmt.Fprintf(w, "%s answers %s %s, its request number %d; the proxy waits %s ms\n", d.name, r.Method,
		r.URL.RequestURI(), d.served.Add(1), r.Header.Get("X-Time-Left-Ms"))
}
