// Package backend keeps connections to backends and makes single exchanges on them. A request is written once: nothing
// here retries, so that the caller can account for every time that a request may have run.
package backend

import (
	"context"
	"sync"
	"time"

	"pumiceline/internal/message"
)

const (
	// defaultIdleTime is how long a connection is kept idle where the backend names no time.
	defaultIdleTime = 5 * time.Second
	// keepAliveMargin is subtracted from the time that the backend names, so that the backend does not close a connection
	// while a request is on its way.
	keepAliveMargin = 800 * time.Millisecond
)

// Pool keeps idle connections by backend. The newest is used first, so that those not needed expire. All methods may be
// called from any goroutine.
type Pool struct {
	mutex sync.Mutex
	idle  map[message.BackendID][]*conn // by the backend's ID, the newest last
}

// NewPool makes an empty pool.
func NewPool() *Pool { return &Pool{idle: map[message.BackendID][]*conn{}} }

// HasIdle reports whether there is an idle connection to the backend that has not expired.
func (p *Pool) HasIdle(id message.BackendID) bool {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[id]
	return len(list) > 0 && now.Before(list[len(list)-1].expires)
}

// Forget closes the idle connections to a backend that was removed.
func (p *Pool) Forget(id message.BackendID) {
	p.mutex.Lock()
	list := p.idle[id]
	delete(p.idle, id)
	p.mutex.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	for _, c := range p.takeExpired(time.Now()) {
		c.Close()
	}
}

func (p *Pool) takeExpired(now time.Time) (expired []*conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
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
	return expired
}

// acquire returns an idle connection to the request's backend, or a new one. It does not return one that carried an
// earlier attempt of the same request: a late second response to that attempt would bear the right request ID.
func (p *Pool) acquire(ctx context.Context, request *Request) (*conn, error) {
	for {
		c := p.takeIdle(request.BackendID)
		if c == nil {
			return dial(ctx, request.Address)
		}
		if c.lastRequest != request.ID && c.isAlive() {
			return c, nil
		}
		c.Close()
	}
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

// release takes a connection back, to be kept idle for idleTime at most.
func (p *Pool) release(id message.BackendID, c *conn, idleTime time.Duration) {
	c.expires = time.Now().Add(idleTime)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[id] = append(p.idle[id], c)
}
