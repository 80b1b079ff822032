package faulttest

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// listen opens a listener on loopback that is closed at the test's end.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// startEcho starts a server that echoes the data that it receives and counts its connections.
func startEcho(t *testing.T) (addr string, accepted *atomic.Int64) {
	t.Helper()
	ln, accepted := listen(t), &atomic.Int64{}
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			accepted.Add(1)
			go func() { io.Copy(c, c); c.(*net.TCPConn).CloseWrite() }()
		}
	}()
	return ln.Addr().String(), accepted
}

// startRelay starts a relay of a harness that is closed at the test's end.
func startRelay(t *testing.T, target string) *Relay {
	t.Helper()
	h := New()
	t.Cleanup(h.Close)
	r, err := h.StartRelay("relay", target)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A delay, a rate limit and a hold make a stream arrive late or slowly, but complete. While Upstream is held the target is
// not connected. An orderly end is forwarded as an orderly end, and a reset as a reset.
func TestRelay_Faults(t *testing.T) {
	target, accepted := startEcho(t)
	r := startRelay(t, target)
	text := bytes.Repeat([]byte("0123456789abcdef"), 4<<10) // 64 KiB
	for _, c := range []struct {
		name         string
		up, down     Fault
		healAfter    time.Duration // 0: never
		minEcho      time.Duration
		resetsStream bool
	}{
		{name: "none"},
		{name: "delay", up: Fault{Delay: 100 * time.Millisecond}, minEcho: 100 * time.Millisecond},
		{name: "rate", down: Fault{Rate: 256 << 10}, minEcho: 180 * time.Millisecond},
		{name: "hold upstream", up: Fault{Hold: true}, healAfter: 200 * time.Millisecond, minEcho: 190 * time.Millisecond},
		{name: "hold downstream", down: Fault{Hold: true}, healAfter: 200 * time.Millisecond, minEcho: 190 * time.Millisecond},
		{name: "reset while half open", up: Fault{Hold: true}, resetsStream: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := accepted.Load()
			r.Set(Upstream, c.up)
			r.Set(Downstream, c.down)
			startedAt := time.Now()
			conn, err := net.Dial("tcp", r.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go func() { conn.Write(text); conn.(*net.TCPConn).CloseWrite() }()
			if c.healAfter > 0 || c.resetsStream {
				time.Sleep(max(c.healAfter, 50*time.Millisecond))
			}
			if c.up.Hold && accepted.Load() != before {
				t.Error("the target was connected while Upstream was held")
			}
			if c.resetsStream {
				r.ResetConnections()
			} else if c.healAfter > 0 {
				r.Heal()
			}
			got, err := io.ReadAll(conn)
			if (err != nil) != c.resetsStream || !c.resetsStream && !bytes.Equal(got, text) || time.Since(startedAt) < c.minEcho {
				t.Errorf("%d bytes and %v after %v", len(got), err, time.Since(startedAt))
			}
		})
	}
	if up, down := r.Held(Upstream), r.Held(Downstream); up != 0 || down != 0 {
		t.Errorf("%d chunks are held up and %d down after the end", up, down)
	}
	if up, down := r.BytesPassed(Upstream), r.BytesPassed(Downstream); up != 5<<16 || down != 5<<16 {
		t.Errorf("%d bytes passed up and %d down", up, down)
	}
}

// Held counts the chunks that were received during a hold, not those that passed before. They are delivered once the
// hold ends, even if their sender has closed by then.
func TestRelay_Held(t *testing.T) {
	ln := listen(t)
	r := startRelay(t, ln.Addr().String())
	from, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	to, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	deadline := time.Now().Add(30 * time.Second)
	to.SetReadDeadline(deadline)
	got := make([]byte, 8)
	io.WriteString(from, "one")
	if n, err := to.Read(got); string(got[:n]) != "one" || r.Held(Upstream) != 0 {
		t.Errorf("%q, %v, held %d", got[:n], err, r.Held(Upstream))
	}
	r.Set(Upstream, Fault{Hold: true})
	io.WriteString(from, "two")
	for r.Held(Upstream) == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if up, down, passed := r.Held(Upstream), r.Held(Downstream), r.BytesPassed(Upstream); up != 1 || down != 0 || passed != 3 {
		t.Errorf("held %d up and %d down, %d bytes passed", up, down, passed)
	}
	from.(*net.TCPConn).CloseWrite()
	r.Heal()
	if rest, err := io.ReadAll(to); string(rest) != "two" || err != nil || r.Held(Upstream) != 0 {
		t.Errorf("%q, %v, held %d", rest, err, r.Held(Upstream))
	}
}
