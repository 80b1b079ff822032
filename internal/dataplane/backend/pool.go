// Package backend keeps connections to backends and makes single exchanges on them. A request is written once; no
// exchange repeats anything by itself.
package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"pumiceline/internal/message"
)

// Times and sizes of connections.
const (
	dialTimeout     = 700 * time.Millisecond
	userTimeout     = 2 * time.Second // unacknowledged bytes end a connection after so long
	idleWithoutWord = 5 * time.Second // reuse of a connection whose backend told no keep-alive time
	keepAliveMargin = 800 * time.Millisecond
	readBuffer      = 4 << 10
)

var dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Where the option is refused, the exchange still has its deadline.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// conn is a connection to one backend.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	expires time.Time // it is not used again from then on
	carried string    // id of the request that it carried last
}

// isAlive reports whether an idle connection is still open and has nothing unread.
func (c *conn) isAlive() bool {
	if c.reader.Buffered() > 0 || !time.Now().Before(c.expires) {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		alive = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && alive
}

// Pool keeps idle connections by backend. The newest is used first, so that those not needed run out.
type Pool struct {
	mutex sync.Mutex
	idle  map[message.BackendID][]*conn
}

// NewPool makes an empty pool.
func NewPool() *Pool { return &Pool{idle: map[message.BackendID][]*conn{}} }

// acquire returns a connection to the backend: an idle one, or a new one. One that carried an earlier attempt of the
// same request is not used: a second answer to that attempt, which may come late, would bear the right id.
func (p *Pool) acquire(ctx context.Context, id message.BackendID, address, requestID string) (*conn, error) {
	for {
		c := p.takeIdle(id)
		if c == nil {
			break
		}
		if c.carried != requestID && c.isAlive() {
			return c, nil
		}
		c.Close()
	}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connecting")
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer)}, nil
}

func (p *Pool) takeIdle(id message.BackendID) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	return c
}

func (p *Pool) release(id message.BackendID, c *conn, idleTime time.Duration) {
	c.expires = time.Now().Add(idleTime)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[id] = append(p.idle[id], c)
}

// HasIdle reports whether a connection to the backend is kept that may be used now.
func (p *Pool) HasIdle(id message.BackendID) bool {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[id]
	return len(list) > 0 && now.Before(list[len(list)-1].expires)
}

// Forget closes the idle connections to a backend that is gone.
func (p *Pool) Forget(id message.BackendID) {
	p.mutex.Lock()
	list := p.idle[id]
	delete(p.idle, id)
	p.mutex.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseExpired closes idle connections that are not used again.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var expired []*conn
	p.mutex.Lock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if p.idle[id] = kept; len(kept) == 0 {
			delete(p.idle, id)
		}
	}
	p.mutex.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
