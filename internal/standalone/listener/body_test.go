package listener

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/forwarder"
)

// readCompleteBody returns a transport that reads a streamed body, as an attempt would, and counts the body's bytes.
func readCompleteBody(got *int, readErr *error) roundTripperFunc {
	return func(r *http.Request) (*http.Response, error) {
		in := forwarder.RequestInfoFrom(r.Context())
		*got = len(in.Body)
		if in.Stream != nil {
			n, err := io.Copy(io.Discard, in.Stream)
			*got += int(n)
			if *readErr = err; err != nil {
				<-r.Context().Done()
				return nil, context.Cause(r.Context())
			}
		}
		return respondOK(r)
	}
}

// A request is served however long its body takes, as long as the body averages minBodyBytesPerSecond after
// firstBytesTimeout. A request whose body stalls, breaks off or is too large is ended. The clock is fake.
func TestRequestBody_PaceLimits(t *testing.T) {
	for name, c := range map[string]struct {
		size        int // of the complete body
		chunked     bool
		piece       int           // bytes in one write
		pause       time.Duration // between two writes
		sent        int           // bytes sent before the client stops; 0: all
		disconnects bool          // at that point, instead of stalling
		status      int           // 0: the connection ends without a response
		maxTime     time.Duration // until the response or the end
	}{
		"short, slow":          {size: 60_000, piece: 16_000, pause: 250 * time.Millisecond, status: 200, maxTime: 2 * time.Second},
		"long":                 {size: 2_000_000, piece: 50_000, status: 200, maxTime: time.Second},
		"long, slow":           {size: 640_000, piece: 64_000, pause: time.Second, status: 200, maxTime: 12 * time.Second},
		"chunked, slow":        {size: 300_000, chunked: true, piece: 20_000, pause: 300 * time.Millisecond, status: 200, maxTime: 6 * time.Second},
		"single bytes":         {size: 3000, chunked: true, piece: 1, status: 200, maxTime: time.Second},
		"exactly buffered":     {size: backend.MaxBufferedBody, chunked: true, piece: 4096, status: 200, maxTime: time.Second},
		"stalls at once":       {size: 640_000, piece: 10, sent: 10, status: 400, maxTime: 2100 * time.Millisecond},
		"stalls later":         {size: 640_000, piece: 64_000, sent: 320_000, maxTime: 8 * time.Second},
		"far too slow":         {size: 640_000, piece: 4000, pause: time.Second, status: 400, maxTime: 4 * time.Second},
		"client disconnects":   {size: 900_000, piece: 100_000, sent: 300_000, disconnects: true, maxTime: time.Second},
		"over MaxStreamedBody": {size: backend.MaxStreamedBody + 1000, chunked: true, piece: 1 << 20, maxTime: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, readErr := 0, error(nil)
				server := newTestServer(readCompleteBody(&got, &readErr), 9)
				ln, stop := serveOnPipes(t, server)
				conn, r := ln.dial()
				begun := time.Now()
				clientDone := make(chan struct{})
				go func() {
					defer close(clientDone)
					head := fmt.Sprintf("Content-Length: %d\r\n\r\n", c.size)
					if c.chunked {
						head = "Transfer-Encoding: chunked\r\n\r\n"
					}
					if _, err := io.WriteString(conn, "POST /issue HTTP/1.1\r\n"+issueHeaders+head); err != nil {
						return
					}
					for sent := 0; sent < c.size; {
						if c.sent > 0 && sent >= c.sent {
							if c.disconnects {
								conn.Close()
							}
							return
						}
						n := min(c.piece, c.size-sent)
						text := strings.Repeat("x", n)
						if c.chunked {
							text = fmt.Sprintf("%x;a=b\r\n%s\r\n", n, text)
						}
						if _, err := io.WriteString(conn, text); err != nil {
							return
						}
						sent += n
						time.Sleep(c.pause)
					}
					if c.chunked {
						io.WriteString(conn, "0\r\nX-Trailer: a\r\n\r\n")
					}
				}()
				resp, err := http.ReadResponse(r, nil)
				took := time.Since(begun)
				if c.status > 0 && (err != nil || resp.StatusCode != c.status) ||
					c.status == 0 && err == nil && resp.StatusCode < 400 {
					t.Errorf("%v, %v", resp, err)
				}
				if c.status == 200 && got != c.size {
					t.Errorf("%d bytes of %d were forwarded, %v", got, c.size, readErr)
				}
				if took > c.maxTime {
					t.Errorf("it took %v", took)
				}
				conn.Close()
				<-clientDone
				if err := <-stop(); err != nil {
					t.Error(err)
				}
				if server.InFlight() != 0 || len(server.openIDs.ids) != 0 || server.OpenSockets() != 0 {
					t.Error("the ended request is still in flight, or its correlation id or socket is still open")
				}
				if c.disconnects && (readErr == nil || got != c.sent) { // the reading attempt must get the error
					t.Errorf("the attempt read %d bytes, %v", got, readErr)
				}
			})
		})
	}
}

// The client's time-out counts from the last byte of a body, or from the head if the body arrived with it.
func TestRequestBody_ClientTimeoutCountsFromLastByte(t *testing.T) {
	for _, c := range []struct {
		size int
		wait time.Duration
	}{{10, 0}, {10, time.Second}, {100_000, time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			var endedAt time.Time
			server := newTestServer(func(r *http.Request) (*http.Response, error) {
				if in := forwarder.RequestInfoFrom(r.Context()); in.Stream != nil {
					go io.Copy(io.Discard, in.Stream)
				}
				<-r.Context().Done()
				if endedAt = time.Now(); !errors.Is(context.Cause(r.Context()), context.DeadlineExceeded) {
					t.Errorf("ended by %v", context.Cause(r.Context()))
				}
				return respondOK(r)
			}, 9)
			ln, stop := serveOnPipes(t, server)
			conn, r := ln.dial()
			begun := time.Now()
			go func() {
				fmt.Fprintf(conn, "POST /issue HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s",
					issueHeaders, c.size, strings.Repeat("x", c.size-1))
				time.Sleep(c.wait)
				io.WriteString(conn, "x")
			}()
			if _, err := http.ReadResponse(r, nil); err != nil {
				t.Error(err)
			}
			if got := endedAt.Sub(begun); got != c.wait+480*time.Millisecond {
				t.Errorf("%d bytes, the last after %v: ended after %v", c.size, c.wait, got)
			}
			conn.Close()
			if err := <-stop(); err != nil {
				t.Error(err)
			}
		})
	}
}
