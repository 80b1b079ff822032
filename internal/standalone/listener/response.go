package listener

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

// writeStallTimeout is how long a client may accept nothing of a response.
const writeStallTimeout = 10 * time.Second

// responseWriter writes a response to a client that may be slow but must not stall. The first write has no deadline: a
// short response is one write, mostly into the kernel's buffers. Each later write has a deadline.
type responseWriter struct {
	http.ResponseWriter
	conn        *http.ResponseController
	headSent    bool // the response's head is written, or is being written
	bodyStarted bool // a part of the body is written, or is being written
	deadlineSet bool // the connection has a write deadline
	// closeAfterResponse is Server.closeAfterResponse. It is read when the head is written: if a shutdown has begun
	// since the request arrived, the response must announce that the connection closes. nil: there is no shutdown.
	closeAfterResponse *atomic.Bool
}

// WriteHeader writes the response's head.
func (w *responseWriter) WriteHeader(status int) {
	w.prepareHead(status)
	w.headSent = w.headSent || isFinalStatus(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *responseWriter) Write(b []byte) (int, error) {
	if w.bodyStarted {
		w.deadlineSet = true
		err := w.conn.SetWriteDeadline(time.Now().Add(writeStallTimeout))
		if err != nil && !errors.Is(err, http.ErrNotSupported) {
			return 0, err
		}
	}
	w.prepareHead(http.StatusOK)
	w.headSent, w.bodyStarted = true, true
	return w.ResponseWriter.Write(b)
}

// prepareHead sets the headers that are not known before the head is written.
func (w *responseWriter) prepareHead(status int) {
	if !w.headSent && isFinalStatus(status) && w.closeAfterResponse != nil && w.closeAfterResponse.Load() {
		w.Header().Set("Connection", "close")
	}
}

// isFinalStatus reports whether status belongs to a final response, rather than an interim one (1xx).
func isFinalStatus(status int) bool { return status >= http.StatusOK }

// clearWriteDeadline removes the write deadline: the connection may serve further requests.
func (w *responseWriter) clearWriteDeadline() {
	if w.deadlineSet {
		_ = w.conn.SetWriteDeadline(time.Time{}) // fails only on a closed connection
	}
}

// Unwrap gives http.ResponseController access to the server's own writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
