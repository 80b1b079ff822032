package destination

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pumiceline/decide"
)

// TestLongAnswers: an answer that says it is long is taken while it keeps coming. One that stops, and one that is
// long without saying so, cost neither the client's time nor a megabyte of reading.
func TestLongAnswers(t *testing.T) {
	const long = 300_000
	for name, c := range map[string]struct {
		answer func(w io.Writer)
		served bool
	}{
		"in pieces": {func(w io.Writer) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", long)
			for range 10 {
				io.WriteString(w, strings.Repeat("x", long/10))
				time.Sleep(20 * time.Millisecond)
			}
		}, true},
		"stops": {func(w io.Writer) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", long, strings.Repeat("x", long-1))
		}, false},
		"endless chunks": {func(w io.Writer) {
			io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for range 20 {
				fmt.Fprintf(w, "4000\r\n%s\r\n", strings.Repeat("x", 0x4000))
			}
		}, false},
		"endless head": {func(w io.Writer) {
			io.WriteString(w, "HTTP/1.1 200 OK\r\n")
			for range 40_000 {
				io.WriteString(w, "X-A: b\r\n")
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				var b [1024]byte
				nc.Read(b[:])
				c.answer(nc)
				io.Copy(io.Discard, nc) // the connection stays open: nothing else says that no more will come
				nc.Close()
			}()
			f := NewFleet(Options{DialWithin: time.Second, IdleClose: time.Minute, MostSockets: 9}, slog.New(slog.DiscardHandler))
			f.Set(1, ln.Addr().String(), true)
			ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(20*time.Second))
			defer cancel()
			req, err := http.NewRequest(http.MethodGet, "http://d/quote", nil)
			if err != nil {
				t.Fatal(err)
			}
			begin := time.Now()
			res := f.Exchange(ctx, 1, req, nil)
			if took := time.Since(begin); took > 10*time.Second {
				t.Errorf("took %v", took)
			}
			if served := res.Outcome == decide.OK; served != c.served || served && len(res.Answer.Body) != long {
				t.Errorf("outcome %d, %v", res.Outcome, res.Err)
			}
			if !c.served && res.Outcome != decide.Failed && res.Outcome != decide.Reset {
				t.Errorf("outcome %d says that it cannot have run", res.Outcome)
			}
			if open := f.Open(); (open == 1) != c.served {
				t.Errorf("%d connections are kept", open)
			}
		})
	}
}
