package backend

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pumiceline/internal/message"
)

// Response is a response whose headers have been read, but not its body. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	Length int64 // of the body in bytes; -1: unknown

	pool           *Pool
	conn           *conn
	raw            *http.Response
	detachContext  func() bool // stops the end of the context from closing conn; false: the context has ended
	backendID      message.BackendID
	requestWritten bool // the whole request was written before the response arrived
	bodyRead       bool // the body was read up to its proper end
}

// bodyReader records in the response that the body was read up to its proper end.
type bodyReader struct{ response *Response }

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.response.raw.Body.Read(p)
	if err == io.EOF {
		b.response.bodyRead = true
	}
	return n, err
}

// IsDelimited reports whether the body has a known length or is chunked. Any other body ends when the backend closes
// the connection, which cannot be distinguished from a broken connection (RFC 9112, section 6.3).
func (r *Response) IsDelimited() bool { return r.Length >= 0 || len(r.raw.TransferEncoding) > 0 }

// IsRejected reports whether the backend promises that it has not processed the request.
func (r *Response) IsRejected() bool {
	return r.Header.Get(HeaderNotRun) != "" || r.Status == http.StatusMisdirectedRequest
}

// Close returns the connection to the pool if it can be reused, and closes it otherwise.
func (r *Response) Close() {
	isOpen := r.detachContext()
	if !isOpen || !r.isReusable() {
		r.conn.Close()
		return
	}
	_ = r.conn.SetDeadline(time.Time{}) // the next exchange sets its own
	r.pool.release(r.backendID, r.conn, idleTime(r.Header))
}

// isReusable reports whether the connection can carry another exchange. The whole request must be written and the
// whole response read, or bytes of this exchange would be taken for bytes of the next. The backend must keep the
// connection open.
func (r *Response) isReusable() bool {
	return r.requestWritten && r.bodyRead && r.IsDelimited() && !r.raw.Close && r.conn.reader.Buffered() == 0
}

// idleTime returns how long the connection may be kept idle, according to the backend's Keep-Alive header.
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return defaultIdleTime
}

// Load is the load that a backend reports with a response.
type Load struct {
	Running, Waiting int // requests of all proxies
	Slots            int // number of requests that can run at the same time
}

// ParseLoad parses the value of HeaderLoad: running, waiting and slots, separated by commas. ok is false if the value
// is missing or malformed.
func ParseLoad(text string) (load Load, ok bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return Load{}, false
	}
	for i, field := range []*int{&load.Running, &load.Waiting, &load.Slots} {
		number, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || number < 0 {
			return Load{}, false
		}
		*field = number
	}
	return load, true
}
