package coordinator

import (
	"math"
	"sync"
	"time"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/controlplane/distribution/inflight"
	"pumiceline/internal/message"
)

// noConfigWanted is the sequence of the configuration that a coordinator reports with its polls. It is above all
// others, so that no response has a configuration: a coordinator gets the configuration along the replication chain.
const noConfigWanted = math.MaxUint64

// leaseHolderSubscriber polls the lease holder for the backends and the total loads, which this coordinator's hub passes
// on to its proxies, and reports the demand and loads that the hub has collected from them.
type leaseHolderSubscriber struct {
	loop  *replicaLoop
	mutex sync.Mutex // guards what follows: reports of unmet demand (Poller.PollNow) run concurrently with the polls

	digest   uint64 // of backends; 0: none
	backends *discovery.BackendList
	loads    inflight.DeltaDecoder
}

// Addresses returns the lease holder's internal address, unless it is unknown or this process.
func (s *leaseHolderSubscriber) Addresses() []string {
	snapshot := s.loop.snapshot.Load()
	if snapshot == nil || snapshot.leaseHolder == "" || snapshot.leaseHolder == s.loop.self.Address {
		return nil
	}
	return []string{snapshot.leaseHolder}
}

// SetMembers does nothing: a coordinator knows the members from its view.
func (s *leaseHolderSubscriber) SetMembers([]message.Member) {}

// PollRequest returns the versions that this coordinator has, the demand collected from proxies since the last poll,
// and their present loads.
func (s *leaseHolderSubscriber) PollRequest() message.PollRequest {
	reported := s.loop.hub.CollectDemand()
	version := backendsVersion(s.loop.hub, time.Now())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return message.PollRequest{
		BackendsVersion: version,
		ConfigSequence:  noConfigWanted, BackendDigest: s.digest, LoadVersion: s.loads.Version(),
		Demand: reported.Models, Loads: reported.Loads, Retries: reported.Retries, Proxies: reported.Proxies,
	}
}

// Apply takes the lease holder's response to a request that was sent at sent.
func (s *leaseHolderSubscriber) Apply(response *message.PollResponse, sent time.Time) distribution.Outcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !response.Unavailable {
		s.loop.hub.SetTotals(distribution.Totals{
			Loads: s.loads.Apply(inflight.DeltaOf(response)), Proxies: response.Proxies,
			PendingModelLoads: response.PendingModelLoads, Retries: response.Retries,
		})
	}
	if !response.BackendsKnown {
		return distribution.OutcomeSame
	}
	list, ok := receivedList(s.backends, response, sent)
	if !ok { // the next poll asks for the complete list
		s.backends, s.digest = nil, 0
		return distribution.OutcomeSame
	}
	s.backends, s.digest = list, list.Digest
	return publishReceived(s.loop.hub, list)
}

// backendsVersion returns the version of the hub's list of backends; nil: there is none.
func backendsVersion(hub *distribution.Hub, now time.Time) *message.BackendsVersion {
	list := hub.Backends()
	if !list.IsKnown() {
		return nil
	}
	return &message.BackendsVersion{
		AgeMs: now.Sub(list.ObservedAt).Milliseconds(), OldestMs: hub.OldestListAge().Milliseconds(), Revision: list.Revision,
	}
}

// receivedList returns the list of a response to a request that was sent at sent, by a subscriber that has the list
// base, which may be nil. ok is false if the response does not apply to base.
func receivedList(
	base *discovery.BackendList, response *message.PollResponse, sent time.Time,
) (list *discovery.BackendList, ok bool) {
	if response.Backends != nil {
		if base, ok = discovery.ApplyUpdate(base, response.Backends); !ok {
			return nil, false
		}
	}
	if base == nil {
		return nil, false
	}
	received := *base
	received.ObservedAt = distribution.ObservedAt(response, sent)
	received.Revision = response.BackendsRevision
	return &received, true
}

// publishReceived passes a received list to the hub, which ignores it unless it is newer than its own.
func publishReceived(hub *distribution.Hub, list *discovery.BackendList) distribution.Outcome {
	if !list.IsNewerThan(hub.Backends()) {
		return distribution.OutcomeSame
	}
	hub.SetBackends(list)
	return distribution.OutcomeNewer
}
