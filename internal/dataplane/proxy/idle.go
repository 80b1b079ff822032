package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleGrace is added to the operator's limit, so that a client that keeps to it never meets the end of its connection.
const idleGrace = 1 * time.Second

// longPast is a read deadline that wakes the server's reader at once.
var longPast = time.Unix(1, 0)

// idleConnections ends clients' connections that have rested beyond the limit in force, which may change at any time.
type idleConnections struct {
	mutex sync.Mutex
	since map[net.Conn]time.Time
}

// track is told of each change of a connection's state.
func (c *idleConnections) track(conn net.Conn, state http.ConnState) {
	c.note(conn, state, time.Now())
}

func (c *idleConnections) note(conn net.Conn, state http.ConnState, now time.Time) {
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

// closeExpired ends what has rested for longer than limit; 0 is no limit. The server closes a connection whose reading
// ends while it waits for a request, and one that has begun a request sets a deadline of its own.
func (c *idleConnections) closeExpired(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn, since := range c.since {
		if now.Sub(since) > limit+idleGrace {
			_ = conn.SetReadDeadline(longPast) // it fails only on a connection that is closed
			delete(c.since, conn)
		}
	}
}
