package listener

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/forwarder"
	"pumiceline/internal/standalone/requestbody"
)

// Limits on a request's body. The times count only while the proxy reads: a client that is held back because the
// backend is slow is not slow itself.
const (
	// firstBytesTimeout is allowed for the first bytes.
	firstBytesTimeout = 2 * time.Second
	// minBodyBytesPerSecond is the average rate required from there: half of what slow clients send.
	minBodyBytesPerSecond = 32_000
	// maxBodyPause bounds a single pause, however much came before.
	maxBodyPause = 5 * time.Second
	// bodyArrivedWithHead is within what a body that arrived with its head is read, even by a busy proxy: the client's
	// time-out then counts from the head.
	bodyArrivedWithHead = 50 * time.Millisecond
	// maxPreallocatedBytes is how much memory is reserved for a body because of its Content-Length alone.
	maxPreallocatedBytes = 16 << 10
)

var (
	// errIncompleteBody is the client's error for a body that broke off, stalled or was malformed.
	errIncompleteBody error = &requestError{http.StatusBadRequest, "the body did not come whole"}

	errBodyTooSlow = errors.New("the body comes too slowly")
)

// readBody reads r's body into info, up to backend.MaxBufferedBody; what is longer is left to info.Stream. It returns
// the client's deadline, timeLeft after the request's last byte: for a stream, it counts from the last byte of the
// stream, and the deadline returned is provisional.
func readBody(w http.ResponseWriter, r *http.Request, info *forwarder.RequestInfo, receivedAt time.Time,
	timeLeft time.Duration) (deadline time.Time, err error) {
	deadline = receivedAt.Add(timeLeft)
	if r.ContentLength == 0 {
		return deadline, nil
	}
	body := &pacedBody{body: http.MaxBytesReader(w, r.Body, backend.MaxStreamedBody), conn: http.NewResponseController(w)}
	bufferLimit := int64(backend.MaxBufferedBody)
	if r.ContentLength < 0 {
		bufferLimit++ // a body of MaxBufferedBody has its end only behind the next byte
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
	if r.ContentLength > 0 { // the LimitReader may have stopped short of the body's own end
		if _, err := io.Copy(io.Discard, body); err != nil {
			return deadline, errIncompleteBody
		}
	}
	if now := time.Now(); now.Sub(receivedAt) > bodyArrivedWithHead {
		deadline = now.Add(timeLeft)
	}
	return deadline, nil
}

// pacedBody reads a body that has to keep coming at the rate above.
type pacedBody struct {
	body     io.Reader
	conn     *http.ResponseController
	received int64         // bytes so far
	readTime time.Duration // spent in reads so far
}

// Read reads on. It leaves the connection without a read deadline once the body has ended.
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
		_ = p.conn.SetReadDeadline(time.Time{}) // fails only on a connection that is over
	}
	return n, err
}
