package listener

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// How a client has to keep its body coming. Times are those in which the proxy reads: a client that is held back, because the
// destination is slow, isn't slow itself.
const (
	firstBytesTimeout     = 2 * time.Second // for the first bytes
	minBodyBytesPerSecond = 32_000          // bytes a second on the whole from there: half of what slow clients send
	maxBodyPause          = 5 * time.Second // the longest without a byte, however much came before
)

// writeStallTimeout is how long a client may take nothing of an answer.
const writeStallTimeout = 10 * time.Second

var errBodyTooSlow = errors.New("the body comes too slowly")

// pacedBody reads a body that has to keep coming.
type pacedBody struct {
	body     io.Reader
	conn     *http.ResponseController
	received int64
	readTime time.Duration
}

// Read reads on, and leaves the connection without a read deadline once the body has ended.
func (p *pacedBody) Read(b []byte) (int, error) {
	allow := min(firstBytesTimeout+time.Duration(p.received)*time.Second/minBodyBytesPerSecond-p.readTime, maxBodyPause)
	if allow <= 0 {
		return 0, errBodyTooSlow
	}
	start := time.Now()
	if err := p.conn.SetReadDeadline(start.Add(allow)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.readTime += time.Since(start)
	p.received += int64(n)
	if err != nil {
		_ = p.conn.SetReadDeadline(time.Time{}) // a connection that can't take it is over
	}
	return n, err
}

// responseWriter writes an answer to a client that may take its time, but must not stop. What is short goes out with the first write,
// mostly into the system's buffers, and needs no watch.
type responseWriter struct {
	http.ResponseWriter
	conn        *http.ResponseController
	headSent    bool // the answer's head is out, or on its way
	bodyStarted bool // a piece of it is
	deadlineSet bool // a deadline is set
	// closing is whether the front has begun to close its connections: a stop that came while the request was under way
	// must not leave the client on a connection that is closed soon after.
	closeAfterResponse *atomic.Bool
}

// WriteHeader sends the answer's head.
func (a *responseWriter) WriteHeader(status int) {
	a.prepareHead(status)
	a.headSent = a.headSent || status >= 200
	a.ResponseWriter.WriteHeader(status)
}

// Write sends a piece of the answer.
func (a *responseWriter) Write(b []byte) (int, error) {
	if a.bodyStarted {
		a.deadlineSet = true
		if err := a.conn.SetWriteDeadline(time.Now().Add(writeStallTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return 0, err
		}
	}
	a.prepareHead(http.StatusOK)
	a.headSent, a.bodyStarted = true, true
	return a.ResponseWriter.Write(b)
}

// prepareHead readies the head of an answer that is about to go out.
func (a *responseWriter) prepareHead(status int) {
	if !a.headSent && status >= 200 && a.closeAfterResponse != nil && a.closeAfterResponse.Load() {
		a.Header().Set("Connection", "close")
	}
}

// clearWriteDeadline ends the watch: the connection may serve further requests.
func (a *responseWriter) clearWriteDeadline() {
	if a.deadlineSet {
		_ = a.conn.SetWriteDeadline(time.Time{}) // as in paced
	}
}

// Unwrap lets http.ResponseController find what the server's own writer can do.
func (a *responseWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }
