// Package requestbody streams request bodies that are too large to be buffered. Such a body is read once, while it is
// sent to a backend, and the client's time-out counts from its last byte.
package requestbody

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// ErrIncomplete is the error of a body that broke off, stalled or was malformed. Its text is sent to clients.
var ErrIncomplete = errors.New("the body did not come whole")

// Stream is the unbuffered rest of a body that the client is still sending. Only the first caller of Claim may Read;
// the other methods are safe for concurrent use.
type Stream struct {
	// Length is the length of the complete body in bytes, including the part that is already buffered; -1: unknown.
	Length int64
	// ClientTimeout is how long the client waits for a response after the last byte.
	ClientTimeout time.Duration

	source  io.Reader
	claimed atomic.Bool

	endOnce sync.Once
	ended   chan struct{} // closes when endedAt and err are set
	endedAt time.Time
	err     error
}

// New returns a stream of the remaining bytes of source.
func New(source io.Reader, length int64, clientTimeout time.Duration) *Stream {
	return &Stream{Length: length, ClientTimeout: clientTimeout, source: source, ended: make(chan struct{})}
}

// Claim reports whether the caller may read the stream. Only the first caller may, since the bytes that it reads are
// not kept for another.
func (s *Stream) Claim() bool { return s.claimed.CompareAndSwap(false, true) }

// IsClaimed reports whether Claim has been called.
func (s *Stream) IsClaimed() bool { return s.claimed.Load() }

// Read reads the next bytes from the client. Its errors are faults of the client or its connection, never of a backend.
func (s *Stream) Read(b []byte) (int, error) {
	n, err := s.source.Read(b)
	if err != nil {
		s.endOnce.Do(func() {
			s.endedAt = time.Now()
			if !errors.Is(err, io.EOF) {
				s.err = err
			}
			close(s.ended)
		})
	}
	return n, err
}

// Ended closes when the last byte has been read, or the body has broken off.
func (s *Stream) Ended() <-chan struct{} { return s.ended }

// End returns the time at which the body ended, and the error if it broke off. Call it only after Ended has closed.
func (s *Stream) End() (at time.Time, err error) { return s.endedAt, s.err }

// WatchDeadline calls onTimeout when the client's time-out less margin has passed since the last byte of the body, or
// onBroken when the body breaks off. It returns after that call, or when done closes.
func (s *Stream) WatchDeadline(done <-chan struct{}, margin time.Duration, onTimeout func(), onBroken func(error)) {
	select {
	case <-done:
		return
	case <-s.ended:
	}
	if s.err != nil {
		onBroken(s.err)
		return
	}
	timer := time.NewTimer(time.Until(s.endedAt.Add(s.ClientTimeout - margin)))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		onTimeout()
	}
}
