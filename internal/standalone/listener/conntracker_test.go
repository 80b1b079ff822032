package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// At the limit the longest idle socket is evicted, and the new connection is served.
func TestConnTracker_EvictsLongestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(respondOK, 2)
		ln, stop := serveOnPipes(t, server)
		var conns []net.Conn
		var readers []*bufio.Reader
		for i := range 3 {
			c, r := ln.dial()
			if resp, _, err := exchange(c, r, quoteRequest); err != nil || resp.StatusCode != 200 {
				t.Errorf("connection %d: %v, %v", i, resp, err)
			}
			conns, readers = append(conns, c), append(readers, r)
			time.Sleep(time.Millisecond)
		}
		if _, err := readers[0].ReadByte(); err != io.EOF {
			t.Errorf("the oldest: %v", err)
		}
		if resp, _, err := exchange(conns[1], readers[1], quoteRequest); err != nil || resp.StatusCode != 200 {
			t.Errorf("the second: %v, %v", resp, err)
		}
		if n := server.tracker.count(); n != 2 {
			t.Errorf("%d sockets, want 2", n)
		}
		for _, c := range conns {
			c.Close()
		}
		<-stop()
	})
}

// Sockets that receive nothing, or half a head, are closed in time. Hundreds of unused sockets do not evict that of a
// client that has been served, and the client's further requests in between are served.
func TestConnTracker_EvictsUnusedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(respondOK, 10)
		ln, stop := serveOnPipes(t, server)
		regular, regularReader := ln.dial()
		if resp, _, err := exchange(regular, regularReader, quoteRequest); err != nil || resp.StatusCode != 200 {
			t.Errorf("%v, %v", resp, err)
		}
		half, halfReader := ln.dial()
		io.WriteString(half, quoteRequest[:30])
		var silent []net.Conn
		for i := range 300 {
			c, _ := ln.dial()
			silent = append(silent, c)
			time.Sleep(3 * time.Millisecond)
			if n := server.tracker.count(); n > 10 {
				t.Fatalf("%d sockets with a limit of 10", n)
			}
			if i%50 == 49 {
				if resp, _, err := exchange(regular, regularReader, quoteRequest); err != nil || resp.StatusCode != 200 {
					t.Errorf("after %d: %v, %v", i, resp, err)
				}
			}
		}
		if _, err := io.ReadAll(halfReader); err != nil {
			t.Error(err)
		}
		time.Sleep(headTimeout + time.Millisecond)
		synctest.Wait()
		if n := server.tracker.count(); n != 1 {
			t.Errorf("%d sockets, want only that of the regular client", n)
		}
		time.Sleep(idleTimeout)
		synctest.Wait()
		if n := server.tracker.count(); n != 0 {
			t.Errorf("%d sockets are open after idleTimeout", n)
		}
		for _, c := range append(silent, regular, half) {
			c.Close()
		}
		<-stop()
	})
}

// When clients that send one request leave so many connections open that usedSocketsFraction is exceeded, responses
// close their connections. Unused sockets do not count.
func TestConnTracker_ShedsKeepAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(respondOK, 20) // usedSocketsFraction: nine may be kept alive
		ln, stop := serveOnPipes(t, server)
		closed := 0
		var conns []net.Conn
		for range 5 {
			c, _ := ln.dial()
			conns = append(conns, c)
		}
		for range 12 {
			c, r := ln.dial()
			resp, _, err := exchange(c, r, quoteRequest)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("%v, %v", resp, err)
			}
			if resp.Close {
				closed++
			}
			conns = append(conns, c)
			synctest.Wait()
		}
		if n := server.tracker.count(); closed != 3 || n != 14 || server.tracker.idleNow() != 9 || server.tracker.unusedNow() != 5 {
			t.Errorf("%d closed, %d open, %d idle, %d unused", closed, n, server.tracker.idleNow(), server.tracker.unusedNow())
		}
		time.Sleep(idleTimeout + time.Second)
		synctest.Wait()
		if server.tracker.idleNow() != 0 {
			t.Errorf("%d sockets are counted as idle after idleTimeout", server.tracker.idleNow())
		}
		for _, c := range conns {
			c.Close()
		}
		<-stop()
	})
}

// The limit is what SocketLimit returns now, also after it has grown.
func TestConnTracker_FollowsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := 3
		server := newTestServerWith(func(r *http.Request) (*http.Response, error) {
			time.Sleep(time.Second)
			return respondOK(r)
		}, func(opts *Options) {
			opts.GuaranteedSockets, opts.SocketLimit = 2, func() int { return limit }
		})
		ln, stop := serveOnPipes(t, server)
		var conns []net.Conn
		isAccepted := func() bool { // connects and sends a request
			c, r := ln.dial()
			conns = append(conns, c)
			io.WriteString(c, strings.Replace(quoteRequest, "Id: 1", fmt.Sprint("Id: 1", len(conns)), 1))
			answered := make(chan bool, 1)
			go func() {
				_, err := r.ReadByte()
				answered <- err == nil
			}()
			time.Sleep(10 * time.Millisecond)
			select {
			case ok := <-answered:
				return ok
			default:
				return true
			}
		}
		for i := range 5 {
			if got, want := isAccepted(), i < 3; got != want {
				t.Errorf("socket %d: accepted %v", i, got)
			}
		}
		limit = 4
		if !isAccepted() || isAccepted() {
			t.Error("the limit did not grow by one")
		}
		for _, c := range conns {
			c.Close()
		}
		<-stop()
	})
}

// If no socket can be evicted, the new one is closed. A socket with a request stays open.
func TestConnTracker_ClosesNewConnectionWhenFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(func(r *http.Request) (*http.Response, error) { time.Sleep(time.Second); return respondOK(r) }, 1)
		ln, stop := serveOnPipes(t, server)
		c, r := ln.dial()
		time.AfterFunc(100*time.Millisecond, func() {
			_, r := ln.dial()
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("the second: %v", err)
			}
		})
		if resp, _, err := exchange(c, r, quoteRequest); err != nil || resp.StatusCode != 200 {
			t.Errorf("%v, %v", resp, err)
		}
		c.Close()
		<-stop()
	})
}

// idleNow returns how many sockets are idle, and unusedNow how many have not had a request yet.
func (t *connTracker) idleNow() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle
}

func (t *connTracker) unusedNow() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unused
}
