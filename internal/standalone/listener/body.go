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

// Limits on a request's body. Only the time in reads counts: a client has to wait while the backend accepts nothing.
const (
	// firstBytesTimeout is how long the first bytes may take.
	firstBytesTimeout = 2 * time.Second
	// minBodyBytesPerSecond is the average rate required from there: half of what slow clients send.
	minBodyBytesPerSecond = 32_000
	// maxBodyPause bounds a single pause, however much came before.
	maxBodyPause = 5 * time.Second
	// bodyArrivedWithHead is the longest time that the proxy, when it is busy, takes to read a body that arrived together
	// with its head. The client's time-out counts from the head then, and from the body's last byte if it took longer.
	bodyArrivedWithHead = 50 * time.Millisecond
	// maxPreallocatedBytes is how much memory is reserved for a body because of its Content-Length alone.
	maxPreallocatedBytes = 16 << 10
)

var (
	// errIncompleteBody is the client's error for a body that broke off, stalled or was malformed.
	errIncompleteBody error = &requestError{http.StatusBadRequest, requestbody.ErrIncomplete.Error()}

	// errBodyTooSlow is the error of a read from a client that sends less than the limits above ask for.
	errBodyTooSlow = errors.New("the body comes too slowly")
)

// readBody reads r's body into the head's info, up to backend.MaxBufferedBody; the rest of a longer one is left to
// info.Stream. It returns the client's deadline, timeLeft after the request's last byte. For a stream that is not known
// yet, and the deadline is that of a body that ends now.
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
		bufferLimit++ // of unknown length: only a read past MaxBufferedBody shows that the body ends there
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

// pacedBody reads a client's body and fails where it comes more slowly than the limits above allow.
type pacedBody struct {
	body     io.Reader
	conn     *http.ResponseController
	received int64         // bytes so far
	readTime time.Duration // spent in reads so far
}

// Read reads with a deadline. It leaves the connection without one once the body has ended.
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
