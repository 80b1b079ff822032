package coordinator

import (
	"sync"
	"time"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/message"
)

// holderSubscriber pulls from the lease holder what this coordinator passes on.
type holderSubscriber struct {
	owner  *owner
	mutex  sync.Mutex // urgent reports run beside the pulls
	digest uint64
	loads  distribution.Loads
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
func (s *holderSubscriber) SetMembers([]message.Member) {}

// Versions tells the list that is known here and what was gathered from proxies.
func (s *holderSubscriber) Versions() message.PollRequest {
	demand, loads, proxies := s.owner.hub.TakeDemand()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return message.PollRequest{ConfigSequence: ^uint64(0), BackendDigest: s.digest, Demand: demand, Loads: loads, Proxies: proxies, LoadVersion: s.loads.Version()}
}

// Apply takes the holder's list.
func (s *holderSubscriber) Apply(reply *message.PollResponse, sent time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.owner.hub.SetTotals(s.loads.Take(reply), reply.Proxies, reply.PendingLoads)
	if !reply.BackendsKnown {
		return
	}
	observed := sent.Add(time.Duration(reply.WaitedMs-reply.BackendsAgeMs) * time.Millisecond)
	switch {
	case reply.Backends != nil:
		table, ok := discovery.Apply(s.table, reply.Backends)
		if !ok {
			s.table, s.digest = nil, 0
			return
		}
		s.table, s.digest = table, table.Digest
	case s.table == nil:
		return
	}
	current := *s.table
	current.Observed = observed
	s.owner.hub.SetTable(&current)
}
