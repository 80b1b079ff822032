package backend

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// MaxStreamedBody is the longest body of an answer or a request that is passed on.
const MaxStreamedBody = 32 << 20

// streamStallTimeout is how long a peer may bring or take nothing in the middle of a long body.
const streamStallTimeout = 10 * time.Second

// ErrBodyTooLarge is the end of a body over MaxStreamedBody.
var ErrBodyTooLarge = fmt.Errorf("the body is longer than %d bytes", int64(MaxStreamedBody))

// errStreamClosed is the end of a stream that was given up.
var errStreamClosed = errors.New("given up")

// stream carries an answer's body from the destination's side to the client's. It holds MaxBufferedBody at most: a destination that
// is ahead waits, so that memory does not grow with the answer or with its reader's slowness.
type stream struct {
	conn     *conn
	pool     *Pool
	body     io.Reader
	canReuse func() bool // whether the connection can be used again once the body has ended

	mu          sync.Mutex
	changed     sync.Cond // bytes came or went, or the stream ended
	buffered    []byte
	err         error // why no more will come; io.EOF: all has
	closed      bool
	forwarding  bool // bytes go on to a client: from here the destination has to keep coming
	releaseOnce sync.Once
}

func newStream(f *Pool, c *conn, body io.Reader, reuse func() bool) *stream {
	s := &stream{conn: c, pool: f, body: body, canReuse: reuse}
	s.changed.L = &s.mu
	go s.pump()
	return s
}

// chunkBytes is what is read at a time.
const chunkBytes = 16 << 10

// pump reads the body until it ends or is given up.
func (s *stream) pump() {
	piece := chunkBuffers.Get().(*[chunkBytes]byte)
	defer chunkBuffers.Put(piece)
	total := int64(0)
	for {
		s.mu.Lock()
		for len(s.buffered) >= MaxBufferedBody && !s.closed {
			s.changed.Wait()
		}
		closed, passed := s.closed, s.forwarding
		s.mu.Unlock()
		if closed {
			s.end(errStreamClosed)
			return
		}
		if passed { // before that, the attempt's own end bounds the wait
			if err := s.conn.nc.SetReadDeadline(time.Now().Add(streamStallTimeout)); err != nil {
				s.end(err)
				return
			}
		}
		n, err := s.body.Read(piece[:])
		if total += int64(n); total > MaxStreamedBody {
			n, err = 0, ErrBodyTooLarge
		}
		if n > 0 {
			s.mu.Lock()
			s.buffered = append(s.buffered, piece[:n]...)
			s.changed.Broadcast()
			s.mu.Unlock()
		}
		if err != nil {
			s.end(err)
			return
		}
	}
}

var chunkBuffers = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// end notes why no more comes, and gives the connection back where that can be.
func (s *stream) end(err error) {
	s.mu.Lock()
	s.err = err
	reusable := err == io.EOF && !s.closed && s.canReuse()
	s.changed.Broadcast()
	passed := s.forwarding
	s.mu.Unlock()
	if passed {
		s.release(reusable)
	}
}

// release gives the connection back to the fleet, once.
func (s *stream) release(reusable bool) {
	s.releaseOnce.Do(func() {
		if reusable {
			reusable = s.conn.nc.SetReadDeadline(time.Time{}) == nil
		}
		s.pool.release(s.conn, reusable)
	})
}

// waitBuffered waits until the body has ended, MaxBufferedBody bytes are there, or enough says that what is there is enough. It returns what
// is there, and the body's end if it has come.
func (s *stream) waitBuffered(enough func(have int) bool) (have int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.err == nil && len(s.buffered) < MaxBufferedBody && !enough(len(s.buffered)) {
		s.changed.Wait()
	}
	return len(s.buffered), s.err
}

// wake lets gather look again.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

// bytes is the body, of a stream that has ended.
func (s *stream) bytes() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffered
}

// startForwarding lets the stream go on by itself: its connection is given back at its end.
func (s *stream) startForwarding() {
	s.mu.Lock()
	s.forwarding = true
	ended, err := s.err != nil, s.err
	// The pump may be in a read that began before.
	if !ended {
		_ = s.conn.nc.SetReadDeadline(time.Now().Add(streamStallTimeout)) // a connection that is closed says so to the read
	}
	s.mu.Unlock()
	if ended {
		s.release(err == io.EOF && s.canReuse())
	}
}

// abandon ends a stream that is not passed on; its connection is the caller's to close.
func (s *stream) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
}

// Read returns what has come, and waits where nothing has. A body that broke off has an error other than io.EOF.
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
		return 0, fmt.Errorf("a long answer broke off: %w", s.err)
	}
	n := copy(b, s.buffered)
	s.buffered = s.buffered[:copy(s.buffered, s.buffered[n:])]
	s.changed.Broadcast()
	return n, nil
}

// Close gives up what has not come yet.
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
