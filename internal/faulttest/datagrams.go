package faulttest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Datagrams passes UDP datagrams on to a target, and answers back to who sent there: each sender has a socket of its own towards the
// target. What is lost, comes twice or late is drawn from the seed, in the order in which datagrams come.
type Datagrams struct {
	*faults
	target *net.UDPAddr
	here   *net.UDPConn

	sendersMu sync.Mutex
	draw      *rand.Rand
	senders   map[string]*net.UDPConn // towards the target, by the sender's address; nil: closed
	running   sync.WaitGroup
	over      chan struct{}
}

const (
	mostSenders  = 256
	mostDatagram = 64 << 10
	mostWaiting  = 4096 // datagrams that are late or held; further ones are lost, as in a full queue
)

// Datagrams listens on loopback for what is to go to target. The name is the history's.
func (s *Stage) Datagrams(name, target string, seed uint64) (*Datagrams, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("stage: datagrams %s: %w", name, err)
	}
	here, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("stage: datagrams %s: %w", name, err)
	}
	g := &Datagrams{faults: newFaults(s, name), target: to, here: here, draw: rand.New(rand.NewPCG(seed, 0)),
		senders: map[string]*net.UDPConn{}, over: make(chan struct{})}
	waiting := make(chan struct{}, mostWaiting)
	g.running.Go(func() {
		g.read(here, func(data []byte, from *net.UDPAddr) {
			if out := g.sender(from, waiting); out != nil {
				g.carry(Up, waiting, func() { _, _ = out.Write(data) }) // an error is a loss
			}
		})
	})
	if !s.owe(g.Close) {
		g.Close()
		return nil, fmt.Errorf("stage: datagrams %s: the stage is closed", name)
	}
	s.Say(name, "%s passes to %s", here.LocalAddr(), target)
	return g, nil
}

// Addr is where the relay listens.
func (g *Datagrams) Addr() string { return g.here.LocalAddr().String() }

// Close ends the relay.
func (g *Datagrams) Close() {
	g.sendersMu.Lock()
	if g.senders != nil {
		close(g.over)
		g.here.Close()
		for _, c := range g.senders {
			c.Close()
		}
		g.senders = nil
	}
	g.sendersMu.Unlock()
	g.running.Wait()
}

// read takes datagrams from c until it is closed.
func (g *Datagrams) read(c *net.UDPConn, each func(data []byte, from *net.UDPAddr)) {
	piece := make([]byte, mostDatagram)
	for {
		n, from, err := c.ReadFromUDP(piece)
		select {
		case <-g.over:
			return
		default:
		}
		if err != nil {
			time.Sleep(time.Millisecond) // nobody listens behind it now; that may change
			continue
		}
		each(append([]byte(nil), piece[:n]...), from)
	}
}

// sender is the socket towards the target of who sends from an address. One that comes when there are too many is not heard.
func (g *Datagrams) sender(from *net.UDPAddr, waiting chan struct{}) *net.UDPConn {
	g.sendersMu.Lock()
	defer g.sendersMu.Unlock()
	out := g.senders[from.String()]
	if out != nil || g.senders == nil || len(g.senders) >= mostSenders {
		return out
	}
	out, err := net.DialUDP("udp", nil, g.target)
	if err != nil {
		g.stage.Say(g.name, "no socket for %v: %v", from, err)
		return nil
	}
	g.senders[from.String()] = out
	g.running.Go(func() {
		g.read(out, func(data []byte, _ *net.UDPAddr) {
			g.carry(Down, waiting, func() { _, _ = g.here.WriteToUDP(data, from) })
		})
	})
	return out
}

// carry has deliver called as often, and as late, as the fault of a direction says.
func (g *Datagrams) carry(d Direction, waiting chan struct{}, deliver func()) {
	now, _ := g.of(d)
	g.sendersMu.Lock()
	lost, twice, late := g.draw.Float64() < now.Drop, g.draw.Float64() < now.Duplicate, g.draw.Float64()
	g.sendersMu.Unlock()
	if lost {
		return
	}
	for range 1 + map[bool]int{true: 1}[twice] {
		if !now.Hold && now.Delay == 0 && now.Jitter == 0 {
			deliver()
			continue
		}
		select {
		case waiting <- struct{}{}:
		default:
			return
		}
		at := time.Now().Add(time.Duration(late * float64(now.Jitter)))
		g.running.Go(func() {
			defer func() { <-waiting }()
			if g.pass(d, at, 1, g.over) {
				deliver()
			}
		})
	}
}
