// Package bodybudget bounds the memory that the bodies of HTTP requests take in a process, whatever their number. Each
// server bounds the body of one request; many unfinished ones could still take more memory than the machine has.
package bodybudget

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// maxBodyTime bounds the time that a body takes to arrive, so that unfinished ones do not take the budget for good.
const maxBodyTime = 30 * time.Second

// ErrExhausted is returned when a body is read while the bodies of all requests together are at the limit. The request
// may be sent again later.
var ErrExhausted = errors.New("too many request bodies at the same time")

// Handler passes requests on to another handler, and bounds the bytes of their bodies that were read by requests in
// flight. It is safe for concurrent use.
type Handler struct {
	next  http.Handler
	limit int64 // bytes
	used  atomic.Int64
}

// New returns a handler with a limit in bytes.
func New(next http.Handler, limit int64) *Handler { return &Handler{next: next, limit: limit} }

// ServeHTTP passes a request on. What was read of its body counts until next returns.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		h.next.ServeHTTP(w, r)
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(maxBodyTime)) // without a connection, as in tests, no body is unfinished
	counted := &countedBody{ReadCloser: r.Body, handler: h, control: control}
	defer func() { h.used.Add(-counted.bytes) }()
	r.Body = counted
	h.next.ServeHTTP(w, r)
}

// countedBody counts the bytes that are read of a body.
type countedBody struct {
	io.ReadCloser
	handler *Handler
	control *http.ResponseController
	bytes   int64
}

// Read reads a part of the body. It returns ErrExhausted if the handler's limit is exceeded.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // a body returns io.EOF itself
		_ = b.control.SetReadDeadline(time.Time{}) // the server watches the connection while the request is served
	}
	b.bytes += int64(n)
	if b.handler.used.Add(int64(n)) > b.handler.limit {
		return 0, ErrExhausted
	}
	return n, err
}
