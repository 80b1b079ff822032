package listener

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// An answer that breaks off, or whose handler panics half-way, is one that the client can tell from a whole one.
func TestBrokenAnswersShow(t *testing.T) {
	long := strings.Repeat("x", 300_000)
	for _, breaks := range []string{"", "breaks off", "panics"} {
		for _, length := range []string{"300000", ""} {
			f := newFront(func(r *http.Request) (*http.Response, error) {
				body := io.MultiReader(strings.NewReader(long[:100_000]), broken{breaks == "panics"})
				if breaks == "" {
					body = strings.NewReader(long)
				}
				h := http.Header{}
				if length != "" {
					h.Set("Content-Length", length)
				}
				return &http.Response{StatusCode: 200, Header: h, ContentLength: -1, Body: io.NopCloser(body), Request: r}, nil
			}, 9)
			ln, stop := start(t, f)
			conn, r := ln.dial()
			go io.WriteString(conn, "POST /issue HTTP/1.1\r\n"+headers+"Content-Length: 0\r\n\r\n")
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if whole := int(n) == len(long) && err == nil; whole != (breaks == "") || breaks != "" && err == nil {
				t.Errorf("%q, length %q: %d bytes, %v", breaks, length, n, err)
			}
			conn.Close()
			if err := <-stop(); err != nil {
				t.Error(err)
			}
		}
	}
}

// stalled is a client that takes the first piece of an answer and then nothing until a deadline ends the write.
type stalled struct {
	http.ResponseWriter
	wrote    int
	deadline time.Time
}

func (s *stalled) SetWriteDeadline(t time.Time) error { s.deadline = t; return nil }

func (s *stalled) Write(b []byte) (int, error) {
	if s.wrote++; s.wrote == 1 {
		return len(b), nil
	}
	time.Sleep(time.Until(s.deadline))
	return 0, os.ErrDeadlineExceeded
}

// A client that takes nothing of a long answer any more makes way; short answers have no watch, and the next one has none left.
func TestClientsThatTakeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stalled{}
		a := &responseWriter{ResponseWriter: s, conn: http.NewResponseController(s)}
		if _, err := a.Write([]byte("x")); err != nil || !s.deadline.IsZero() {
			t.Errorf("the first piece: %v, deadline %v", err, s.deadline)
		}
		begun := time.Now()
		if _, err := a.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begun) != writeStallTimeout {
			t.Errorf("%v after %v", err, time.Since(begun))
		}
		if a.clearWriteDeadline(); !s.deadline.IsZero() {
			t.Error("a deadline is left")
		}
	})
}

type broken struct{ panics bool }

func (b broken) Read([]byte) (int, error) {
	if b.panics {
		panic("a fault")
	}
	return 0, errors.New("the destination is gone")
}
