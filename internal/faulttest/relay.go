package faulttest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes TCP connections on to a target. Set, Cut and Heal change what happens to the bytes; none is ever lost from the middle
// of a stream, as TCP would not let it be: a cut holds them.
type Relay struct {
	*faults
	target string
	ln     net.Listener
	passed [2]atomic.Int64
	refuse atomic.Bool

	linksMu sync.Mutex
	links   map[*link]struct{} // nil: closed
	running sync.WaitGroup
}

// link is one connection through a relay.
type link struct {
	ends [2]net.Conn // by direction, where from; the target's comes later
	over chan struct{}
	once sync.Once
}

// pieceSize is the most that is read at once, and ahead the pieces of a direction that a relay holds for who is behind it.
const (
	pieceSize = 16 << 10
	ahead     = 64
)

// Relay listens on loopback for what is to go to target. The name is the history's.
func (s *Stage) Relay(name, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stage: relay %s: %w", name, err)
	}
	r := &Relay{faults: newFaults(s, name), target: target, ln: ln, links: map[*link]struct{}{}}
	r.running.Go(r.accept)
	if !s.owe(r.Close) {
		r.Close()
		return nil, fmt.Errorf("stage: relay %s: the stage is closed", name)
	}
	s.Say(name, "%s passes to %s", ln.Addr(), target)
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Passed is how many bytes have passed in a direction.
func (r *Relay) Passed(d Direction) int64 { return r.passed[d].Load() }

// Refuse resets new connections at once, or takes them again.
func (r *Relay) Refuse(on bool) {
	r.refuse.Store(on)
	r.stage.Say(r.name, "new connections are refused: %v", on)
}

// Break resets all connections.
func (r *Relay) Break() {
	r.linksMu.Lock()
	defer r.linksMu.Unlock()
	r.stage.Say(r.name, "breaks %d connections", len(r.links))
	for l := range r.links {
		l.end(true)
	}
}

// Close ends the relay and all connections through it.
func (r *Relay) Close() {
	r.linksMu.Lock()
	r.ln.Close()
	for l := range r.links {
		l.end(true)
	}
	r.links = nil
	r.linksMu.Unlock()
	r.running.Wait()
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // descriptors are short
			continue
		}
		l := &link{ends: [2]net.Conn{Up: c}, over: make(chan struct{})}
		r.linksMu.Lock()
		if r.links == nil || r.refuse.Load() {
			l.end(true)
		} else {
			r.links[l] = struct{}{}
			r.running.Go(func() { r.carry(l) })
		}
		r.linksMu.Unlock()
	}
}

// carry passes a connection on. While its way up is held it does not come up at the target: to who dialled it is half open.
func (r *Relay) carry(l *link) {
	defer func() {
		l.end(false)
		r.linksMu.Lock()
		delete(r.links, l)
		r.linksMu.Unlock()
	}()
	if !r.pass(Up, time.Now(), 0, l.over) {
		return
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		l.end(true)
		return
	}
	r.linksMu.Lock() // Break and Close look at both ends
	l.ends[Down] = target
	r.linksMu.Unlock()
	select {
	case <-l.over: // it was broken meanwhile, when this end was not there yet
		target.Close()
		return
	default:
	}
	var both sync.WaitGroup
	both.Go(func() { r.pump(l, Up) })
	both.Go(func() { r.pump(l, Down) })
	both.Wait()
}

type piece struct {
	at   time.Time
	data []byte
}

// pump carries one direction to its end. An end in order is passed on as one, and anything else as a break.
func (r *Relay) pump(l *link, d Direction) {
	from, to := l.ends[d], l.ends[1-d]
	pieces := make(chan piece, ahead)
	var ended error // read after pieces is closed
	r.running.Go(func() {
		defer close(pieces)
		for {
			p := piece{data: make([]byte, pieceSize)}
			n, err := from.Read(p.data)
			if p.at, p.data = time.Now(), p.data[:n]; n > 0 {
				select {
				case pieces <- p:
				case <-l.over:
					return
				}
			}
			if err != nil {
				ended = err
				return
			}
		}
	})
	for p := range pieces {
		if !r.pass(d, p.at, 1, l.over) {
			continue // until the reader has ended
		}
		if _, err := to.Write(p.data); err != nil {
			l.end(true)
			continue
		}
		r.passed[d].Add(int64(len(p.data)))
		if f, _ := r.of(d); f.Rate > 0 {
			r.pass(d, time.Now().Add(time.Duration(float64(len(p.data))/float64(f.Rate)*float64(time.Second))-f.Delay), 0, l.over)
		}
	}
	if ended != io.EOF || !r.pass(d, time.Now(), 0, l.over) || to.(*net.TCPConn).CloseWrite() != nil {
		l.end(true)
	}
}

// end closes both ends, with a reset where reset says so.
func (l *link) end(reset bool) {
	l.once.Do(func() {
		close(l.over)
		for _, c := range l.ends {
			if c == nil {
				continue
			}
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0) // of a connection that is gone already it makes no difference
			}
			c.Close()
		}
	})
}
