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

// takesRest is a transport that reads what of a body is still coming, as an attempt would, and counts it.
func takesRest(got *int, ended *error) transport {
	return func(r *http.Request) (*http.Response, error) {
		in := forwarder.RequestInfoFrom(r.Context())
		*got = len(in.Body)
		if in.Stream != nil {
			n, err := io.Copy(io.Discard, in.Stream)
			*got += int(n)
			if *ended = err; err != nil {
				<-r.Context().Done()
				return nil, context.Cause(r.Context())
			}
		}
		return answer(r)
	}
}

// A body is served however long and slow it is, while it keeps coming: 32 kB/s on the whole are enough after its first 2 s. One
// that stalls, ends early or has no end makes way. Times are those of a fake clock.
func TestBodiesThatKeepComing(t *testing.T) {
	for name, c := range map[string]struct {
		size   int // in all
		coded  bool
		piece  int
		pause  time.Duration
		sent   int  // before it stops; 0: all
		leaves bool // there, rather than stall
		status int  // 0: an end without an answer
		most   time.Duration
	}{
		"short, slow":        {size: 60_000, piece: 16_000, pause: 250 * time.Millisecond, status: 200, most: 2 * time.Second},
		"long":               {size: 2_000_000, piece: 50_000, status: 200, most: time.Second},
		"long, slow":         {size: 640_000, piece: 64_000, pause: time.Second, status: 200, most: 12 * time.Second},
		"coded, slow":        {size: 300_000, coded: true, piece: 20_000, pause: 300 * time.Millisecond, status: 200, most: 6 * time.Second},
		"single bytes":       {size: 3000, coded: true, piece: 1, status: 200, most: time.Second},
		"exactly kept":       {size: backend.MaxBufferedBody, coded: true, piece: 4096, status: 200, most: time.Second},
		"stalls at once":     {size: 640_000, piece: 10, sent: 10, status: 400, most: 2100 * time.Millisecond},
		"stalls later":       {size: 640_000, piece: 64_000, sent: 320_000, most: 8 * time.Second},
		"far too slow":       {size: 640_000, piece: 4000, pause: time.Second, status: 400, most: 4 * time.Second},
		"client leaves":      {size: 900_000, piece: 100_000, sent: 300_000, leaves: true, most: time.Second},
		"longer than it may": {size: backend.MaxStreamedBody + 1000, coded: true, piece: 1 << 20, most: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, ended := 0, error(nil)
				f := newFront(takesRest(&got, &ended), 9)
				ln, stop := start(t, f)
				conn, r := ln.dial()
				begun := time.Now()
				gone := make(chan struct{})
				go func() {
					defer close(gone)
					head := fmt.Sprintf("Content-Length: %d\r\n\r\n", c.size)
					if c.coded {
						head = "Transfer-Encoding: chunked\r\n\r\n"
					}
					if _, err := io.WriteString(conn, "POST /issue HTTP/1.1\r\n"+headers+head); err != nil {
						return
					}
					for sent := 0; sent < c.size; {
						if c.sent > 0 && sent >= c.sent {
							if c.leaves {
								conn.Close()
							}
							return
						}
						n := min(c.piece, c.size-sent)
						text := strings.Repeat("x", n)
						if c.coded {
							text = fmt.Sprintf("%x;a=b\r\n%s\r\n", n, text)
						}
						if _, err := io.WriteString(conn, text); err != nil {
							return
						}
						sent += n
						time.Sleep(c.pause)
					}
					if c.coded {
						io.WriteString(conn, "0\r\nX-Trailer: a\r\n\r\n")
					}
				}()
				resp, err := http.ReadResponse(r, nil)
				took := time.Since(begun)
				if c.status > 0 && (err != nil || resp.StatusCode != c.status) || c.status == 0 && err == nil && resp.StatusCode < 400 {
					t.Errorf("%v, %v", resp, err)
				}
				if c.status == 200 && got != c.size {
					t.Errorf("%d bytes of %d came through, %v", got, c.size, ended)
				}
				if took > c.most {
					t.Errorf("it took %v", took)
				}
				conn.Close()
				<-gone
				if err := <-stop(); err != nil {
					t.Error(err)
				}
				if f.InFlight() != 0 || len(f.openIDs.ids) != 0 || f.OpenSockets() != 0 {
					t.Error("something is kept of it")
				}
				if c.leaves && (ended == nil || got != c.sent) { // the step that reads must learn of it
					t.Errorf("the step read %d bytes, %v", got, ended)
				}
			})
		})
	}
}

// The client's time counts from the last byte of a body that takes its time, and from the head where all came at once.
func TestTimeCountsFromTheLastByte(t *testing.T) {
	for _, c := range []struct {
		size int
		wait time.Duration
	}{{10, 0}, {10, time.Second}, {100_000, time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			var over time.Time
			f := newFront(func(r *http.Request) (*http.Response, error) {
				if in := forwarder.RequestInfoFrom(r.Context()); in.Stream != nil {
					go io.Copy(io.Discard, in.Stream)
				}
				<-r.Context().Done()
				if over = time.Now(); !errors.Is(context.Cause(r.Context()), context.DeadlineExceeded) {
					t.Errorf("ended by %v", context.Cause(r.Context()))
				}
				return answer(r)
			}, 9)
			ln, stop := start(t, f)
			conn, r := ln.dial()
			begun := time.Now()
			go func() {
				fmt.Fprintf(conn, "POST /issue HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", headers, c.size, strings.Repeat("x", c.size-1))
				time.Sleep(c.wait)
				io.WriteString(conn, "x")
			}()
			if _, err := http.ReadResponse(r, nil); err != nil {
				t.Error(err)
			}
			if got := over.Sub(begun); got != c.wait+480*time.Millisecond {
				t.Errorf("%d bytes, the last after %v: over after %v", c.size, c.wait, got)
			}
			conn.Close()
			if err := <-stop(); err != nil {
				t.Error(err)
			}
		})
	}
}
