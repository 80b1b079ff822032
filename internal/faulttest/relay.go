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

// Relay forwards TCP connections to a target, with the faults that Set and Partition inject and Heal removes. As in TCP
// no bytes are lost from the middle of a stream: a partition holds them.
type Relay struct {
	*faultControl
	target   string
	listener net.Listener
	passed   [2]atomic.Int64
	refuse   atomic.Bool

	connectionsMu sync.Mutex
	connections   map[*connection]struct{} // nil: closed
	running       sync.WaitGroup
}

// connection is a client's connection through a relay.
type connection struct {
	ends      [2]net.Conn // by the direction that is read from the end; the target's end is nil until it is dialled
	closed    chan struct{}
	closeOnce sync.Once
}

// chunk is the data of one read from a connection.
type chunk struct {
	receivedAt time.Time
	data       []byte
}

const (
	maxChunkBytes   = 16 << 10
	maxQueuedChunks = 64 // of a direction, between its reader and its writer

	acceptRetryInterval = 10 * time.Millisecond
)

// StartRelay listens on loopback for connections to a target. The name is the relay's in the history.
func (h *Harness) StartRelay(name, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay %s: %w", name, err)
	}
	r := &Relay{faultControl: newFaultControl(h, name), target: target, listener: ln, connections: map[*connection]struct{}{}}
	r.running.Go(r.accept)
	if !h.addCleanup(r.Close) {
		r.Close()
		return nil, fmt.Errorf("relay %s: %w", name, ErrClosed)
	}
	h.Record(name, "%s passes to %s", ln.Addr(), target)
	return r, nil
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// BytesPassed returns how many bytes have passed in a direction.
func (r *Relay) BytesPassed(d Direction) int64 { return r.passed[d].Load() }

// RefuseConnections makes the relay reset new connections, or accept them again.
func (r *Relay) RefuseConnections(on bool) {
	r.refuse.Store(on)
	r.harness.Record(r.name, "new connections are refused: %v", on)
}

// ResetConnections resets all connections.
func (r *Relay) ResetConnections() {
	r.connectionsMu.Lock()
	defer r.connectionsMu.Unlock()
	r.harness.Record(r.name, "breaks %d connections", len(r.connections))
	for c := range r.connections {
		c.close(withReset)
	}
}

// Close ends the relay, resets all connections and waits for the relay's goroutines.
func (r *Relay) Close() {
	r.connectionsMu.Lock()
	r.listener.Close()
	for c := range r.connections {
		c.close(withReset)
	}
	r.connections = nil
	r.connectionsMu.Unlock()
	r.running.Wait()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval) // out of file descriptors, perhaps only for now
			continue
		}
		c := &connection{ends: [2]net.Conn{Upstream: client}, closed: make(chan struct{})}
		r.connectionsMu.Lock()
		if r.connections == nil || r.refuse.Load() {
			c.close(withReset)
		} else {
			r.connections[c] = struct{}{}
			r.running.Go(func() { r.relay(c) })
		}
		r.connectionsMu.Unlock()
	}
}

// relay forwards a connection until it ends. While Upstream is held the target is not dialled: the client has an open
// connection, and the target has none.
func (r *Relay) relay(c *connection) {
	defer func() {
		c.close(inOrder)
		r.connectionsMu.Lock()
		delete(r.connections, c)
		r.connectionsMu.Unlock()
	}()
	if !r.await(Upstream, time.Now(), 0, c.closed) {
		return
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		c.close(withReset)
		return
	}
	r.connectionsMu.Lock() // ResetConnections and Close read both ends
	c.ends[Downstream] = target
	r.connectionsMu.Unlock()
	select {
	case <-c.closed: // it was closed while the target was dialled, so that close did not close the target's end
		target.Close()
		return
	default:
	}
	var both sync.WaitGroup
	both.Go(func() { r.copyDirection(c, Upstream) })
	both.Go(func() { r.copyDirection(c, Downstream) })
	both.Wait()
}

// copyDirection copies one direction until it ends. It forwards an orderly end as an orderly end, any other end as a
// reset.
func (r *Relay) copyDirection(c *connection, d Direction) {
	to := c.ends[d.opposite()]
	chunks := make(chan chunk, maxQueuedChunks)
	var readErr error // to be read once chunks is closed
	r.running.Go(func() {
		defer close(chunks)
		readErr = readChunks(c, d, chunks)
	})
	for p := range chunks {
		if !r.await(d, p.receivedAt, 1, c.closed) {
			continue // drain chunks until the reader has ended
		}
		if _, err := to.Write(p.data); err != nil {
			c.close(withReset)
			continue
		}
		r.passed[d].Add(int64(len(p.data)))
		r.throttle(c, d, len(p.data))
	}
	if readErr != io.EOF || !r.await(d, time.Now(), 0, c.closed) || to.(*net.TCPConn).CloseWrite() != nil {
		c.close(withReset)
	}
}

// readChunks reads a direction to its end and returns the error that ended it; nil if the relay closed the connection.
func readChunks(c *connection, d Direction, chunks chan<- chunk) error {
	for {
		p := chunk{data: make([]byte, maxChunkBytes)}
		n, err := c.ends[d].Read(p.data)
		if p.receivedAt, p.data = time.Now(), p.data[:n]; n > 0 {
			select {
			case chunks <- p:
			case <-c.closed:
				return nil
			}
		}
		if err != nil {
			return err
		}
	}
}

// throttle waits for the time that the transfer of some bytes takes at the fault's rate.
func (r *Relay) throttle(c *connection, d Direction, bytes int) {
	fault, _ := r.fault(d)
	if fault.Rate <= 0 {
		return
	}
	transferTime := time.Duration(float64(bytes) / float64(fault.Rate) * float64(time.Second))
	r.await(d, time.Now().Add(transferTime-fault.Delay), 0, c.closed) // the delay is subtracted, as await adds it
}

// closeMode is how a connection ends.
type closeMode bool

const (
	inOrder   closeMode = false
	withReset closeMode = true
)

// close closes both ends. Only the first call has an effect.
func (c *connection) close(mode closeMode) {
	c.closeOnce.Do(func() {
		close(c.closed)
		for _, end := range c.ends {
			if end == nil {
				continue
			}
			if mode == withReset {
				_ = end.(*net.TCPConn).SetLinger(0) // an error means that the connection has ended already
			}
			end.Close()
		}
	})
}
