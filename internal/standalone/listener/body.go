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
	bodyWithin = 2 * time.Second // for the first bytes
	bodyRate   = 32_000          // bytes a second on the whole from there: half of what slow clients send
	bodyPause  = 5 * time.Second // the longest without a byte, however much came before
)

// takesWithin is how long a client may take nothing of an answer.
const takesWithin = 10 * time.Second

var errSlow = errors.New("the body comes too slowly")

// paced reads a body that has to keep coming.
type paced struct {
	body  io.Reader
	conn  *http.ResponseController
	got   int64
	spent time.Duration
}

// Read reads on, and leaves the connection without a read deadline once the body has ended.
func (p *paced) Read(b []byte) (int, error) {
	allow := min(bodyWithin+time.Duration(p.got)*time.Second/bodyRate-p.spent, bodyPause)
	if allow <= 0 {
		return 0, errSlow
	}
	start := time.Now()
	if err := p.conn.SetReadDeadline(start.Add(allow)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.spent += time.Since(start)
	p.got += int64(n)
	if err != nil {
		_ = p.conn.SetReadDeadline(time.Time{}) // a connection that can't take it is over
	}
	return n, err
}

// answering writes an answer to a client that may take its time, but must not stop. What is short goes out with the first write,
// mostly into the system's buffers, and needs no watch.
type answering struct {
	http.ResponseWriter
	conn  *http.ResponseController
	begun bool // the answer's head is out, or on its way
	wrote bool // a piece of it is
	long  bool // a deadline is set
	// closing is whether the front has begun to close its connections: a stop that came while the request was under way
	// must not leave the client on a connection that is closed soon after.
	closing *atomic.Bool
}

// WriteHeader sends the answer's head.
func (a *answering) WriteHeader(status int) {
	a.head(status)
	a.begun = a.begun || status >= 200
	a.ResponseWriter.WriteHeader(status)
}

// Write sends a piece of the answer.
func (a *answering) Write(b []byte) (int, error) {
	if a.wrote {
		a.long = true
		if err := a.conn.SetWriteDeadline(time.Now().Add(takesWithin)); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return 0, err
		}
	}
	a.head(http.StatusOK)
	a.begun, a.wrote = true, true
	return a.ResponseWriter.Write(b)
}

// head readies the head of an answer that is about to go out.
func (a *answering) head(status int) {
	if !a.begun && status >= 200 && a.closing != nil && a.closing.Load() {
		a.Header().Set("Connection", "close")
	}
}

// done ends the watch: the connection may serve further requests.
func (a *answering) done() {
	if a.long {
		_ = a.conn.SetWriteDeadline(time.Time{}) // as in paced
	}
}

// Unwrap lets http.ResponseController find what the server's own writer can do.
func (a *answering) Unwrap() http.ResponseWriter { return a.ResponseWriter }
