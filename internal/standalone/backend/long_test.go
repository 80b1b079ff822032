package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pumiceline/internal/standalone/policy"
)

// once serves one answer, and says when that has been written or can't be.
func once(t *testing.T, answer func(c net.Conn) error) (f *Pool, written chan error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	written = make(chan error, 1)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		var b [1024]byte
		nc.Read(b[:])
		err = answer(nc)
		written <- err
		if err == nil {
			io.Copy(io.Discard, nc) // the connection stays open: nothing else says that no more will come
		}
	}()
	f = NewPool(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConnections: 9}, slog.New(slog.DiscardHandler))
	f.SetBackend(1, ln.Addr().String(), true)
	return f, written
}

func ask(t *testing.T, f *Pool, within time.Duration) Result {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(within))
	defer cancel()
	req, err := http.NewRequest(http.MethodGet, "http://d/quote", nil)
	if err != nil {
		t.Fatal(err)
	}
	return f.Exchange(ctx, 1, Attempt{Request: req})
}

var errEnd = errors.New("the destination ends the connection")

func chunks(c net.Conn, n, size int) error {
	for range n {
		if _, err := fmt.Fprintf(c, "%x;ext=1\r\n%s\r\n", size, strings.Repeat("x", size)); err != nil {
			return err
		}
	}
	return nil
}

// A long answer is passed on while it comes, in whatever form; one that breaks off ends with an error that no reader can take
// for its end; an attempt that got one is over, and its connection is given back where it can be used again.
func TestLongAnswers(t *testing.T) {
	const long = 300_000
	coded := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		answer func(c net.Conn) error
		whole  int // bytes of the body; -1: it breaks off
		open   int
	}{
		"in pieces": {func(c net.Conn) error {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", long)
			for range 10 {
				io.WriteString(c, strings.Repeat("x", long/10))
				time.Sleep(20 * time.Millisecond)
			}
			return nil
		}, long, 1},
		"pauses early": {func(c net.Conn) error {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", long)
			time.Sleep(2 * streamAfterPause)
			io.WriteString(c, strings.Repeat("x", long-1))
			return nil
		}, long, 1},
		"chunked": {func(c net.Conn) error {
			io.WriteString(c, coded)
			if err := chunks(c, 100, 50_000); err != nil {
				return err
			}
			_, err := io.WriteString(c, "0\r\nX-Trailer: a\r\n\r\n")
			return err
		}, 5_000_000, 1},
		"ends with its connection": {func(c net.Conn) error {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("x", long))
			return errEnd
		}, long, 0},
		"breaks off": {func(c net.Conn) error {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", long, strings.Repeat("x", MaxBufferedBody))
			time.Sleep(20 * time.Millisecond)
			return errEnd
		}, -1, 0},
		"a chunk is missing": {func(c net.Conn) error {
			io.WriteString(c, coded)
			chunks(c, 3, 50_000)
			time.Sleep(20 * time.Millisecond)
			return errEnd
		}, -1, 0},
		"without an end": {func(c net.Conn) error {
			io.WriteString(c, coded)
			return chunks(c, MaxStreamedBody/50_000+9, 50_000)
		}, -1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := once(t, c.answer)
			res := ask(t, f, time.Minute)
			if res.Outcome != policy.OK || res.Response.Stream == nil {
				t.Fatalf("outcome %d, %v", res.Outcome, res.Err)
			}
			n, err := io.Copy(io.Discard, res.Response.Stream)
			if c.whole >= 0 && (err != nil || int(n) != c.whole) || c.whole < 0 && err == nil {
				t.Errorf("%d bytes, %v", n, err)
			}
			res.Response.Stream.Close()
			if open := f.OpenConnections(); open != c.open {
				t.Errorf("%d connections are kept", open)
			}
		})
	}
}

