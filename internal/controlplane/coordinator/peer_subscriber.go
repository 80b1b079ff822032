package coordinator

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/message"
)

// peerIdentitySuffix distinguishes a coordinator's polls of its peers from its polls of the lease holder.
const peerIdentitySuffix = "/peer"

// peerSubscriber polls the other members for a list of backends while this coordinator's own list is too old: the lease
// holder does not supply one, or is this coordinator and cannot read the platform. It reports no demand and no loads.
type peerSubscriber struct {
	loop   *replicaLoop
	budget discovery.Budget

	mutex    sync.Mutex
	backends *discovery.BackendList // that the next update builds on; nil: the next one must be complete
}

// Addresses returns the members that could have a newer list, those that read the platform first in front. It returns
// none while the list is fresh, and at a coordinator that is not a member.
func (s *peerSubscriber) Addresses() []string {
	snapshot := s.loop.snapshot.Load()
	if snapshot == nil || !snapshot.isMember || !s.isStale(time.Now()) {
		return nil
	}
	return lo.Without(standbyOrder(snapshot), s.loop.self.Address)
}

// isStale reports whether the hub's list is so old that other members read the platform.
func (s *peerSubscriber) isStale(now time.Time) bool {
	list := s.loop.hub.Backends()
	return list.IsKnown() && now.Sub(list.ObservedAt) >= s.budget.StandbyAge(0, 0)
}

// SetMembers does nothing: a coordinator knows the members from its view.
func (s *peerSubscriber) SetMembers([]message.Member) {}

// PollRequest asks for a list that is newer than the hub's.
func (s *peerSubscriber) PollRequest() message.PollRequest {
	list := s.loop.hub.Backends()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.backends = list
	request := message.PollRequest{ConfigSequence: noConfigWanted, BackendsVersion: backendsVersion(s.loop.hub, time.Now())}
	if list.IsKnown() {
		request.BackendDigest = list.Digest
	}
	return request
}

// Apply takes the list of a member's response to a request that was sent at sent.
func (s *peerSubscriber) Apply(response *message.PollResponse, sent time.Time) distribution.Outcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !response.BackendsKnown {
		return distribution.OutcomeStale
	}
	list, ok := receivedList(s.backends, response, sent)
	if !ok {
		return distribution.OutcomeStale
	}
	outcome := publishReceived(s.loop.hub, list)
	if time.Since(list.ObservedAt) >= s.budget.StandbyAge(0, 0) {
		return distribution.OutcomeStale
	}
	return outcome
}

// standbyOrder returns the addresses of the members without the lease holder, in the order of the view. In this order
// they read the platform if the lease holder does not.
func standbyOrder(s *membershipSnapshot) []string {
	addresses := lo.Map(s.view.Members, func(m message.Member, _ int) string { return m.Address })
	return lo.Without(addresses, s.leaseHolder)
}

// standbyRank returns the position of a member in standbyOrder.
func standbyRank(s *membershipSnapshot, address string) int {
	return max(0, lo.IndexOf(standbyOrder(s), address))
}
