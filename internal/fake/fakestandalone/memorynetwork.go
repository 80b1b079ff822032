package fakestandalone

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// MemoryNetwork is a network within the process. It has no sockets, so that tests with package testing/synctest can run
// on a simulated clock. Its zero value has no listeners. It is safe for concurrent use.
type MemoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener // by address
}

// clientAddr is the address of all clients.
const clientAddr memoryAddr = "caller"

// Listen opens a listener at an address. It fails with syscall.EADDRINUSE if the address is in use.
func (n *MemoryNetwork) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, fmt.Errorf("listen at %s: %w", addr, syscall.EADDRINUSE)
	}
	if n.listeners == nil {
		n.listeners = map[string]*memoryListener{}
	}
	l := &memoryListener{network: n, addr: addr, dialed: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to the listener at an address. It fails with syscall.ECONNREFUSED at once if there is no listener.
func (n *MemoryNetwork) Dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	refused := fmt.Errorf("connect to %s: %w", addr, syscall.ECONNREFUSED)
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case l.dialed <- memoryConn{server, memoryAddr(addr), clientAddr}:
		return memoryConn{client, clientAddr, memoryAddr(addr)}, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to %s: %w", addr, ctx.Err())
	}
}

// memoryListener is a listener of a MemoryNetwork.
type memoryListener struct {
	network   *MemoryNetwork
	addr      string
	dialed    chan net.Conn // the servers' ends of new connections
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept returns the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.dialed:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener and frees its address. Connections stay open.
func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.addr) }

// memoryConn is one end of a connection, with the addresses of both ends.
type memoryConn struct {
	net.Conn
	local, remote memoryAddr
}

// LocalAddr implements net.Conn.
func (c memoryConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c memoryConn) RemoteAddr() net.Addr { return c.remote }

// memoryAddr is an address of a MemoryNetwork.
type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }
