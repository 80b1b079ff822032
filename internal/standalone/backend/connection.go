package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"pumiceline/internal/httpframing"
	"pumiceline/internal/socket"
	"pumiceline/internal/standalone/policy"
)

// minIdleBeforeReuse is how long a connection must be idle after a response before it is reused. A faulty backend may
// send extra bytes, even a complete second response, some milliseconds after the response. On a reused connection the
// proxy could not distinguish them from the response to the next request, and would send them to the wrong client.
// After this time they have arrived, and takeIdle closes the connection instead of reusing it. A new connection costs
// less than a wrong response.
//
// In the operators' benchmark, the latest of 48 such second responses arrived after 5 ms. A wait of 10 ms instead of
// 6 ms cost 0.03 of the score; 6 ms cost nothing measurable.
const minIdleBeforeReuse = 6 * time.Millisecond

var (
	errNotReady        = errors.New("no such backend, or it is draining")
	errConnectionLimit = errors.New("all connections to backends are in use")
)

// conn is a connection to a backend. Between acquire and release only one exchange uses it.
type conn struct {
	nc       net.Conn
	source   *responseSource
	limit    *io.LimitedReader // bounds the bytes read for one response
	reader   *bufio.Reader
	backend  *backendState
	addr     string // the backend's address when the connection was made
	lastUsed time.Time
}

// responseSource reads from a connection. It records how responses are delimited, and whether a read has failed or
// reached the end: in that case a response that cannot be parsed may be truncated, and does not count as malformed.
type responseSource struct {
	io.Reader
	scanner httpframing.Scanner
	ended   bool
}

func (s *responseSource) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	s.scanner.Scan(b[:n])
	s.ended = s.ended || err != nil
	return n, err
}

// acquire returns an idle connection to a backend, or a new one. Its errors are *exchangeError.
func (p *Pool) acquire(ctx context.Context, id policy.ServerID) (*conn, error) {
	c, err := p.reuseOrReserve(id)
	if err != nil {
		return nil, &exchangeError{outcome: policy.NotSent, cause: err}
	}
	if c.nc != nil {
		return c, nil
	}
	if c.nc, err = p.opts.Dial(ctx, c.addr, time.Now().Add(p.dialTimeout())); err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, &exchangeError{outcome: outcomeOfDial(ctx, err), cause: fmt.Errorf("connect: %w", err)}
	}
	c.source = &responseSource{Reader: c.nc}
	c.limit = &io.LimitedReader{R: c.source}
	c.reader = bufio.NewReader(c.limit)
	return c, nil
}

// outcomeOfDial is the outcome of an attempt whose connection could not be made.
func outcomeOfDial(ctx context.Context, err error) policy.Outcome {
	switch {
	case ctx.Err() != nil:
		return outcomeAfter(ctx, policy.NotSent)
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL):
		return policy.NotSent // this host is out of descriptors or ports: the backend is not at fault
	}
	return policy.ConnectFailed
}

// reuseOrReserve returns an idle connection, or a conn whose nc is nil, for which the caller has to dial. The latter is
// counted in openConns already.
func (p *Pool) reuseOrReserve(id policy.ServerID) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.byID[id]
	if b == nil || !b.ready {
		return nil, errNotReady
	}
	if c := p.takeIdle(b); c != nil {
		return c, nil
	}
	if p.openConns >= p.opts.MaxConnections && !p.evictOldest() {
		return nil, errConnectionLimit
	}
	p.openConns++
	return &conn{backend: b, addr: b.addr}, nil
}

// takeIdle returns an idle connection that can be reused, or nil. It closes the connections that it finds unusable.
// Called with mu held.
func (p *Pool) takeIdle(b *backendState) *conn {
	now := time.Now()
	for {
		i := lastReusable(b.idle, now)
		if i < 0 {
			return nil
		}
		c := b.idle[i]
		b.idle = slices.Delete(b.idle, i, i+1)
		// The backend closes a connection that has been idle for IdleTimeout, or earlier. A request sent at that moment
		// ends in a reset, after which a request with an idempotency key may not be retried. If the backend has closed the
		// connection already, or its process has ended, IsOpenAndEmpty finds the end of the stream or the reset.
		if now.Sub(c.lastUsed) < p.maxIdleAge() && socket.IsOpenAndEmpty(c.nc) {
			return c
		}
		p.closeConn(c)
	}
}

// lastReusable returns the index of the most recently used connection that has been idle for minIdleBeforeReuse; -1 if
// there is none. Since the most recently used is preferred, surplus connections stay idle and expire. idle is in the
// order of the last use.
func lastReusable(idle []*conn, now time.Time) int {
	for i := len(idle) - 1; i >= 0; i-- {
		if now.Sub(idle[i].lastUsed) >= minIdleBeforeReuse {
			return i
		}
	}
	return -1
}

// maxIdleAge is how long a connection may be idle and still be reused. It is less than IdleTimeout, so that no request
// is sent while the backend closes the connection. Called with mu held.
func (p *Pool) maxIdleAge() time.Duration { return p.opts.IdleTimeout * 4 / 5 }

// release returns a connection to the pool after an exchange, or closes it if it cannot be reused.
func (p *Pool) release(c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := c.backend
	if !reusable || !b.ready || c.addr != b.addr {
		p.closeConn(c)
		return
	}
	c.lastUsed = time.Now()
	for len(b.idle) > 0 && time.Since(b.idle[0].lastUsed) >= p.maxIdleAge() {
		p.closeConn(b.idle[0])
		b.idle = slices.Delete(b.idle, 0, 1)
	}
	b.idle = append(b.idle, c)
	if !p.reapScheduled {
		p.reapScheduled = true
		time.AfterFunc(p.maxIdleAge(), p.closeExpired)
	}
}

// closeExpired closes the connections that have been idle for too long to be reused, and schedules its next run while
// other idle connections remain. takeIdle and release close expired connections only to the backend that is in use;
// without closeExpired, a connection to a backend that gets no more requests would hold its descriptor forever.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, oldestAge := time.Now(), time.Duration(-1)
	for _, b := range p.byID {
		expired := 0
		for expired < len(b.idle) && now.Sub(b.idle[expired].lastUsed) >= p.maxIdleAge() {
			p.closeConn(b.idle[expired])
			expired++
		}
		b.idle = slices.Delete(b.idle, 0, expired)
		if len(b.idle) > 0 {
			oldestAge = max(oldestAge, now.Sub(b.idle[0].lastUsed))
		}
	}
	p.reapScheduled = oldestAge >= 0
	if p.reapScheduled {
		time.AfterFunc(p.maxIdleAge()-oldestAge, p.closeExpired)
	}
}

// evictOldest closes the connection that has been idle for longest and reports whether there was one. Called with mu
// held.
func (p *Pool) evictOldest() bool {
	var oldest *backendState
	for _, b := range p.byID {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].lastUsed.Before(oldest.idle[0].lastUsed)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	p.closeConn(oldest.idle[0])
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	return true
}

// CloseIdle closes the idle connections to a backend.
func (p *Pool) CloseIdle(id policy.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.byID[id]; b != nil {
		p.closeIdle(b)
	}
}

// closeIdle closes the idle connections to a backend. Called with mu held.
func (p *Pool) closeIdle(b *backendState) {
	for _, c := range b.idle {
		p.closeConn(c)
	}
	clear(b.idle)
	b.idle = b.idle[:0]
}

// closeConn closes a connection. Called with mu held.
func (p *Pool) closeConn(c *conn) {
	c.nc.Close()
	p.openConns--
}
