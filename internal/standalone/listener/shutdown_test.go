package listener

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestShutdownTimes(t *testing.T) {
	stop := time.Unix(1000, 0)
	for _, c := range [][3]time.Duration{ // longest deadline; then closeFrom and lastResponse, from the stop
		{3 * time.Second, 2450 * time.Millisecond, 3450 * time.Millisecond},
		{9 * time.Second, 2450 * time.Millisecond, 3450 * time.Millisecond}, // at most 3 s count
		{200 * time.Millisecond, 0, 650 * time.Millisecond},                 // no time for keep-alive: close at once
	} {
		got := shutdownTimes(stop, c[0])
		if got.closeFrom.Sub(stop) != c[1] || got.lastResponse.Sub(stop) != c[2] {
			t.Errorf("longest %v: closing after %v, last response after %v", c[0], got.closeFrom.Sub(stop), got.lastResponse.Sub(stop))
		}
	}
}

// At shutdown new connections are accepted for acceptGrace, responses close their connections, accepted requests are
// finished, and connections without a request do not delay the end.
func TestServer_ShutdownFinishesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(func(r *http.Request) (*http.Response, error) {
			time.Sleep(time.Second)
			return respondOK(r)
		}, 9)
		ln, stop := serveOnPipes(t, server)
		early, earlyReader := ln.dial()
		idle, idleReader := ln.dial()
		time.Sleep(time.Second)
		answered := make(chan string, 2)
		request := func(c net.Conn, r *bufio.Reader) {
			resp, body, err := exchange(c, r, strings.Replace(quoteRequest, "Id: 1", fmt.Sprintf("Id: %p", c), 1))
			answered <- fmt.Sprint(resp != nil && resp.Close, body, err)
		}
		go request(early, earlyReader)
		time.Sleep(100 * time.Millisecond)
		ended := stop()
		time.Sleep(500 * time.Millisecond)
		go request(ln.dial())
		late, _ := ln.dial() // accepted just before the end of acceptGrace, and never used
		defer late.Close()
		begun := time.Now()
		for range 2 {
			if got := <-answered; !strings.Contains(got, "42") || !strings.Contains(got, "<nil>") {
				t.Errorf("answer: %s", got)
			}
		}
		if _, err := idleReader.ReadByte(); err != io.EOF {
			t.Errorf("the unused connection: %v", err)
		}
		if err := <-ended; err != nil || time.Since(begun) > 2*time.Second {
			t.Errorf("%v, ended after %v", err, time.Since(begun))
		}
		idle.Close()
	})
}

// Without a successor, keep-alive connections, which the load balancer in front does not move, are served until shortly
// before SIGKILL could come, and deadlines are capped to lastResponse. With a successor each response closes its
// connection.
func TestServer_ShutdownKeepsConnectionsUntilCloseFrom(t *testing.T) {
	for _, successor := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var stopped time.Time
			server := newTestServerWith(func(r *http.Request) (*http.Response, error) {
				if d, _ := r.Context().Deadline(); !stopped.IsZero() && d.Sub(stopped) > 3450*time.Millisecond {
					t.Errorf("deadline %v after the stop", d.Sub(stopped)) // SIGKILL may come 3.7 s after it
				}
				time.Sleep(300 * time.Millisecond)
				return respondOK(r)
			}, func(opts *Options) { opts.HasSuccessor = func() bool { return successor } })
			ln, stop := serveOnPipes(t, server)
			c, r := ln.dial()
			defer c.Close()
			closes := func(n int) bool {
				text := strings.Replace(strings.Replace(issueHeaders, "9b1f", fmt.Sprint("id-", n), 1), "480", "3000", 1)
				resp, body, err := exchange(c, r, "POST /issue HTTP/1.1\r\nContent-Length: 2\r\n"+text+"\r\n{}")
				if err != nil || body != "42" {
					t.Fatalf("request %d: %q, %v", n, body, err)
				}
				return resp.Close
			}
			closes(0)
			stopped = time.Now()
			ended := stop()
			if successor && !closes(1) {
				t.Error("with a successor, a response after the stop keeps its connection open")
			}
			if !successor {
				time.Sleep(1900 * time.Millisecond) // well past acceptGrace, 0.6 s
				if closes(1) || !closes(2) {        // answered at 2.2 s and at 2.5 s
					t.Error("the connection was not kept open at 2.2 s, or not closed after 2.45 s")
				}
			}
			if err := <-ended; err != nil || time.Since(stopped) > 3450*time.Millisecond {
				t.Errorf("%v after %v", err, time.Since(stopped))
			}
		})
	}
}

