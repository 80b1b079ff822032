package faulttest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// DatagramRelay forwards UDP datagrams to a target and the responses back to their senders. For each sender it has a
// socket towards the target. It draws from a seed, in the order of receipt, which datagrams are lost, duplicated or
// late.
type DatagramRelay struct {
	*faultControl
	target   *net.UDPAddr
	listener *net.UDPConn
	delayed  chan struct{} // one element per delayed datagram
	closed   chan struct{}
	running  sync.WaitGroup

	sendersMu sync.Mutex
	rand      *rand.Rand
	senders   map[string]*net.UDPConn // sockets towards the target, by the sender's address; nil: closed
}

const (
	maxSenders       = 256
	maxDatagramBytes = 64 << 10
	maxDelayed       = 4096 // datagrams that are late or held; further datagrams are lost, as in a full queue

	readRetryInterval = time.Millisecond
)

// StartDatagramRelay listens on loopback for datagrams to a target. The name is the relay's in the history.
func (h *Harness) StartDatagramRelay(name, target string, seed uint64) (*DatagramRelay, error) {
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("datagram relay %s: %w", name, err)
	}
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("datagram relay %s: %w", name, err)
	}
	r := &DatagramRelay{
		faultControl: newFaultControl(h, name),
		target:       targetAddr,
		listener:     listener,
		delayed:      make(chan struct{}, maxDelayed),
		closed:       make(chan struct{}),
		rand:         rand.New(rand.NewPCG(seed, 0)),
		senders:      map[string]*net.UDPConn{},
	}
	r.running.Go(func() { r.read(listener, r.forwardUpstream) })
	if !h.addCleanup(r.Close) {
		r.Close()
		return nil, fmt.Errorf("datagram relay %s: %w", name, ErrClosed)
	}
	h.Record(name, "%s passes to %s", listener.LocalAddr(), target)
	return r, nil
}

// Addr returns the address at which the relay listens.
func (r *DatagramRelay) Addr() string { return r.listener.LocalAddr().String() }

// Close ends the relay and waits for its goroutines.
func (r *DatagramRelay) Close() {
	r.sendersMu.Lock()
	if r.senders != nil {
		close(r.closed)
		r.listener.Close()
		for _, socket := range r.senders {
			socket.Close()
		}
		r.senders = nil
	}
	r.sendersMu.Unlock()
	r.running.Wait()
}

// read reads datagrams from a socket until the relay is closed.
func (r *DatagramRelay) read(socket *net.UDPConn, handle func(data []byte, from *net.UDPAddr)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := socket.ReadFromUDP(buffer)
		select {
		case <-r.closed:
			return
		default:
		}
		if err != nil {
			time.Sleep(readRetryInterval) // ICMP says that nothing listens at the target, perhaps only for now
			continue
		}
		handle(append([]byte(nil), buffer[:n]...), from)
	}
}

func (r *DatagramRelay) forwardUpstream(data []byte, from *net.UDPAddr) {
	if socket := r.socketFor(from); socket != nil {
		r.forward(Upstream, func() { _, _ = socket.Write(data) }) // a failed write is a lost datagram
	}
}

// socketFor returns a sender's socket towards the target; nil if the relay is closed, has too many senders, or can't
// open a socket.
func (r *DatagramRelay) socketFor(from *net.UDPAddr) *net.UDPConn {
	r.sendersMu.Lock()
	defer r.sendersMu.Unlock()
	socket := r.senders[from.String()]
	if socket != nil || r.senders == nil || len(r.senders) >= maxSenders {
		return socket
	}
	socket, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		r.harness.Record(r.name, "no socket for %v: %v", from, err)
		return nil
	}
	r.senders[from.String()] = socket
	r.running.Go(func() {
		r.read(socket, func(data []byte, _ *net.UDPAddr) {
			r.forward(Downstream, func() { _, _ = r.listener.WriteToUDP(data, from) })
		})
	})
	return socket
}

// forward calls deliver for each copy of a datagram, after the delay that the direction's fault causes.
func (r *DatagramRelay) forward(d Direction, deliver func()) {
	fault, _ := r.fault(d)
	outcome := r.draw(fault)
	for range outcome.copies {
		if !fault.Hold && fault.Delay == 0 && fault.Jitter == 0 {
			deliver()
			continue
		}
		select {
		case r.delayed <- struct{}{}:
		default:
			return
		}
		due := time.Now().Add(outcome.jitter)
		r.running.Go(func() {
			defer func() { <-r.delayed }()
			if r.await(d, due, 1, r.closed) {
				deliver()
			}
		})
	}
}

// datagramOutcome is the part of a fault that is drawn for each datagram.
type datagramOutcome struct {
	copies int // 0: the datagram is lost
	jitter time.Duration
}

// draw draws the outcome of the next datagram. It makes the same number of draws for every fault, so that a change of
// the fault does not change later draws.
func (r *DatagramRelay) draw(fault Fault) datagramOutcome {
	r.sendersMu.Lock()
	defer r.sendersMu.Unlock()
	isLost := r.rand.Float64() < fault.Drop
	isDuplicated := r.rand.Float64() < fault.Duplicate
	jitter := r.rand.Float64()
	outcome := datagramOutcome{copies: 1, jitter: time.Duration(jitter * float64(fault.Jitter))}
	switch {
	case isLost:
		outcome.copies = 0
	case isDuplicated:
		outcome.copies = 2
	}
	return outcome
}
