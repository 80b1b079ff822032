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

// Upload is what of a body is still to come. One reader takes it; it is safe for concurrent use otherwise.
type Upload struct {
	Length int64         // of the whole body, with what is at hand already; -1: not told
	Left   time.Duration // how long the client waits from its last byte

	src   io.Reader
	taken atomic.Bool
	once  sync.Once
	ended chan struct{}
	at    time.Time
	err   error
}

// New returns an upload of what src still brings.
func New(src io.Reader, length int64, left time.Duration) *Upload {
	return &Upload{Length: length, Left: left, src: src, ended: make(chan struct{})}
}

// Take says whether the caller may read it: only the first one may, as what was read is gone.
func (u *Upload) Take() bool { return u.taken.CompareAndSwap(false, true) }

// Spent says whether it was taken.
func (u *Upload) Spent() bool { return u.taken.Load() }

// Read reads on. Its errors are the client's.
func (u *Upload) Read(b []byte) (int, error) {
	n, err := u.src.Read(b)
	if err != nil {
		u.once.Do(func() {
			u.at = time.Now()
			if !errors.Is(err, io.EOF) {
				u.err = err
			}
			close(u.ended)
		})
	}
	return n, err
}

// Ended closes when the last byte has been read, or none can come any more.
func (u *Upload) Ended() <-chan struct{} { return u.ended }

// End tells when the body ended, and why before its last byte. It is to be called after Ended.
func (u *Upload) End() (at time.Time, err error) { return u.at, u.err }

// Watch calls late once the client's time less margin is over, counted from the last byte, or broken where that does not come.
// It returns when it has, or when done closes.
func (u *Upload) Watch(done <-chan struct{}, margin time.Duration, late func(), broken func(error)) {
	select {
	case <-done:
		return
	case <-u.ended:
	}
	if u.err != nil {
		broken(u.err)
		return
	}
	over := time.NewTimer(time.Until(u.at.Add(u.Left - margin)))
	defer over.Stop()
	select {
	case <-done:
	case <-over.C:
		late()
	}
}
