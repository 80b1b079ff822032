package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleGrace is added to the operator's limit, so that a client that keeps to the limit never finds its connection
// closed.
const idleGrace = 1 * time.Second

// longPast is a read deadline that wakes the server's reader at once.
var longPast = time.Unix(1, 0)

// idleConnections closes clients' connections that have been idle beyond the limit in force, which may change at any
// time. The zero value is ready; all methods may be called from any goroutine.
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

// closeExpired closes the connections that have been idle for longer than limit; 0 is no limit. The server closes a
// connection whose read fails while it waits for a request; for one that has begun a request it sets another deadline.
func (c *idleConnections) closeExpired(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn, since := range c.since {
		if now.Sub(since) > limit+idleGrace {
			_ = conn.SetReadDeadline(longPast) // it fails only on a closed connection
			delete(c.since, conn)
		}
	}
}
