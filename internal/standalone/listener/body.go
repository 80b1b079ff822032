package listener

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/requestbody"
)

// Limits on a request's body. Only the time spent in reads counts: while the backend accepts no data, the proxy does
// not read, and the client has to wait.
const (
	// firstBytesTimeout is how long the first bytes of a body may take.
	firstBytesTimeout = 2 * time.Second
	// minBodyBytesPerSecond is the average rate required after firstBytesTimeout: half the rate of slow clients.
	minBodyBytesPerSecond = 32_000
	// maxBodyPause bounds a single pause, however many bytes have been received before.
	maxBodyPause = 5 * time.Second
	// bodyWithHeadReadTime is the longest time that a busy proxy takes to read a body that arrived together with its
	// head. If reading the body takes no longer than that, the client's time-out counts from the head, otherwise from
	// the body's last byte.
	bodyWithHeadReadTime = 50 * time.Millisecond
	// maxPreallocatedBytes is how much memory is reserved for a body because of its Content-Length alone.
	maxPreallocatedBytes = 16 << 10
)

var (
	// errIncompleteBody is the error that a client gets for a body that broke off, stalled or was malformed.
	errIncompleteBody error = &requestError{http.StatusBadRequest, requestbody.ErrIncomplete.Error()}

	// errBodyTooSlow is the error of a read from a client that sends more slowly than the limits above allow.
	errBodyTooSlow = errors.New("the body comes too slowly")
)

// readBody reads r's body into head.info. Of a body longer than backend.MaxBufferedBody it reads only the start and
// leaves the rest to info.Stream. It returns the client's deadline, which is timeLeft after the request's last byte.
// With a stream the last byte is still to come, and the deadline is provisional: that of a body that ends now.
func readBody(w http.ResponseWriter, r *http.Request, head requestHead, receivedAt time.Time) (
	deadline time.Time, err error) {
	info, timeLeft := head.info, head.timeLeft
	deadline = receivedAt.Add(timeLeft)
	if r.ContentLength == 0 {
		return deadline, nil
	}
	body := &pacedBody{body: http.MaxBytesReader(w, r.Body, backend.MaxStreamedBody), conn: http.NewResponseController(w)}
	bufferLimit := int64(backend.MaxBufferedBody)
	if r.ContentLength < 0 {
		bufferLimit++ // unknown length: only a read past MaxBufferedBody shows whether the body ends there
	}
	var buffered bytes.Buffer
	if r.ContentLength > 0 {
		buffered.Grow(int(min(r.ContentLength, maxPreallocatedBytes)) + bytes.MinRead)
	}
	if _, err := buffered.ReadFrom(io.LimitReader(body, bufferLimit)); err != nil {
		return deadline, errIncompleteBody
	}
	info.Body = buffered.Bytes()
	if r.ContentLength > bufferLimit || r.ContentLength < 0 && int64(buffered.Len()) == bufferLimit {
		info.Stream = requestbody.New(body, r.ContentLength, timeLeft)
		return time.Now().Add(timeLeft), nil
	}
	if r.ContentLength > 0 { // read up to the EOF: the LimitReader may have stopped before it
		if _, err := io.Copy(io.Discard, body); err != nil {
			return deadline, errIncompleteBody
		}
	}
	if now := time.Now(); now.Sub(receivedAt) > bodyWithHeadReadTime {
		deadline = now.Add(timeLeft)
	}
	return deadline, nil
}

// pacedBody reads a client's body and fails if it arrives more slowly than the limits above allow.
type pacedBody struct {
	body     io.Reader
	conn     *http.ResponseController
	received int64         // bytes so far
	readTime time.Duration // spent in reads so far
}

// Read reads with a deadline on the connection, and removes the deadline once the body has ended.
func (p *pacedBody) Read(b []byte) (int, error) {
	earned := time.Duration(p.received) * time.Second / minBodyBytesPerSecond
	allowance := min(firstBytesTimeout+earned-p.readTime, maxBodyPause)
	if allowance <= 0 {
		return 0, errBodyTooSlow
	}
	start := time.Now()
	if err := p.conn.SetReadDeadline(start.Add(allowance)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.readTime += time.Since(start)
	p.received += int64(n)
	if err != nil {
		_ = p.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	return n, err
}