// A request that is not answered before SIGKILL is lost, and SIGKILL does not wait for deadlines over 3 s. Each
// request, also one whose body is still being sent, must therefore be answered by lastResponse.
func TestServer_ShutdownCapsDeadlines(t *testing.T) {
	for name, body := range map[string]string{
		"complete":     "Content-Length: 2\r\n\r\n{}",
		"still coming": "Content-Length: 99999\r\n\r\n" + strings.Repeat("x", 70_000),
	} {
		synctest.Test(t, func(t *testing.T) {
			set := testSettings()
			set.Classes[1].ClientTimeout = 12e6
			server := newTestServerWith(func(r *http.Request) (*http.Response, error) {
				<-r.Context().Done() // as forwarder.Transport does if the policy has not decided
				if !errors.Is(context.Cause(r.Context()), context.DeadlineExceeded) {
					t.Errorf("%s: the context ends with %v", name, context.Cause(r.Context()))
				}
				return gatewayTimeout(r), nil
			}, func(opts *Options) { opts.Settings = set })
			ln, stop := serveOnPipes(t, server)
			c, r := ln.dial()
			defer c.Close()
			time.AfterFunc(100*time.Millisecond, func() { stop() })
			begin := time.Now()
			headers := strings.Replace(issueHeaders, "Left-Ms: 480", "Left-Ms: 12000", 1)
			resp, _, err := exchange(c, r, "POST /issue HTTP/1.1\r\n"+headers+body)
			took := time.Since(begin) - 100*time.Millisecond
			if err != nil || resp.StatusCode != 504 || took > maxCountedDeadline+killDelay-killMargin {
				t.Errorf("%s: %v, %v, %v after the stop", name, resp, err, took)
			}
			c.Close()
			<-stop()
		})
	}
}

// A client that is sending a request head at the stop is answered if the head is complete in time. If it is not, the
// shutdown still ends before SIGKILL could come.
func TestServer_ShutdownWaitsForIncompleteHeads(t *testing.T) {
	for name, c := range map[string]struct {
		keepAlive bool // the connection had a request before
		rest      bool // the rest of the head comes
	}{"on a new connection": {false, true}, "on a reused connection": {true, true}, "never complete": {true, false}} {
		synctest.Test(t, func(t *testing.T) {
			server := newTestServerWith(respondOK, withSuccessor)
			ln, stop := serveOnPipes(t, server)
			client, r := ln.dial()
			defer client.Close()
			if c.keepAlive {
				if resp, _, err := exchange(client, r, quoteRequest); err != nil || resp.StatusCode != 200 {
					t.Errorf("%s: %v, %v", name, resp, err)
				}
			}
			if _, err := io.WriteString(client, quoteRequest[:30]); err != nil {
				t.Error(err)
			}
			synctest.Wait()
			begin, ended := time.Now(), stop()
			time.Sleep(2 * time.Second)
			if c.rest {
				if resp, body, err := exchange(client, r, quoteRequest[30:]); err != nil || body != "42" || !resp.Close {
					t.Errorf("%s: %v, %q, %v", name, resp, body, err)
				}
			} else if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("%s: %v", name, err)
			}
			if err := <-ended; err != nil || time.Since(begin) > maxCountedDeadline+killDelay {
				t.Errorf("%s: %v after %v", name, err, time.Since(begin))
			}
		})
	}
}
