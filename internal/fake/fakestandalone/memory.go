package fakestandalone

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// MemoryNetwork is a network within the process, without sockets: with package testing/synctest whole hours on it pass in moments. Its zero
// value has no listeners. It is safe for concurrent use.
type MemoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

// memoryListener is a listener.
type memoryListener struct {
	net    *MemoryNetwork
	addr   string
	dialed chan net.Conn
	closed chan struct{}
	once   sync.Once
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

// memoryConn is a connection's end that knows whom it belongs to.
type memoryConn struct {
	net.Conn
	local, remote memoryAddr
}

func (n memoryConn) LocalAddr() net.Addr  { return n.local }
func (n memoryConn) RemoteAddr() net.Addr { return n.remote }

// Listen opens a listener at an address that nobody listens at.
func (m *MemoryNetwork) Listen(addr string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners[addr] != nil {
		return nil, fmt.Errorf("standin: listening at %s: %w", addr, syscall.EADDRINUSE)
	}
	if m.listeners == nil {
		m.listeners = map[string]*memoryListener{}
	}
	e := &memoryListener{net: m, addr: addr, dialed: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[addr] = e
	return e, nil
}

// Dial connects to the listener at addr. Where there is none it is refused at once.
func (m *MemoryNetwork) Dial(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	m.mu.Lock()
	e := m.listeners[addr]
	m.mu.Unlock()
	refused := fmt.Errorf("standin: connecting to %s: %w", addr, syscall.ECONNREFUSED)
	if e == nil {
		return nil, refused
	}
	here, there := net.Pipe()
	select {
	case e.dialed <- memoryConn{there, memoryAddr(addr), "caller"}:
		return memoryConn{here, "caller", memoryAddr(addr)}, nil
	case <-e.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, fmt.Errorf("standin: connecting to %s: %w", addr, ctx.Err())
	}
}

// Accept returns the next caller.
func (e *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-e.dialed:
		return c, nil
	case <-e.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener and frees its address. Connections stay.
func (e *memoryListener) Close() error {
	e.once.Do(func() {
		e.net.mu.Lock()
		delete(e.net.listeners, e.addr)
		e.net.mu.Unlock()
		close(e.closed)
	})
	return nil
}

// Addr is where it listens.
func (e *memoryListener) Addr() net.Addr { return memoryAddr(e.addr) }
