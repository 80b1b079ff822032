package listener

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// connTracker tracks the open client connections and their states, chooses which to evict when there are too many, and
// closes them at shutdown. All its connections are *clientConn.
type connTracker struct {
	guaranteed int        // sockets that may always be open
	limit      func() int // sockets that may be open now

	mu     sync.Mutex
	open   map[net.Conn]*connState
	idle   int // in state http.StateIdle: between two requests
	unused int // in state http.StateNew: no complete request head received yet
}

// connState is the state of an open connection, and the time at which it entered the state.
type connState struct {
	state http.ConnState
	since time.Time
}

const (
	// unusedEvictionAge is how long a new connection may take to send its first byte before it can be evicted.
	unusedEvictionAge = 20 * time.Millisecond
	// usedSocketsFraction is the fraction of the guaranteed sockets that may have had a request before responses begin
	// to close their connections. The guaranteed sockets are 0.55 of the proxy's file descriptors (package server), so
	// this is about a quarter of all descriptors: three quarters of the third that the load balancer in front may use.
	usedSocketsFraction = 0.45
	// minIdleSockets is how many idle connections are kept open in any case.
	minIdleSockets = 4
)

// newConnTracker returns a tracker whose limit is what limit returns, or guaranteed if limit is nil.
func newConnTracker(guaranteed int, limit func() int) *connTracker {
	if limit == nil {
		limit = func() int { return guaranteed }
	}
	return &connTracker{guaranteed: guaranteed, limit: limit, open: map[net.Conn]*connState{}}
}

// count returns how many sockets are open.
func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// onConnState is the HTTP server's ConnState hook.
func (t *connTracker) onConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*clientConn); ok && state == http.StateIdle {
		c.phase.Store(phaseIdle)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.untrack(nc)
	if state == http.StateClosed || state == http.StateHijacked {
		return
	}
	switch state {
	case http.StateIdle:
		t.idle++
	case http.StateNew:
		t.unused++
	}
	t.open[nc] = &connState{state: state, since: time.Now()}
}

// untrack stops tracking a socket. Called with mu held.
func (t *connTracker) untrack(nc net.Conn) {
	if tracked := t.open[nc]; tracked != nil {
		switch tracked.state {
		case http.StateIdle:
			t.idle--
		case http.StateNew:
			t.unused--
		}
	}
	delete(t.open, nc)
}

// shouldShedKeepAlive reports whether so many keep-alive connections are open that responses should close their
// connections. Otherwise clients that send one request and keep their connection could use up the connections that the
// load balancer in front may open, a third of the descriptors, and no other client could connect. With fewer open,
// connections are kept: a client that sends another request would need a new one, which costs most when CPU is short.
func (t *connTracker) shouldShedKeepAlive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle > minIdleSockets && float64(len(t.open)-t.unused) > usedSocketsFraction*float64(t.guaranteed)
}

// evict closes one socket without a request and reports whether there was one: a socket that only lingers after its
// close, else the longest unused, else the longest idle. Unused sockets come before idle ones because they may arrive
// by the hundred, and must not displace the idle sockets of regular clients. A socket on which a request has begun
// stays open: the rest of the request may be on the way, and the request would be lost. The descriptor is free when
// evict returns.
func (t *connTracker) evict() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unused, idle []*clientConn
	for nc, tracked := range t.open {
		c := nc.(*clientConn)
		switch {
		case c.lingering.Load():
			t.closeNow(c)
			return true
		case tracked.state == http.StateIdle:
			idle = append(idle, c)
		case tracked.state == http.StateNew && time.Since(tracked.since) >= unusedEvictionAge:
			unused = append(unused, c)
		}
	}
	return t.closeOldest(unused) || t.closeOldest(idle)
}

// closeOldest closes the socket that has been in its state for longest and on which no request has begun, and reports
// whether there was one. Called with mu held.
func (t *connTracker) closeOldest(conns []*clientConn) bool {
	slices.SortFunc(conns, func(x, y *clientConn) int { return t.open[x].since.Compare(t.open[y].since) })
	for _, c := range conns {
		if c.endIfIdle() {
			t.closeNow(c)
			return true
		}
	}
	return false
}

// closeNow closes a socket without lingering. Called with mu held.
func (t *connTracker) closeNow(c *clientConn) {
	c.Conn.Close()
	t.untrack(c)
}

// drain returns once all sockets are closed. A socket with a request is closed after its last response; drain closes
// those without a request. A socket on which a part of a request's head has arrived is not closed before lastResponse,
// as its client would have to send the request again; from lastResponse on drain closes those too.
func (t *connTracker) drain(lastResponse time.Time) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for ; t.count() > 0; <-ticker.C {
		t.closeWithoutRequest(lastResponse)
	}
}

// closeWithoutRequest makes one pass of drain over the open sockets.
func (t *connTracker) closeWithoutRequest(lastResponse time.Time) {
	now := time.Now()
	isPastLast := !now.Before(lastResponse)
	lingerEnd := lastResponse.Add(lingerAfterLastResponse)
	lingerUntil := now.Add(lingerTimeout)
	if lingerUntil.After(lingerEnd) {
		lingerUntil = lingerEnd
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for nc, tracked := range t.open {
		c := nc.(*clientConn)
		isUnused := tracked.state == http.StateNew && (isPastLast || now.Sub(tracked.since) >= unusedShutdownAge)
		switch {
		case c.lingering.Load() && !now.Before(lingerEnd):
			c.Conn.Close()
		case tracked.state != http.StateIdle && !isUnused:
		case isPastLast && c.end(), !isPastLast && c.endIfIdle():
			c.closeGracefully(lingerUntil)
		}
	}
}
