package faulttest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A relay passes a stream whole, late, slowly or after a cut as its faults say; while its way up is cut nothing comes up behind it; an
// end in order comes as one, and a break as a break.
func TestRelay(t *testing.T) {
	s := New()
	defer s.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var accepted atomic.Int64
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			accepted.Add(1)
			go func() { io.Copy(c, c); c.(*net.TCPConn).CloseWrite() }() // an echo
		}
	}()
	r, err := s.Relay("echo", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	text := bytes.Repeat([]byte("0123456789abcdef"), 4<<10) // 64 KiB
	for name, c := range map[string]struct {
		up, down Fault
		heal     time.Duration // when all passes again; 0: never
		least    time.Duration // of an echo
		breaks   bool
	}{
		"nothing":   {},
		"late":      {up: Fault{Delay: 100 * time.Millisecond}, least: 100 * time.Millisecond},
		"slow":      {down: Fault{Rate: 256 << 10}, least: 180 * time.Millisecond},
		"cut up":    {up: Fault{Hold: true}, heal: 200 * time.Millisecond, least: 190 * time.Millisecond},
		"cut down":  {down: Fault{Hold: true}, heal: 200 * time.Millisecond, least: 190 * time.Millisecond},
		"half open": {up: Fault{Hold: true}, breaks: true},
	} {
		before := accepted.Load()
		r.Set(Up, c.up)
		r.Set(Down, c.down)
		begun := time.Now()
		conn, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		go func() { conn.Write(text); conn.(*net.TCPConn).CloseWrite() }()
		if c.heal > 0 || c.breaks {
			time.Sleep(max(c.heal, 50*time.Millisecond))
		}
		if c.up.Hold && accepted.Load() != before {
			t.Errorf("%s: a connection came up behind a cut", name)
		}
		if c.breaks {
			r.Break()
		} else if c.heal > 0 {
			r.Heal()
		}
		got, err := io.ReadAll(conn)
		if (err != nil) != c.breaks || !c.breaks && !bytes.Equal(got, text) || time.Since(begun) < c.least {
			t.Errorf("%s: %d bytes and %v after %v", name, len(got), err, time.Since(begun))
		}
		conn.Close()
	}
	if up, down := r.Held(Up), r.Held(Down); up != 0 || down != 0 {
		t.Errorf("%d pieces are held up and %d down after the end", up, down)
	}
	if up, down := r.Passed(Up), r.Passed(Down); up != 5<<16 || down != 5<<16 {
		t.Errorf("%d bytes passed up and %d down", up, down)
	}
}

