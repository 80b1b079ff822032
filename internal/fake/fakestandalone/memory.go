package fakestandalone

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Memory is a network within the process, without sockets: with package testing/synctest whole hours on it pass in moments. Its zero
// value has no listeners. It is safe for concurrent use.
type Memory struct {
	mu    sync.Mutex
	heard map[string]*ear
}

// ear is a listener.
type ear struct {
	net   *Memory
	addr  string
	calls chan net.Conn
	ended chan struct{}
	once  sync.Once
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

// named is a connection's end that knows whom it belongs to.
type named struct {
	net.Conn
	local, remote memoryAddr
}

func (n named) LocalAddr() net.Addr  { return n.local }
func (n named) RemoteAddr() net.Addr { return n.remote }

// Listen opens a listener at an address that nobody listens at.
func (m *Memory) Listen(addr string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard[addr] != nil {
		return nil, fmt.Errorf("standin: listening at %s: %w", addr, syscall.EADDRINUSE)
	}
	if m.heard == nil {
		m.heard = map[string]*ear{}
	}
	e := &ear{net: m, addr: addr, calls: make(chan net.Conn), ended: make(chan struct{})}
	m.heard[addr] = e
	return e, nil
}

// Dial connects to the listener at addr. Where there is none it is refused at once.
func (m *Memory) Dial(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	m.mu.Lock()
	e := m.heard[addr]
	m.mu.Unlock()
	refused := fmt.Errorf("standin: connecting to %s: %w", addr, syscall.ECONNREFUSED)
	if e == nil {
		return nil, refused
	}
	here, there := net.Pipe()
	select {
	case e.calls <- named{there, memoryAddr(addr), "caller"}:
		return named{here, "caller", memoryAddr(addr)}, nil
	case <-e.ended:
		return nil, refused
	case <-ctx.Done():
		return nil, fmt.Errorf("standin: connecting to %s: %w", addr, ctx.Err())
	}
}

// Accept returns the next caller.
func (e *ear) Accept() (net.Conn, error) {
	select {
	case c := <-e.calls:
		return c, nil
	case <-e.ended:
		return nil, net.ErrClosed
	}
}

// Close ends the listener and frees its address. Connections stay.
func (e *ear) Close() error {
	e.once.Do(func() {
		e.net.mu.Lock()
		delete(e.net.heard, e.addr)
		e.net.mu.Unlock()
		close(e.ended)
	})
	return nil
}

// Addr is where it listens.
func (e *ear) Addr() net.Addr { return memoryAddr(e.addr) }