// A short answer without a length is served only whole, even if it takes its time; what never ends is not an answer.
func TestShortAnswersAreWhole(t *testing.T) {
	coded := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	f, _ := once(t, func(c net.Conn) error {
		io.WriteString(c, coded+"1\r\nx\r\n")
		time.Sleep(2 * streamAfterPause)
		io.WriteString(c, "1\r\ny\r\n0\r\n\r\n")
		return nil
	})
	if res := ask(t, f, time.Minute); res.Outcome != policy.OK || res.Response.Stream != nil || string(res.Response.Body) != "xy" {
		t.Errorf("%+v", res)
	}
	f, _ = once(t, func(c net.Conn) error {
		_, err := io.WriteString(c, coded)
		return err
	})
	if res := ask(t, f, 200*time.Millisecond); res.Outcome != policy.TimedOut || f.OpenConnections() != 0 {
		t.Errorf("nothing of a body came: outcome %d, %v, %d connections", res.Outcome, res.Err, f.OpenConnections())
	}
}

// A destination that is ahead of its reader waits: what is held does not grow with the answer. One that is given up is cut off.
func TestSlowReadersHoldTheDestinationBack(t *testing.T) {
	f, written := once(t, func(c net.Conn) error {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", MaxStreamedBody)
		_, err := io.WriteString(c, strings.Repeat("x", MaxStreamedBody))
		return err
	})
	res := ask(t, f, 300*time.Millisecond)
	if res.Outcome != policy.OK || res.Response.Stream == nil {
		t.Fatalf("outcome %d, %v", res.Outcome, res.Err)
	}
	s := res.Response.Stream.(*stream)
	time.Sleep(500 * time.Millisecond) // past the attempt's end, which must not end the answer
	s.mu.Lock()
	held, err := len(s.buffered), s.err
	s.mu.Unlock()
	if held > MaxBufferedBody+chunkBytes || err != nil {
		t.Errorf("%d bytes are held, %v", held, err)
	}
	if len(written) > 0 {
		t.Error("32 MiB went out with nobody reading")
	}
	if _, err := io.CopyN(io.Discard, s, MaxStreamedBody/2); err != nil {
		t.Errorf("half of it: %v", err)
	}
	s.Close()
	if err := <-written; err == nil {
		t.Error("the destination wrote all of what was given up")
	}
	if f.OpenConnections() != 0 {
		t.Errorf("%d connections are kept", f.OpenConnections())
	}
}

// heldReads is a connection whose first read waits until a test lets it go on.
type heldReads struct {
	net.Conn
	goOn <-chan struct{}
}

func (h *heldReads) Read(b []byte) (int, error) {
	<-h.goOn
	return h.Conn.Read(b)
}

// An answer with no length ends with its connection where that ends in order; a reset is no end, whether it lies there together with
// the last bytes or comes after bytes were passed on, and whether the answer is short or long.
func TestAResetIsNoEnd(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for name, size := range map[string]int{"empty": 0, "short": 100, "a piece": chunkBytes, "as much as is held": MaxBufferedBody, "long": 300_000} {
		for _, reset := range []bool{true, false} {
			goOn := make(chan struct{})
			f, written := once(t, func(c net.Conn) error {
				if _, err := io.WriteString(c, head+strings.Repeat("x", size)); err != nil {
					return err
				}
				if reset {
					if err := c.(*net.TCPConn).SetLinger(0); err != nil {
						return err
					}
				}
				c.Close()
				if size < 300_000 { // the end lies there with all bytes before the first is read
					close(goOn)
				}
				return errEnd
			})
			if size == 300_000 {
				close(goOn)
			}
			f.opts.Dial = func(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
				nc, err := DialTCP(ctx, addr, by)
				return &heldReads{nc, goOn}, err
			}
			res := ask(t, f, 20*time.Second)
			<-written
			whole := res.Outcome == policy.OK
			if whole && res.Response.Stream != nil {
				n, err := io.Copy(io.Discard, res.Response.Stream)
				whole = err == nil && int(n) == size
				res.Response.Stream.Close()
			} else if whole {
				whole = len(res.Response.Body) == size
			}
			if whole == reset {
				t.Errorf("%s, reset %v: whole %v; outcome %d, %v", name, reset, whole, res.Outcome, res.Err)
			}
			if f.OpenConnections() != 0 {
				t.Errorf("%s, reset %v: %d connections are kept", name, reset, f.OpenConnections())
			}
		}
	}
}
