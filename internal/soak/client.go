package soak

import (
	"context"
	"fmt"
	"time"

	"pumiceline/internal/ctxtime"
)

// Rates of the load.
const (
	requestsPerSecond  = 240 // upper bound for all clients together
	minClients         = 48  // total over all proxies
	minClientsPerProxy = 2
	redialInterval     = 100 * time.Millisecond
	honorsClosePeriod  = 2 // every second client honors "Connection: close"; the others keep using the connection
	backToBackPeriod   = 5 // one request in 5 is sent without a pause after the previous response
)

// client sends requests to one proxy on successive connections. It uses a connection until the proxy closes it, then
// connects to the same proxy again. It does so also while the proxy drains, until its process has ended.
type client struct {
	name        string
	node        *node
	recorder    *recorder
	interval    time.Duration // between requests
	honorsClose bool          // closes the connection after a response with "Connection: close"

	number int // of the next request
}

// newClients returns the clients of all proxies.
func newClients(proxies []*node, r *recorder) []*client {
	perProxy := max(minClientsPerProxy, minClients/len(proxies))
	count := perProxy * len(proxies)
	var clients []*client
	for _, proxy := range proxies {
		for i := range perProxy {
			clients = append(clients, &client{
				name: fmt.Sprintf("%s.%d", proxy.Name, i), node: proxy, recorder: r,
				interval: time.Duration(count) * time.Second / requestsPerSecond, honorsClose: i%honorsClosePeriod == 0,
			})
		}
	}
	return clients
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		connection, err := dial(c.node.ClientAddress(), c.recorder.now)
		if err != nil {
			_ = ctxtime.Sleep(ctx, redialInterval) // the loop ends with ctx
			continue
		}
		c.use(ctx, connection)
		_ = connection.conn.Close()
		_ = ctxtime.Sleep(ctx, redialInterval)
	}
}

// use sends requests on a connection until the proxy closes it.
func (c *client) use(ctx context.Context, connection *connection) {
	for ctx.Err() == nil {
		c.number++
		if c.number%backToBackPeriod != 0 {
			isOpen, hasBytes := connection.waitIdle(c.interval)
			if hasBytes {
				c.recordStrayBytes()
			}
			if !isOpen {
				return
			}
		}
		result := c.send(connection)
		if result.outcome != OutcomeComplete || result.closes && c.honorsClose {
			return
		}
	}
}

// send sends the next request and records its outcome.
func (c *client) send(connection *connection) exchange {
	request := newCall(c.name, c.number)
	started := c.recorder.now()
	result := connection.do(request)
	c.record(Request{
		ID: request.id, Node: c.node.Name, Kind: request.kind, StartedAt: started, SentAt: result.sentAt,
		EndedAt: c.recorder.now(), Outcome: result.outcome, Status: result.status, Problem: result.problem,
	})
	return result
}

// recordStrayBytes records bytes that arrived on a connection without an outstanding request.
func (c *client) recordStrayBytes() {
	now := c.recorder.now()
	c.record(Request{
		ID: fmt.Sprintf("%s-%d", c.name, c.number), Node: c.node.Name, Kind: KindReadOnly, StartedAt: now, SentAt: now,
		EndedAt: now, Outcome: OutcomeUnsent, Problem: "bytes on a connection where no request was waiting",
	})
}

func (c *client) record(request Request) {
	c.recorder.edit(func(h *History) { h.Requests = append(h.Requests, request) })
}
