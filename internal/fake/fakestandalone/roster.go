// Package fakestandalone holds stand-ins on sockets for what surrounds the proxy: the roster, destinations and clients. They
// follow the published protocol and are for trying the proxy and for tests, on loopback addresses.
package fakestandalone

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pumiceline/internal/standalone/discovery"
)

// keepAliveInterval is how often a watch says that nothing has changed.
const keepAliveInterval = 2 * time.Second

// Discovery is discovery. Create it with NewDiscovery; it is an http.Handler and safe for concurrent use.
type Discovery struct {
	mu      sync.Mutex
	hosts   []discovery.Entry // the present list, in the order of coming
	changes []discovery.Entry // change i made version i+1
	changed chan struct{}
}

// NewDiscovery returns a roster that lists the given hosts.
func NewDiscovery(hosts ...discovery.Entry) *Discovery {
	r := &Discovery{changed: make(chan struct{})}
	for _, h := range hosts {
		r.Put(h)
	}
	return r
}

// Put lists a host, or changes what is listed of it. A host whose health is DELETED leaves the list.
func (r *Discovery) Put(h discovery.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := -1
	for i := range r.hosts {
		if r.hosts[i].Host == h.Host {
			at = i
		}
	}
	switch {
	case h.Health == "DELETED" && at >= 0:
		r.hosts = append(r.hosts[:at:at], r.hosts[at+1:]...)
	case h.Health == "DELETED":
		return
	case at >= 0:
		r.hosts[at] = h
	default:
		r.hosts = append(r.hosts, h)
	}
	r.changes = append(r.changes, h)
	close(r.changed)
	r.changed = make(chan struct{})
}

type update struct {
	Seq   int               `json:"seq"`
	Full  bool              `json:"whole"`
	Hosts []discovery.Entry `json:"hosts"`
}

// since is what changed after a version, or the whole list where the version is none of ours, and a channel that closes
// at the next change.
func (r *Discovery) since(version int) (update, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := update{Seq: len(r.changes)}
	if version <= 0 || version > len(r.changes) {
		l.Full, l.Hosts = true, append([]discovery.Entry{}, r.hosts...)
	} else {
		l.Hosts = append([]discovery.Entry{}, r.changes[version:]...)
	}
	return l, r.changed
}

// ServeHTTP answers GET /v1/endpoints with the whole list, and with stream=1 and index=N with what changes after N.
func (r *Discovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/v1/endpoints" {
		http.NotFound(w, req)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	query := req.URL.Query()
	if query.Get("stream") != "1" {
		l, _ := r.since(0)
		_ = json.NewEncoder(w).Encode(l) // a caller that has gone needs no answer
		return
	}
	version, _ := strconv.Atoi(query.Get("index")) // what is no number gets the whole list
	l, changed := r.since(version)
	lines, beat := http.NewResponseController(w), time.NewTicker(keepAliveInterval)
	defer beat.Stop()
	for first := true; ; first = false {
		if first || len(l.Hosts) > 0 {
			if json.NewEncoder(w).Encode(l) != nil {
				return
			}
		}
		if lines.Flush() != nil {
			return
		}
		version = l.Seq
		select {
		case <-req.Context().Done():
			return
		case <-changed:
			l, changed = r.since(version)
		case <-beat.C:
			fmt.Fprintln(w)
			l.Hosts = nil
		}
	}
}
