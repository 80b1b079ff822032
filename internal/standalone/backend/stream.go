package backend

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// streamStallTimeout is how long a streamed body may make no progress, because the peer sends or accepts no bytes.
	streamStallTimeout = 10 * time.Second
	// copyBufferBytes is the size of a single read.
	copyBufferBytes = 16 << 10
)

// copyBuffers pools *[copyBufferBytes]byte.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// errStreamClosed is the error that ends a stream that was closed or abandoned.
var errStreamClosed = errors.New("the stream was closed")

// stream carries a response's body from the backend to the client. Once MaxBufferedBody bytes are buffered it stops
// reading until the client has accepted some of them, so that neither a large response nor a slow client makes memory
// grow. Its goroutine, pump, ends at the end of the body, or after Close or abandon.
type stream struct {
	conn     *conn
	pool     *Pool
	body     io.Reader
	canReuse func() bool // reports whether the connection can be used again once the body has ended

	mu         sync.Mutex
	changed    sync.Cond // bytes were added or removed, the stream ended, or wake was called
	buffered   []byte
	err        error // the end of the body; io.EOF: it is complete; nil: it has not ended
	closed     bool  // by Close or abandon
	forwarding bool  // a client reads: streamStallTimeout bounds reads, and the stream releases the connection

	releaseOnce sync.Once
}

// newStream starts to read body. Unless the body has ended, startForwarding or abandon must be called later.
func newStream(p *Pool, c *conn, body io.Reader, canReuse func() bool) *stream {
	s := &stream{conn: c, pool: p, body: body, canReuse: canReuse}
	s.changed.L = &s.mu
	go s.pump()
	return s
}

// pump reads the body until it ends or the stream is closed.
func (s *stream) pump() {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	total := int64(0)
	for {
		if err := s.waitForRoom(); err != nil {
			s.end(err)
			return
		}
		n, err := s.body.Read(buffer[:])
		if total += int64(n); total > MaxStreamedBody {
			n, err = 0, ErrBodyTooLarge
		}
		if n > 0 {
			s.mu.Lock()
			s.buffered = append(s.buffered, buffer[:n]...)
			s.changed.Broadcast()
			s.mu.Unlock()
		}
		if err != nil {
			s.end(err)
			return
		}
	}
}

// waitForRoom waits until more can be buffered, and sets the deadline for the next read.
func (s *stream) waitForRoom() error {
	s.mu.Lock()
	for len(s.buffered) >= MaxBufferedBody && !s.closed {
		s.changed.Wait()
	}
	closed, forwarding := s.closed, s.forwarding
	s.mu.Unlock()
	if closed {
		return errStreamClosed
	}
	if forwarding { // until forwarding starts, the end of the attempt bounds the read
		return s.conn.nc.SetReadDeadline(time.Now().Add(streamStallTimeout))
	}
	return nil
}

// end records the end of the body, and releases the connection if a client reads from the stream. Until a client reads,
// the attempt holds the connection and releases it.
func (s *stream) end(err error) {
	s.mu.Lock()
	s.err = err
	reusable := err == io.EOF && !s.closed && s.canReuse()
	s.changed.Broadcast()
	forwarding := s.forwarding
	s.mu.Unlock()
	if forwarding {
		s.release(reusable)
	}
}

// release returns the connection to the pool. Later calls do nothing.
func (s *stream) release(reusable bool) {
	s.releaseOnce.Do(func() {
		if reusable {
			reusable = s.conn.nc.SetReadDeadline(time.Time{}) == nil
		}
		s.pool.release(s.conn, reusable)
	})
}

// waitBuffered waits until the body has ended, MaxBufferedBody bytes are buffered, or isEnough returns true for the
// number of buffered bytes. It returns that number, and the error that ended the body, nil if it has not ended.
func (s *stream) waitBuffered(isEnough func(have int) bool) (have int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.err == nil && len(s.buffered) < MaxBufferedBody && !isEnough(len(s.buffered)) {
		s.changed.Wait()
	}
	return len(s.buffered), s.err
}

// wake makes waitBuffered call isEnough again.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

// bytes returns the body of a stream that has ended.
func (s *stream) bytes() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffered
}

// startForwarding makes the stream independent of its attempt: the stream releases the connection at its end.
func (s *stream) startForwarding() {
	s.mu.Lock()
	s.forwarding = true
	ended, err := s.err != nil, s.err
	if !ended { // pump may be in a read without a deadline; if SetReadDeadline fails, that read fails too
		_ = s.conn.nc.SetReadDeadline(time.Now().Add(streamStallTimeout))
	}
	s.mu.Unlock()
	if ended {
		s.release(err == io.EOF && s.canReuse())
	}
}

// abandon ends a stream from which no client reads; the caller releases its connection.
func (s *stream) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
}

// Read returns bytes that have arrived, and waits if there are none. The error for a truncated body is not io.EOF.
func (s *stream) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.buffered) == 0 && s.err == nil {
		s.changed.Wait()
	}
	if len(s.buffered) == 0 {
		if s.err == io.EOF {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("the streamed response is incomplete: %w", s.err)
	}
	n := copy(b, s.buffered)
	s.buffered = s.buffered[:copy(s.buffered, s.buffered[n:])]
	s.changed.Broadcast()
	return n, nil
}

// Close ends the stream. If the body has not ended, Close closes the connection.
func (s *stream) Close() error {
	s.mu.Lock()
	s.closed = true
	ended := s.err != nil
	s.changed.Broadcast()
	s.mu.Unlock()
	if !ended {
		s.conn.nc.Close() // ends the pump's read
		s.release(false)
	}
	return nil
}
