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

// A client can distinguish a response that breaks off, or during which the handler panics, from a complete one.
func TestServer_TruncatedResponseIsDetectable(t *testing.T) {
	long := strings.Repeat("x", 300_000)
	for _, breaks := range []string{"", "breaks off", "panics"} {
		for _, length := range []string{"300000", ""} {
			server := newTestServer(func(r *http.Request) (*http.Response, error) {
				body := io.MultiReader(strings.NewReader(long[:100_000]), brokenBody{breaks == "panics"})
				if breaks == "" {
					body = strings.NewReader(long)
				}
				h := http.Header{}
				if length != "" {
					h.Set("Content-Length", length)
				}
				return &http.Response{StatusCode: 200, Header: h, ContentLength: -1, Body: io.NopCloser(body), Request: r}, nil
			}, 9)
			ln, stop := serveOnPipes(t, server)
			conn, r := ln.dial()
			go io.WriteString(conn, "POST /issue HTTP/1.1\r\n"+issueHeaders+"Content-Length: 0\r\n\r\n")
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if isComplete := int(n) == len(long) && err == nil; isComplete != (breaks == "") || breaks != "" && err == nil {
				t.Errorf("%q, length %q: %d bytes, %v", breaks, length, n, err)
			}
			conn.Close()
			if err := <-stop(); err != nil {
				t.Error(err)
			}
		}
	}
}

// stalledWriter is a client that accepts the first write of a response and then nothing until a deadline ends the
// write.
type stalledWriter struct {
	http.ResponseWriter
	writes   int
	deadline time.Time
}

func (s *stalledWriter) SetWriteDeadline(t time.Time) error { s.deadline = t; return nil }

func (s *stalledWriter) Write(b []byte) (int, error) {
	if s.writes++; s.writes == 1 {
		return len(b), nil
	}
	time.Sleep(time.Until(s.deadline))
	return 0, os.ErrDeadlineExceeded
}

// A write to a client that stalls in a long response fails after writeStallTimeout. A short response sets no write
// deadline, and no deadline remains for the next response.
func TestResponseWriter_StalledClientTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stalledWriter{}
		a := &responseWriter{ResponseWriter: s, conn: http.NewResponseController(s)}
		if _, err := a.Write([]byte("x")); err != nil || !s.deadline.IsZero() {
			t.Errorf("the first write: %v, deadline %v", err, s.deadline)
		}
		begun := time.Now()
		if _, err := a.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begun) != writeStallTimeout {
			t.Errorf("%v after %v", err, time.Since(begun))
		}
		if a.clearWriteDeadline(); !s.deadline.IsZero() {
			t.Error("a write deadline remains")
		}
	})
}

type brokenBody struct{ panics bool }

func (b brokenBody) Read([]byte) (int, error) {
	if b.panics {
		panic("test panic")
	}
	return 0, errors.New("the backend connection broke")
}
