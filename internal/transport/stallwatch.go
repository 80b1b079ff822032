package transport

import (
	"context"
	"io"
	"net"
	"time"
)

const (
	// maxResponsePause is the longest pause within a response that has begun to arrive. Where many responses share a
	// link, each waits for the others' bytes.
	maxResponsePause = userTimeout
	// maxResponseTime bounds a response of which bytes keep arriving.
	maxResponseTime = 10 * time.Second
)

// now returns the time since the client was created.
func (c *Client) now() time.Duration { return time.Since(c.created) }

// progressReader records in its client when bytes arrive.
type progressReader struct {
	reader io.Reader
	client *Client
}

// Read reads from the connection.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.client.received.Store(int64(r.client.now()))
	}
	return n, err
}

// stallWatch closes a connection on which no bytes of a response arrive for a time. All times are since the client was
// created.
type stallWatch struct {
	client  *Client
	began   time.Duration
	timeout time.Duration
	done    chan struct{}
}

// newStallWatch makes a watch for a response that should begin to arrive within timeout from now.
func newStallWatch(client *Client, timeout time.Duration) *stallWatch {
	return &stallWatch{client: client, began: client.now(), timeout: timeout, done: make(chan struct{})}
}

// run watches a connection until stop is called. It closes the connection when ctx ends, when no bytes arrive within the
// time-out, when they pause for too long, and maxResponseTime after the beginning.
func (w *stallWatch) run(ctx context.Context, conn net.Conn) {
	timer := time.NewTimer(w.timeLeft(0, w.client.now()))
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-ctx.Done():
			w.client.drop(conn)
			return
		case <-timer.C:
		}
		left := w.timeLeft(time.Duration(w.client.received.Load()), w.client.now())
		if left <= 0 {
			w.client.drop(conn)
			return
		}
		timer.Reset(left)
	}
}

// timeLeft returns how much longer the response may pause. received is when bytes last arrived.
func (w *stallWatch) timeLeft(received, now time.Duration) time.Duration {
	if received <= w.began {
		return w.began + w.timeout - now
	}
	pauseEnd := received + max(w.timeout, maxResponsePause)
	return min(pauseEnd, w.began+maxResponseTime) - now
}

func (w *stallWatch) stop() { close(w.done) }
