// Package requestbody carries the body of a request that is too long to be kept: it is read once, while it is sent on, and tells
// when its last byte has come, from which the client's time counts.
package requestbody

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Stream is what of a body is still to come. One reader takes it; it is safe for concurrent use otherwise.
type Stream struct {
	Length        int64         // of the whole body, with what is at hand already; -1: not told
	ClientTimeout time.Duration // how long the client waits from its last byte

	source  io.Reader
	claimed atomic.Bool
	once    sync.Once
	ended   chan struct{}
	endedAt time.Time
	err     error
}

// New returns an upload of what src still brings.
func New(src io.Reader, length int64, left time.Duration) *Stream {
	return &Stream{Length: length, ClientTimeout: left, source: src, ended: make(chan struct{})}
}

// Claim says whether the caller may read it: only the first one may, as what was read is gone.
func (u *Stream) Claim() bool { return u.claimed.CompareAndSwap(false, true) }

// IsClaimed says whether it was taken.
func (u *Stream) IsClaimed() bool { return u.claimed.Load() }

// Read reads on. Its errors are the client's.
func (u *Stream) Read(b []byte) (int, error) {
	n, err := u.source.Read(b)
	if err != nil {
		u.once.Do(func() {
			u.endedAt = time.Now()
			if !errors.Is(err, io.EOF) {
				u.err = err
			}
			close(u.ended)
		})
	}
	return n, err
}

// Ended closes when the last byte has been read, or none can come any more.
func (u *Stream) Ended() <-chan struct{} { return u.ended }

// End tells when the body ended, and why before its last byte. It is to be called after Ended.
func (u *Stream) End() (at time.Time, err error) { return u.endedAt, u.err }

// WatchDeadline calls late once the client's time less margin is over, counted from the last byte, or broken where that does not come.
// It returns when it has, or when done closes.
func (u *Stream) WatchDeadline(done <-chan struct{}, margin time.Duration, late func(), broken func(error)) {
	select {
	case <-done:
		return
	case <-u.ended:
	}
	if u.err != nil {
		broken(u.err)
		return
	}
	over := time.NewTimer(time.Until(u.endedAt.Add(u.ClientTimeout - margin)))
	defer over.Stop()
	select {
	case <-done:
	case <-over.C:
		late()
	}
}