// What a relay says is held has come, is not there yet, and comes though its sender is gone; what came before the hold is not counted.
func TestHeld(t *testing.T) {
	s := New()
	defer s.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	r, err := s.Relay("held", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
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
	bound := time.Now().Add(30 * time.Second)
	to.SetReadDeadline(bound)
	got := make([]byte, 8)
	io.WriteString(from, "one")
	if n, err := to.Read(got); string(got[:n]) != "one" || r.Held(Up) != 0 {
		t.Errorf("%q, %v, held %d", got[:n], err, r.Held(Up))
	}
	r.Set(Up, Fault{Hold: true})
	io.WriteString(from, "two")
	for r.Held(Up) == 0 && time.Now().Before(bound) {
		time.Sleep(time.Millisecond)
	}
	if up, down, passed := r.Held(Up), r.Held(Down), r.Passed(Up); up != 1 || down != 0 || passed != 3 {
		t.Errorf("held %d up and %d down, %d bytes passed", up, down, passed)
	}
	from.(*net.TCPConn).CloseWrite()
	r.Heal()
	if rest, err := io.ReadAll(to); string(rest) != "two" || err != nil || r.Held(Up) != 0 {
		t.Errorf("%q, %v, held %d", rest, err, r.Held(Up))
	}
}

// Datagrams are lost, doubled and late as drawn from the seed, the same each time, and those held come once the way is free again; what
// is answered comes back to who asked.
func TestDatagrams(t *testing.T) {
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	take := func(from *net.UDPConn) (text string, sender *net.UDPAddr) {
		b := make([]byte, 99)
		from.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		n, sender, _ := from.ReadFromUDP(b)
		return string(b[:max(0, n)]), sender
	}
	verdict := func(seed uint64) (got string) {
		s := New()
		defer s.Close()
		g, err := s.Datagrams("letters", receiver.LocalAddr().String(), seed)
		if err != nil {
			t.Fatal(err)
		}
		to, _ := net.ResolveUDPAddr("udp", g.Addr())
		c, err := net.DialUDP("udp", nil, to)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		g.Set(Up, Fault{Drop: 0.3, Duplicate: 0.3})
		for n := range 30 {
			fmt.Fprint(c, n, " ")
			time.Sleep(time.Millisecond)
		}
		g.Set(Up, Fault{Hold: true})
		fmt.Fprint(c, "held")
		for text, _ := take(receiver); text != ""; text, _ = take(receiver) {
			got += text
		}
		g.Heal()
		text, sender := take(receiver)
		receiver.WriteToUDP([]byte("answer"), sender)
		back, _ := take(c)
		return got + text + back
	}
	one, again, other := verdict(1), verdict(1), verdict(2)
	if one != again || one == other || !strings.HasSuffix(one, "heldanswer") || strings.Contains(one, "0 1 2 3 4 5 6 7 8 9 10") {
		t.Errorf("%q, then %q; with another seed %q", one, again, other)
	}
}

// A frozen process says nothing and goes on when it is thawed; the stage ends it, and its history tells all of that in order.
func TestProcess(t *testing.T) {
	s := New()
	p, err := s.Start("ticker", exec.Command("sh", "-c", "while :; do echo tick; sleep 0.01; done"))
	if err != nil {
		t.Fatal(err)
	}
	grows := func() bool {
		before := len(p.Log())
		time.Sleep(200 * time.Millisecond)
		return len(p.Log()) > before
	}
	running := grows()
	p.Freeze()
	time.Sleep(50 * time.Millisecond)
	frozen := grows()
	p.Thaw()
	if thawed := grows(); !running || frozen || !thawed {
		t.Errorf("running %v, frozen %v, thawed %v", running, frozen, thawed)
	}
	s.Close()
	if err := p.Wait(time.Now().Add(time.Second)); err == nil || grows() {
		t.Errorf("it goes on after the stage's end: %v", err)
	}
	at := -1
	for _, what := range []string{"starts", "is frozen", "is thawed", "is killed", "has ended: signal: killed"} {
		if next := strings.Index(s.String(), what); next <= at {
			t.Errorf("%q is missing or out of order in\n%s", what, s)
		} else {
			at = next
		}
	}
	if _, err := s.Relay("late", "127.0.0.1:1"); err == nil {
		t.Error("a closed stage starts a relay")
	}
}

// A seed draws the same faults each time, all of them playable; a script that can't be played is told with file, line and key.
func TestScripts(t *testing.T) {
	if _, err := ReadScript("../../example/faulttest/cuts.toml"); err != nil {
		t.Error(err)
	}
	s := &Script{Length: 10e6, Proxies: 2, Destinations: 3, Rate: 1, Draw: 200}
	first, again, other := s.Steps(1), s.Steps(1), s.Steps(2)
	if !slices.Equal(first, again) || slices.Equal(first, other) {
		t.Error("the seed does not decide")
	}
	s.Faults, s.Draw = first, 0
	if key, why := s.check(); why != "" {
		t.Errorf("drawn, and can't be played: %s: %s", key, why)
	}
	for line, want := range map[string]string{`do = "cut"` + "\n" + `who = "proxy"`: `:4: fault.0.who: "cut" is done to none of`,
		`do = "melt"`: `:3: fault.0.do: "melt" is no fault`, `do = "kill"` + "\n" + `who = "proxy"` + "\n" + `n = 2`: ":5: fault.0.n: there are 2",
		`at = 3`: ":3: fault.0.at: is a time and has no unit", `what = 1`: ":3: fault.what: there is no such key"} {
		file := filepath.Join(t.TempDir(), "x.toml")
		if err := os.WriteFile(file, []byte("proxies = 2\n[[fault]]\n"+line+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadScript(file); err == nil || !strings.Contains(err.Error(), "x.toml"+want) {
			t.Errorf("%q: %v", line, err)
		}
	}
}
