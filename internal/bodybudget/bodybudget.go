// Package bodybudget bounds the memory that the bodies of HTTP requests and responses take in a process, whatever their
// number. The body of each is bounded elsewhere; many unfinished ones could still take more memory than the machine has.
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

// ErrExhausted is returned when a body is read while all bodies together are at the limit. The request may be sent again
// later.
var ErrExhausted = errors.New("too many bodies at the same time")

// Budget bounds the bytes of bodies that are held at the same time. It is safe for concurrent use.
type Budget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// New returns a budget with a limit in bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reader counts what is read of a body in a budget. One goroutine may use it.
type Reader struct {
	reader io.Reader
	budget *Budget
	bytes  int64
}

// Reader returns a reader of a body. The caller must call Release when it holds the body no more.
func (b *Budget) Reader(body io.Reader) *Reader { return &Reader{reader: body, budget: b} }

// Read reads a part of the body. Beyond the limit it returns ErrExhausted, with the bytes that it has read.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.bytes += int64(n)
	if r.budget.used.Add(int64(n)) > r.budget.limit {
		return n, ErrExhausted
	}
	return n, err
}

// Release gives the bytes that were read back to the budget.
func (r *Reader) Release() {
	r.budget.used.Add(-r.bytes)
	r.bytes = 0
}

// Handler passes requests on to another handler, and counts what requests in flight have read of their bodies.
type Handler struct {
	next   http.Handler
	budget *Budget
}

// NewHandler returns a handler with a limit in bytes for the bodies of all requests in flight.
func NewHandler(next http.Handler, limit int64) *Handler {
	return &Handler{next: next, budget: New(limit)}
}

// ServeHTTP passes a request on. What was read of its body counts until next returns.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		h.next.ServeHTTP(w, r)
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(maxBodyTime)) // without a connection, as in tests, no body is unfinished
	counted := h.budget.Reader(r.Body)
	defer counted.Release()
	r.Body = &requestBody{Reader: counted, Closer: r.Body, control: control}
	h.next.ServeHTTP(w, r)
}

// requestBody is the body of a request, with a deadline until its end.
type requestBody struct {
	*Reader
	io.Closer
	control *http.ResponseController
}

// Read reads a part of the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF { //nolint:errorlint // a body returns io.EOF itself
		_ = b.control.SetReadDeadline(time.Time{}) // the server watches the connection while the request is served
	}
	return n, err
}
