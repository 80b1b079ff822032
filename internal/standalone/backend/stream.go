package backend

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// MostLong is the longest body of an answer or a request that is passed on.
const MostLong = 32 << 20

// longStall is how long a peer may bring or take nothing in the middle of a long body.
const longStall = 10 * time.Second

// ErrTooLong is the end of a body over MostLong.
var ErrTooLong = fmt.Errorf("the body is longer than %d bytes", int64(MostLong))

// errClosed is the end of a stream that was given up.
var errClosed = errors.New("given up")

// stream carries an answer's body from the destination's side to the client's. It holds MostBody at most: a destination that
// is ahead waits, so that memory does not grow with the answer or with its reader's slowness.
type stream struct {
	conn  *conn
	fleet *Fleet
	body  io.Reader
	reuse func() bool // whether the connection can be used again once the body has ended

	mu     sync.Mutex
	moved  sync.Cond // bytes came or went, or the stream ended
	held   []byte
	err    error // why no more will come; io.EOF: all has
	closed bool
	passed bool // bytes go on to a client: from here the destination has to keep coming
	freed  sync.Once
}

func newStream(f *Fleet, c *conn, body io.Reader, reuse func() bool) *stream {
	s := &stream{conn: c, fleet: f, body: body, reuse: reuse}
	s.moved.L = &s.mu
	go s.pump()
	return s
}

// pieceSize is what is read at a time.
const pieceSize = 16 << 10

// pump reads the body until it ends or is given up.
func (s *stream) pump() {
	piece := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(piece)
	total := int64(0)
	for {
		s.mu.Lock()
		for len(s.held) >= MostBody && !s.closed {
			s.moved.Wait()
		}
		closed, passed := s.closed, s.passed
		s.mu.Unlock()
		if closed {
			s.end(errClosed)
			return
		}
		if passed { // before that, the attempt's own end bounds the wait
			if err := s.conn.nc.SetReadDeadline(time.Now().Add(longStall)); err != nil {
				s.end(err)
				return
			}
		}
		n, err := s.body.Read(piece[:])
		if total += int64(n); total > MostLong {
			n, err = 0, ErrTooLong
		}
		if n > 0 {
			s.mu.Lock()
			s.held = append(s.held, piece[:n]...)
			s.moved.Broadcast()
			s.mu.Unlock()
		}
		if err != nil {
			s.end(err)
			return
		}
	}
}

var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// end notes why no more comes, and gives the connection back where that can be.
func (s *stream) end(err error) {
	s.mu.Lock()
	s.err = err
	reusable := err == io.EOF && !s.closed && s.reuse()
	s.moved.Broadcast()
	passed := s.passed
	s.mu.Unlock()
	if passed {
		s.free(reusable)
	}
}

// free gives the connection back to the fleet, once.
func (s *stream) free(reusable bool) {
	s.freed.Do(func() {
		if reusable {
			reusable = s.conn.nc.SetReadDeadline(time.Time{}) == nil
		}
		s.fleet.release(s.conn, reusable)
	})
}

// gather waits until the body has ended, MostBody bytes are there, or enough says that what is there is enough. It returns what
// is there, and the body's end if it has come.
func (s *stream) gather(enough func(have int) bool) (have int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.err == nil && len(s.held) < MostBody && !enough(len(s.held)) {
		s.moved.Wait()
	}
	return len(s.held), s.err
}

// wake lets gather look again.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moved.Broadcast()
}

// whole is the body, of a stream that has ended.
func (s *stream) whole() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// pass lets the stream go on by itself: its connection is given back at its end.
func (s *stream) pass() {
	s.mu.Lock()
	s.passed = true
	ended, err := s.err != nil, s.err
	// The pump may be in a read that began before.
	if !ended {
		_ = s.conn.nc.SetReadDeadline(time.Now().Add(longStall)) // a connection that is closed says so to the read
	}
	s.mu.Unlock()
	if ended {
		s.free(err == io.EOF && s.reuse())
	}
}

// abandon ends a stream that is not passed on; its connection is the caller's to close.
func (s *stream) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.moved.Broadcast()
}

// Read returns what has come, and waits where nothing has. A body that broke off has an error other than io.EOF.
func (s *stream) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.held) == 0 && s.err == nil {
		s.moved.Wait()
	}
	if len(s.held) == 0 {
		if s.err == io.EOF {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("a long answer broke off: %w", s.err)
	}
	n := copy(b, s.held)
	s.held = s.held[:copy(s.held, s.held[n:])]
	s.moved.Broadcast()
	return n, nil
}

// Close gives up what has not come yet.
func (s *stream) Close() error {
	s.mu.Lock()
	s.closed = true
	ended := s.err != nil
	s.moved.Broadcast()
	s.mu.Unlock()
	if !ended {
		s.conn.nc.Close() // ends the pump's read
		s.free(false)
	}
	return nil
}
