package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"pumiceline/internal/bodybudget"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
)

const (
	// maxBufferedBody bounds the body of a response that is not a stream. The proxy reads it in full before it sends
	// the first byte to the client.
	maxBufferedBody = 4 << 20
	// maxEventBytes bounds an event of a stream. Events are only sent when they are complete, so they are held until then.
	maxEventBytes = 1 << 20
	// streamBuffer is the maximum size in bytes of one read from a stream.
	streamBuffer = 4 << 10
)

// copyResponse copies a response that is not a stream. It reads the response in full before it sends any of it, so that
// the request can be retried after a truncated response.
func (x *exchange) copyResponse(ctx context.Context, response *backend.Response) (attemptResult, balancer.Outcome) {
	counted := x.handler.responses.Reader(response.Body)
	defer counted.Release()
	body, err := io.ReadAll(io.LimitReader(counted, maxBufferedBody+1))
	if errors.Is(err, bodybudget.ErrExhausted) && response.IsDelimited() && !x.headersSent {
		return x.passThrough(response, body)
	}
	if err != nil || !response.IsDelimited() || len(body) > maxBufferedBody {
		return x.handleBreak(ctx, "the backend's answer broke off")
	}
	if x.headersSent {
		return attemptInterrupted, balancer.ErrorResponse // the request to resume a stream got an error response
	}
	outcome := balancer.Succeeded
	if response.Status >= http.StatusInternalServerError {
		outcome = balancer.ErrorResponse
		if x.canRetry() {
			return attemptRetryable, outcome
		}
	}
	x.timing.isComplete = outcome == balancer.Succeeded
	x.copyHeaders(response)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(response.Status)
	_, _ = x.writer.Write(body) // fails only if the client has disconnected
	return attemptDone, outcome
}

// passThrough sends a response while it is read, as there is no room to hold it. begun holds its first bytes. A request
// can no longer be retried then: if the response breaks, the client sees that.
func (x *exchange) passThrough(response *backend.Response, begun []byte) (attemptResult, balancer.Outcome) {
	x.copyHeaders(response)
	if response.Length >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	x.headersSent = true
	x.writer.WriteHeader(response.Status)
	rest := &readErrorRecorder{reader: response.Body}
	_, _ = io.Copy(x.writer, io.MultiReader(bytes.NewReader(begun), rest)) // a client that has disconnected needs no answer
	if rest.err != nil {
		abort()
	}
	if response.Status >= http.StatusInternalServerError {
		return attemptDone, balancer.ErrorResponse
	}
	x.timing.isComplete = true
	return attemptDone, balancer.Succeeded
}

// readErrorRecorder keeps the error of a reader, so that it is told from one of the writer that it is copied to.
type readErrorRecorder struct {
	reader io.Reader
	err    error // nil at the end of the stream
}

// Read reads from the reader.
func (r *readErrorRecorder) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // a body returns io.EOF itself
		r.err = err
	}
	return n, err
}

// copyHeaders copies the backend's end-to-end headers to the client's response, except its length and load.
func (x *exchange) copyHeaders(response *backend.Response) {
	header := x.writer.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	header.Del(backend.HeaderLoad)
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // otherwise net/http would guess one from the body
	}
}

// copyStream copies events as they arrive, and only complete ones: so another backend can resume the stream after the
// last event if it breaks. onFirst is called at the first event of this attempt.
func (x *exchange) copyStream(
	ctx context.Context, response *backend.Response, onFirst func(),
) (attemptResult, balancer.Outcome) {
	if !x.headersSent {
		x.copyHeaders(response)
		x.writer.WriteHeader(response.Status)
		x.headersSent = true
		if err := x.flush(); err != nil {
			return attemptDone, balancer.Canceled
		}
	}
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := response.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := completeEvents(pending); end > 0 {
			if onFirst != nil {
				onFirst()
				onFirst = nil
			}
			if !x.copyEvents(pending[:end]) {
				return attemptDone, balancer.Canceled
			}
			pending = append(pending[:0], pending[end:]...)
		}
		if len(pending) > maxEventBytes {
			return x.endStream(ctx, response, nil, errEventTooLarge)
		}
		if err != nil {
			return x.endStream(ctx, response, pending, err)
		}
	}
}

// errEventTooLarge ends a stream whose event is over maxEventBytes, as a break of the connection would.
var errEventTooLarge = errors.New("an event is too large")

// endStream ends a stream after reading from it returned err. pending holds the bytes after the last complete event.
func (x *exchange) endStream(
	ctx context.Context, response *backend.Response, pending []byte, err error,
) (attemptResult, balancer.Outcome) {
	switch {
	case err == io.EOF && response.IsDelimited():
		if len(pending) > 0 && !x.copyEvents(pending) {
			return attemptDone, balancer.Canceled
		}
		x.timing.isComplete = true
		return attemptDone, balancer.Succeeded
	case ctx.Err() != nil:
		abort()
	}
	return attemptInterrupted, balancer.ErrorResponse
}

// copyEvents sends events to the client. It returns false if the client has disconnected.
func (x *exchange) copyEvents(events []byte) bool {
	x.timing.recordEvent(x.request.Arrived)
	if id := lastEventID(events); id != "" {
		x.outgoing.LastEventID = id
	}
	if _, err := x.writer.Write(events); err != nil {
		return false
	}
	return x.flush() == nil
}

func (x *exchange) flush() error { return http.NewResponseController(x.writer).Flush() }

// completeEvents returns the length of the complete events at the beginning of text. An empty line ends an event
// (HTML standard, section Server-sent events), so the length is up to the last empty line. Lines that end with a
// single CR are not recognized.
func completeEvents(text []byte) int {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.LastIndex(text, separator); at >= 0 {
			end = max(end, at+len(separator))
		}
	}
	return end
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	lines := bytes.Split(events, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if rest, ok := bytes.CutPrefix(lines[i], []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
