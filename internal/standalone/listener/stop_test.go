package listener

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestStopTimes(t *testing.T) {
	stop := time.Unix(1000, 0)
	for _, c := range [][3]time.Duration{ // longest deadline; closing, last answer after the stop
		{3 * time.Second, 2450 * time.Millisecond, 3450 * time.Millisecond},
		{9 * time.Second, 2450 * time.Millisecond, 3450 * time.Millisecond}, // SIGKILL waits for 3 s at most
		{200 * time.Millisecond, 0, 650 * time.Millisecond},                 // no time to keep anything: close at once
	} {
		if closeFrom, last := shutdownTimes(stop, c[0]); closeFrom.Sub(stop) != c[1] || last.Sub(stop) != c[2] {
			t.Errorf("longest %v: closing after %v, last answer after %v", c[0], closeFrom.Sub(stop), last.Sub(stop))
		}
	}
}

// A proxy that stops with nobody to take over goes on serving its kept connections, which the front layer does not move, until
// shortly before SIGKILL could come, and cuts deadlines to that; with a successor each answer closes.
func TestStopKeepsConnections(t *testing.T) {
	for _, successor := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var stopped time.Time
			f := New(Options{Settings: site(), Ready: func() bool { return true }, GuaranteedSockets: 9, Log: slog.New(slog.DiscardHandler),
				HasSuccessor: func() bool { return successor }, Transport: transport(func(r *http.Request) (*http.Response, error) {
					if d, _ := r.Context().Deadline(); !stopped.IsZero() && d.Sub(stopped) > 3450*time.Millisecond {
						t.Errorf("a deadline %v after the stop", d.Sub(stopped)) // SIGKILL may come 3.7 s after it
					}
					time.Sleep(300 * time.Millisecond)
					return answer(r)
				})})
			ln, stop := start(t, f)
			c, r := ln.dial()
			defer c.Close()
			closes := func(n int) bool {
				text := strings.Replace(strings.Replace(headers, "9b1f", fmt.Sprint("id-", n), 1), "480", "3000", 1)
				resp, body, err := request(c, r, "POST /issue HTTP/1.1\r\nContent-Length: 2\r\n"+text+"\r\n{}")
				if err != nil || body != "42" {
					t.Fatalf("request %d: %q, %v", n, body, err)
				}
				return resp.Close
			}
			closes(0)
			stopped = time.Now()
			ended := stop()
			if successor && !closes(1) {
				t.Error("with a successor, an answer after the stop keeps its connection")
			}
			if !successor {
				time.Sleep(1900 * time.Millisecond) // well past the 0.6 s of new connections
				if closes(1) || !closes(2) {        // answered at 2.2 s and at 2.5 s
					t.Error("not kept at 2.2 s, or not closed from 2.45 s")
				}
			}
			if err := <-ended; err != nil || time.Since(stopped) > 3450*time.Millisecond {
				t.Errorf("%v after %v", err, time.Since(stopped))
			}
		})
	}
}

// What a proxy has taken and not answered when SIGKILL comes is lost, and that does not wait for deadlines over 3 s: it is answered by
// the last answer, whenever it was taken. So is a request whose body is still coming then.
func TestLongDeadlinesEndWithTheProxy(t *testing.T) {
	for name, body := range map[string]string{"whole": "Content-Length: 2\r\n\r\n{}", "still coming": "Content-Length: 99999\r\n\r\n" + strings.Repeat("x", 70_000)} {
		synctest.Test(t, func(t *testing.T) {
			set := site()
			set.Classes[1].ClientTimeout = 12e6
			f := New(Options{Settings: set, Ready: func() bool { return true }, GuaranteedSockets: 9, Log: slog.New(slog.DiscardHandler),
				Transport: transport(func(r *http.Request) (*http.Response, error) {
					<-r.Context().Done() // as a route whose module has not settled it
					if !errors.Is(context.Cause(r.Context()), context.DeadlineExceeded) {
						t.Errorf("%s: it ends with %v", name, context.Cause(r.Context()))
					}
					return &http.Response{StatusCode: http.StatusGatewayTimeout, Header: http.Header{}, Body: http.NoBody, Request: r}, nil
				})})
			ln, stop := start(t, f)
			c, r := ln.dial()
			defer c.Close()
			time.AfterFunc(100*time.Millisecond, func() { stop() })
			begin := time.Now()
			resp, _, err := request(c, r, "POST /issue HTTP/1.1\r\n"+strings.Replace(headers, "Left-Ms: 480", "Left-Ms: 12000", 1)+body)
			if took := time.Since(begin) - 100*time.Millisecond; err != nil || resp.StatusCode != 504 || took > maxCountedDeadline+killDelay-killMargin {
				t.Errorf("%s: %v, %v, %v after the stop", name, resp, err, took)
			}
			c.Close()
			<-stop()
		})
	}
}
