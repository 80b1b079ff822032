package backend

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pumiceline/internal/message"
)

// Response is a response whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	Length int64 // of the body in bytes; -1: not known

	pool           *Pool
	conn           *conn
	raw            *http.Response
	detachContext  func() bool // stops closing conn at the end of the context; false where the context has ended
	backendID      message.BackendID
	requestWritten bool // in full, before the response came
	bodyRead       bool // up to its proper end
}

// bodyReader notes when the body has come to its proper end.
type bodyReader struct{ response *Response }

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.response.raw.Body.Read(p)
	if err == io.EOF {
		b.response.bodyRead = true
	}
	return n, err
}

// IsDelimited reports whether the body's length is known or it is chunked. The end of any other body is the end of its
// connection, which looks the same as a connection that broke (RFC 9112, section 6.3).
func (r *Response) IsDelimited() bool { return r.Length >= 0 || len(r.raw.TransferEncoding) > 0 }

// IsRejected reports whether the backend promises that it has not processed the request.
func (r *Response) IsRejected() bool {
	return r.Header.Get(HeaderNotRun) != "" || r.Status == http.StatusMisdirectedRequest
}

// Close returns the connection to the pool where it can be used again, else closes it.
func (r *Response) Close() {
	isOpen := r.detachContext()
	if !isOpen || !r.isReusable() {
		r.conn.Close()
		return
	}
	_ = r.conn.SetDeadline(time.Time{}) // the next exchange sets its own
	r.pool.release(r.backendID, r.conn, idleTime(r.Header))
}

// isReusable reports whether the whole request was written and the whole response read, so that the next bytes in both
// directions belong to the next exchange, and the backend keeps the connection open.
func (r *Response) isReusable() bool {
	return r.requestWritten && r.bodyRead && r.IsDelimited() && !r.raw.Close && r.conn.reader.Buffered() == 0
}

// idleTime is how long the connection may be kept idle by the backend's Keep-Alive header.
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

// Load is a backend's load as it reports it with a response.
type Load struct {
	Running, Waiting int // requests of all proxies
	Slots            int // requests that can run at the same time
}

// ParseLoad reads the value of HeaderLoad: running, waiting and slots, separated by commas. ok is false where it is
// missing or malformed.
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
