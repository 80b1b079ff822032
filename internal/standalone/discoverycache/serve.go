package discoverycache

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Paths and headers of the cache.
const (
	endpointsPath = "/v1/endpoints" // for proxies
	holderPath    = "/v1/mirror"    // for other caches
	tokenHeader   = "X-Token"       // the holder's fencing token
)

// watchHandler serves one request. Its token is the holder's fencing token, 0 for proxies.
type watchHandler struct {
	cache *Cache
	w     http.ResponseWriter
	token uint64
}

// ServeHTTP implements http.Handler:
//
//	GET /v1/endpoints  for proxies, in the format of discovery; 503 while the copy is not fresh
//	GET /v1/mirror     for other caches, with the version of discovery in each line; 503 unless this is the
//	                   lease holder and its copy is fresh
func (c *Cache) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := &watchHandler{cache: c, w: w}
	mayServe := c.IsFresh
	switch req.URL.Path {
	case endpointsPath:
	case holderPath:
		h.token = c.opts.Holder().Token
		mayServe = h.isHolder
	default:
		http.NotFound(w, req)
		return
	}
	if !mayServe() {
		http.Error(w, "the copy of the roster is not fresh, or this is not its owner", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if h.token != 0 {
		w.Header().Set(tokenHeader, strconv.FormatUint(h.token, 10))
	}
	query := req.URL.Query()
	if query.Get("stream") != "1" {
		_ = h.write(c.since(0)) // fails only if the client has disconnected
		return
	}
	version, _ := strconv.ParseUint(query.Get("index"), 10, 64) // an invalid one is 0: the complete list
	h.stream(req, version, mayServe)
}

// isHolder reports whether this instance still holds the lease that it held when the request arrived, and its copy is
// fresh. A holder whose lease has ended must not send anything more.
func (h *watchHandler) isHolder() bool {
	holder := h.cache.opts.Holder()
	return holder.IsLocal && holder.Token == h.token && h.cache.IsFresh()
}

// write writes one line.
func (h *watchHandler) write(s snapshot) error {
	if h.token != 0 {
		return json.NewEncoder(h.w).Encode(holderUpdate{s.update, s.discoveryVersion})
	}
	return json.NewEncoder(h.w).Encode(s.update)
}

// stream writes the changes after a version, then each further change, and heartbeats between them. It checks mayServe
// at each change and heartbeat. Once mayServe returns false, the response ends, so that the client chooses another
// source without waiting for a timeout.
func (h *watchHandler) stream(req *http.Request, version uint64, mayServe func() bool) {
	next := h.cache.since(version)
	controller, heartbeat := http.NewResponseController(h.w), time.NewTicker(heartbeatInterval/2)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		if first || len(next.update.Entries) > 0 {
			if h.write(next) != nil {
				return
			}
		} else if _, err := fmt.Fprintln(h.w); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-req.Context().Done():
			return
		case <-next.changed:
		case <-heartbeat.C:
		}
		if !mayServe() {
			return
		}
		next = h.cache.since(next.update.Version)
	}
}
