// Package backend pools connections to backends and makes single exchanges on them. It writes each request once and
// never retries, so that the caller can count every attempt that may have run.
package backend

import (
	"context"
	"net"
	"sync"
	"time"

	"pumiceline/internal/message"
)

const (
	// defaultIdleTime is how long an idle connection is kept if the backend's Keep-Alive header gives no time-out.
	defaultIdleTime = 5 * time.Second
	// keepAliveMargin is subtracted from the time-out that the backend gives. Without it the backend could close an
	// idle connection while a request is in transit.
	keepAliveMargin = 800 * time.Millisecond
)

// Pool keeps idle connections by backend. It reuses the newest first, so that surplus connections expire. All methods
// may be called from any goroutine.
type Pool struct {
	dialer *net.Dialer

	mutex sync.Mutex
	idle  map[message.BackendID][]*conn // by the backend's ID, the newest last
}

// NewPool makes an empty pool. dialTimeout bounds the time to connect to a backend.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{dialer: newDialer(dialTimeout), idle: map[message.BackendID][]*conn{}}
}

// HasIdle reports whether the newest idle connection to the backend has not expired. It does not check older ones,
// which normally expire earlier.
func (p *Pool) HasIdle(id message.BackendID) bool {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[id]
	return len(list) > 0 && now.Before(list[len(list)-1].expires)
}

// CloseIdle closes the idle connections to a backend, for one that was removed.
func (p *Pool) CloseIdle(id message.BackendID) {
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

// acquire returns an idle connection to the request's backend, or opens a new one. It does not return a connection
// whose last request was an earlier attempt of this request. The backend may send a second response to that attempt
// late; it has the same request ID and would be taken for the response to this attempt.
func (p *Pool) acquire(ctx context.Context, request *Request) (*conn, error) {
	for {
		c := p.takeIdle(request.BackendID)
		if c == nil {
			return dial(ctx, p.dialer, request.Address)
		}
		if c.lastRequest != request.ID && c.isReusable() {
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

// release returns a connection to the pool, which keeps it idle for at most idleTime.
func (p *Pool) release(id message.BackendID, c *conn, idleTime time.Duration) {
	c.expires = time.Now().Add(idleTime)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[id] = append(p.idle[id], c)
}
