package listener

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Over the budget the socket that is idle for longest makes way, and the new one is served.
func TestSocketBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(answer, 2)
		ln, stop := start(t, f)
		var conns []net.Conn
		var readers []*bufio.Reader
		for i := range 3 {
			c, r := ln.dial()
			if resp, _, err := request(c, r, quote); err != nil || resp.StatusCode != 200 {
				t.Errorf("connection %d: %v, %v", i, resp, err)
			}
			conns, readers = append(conns, c), append(readers, r)
			time.Sleep(time.Millisecond)
		}
		if _, err := readers[0].ReadByte(); err != io.EOF {
			t.Errorf("the oldest: %v", err)
		}
		if resp, _, err := request(conns[1], readers[1], quote); err != nil || resp.StatusCode != 200 {
			t.Errorf("the second: %v, %v", resp, err)
		}
		if n := f.budget.count(); n != 2 {
			t.Errorf("%d sockets, want 2", n)
		}
		for _, c := range conns {
			c.Close()
		}
		<-stop()
	})
}

// SocketLimit that say nothing, or only half of something, are closed in time; silent ones by the hundred push out no client
// that has been served, and one that says something is served in between.
func TestSilentSocketsMakeWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(answer, 10)
		ln, stop := start(t, f)
		usual, usualReader := ln.dial()
		if resp, _, err := request(usual, usualReader, quote); err != nil || resp.StatusCode != 200 {
			t.Errorf("%v, %v", resp, err)
		}
		half, halfReader := ln.dial()
		io.WriteString(half, quote[:30])
		var silent []net.Conn
		for i := range 300 {
			c, _ := ln.dial()
			silent = append(silent, c)
			time.Sleep(3 * time.Millisecond)
			if n := f.budget.count(); n > 10 {
				t.Fatalf("%d sockets with a budget of 10", n)
			}
			if i%50 == 49 {
				if resp, _, err := request(usual, usualReader, quote); err != nil || resp.StatusCode != 200 {
					t.Errorf("after %d: %v, %v", i, resp, err)
				}
			}
		}
		if _, err := io.ReadAll(halfReader); err != nil {
			t.Error(err)
		}
		time.Sleep(headTimeout + time.Millisecond)
		synctest.Wait()
		if n := f.budget.count(); n != 1 {
			t.Errorf("%d sockets, want the usual one", n)
		}
		time.Sleep(idleTimeout)
		synctest.Wait()
		if n := f.budget.count(); n != 0 {
			t.Errorf("%d sockets that have been idle for long", n)
		}
		for _, c := range append(silent, usual, half) {
			c.Close()
		}
		<-stop()
	})
}

// Where sockets that have had a request come near what clients may hold, as clients that ask once leave them, answers close
// theirs. Sockets that have brought nothing are no reason to.
func TestManyIdleSocketsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(answer, 20) // nine may be kept
		ln, stop := start(t, f)
		closed := 0
		var conns []net.Conn
		for range 5 {
			c, _ := ln.dial()
			conns = append(conns, c)
		}
		for range 12 {
			c, r := ln.dial()
			resp, _, err := request(c, r, quote)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("%v, %v", resp, err)
			}
			if resp.Close {
				closed++
			}
			conns = append(conns, c)
			synctest.Wait()
		}
		if n := f.budget.count(); closed != 3 || n != 14 || f.budget.idleNow() != 9 || f.budget.muteNow() != 5 {
			t.Errorf("%d closed, %d open, %d idle, %d mute", closed, n, f.budget.idleNow(), f.budget.muteNow())
		}
		time.Sleep(idleTimeout + time.Second)
		synctest.Wait()
		if f.budget.idleNow() != 0 {
			t.Errorf("%d idle with no socket open", f.budget.idleNow())
		}
		for _, c := range conns {
			c.Close()
		}
		<-stop()
	})
}

// Server sockets may use what destinations have no use for, and no more.
func TestSocketsMayGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := 3
		f := New(Options{Settings: site(), Ready: func() bool { return true }, Log: slog.New(slog.DiscardHandler), GuaranteedSockets: 2,
			SocketLimit: func() int { return now }, Transport: transport(func(r *http.Request) (*http.Response, error) {
				time.Sleep(time.Second)
				return answer(r)
			})})
		ln, stop := start(t, f)
		var conns []net.Conn
		ask := func() bool { // whether it was taken
			c, r := ln.dial()
			conns = append(conns, c)
			io.WriteString(c, strings.Replace(quote, "Id: 1", fmt.Sprint("Id: 1", len(conns)), 1))
			taken := make(chan bool, 1)
			go func() {
				_, err := r.ReadByte()
				taken <- err == nil
			}()
			time.Sleep(10 * time.Millisecond)
			select {
			case ok := <-taken:
				return ok
			default:
				return true
			}
		}
		for i := range 5 {
			if got, want := ask(), i < 3; got != want {
				t.Errorf("socket %d: taken %v", i, got)
			}
		}
		now = 4
		if !ask() || ask() {
			t.Error("the budget did not grow by one")
		}
		for _, c := range conns {
			c.Close()
		}
		<-stop()
	})
}

// With no socket to spare a new one is closed, and none of those with a request is.
func TestNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFront(func(r *http.Request) (*http.Response, error) { time.Sleep(time.Second); return answer(r) }, 1)
		ln, stop := start(t, f)
		c, r := ln.dial()
		time.AfterFunc(100*time.Millisecond, func() {
			_, r := ln.dial()
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("the second: %v", err)
			}
		})
		if resp, _, err := request(c, r, quote); err != nil || resp.StatusCode != 200 {
			t.Errorf("%v, %v", resp, err)
		}
		c.Close()
		<-stop()
	})
}

// idleNow is how many sockets are idle, and muteNow how many have brought nothing yet.
func (s *socketBudget) idleNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle
}

func (s *socketBudget) muteNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unused
}
