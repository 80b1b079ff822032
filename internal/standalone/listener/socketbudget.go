package listener

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// socketBudget tracks the open client sockets and their states, chooses which to evict when there are too many, and
// closes them at shutdown.
type socketBudget struct {
	guaranteed int        // sockets that may always be open
	limit      func() int // sockets that may be open now

	mu     sync.Mutex
	open   map[net.Conn]*trackedConn
	idle   int // in state http.StateIdle: between two requests
	unused int // in state http.StateNew: have brought nothing yet
}

// trackedConn is the state of an open socket, and since when it has it.
type trackedConn struct {
	state http.ConnState
	since time.Time
}

const (
	// unusedEvictionAge is how long a new connection may take for its first byte before it can be evicted.
	unusedEvictionAge = 20 * time.Millisecond
	// usedSocketsFraction of the guaranteed sockets may be ones that have had a request before responses close their
	// connections: three quarters of a third of all descriptors.
	usedSocketsFraction = 0.45
	// minIdleSockets are kept open in any case.
	minIdleSockets = 4
)

// newSocketBudget returns a budget of guaranteed sockets, or of what limit returns if it is not nil.
func newSocketBudget(guaranteed int, limit func() int) *socketBudget {
	if limit == nil {
		limit = func() int { return guaranteed }
	}
	return &socketBudget{guaranteed: guaranteed, limit: limit, open: map[net.Conn]*trackedConn{}}
}

// count returns how many sockets are open.
func (b *socketBudget) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open)
}

// onConnState is the HTTP server's ConnState hook.
func (b *socketBudget) onConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*clientConn); ok && state == http.StateIdle {
		c.phase.Store(phaseIdle)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(nc)
	if state == http.StateClosed || state == http.StateHijacked {
		return
	}
	switch state {
	case http.StateIdle:
		b.idle++
	case http.StateNew:
		b.unused++
	}
	b.open[nc] = &trackedConn{state: state, since: time.Now()}
}

// forget stops tracking a socket. Called with mu held.
func (b *socketBudget) forget(nc net.Conn) {
	if tracked := b.open[nc]; tracked != nil {
		switch tracked.state {
		case http.StateIdle:
			b.idle--
		case http.StateNew:
			b.unused--
		}
	}
	delete(b.open, nc)
}

// shouldShedKeepAlive reports whether so many keep-alive connections are open that responses should close theirs.
// Clients that send one request and keep their connection use up what the load balancer in front may hold, a third of
// the descriptors, and then no other client can connect. Below that nothing is closed: a client that returns would need
// a new connection, which costs most when CPU is short.
func (b *socketBudget) shouldShedKeepAlive() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.idle > minIdleSockets && float64(len(b.open)-b.unused) > usedSocketsFraction*float64(b.guaranteed)
}

// evict closes one socket without a request and reports whether there was one: a socket that only lingers after its
// close, else the longest unused, else the longest idle. Unused sockets come by the hundred and must not displace
// those of regular clients. A socket on which a request has begun stays: if it were closed, a request that is
// complete by then would be lost. The descriptor is free when evict returns.
func (b *socketBudget) evict() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var unused, idle []*clientConn
	for nc, tracked := range b.open {
		c := nc.(*clientConn)
		switch {
		case c.lingering.Load():
			b.closeNow(c)
			return true
		case tracked.state == http.StateIdle:
			idle = append(idle, c)
		case tracked.state == http.StateNew && time.Since(tracked.since) >= unusedEvictionAge:
			unused = append(unused, c)
		}
	}
	return b.closeOldest(unused) || b.closeOldest(idle)
}

// closeOldest closes the socket that has been in its state for longest and on which no request has begun, and reports
// whether there was one. Called with mu held.
func (b *socketBudget) closeOldest(conns []*clientConn) bool {
	slices.SortFunc(conns, func(x, y *clientConn) int { return b.open[x].since.Compare(b.open[y].since) })
	for _, c := range conns {
		if c.endIfIdle(false) {
			b.closeNow(c)
			return true
		}
	}
	return false
}

// closeNow closes a socket without lingering. Called with mu held.
func (b *socketBudget) closeNow(c *clientConn) {
	c.Conn.Close()
	b.forget(c)
}

// drain returns once all sockets are closed: each by its last response, or by drain if it has no request. One on
// which a request has begun is not closed before lastResponse, as its client would have to send it again; from then
// on incomplete requests are no longer waited for.
func (b *socketBudget) drain(lastResponse time.Time) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for ; b.count() > 0; <-ticker.C {
		b.closeWithoutRequest(lastResponse)
	}
}

// closeWithoutRequest is one pass of drain.
func (b *socketBudget) closeWithoutRequest(lastResponse time.Time) {
	now := time.Now()
	isPastLast := !now.Before(lastResponse)
	lingerEnd := lastResponse.Add(lingerAfterLastResponse)
	lingerUntil := now.Add(lingerTimeout)
	if lingerUntil.After(lingerEnd) {
		lingerUntil = lingerEnd
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for nc, tracked := range b.open {
		c := nc.(*clientConn)
		isUnused := tracked.state == http.StateNew && (isPastLast || now.Sub(tracked.since) >= unusedShutdownAge)
		switch {
		case c.lingering.Load() && !now.Before(lingerEnd):
			c.Conn.Close()
		case tracked.state == http.StateIdle || isUnused:
			c.closeGracefully(lingerUntil, isPastLast)
		}
	}
}
