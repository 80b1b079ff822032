package coordinator

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/message"
)

// Times of reading the list of backends.
const (
	readInterval   = 400 * time.Millisecond  // by the lease holder
	staleAfter     = 1300 * time.Millisecond // then every coordinator reads by itself
	ownInterval    = 1 * time.Second
	holderHold     = 400 * time.Millisecond
	controllerTick = 100 * time.Millisecond
)

// controller reads the list of backends and places models while this member holds the lease; else it pulls both from
// the holder.
type controller struct {
	owner    *owner
	reader   *discovery.Reader
	lastRead time.Time
	known    uint64
}

func newController(o *owner, settings *bootstrap.Settings) *controller {
	return &controller{owner: o, reader: discovery.NewReader(settings.Platform.Address)}
}

func (c *controller) run(ctx context.Context) {
	puller := distribution.NewPuller(c.owner.self.Identity, &holderSubscriber{owner: c.owner}, holderHold)
	go puller.Run(ctx)
	ticker := time.NewTicker(controllerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.tick(ctx, now)
		}
	}
}

func (c *controller) tick(ctx context.Context, now time.Time) {
	standing := c.owner.standing.Load()
	if standing == nil {
		return
	}
	holds := standing.token != 0 && now.Before(standing.leaseUntil)
	interval := ownInterval
	if holds {
		interval = readInterval
	} else if table := c.owner.hub.Table(); table.IsKnown() && now.Sub(table.Observed) < staleAfter {
		return
	}
	if now.Sub(c.lastRead) < interval {
		return
	}
	c.lastRead = now
	table, err := c.reader.Read(ctx)
	if err != nil {
		logrus.WithError(err).Debug("the list cannot be read")
		return
	}
	c.owner.hub.SetTable(table)
}

// holderSubscriber pulls from the lease holder what this coordinator passes on.
type holderSubscriber struct {
	owner  *owner
	digest uint64
	table  *discovery.Table
}

// Addresses returns the lease holder's address, unless that is this process.
func (s *holderSubscriber) Addresses() []string {
	standing := s.owner.standing.Load()
	if standing == nil || standing.holder == "" || standing.holder == s.owner.self.Address {
		return nil
	}
	return []string{standing.holder}
}

// SetMembers does nothing: the view names the members.
func (s *holderSubscriber) SetMembers([]string) {}

// Versions tells the list that is known here and what was gathered from proxies.
func (s *holderSubscriber) Versions() message.Pull {
	demand, loads, proxies := s.owner.hub.TakeDemand()
	return message.Pull{ConfigSequence: ^uint64(0), BackendDigest: s.digest, Demand: demand, Loads: loads, Proxies: proxies}
}

// Apply takes the holder's list.
func (s *holderSubscriber) Apply(reply *message.PullReply, sent time.Time) {
	s.owner.hub.SetTotals(reply.TotalLoads, reply.Proxies, reply.Orders)
	if !reply.BackendsKnown {
		return
	}
	observed := sent.Add(time.Duration(reply.HeldMS-reply.BackendsAgeMS) * time.Millisecond)
	switch {
	case reply.Backends != nil:
		s.table = discovery.FromUpdate(reply.Backends)
		s.digest = s.table.Digest
	case s.table == nil:
		return
	}
	current := *s.table
	current.Observed = observed
	s.owner.hub.SetTable(&current)
}
