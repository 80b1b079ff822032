package requestbody

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestStream_OnlyFirstClaimSucceeds(t *testing.T) {
	s := New(strings.NewReader("x"), 1, time.Second)
	if s.IsClaimed() {
		t.Error("a new stream is claimed")
	}
	if first, second := s.Claim(), s.Claim(); !first || second || !s.IsClaimed() {
		t.Errorf("first claim %v, second %v, claimed %v", first, second, s.IsClaimed())
	}
}

// breakingReader returns its text and then err.
type breakingReader struct {
	text io.Reader
	err  error
}

func (r *breakingReader) Read(b []byte) (int, error) {
	n, err := r.text.Read(b)
	if errors.Is(err, io.EOF) {
		err = r.err
	}
	return n, err
}

func TestStream_EndReturnsTimeAndError(t *testing.T) {
	broken := errors.New("broken off")
	for name, c := range map[string]struct{ readErr, want error }{
		"complete":   {io.EOF, nil},
		"broken off": {broken, broken},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(&breakingReader{strings.NewReader("body"), c.readErr}, 4, time.Second)
				time.Sleep(time.Second)
				select {
				case <-s.Ended():
					t.Error("the stream has ended before it was read")
				default:
				}
				if _, err := io.ReadAll(s); !errors.Is(err, c.want) {
					t.Errorf("read: %v, want %v", err, c.want)
				}
				<-s.Ended()
				readAt := time.Now()
				time.Sleep(time.Second)
				_, _ = s.Read(make([]byte, 1)) // a later read does not change the end time
				if at, err := s.End(); !at.Equal(readAt) || !errors.Is(err, c.want) {
					t.Errorf("ended %v after the last read with %v, want %v", at.Sub(readAt), err, c.want)
				}
			})
		})
	}
}

func TestStream_WatchDeadline(t *testing.T) {
	const clientTimeout, margin = time.Second, 100 * time.Millisecond
	broken := errors.New("broken off")
	for name, c := range map[string]struct {
		readErr error
		doneAt  time.Duration // after the last byte; 0: never
		want    string
		at      time.Duration // after the last byte
	}{
		"times out":  {io.EOF, 0, "timeout", clientTimeout - margin},
		"broken off": {broken, 0, "broken off", 0},
		"done":       {io.EOF, 300 * time.Millisecond, "", 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(&breakingReader{strings.NewReader("body"), c.readErr}, 4, clientTimeout)
				done, returned, got := make(chan struct{}), make(chan struct{}), ""
				go func() {
					defer close(returned)
					s.WatchDeadline(done, margin, func() { got = "timeout" }, func(err error) { got = err.Error() })
				}()
				time.Sleep(5 * time.Second) // the time-out starts at the last byte, not before
				_, _ = io.ReadAll(s)
				endedAt := time.Now()
				if c.doneAt > 0 {
					time.AfterFunc(c.doneAt, func() { close(done) })
				}
				<-returned
				if took := time.Since(endedAt); got != c.want || took != c.at {
					t.Errorf("%q after %v, want %q after %v", got, took, c.want, c.at)
				}
			})
		})
	}
}
