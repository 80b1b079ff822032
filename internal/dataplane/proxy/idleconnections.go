package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleGrace is added to the operator's limit. Without it the proxy could close a connection while a client that keeps
// to the limit sends a request on it.
const idleGrace = 1 * time.Second

// pastDeadline is a read deadline in the past: a pending read by the server fails at once.
var pastDeadline = time.Unix(1, 0)

// idleConnections closes client connections that have been idle for longer than the limit of the current configuration,
// which may change at any time. The zero value is ready to use. All methods may be called from any goroutine.
type idleConnections struct {
	mutex sync.Mutex
	since map[net.Conn]time.Time // when each idle connection became idle
}

// track is the server's ConnState callback.
func (c *idleConnections) track(conn net.Conn, state http.ConnState) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.since == nil {
		c.since = map[net.Conn]time.Time{}
	}
	if state == http.StateIdle {
		c.since[conn] = now
		return
	}
	delete(c.since, conn)
}

// closeExpired closes the connections that have been idle for longer than limit plus idleGrace; 0 is no limit. It
// makes the pending read fail, and the server closes a connection whose read fails while it waits for a request. If a
// request has just begun, the server sets another read deadline, so the request is not interrupted.
func (c *idleConnections) closeExpired(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn, since := range c.since {
		if now.Sub(since) > limit+idleGrace {
			_ = conn.SetReadDeadline(pastDeadline) // it fails only on a closed connection
			delete(c.since, conn)
		}
	}
}
