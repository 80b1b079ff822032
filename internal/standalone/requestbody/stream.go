// Package requestbody carries the body of a request that is too large to be buffered: it is read once, while it is
// sent to a backend, and the client's time-out counts from its last byte.
package requestbody

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// ErrIncomplete says that a body broke off, stalled or was malformed. Clients see its text.
var ErrIncomplete = errors.New("the body did not come whole")

// Stream is the rest of a body that is still coming. One reader, the first to Claim it, may Read; the other methods are
// safe for concurrent use.
type Stream struct {
	// Length is that of the complete body in bytes, with the part that was buffered before the stream; -1: unknown.
	Length int64
	// ClientTimeout is how long the client waits from the last byte.
	ClientTimeout time.Duration

	source  io.Reader
	claimed atomic.Bool

	endOnce sync.Once
	ended   chan struct{} // closes when endedAt and err are set
	endedAt time.Time
	err     error
}

// New returns a stream of the bytes that source still has to deliver.
func New(source io.Reader, length int64, clientTimeout time.Duration) *Stream {
	return &Stream{Length: length, ClientTimeout: clientTimeout, source: source, ended: make(chan struct{})}
}

// Claim reports whether the caller may read the stream: only the first may, as what is read is not kept.
func (s *Stream) Claim() bool { return s.claimed.CompareAndSwap(false, true) }

// IsClaimed reports whether Claim has been called.
func (s *Stream) IsClaimed() bool { return s.claimed.Load() }

// Read reads the next bytes from the client. Its errors say nothing of a backend.
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

// End returns when the body ended, and the error with which it broke off if it did. It may be called once Ended has
// closed.
func (s *Stream) End() (at time.Time, err error) { return s.endedAt, s.err }

// WatchDeadline waits for the end of the body and then until the client's time-out less margin, and calls onTimeout;
// if the body breaks off it calls onBroken. It returns after that, or when done closes.
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
