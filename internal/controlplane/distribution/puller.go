package distribution

import (
	"context"
	"sync/atomic"
	"time"

	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

// Times of pulling.
const (
	pullMargin  = 800 * time.Millisecond // an answer later than the hold and this is lost
	retryPause  = 80 * time.Millisecond
	returnAfter = 4 * time.Second        // then the preferred peer is tried again
	idlePause   = 250 * time.Millisecond // while there is nobody to ask
)

// Subscriber is who pulls.
type Subscriber interface {
	// Versions returns what the subscriber has, and what it tells of itself.
	Versions() message.PollRequest
	// Apply takes an answer; sent is when its request went out.
	Apply(reply *message.PollResponse, sent time.Time)
	// Addresses returns whom to ask, the preferred first.
	Addresses() []string
	// SetMembers tells the coordinators as a peer knows them.
	SetMembers(members []message.Member)
}

// Puller asks for what its subscriber lacks.
type Puller struct {
	identity   string
	subscriber Subscriber
	client     *transport.Client
	hold       time.Duration
	current    atomic.Pointer[string] // the peer that answered last
	preferred  int
	movedAt    time.Time
}

// NewPuller makes a puller; an answer without news is held for hold.
func NewPuller(identity string, subscriber Subscriber, hold time.Duration) *Puller {
	return &Puller{identity: identity, subscriber: subscriber, client: transport.NewClient(), hold: hold}
}

// Run pulls until ctx ends.
func (p *Puller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		addresses := p.subscriber.Addresses()
		if len(addresses) == 0 {
			pause(ctx, idlePause)
			continue
		}
		if !p.pullFrom(ctx, addresses[p.preferred%len(addresses)]) {
			p.preferred++
			p.movedAt = time.Now()
			pause(ctx, retryPause)
			continue
		}
		if p.preferred > 0 && time.Since(p.movedAt) > returnAfter {
			p.preferred = 0
		}
	}
}

func (p *Puller) pullFrom(ctx context.Context, address string) bool {
	pull := p.subscriber.Versions()
	pull.MaxWaitMs = int(p.hold.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, p.hold+pullMargin)
	defer cancel()
	sent := time.Now()
	reply, err := p.client.Pull(ctx, address, p.identity, pull)
	if err != nil {
		return false
	}
	if len(reply.Members) > 0 {
		p.subscriber.SetMembers(reply.Members)
	}
	if reply.Unavailable {
		return false
	}
	p.current.Store(&address)
	p.subscriber.Apply(reply, sent)
	return true
}

// Report tells the present peer what the subscriber wants it to know at once.
func (p *Puller) Report(ctx context.Context) {
	address := p.current.Load()
	if address == nil {
		return
	}
	pull := p.subscriber.Versions()
	ctx, cancel := context.WithTimeout(ctx, pullMargin)
	defer cancel()
	sent := time.Now()
	reply, err := p.client.Pull(ctx, *address, p.identity, pull)
	if err == nil && !reply.Unavailable {
		p.subscriber.Apply(reply, sent)
	}
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
