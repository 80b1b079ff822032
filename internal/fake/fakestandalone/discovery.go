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

// keepAliveInterval is how often a watch without changes sends an empty line.
const keepAliveInterval = 2 * time.Second

// Discovery is a fake of the discovery service. Create it with NewDiscovery. It is an http.Handler and safe for
// concurrent use.
type Discovery struct {
	mu      sync.Mutex
	hosts   []discovery.Entry // the current list, in the order in which hosts were added
	changes []discovery.Entry // changes[i] led to version i+1
	changed chan struct{}     // closed at the next change
}

// NewDiscovery returns a discovery that lists the given hosts.
func NewDiscovery(hosts ...discovery.Entry) *Discovery {
	d := &Discovery{changed: make(chan struct{})}
	for _, h := range hosts {
		d.Put(h)
	}
	return d
}

// Put adds a host or replaces its entry. A host whose health is DELETED is removed.
func (d *Discovery) Put(h discovery.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	index := -1
	for i := range d.hosts {
		if d.hosts[i].Host == h.Host {
			index = i
		}
	}
	switch {
	case h.Health == discovery.HealthDeleted && index >= 0:
		d.hosts = append(d.hosts[:index:index], d.hosts[index+1:]...)
	case h.Health == discovery.HealthDeleted:
		return
	case index >= 0:
		d.hosts[index] = h
	default:
		d.hosts = append(d.hosts, h)
	}
	d.changes = append(d.changes, h)
	close(d.changed)
	d.changed = make(chan struct{})
}

// update is a line of a watch, and the response to a request for the list.
type update struct {
	Seq   int               `json:"seq"`   // the version
	Full  bool              `json:"whole"` // Hosts is the full list; otherwise the changes since the previous line
	Hosts []discovery.Entry `json:"hosts"`
}

// updateSince returns the changes after a version, or the full list if the version is 0 or unknown, and a channel that
// is closed at the next change.
func (d *Discovery) updateSince(version int) (update, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := update{Seq: len(d.changes)}
	if version <= 0 || version > len(d.changes) {
		u.Full, u.Hosts = true, append([]discovery.Entry{}, d.hosts...)
	} else {
		u.Hosts = append([]discovery.Entry{}, d.changes[version:]...)
	}
	return u, d.changed
}

// ServeHTTP answers GET /v1/endpoints with the full list. With stream=1 and index=N it answers with a watch: the
// changes after version N, or the full list if N is 0 or unknown, and then every further change.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/v1/endpoints" {
		http.NotFound(w, req)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	query := req.URL.Query()
	if query.Get("stream") != "1" {
		u, _ := d.updateSince(0)
		_ = json.NewEncoder(w).Encode(u) // fails if the client has disconnected
		return
	}
	version, _ := strconv.Atoi(query.Get("index")) // 0, for the full list, if it is not a number
	d.serveWatch(w, req, version)
}

// serveWatch sends updates, and empty lines between them, until the client disconnects.
func (d *Discovery) serveWatch(w http.ResponseWriter, req *http.Request, version int) {
	u, changed := d.updateSince(version)
	response, keepAlive := http.NewResponseController(w), time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for first := true; ; first = false {
		if first || len(u.Hosts) > 0 {
			if json.NewEncoder(w).Encode(u) != nil {
				return
			}
		}
		if response.Flush() != nil {
			return
		}
		version = u.Seq
		select {
		case <-req.Context().Done():
			return
		case <-changed:
			u, changed = d.updateSince(version)
		case <-keepAlive.C:
			fmt.Fprintln(w)
			u.Hosts = nil // they were sent already
		}
	}
}
