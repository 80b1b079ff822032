package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
	"pumiceline/internal/dataplane/ingress"
	"pumiceline/internal/dataplane/loads"
	"pumiceline/internal/message"
)

func newTestSubscription(t *testing.T, seeds ...string) *subscription {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	budget := balancer.NewRetryBudget(balancer.RetryBudgetOptions{Window: time.Second, Ratio: 1, Allowance: 1, Started: time.Now()})
	dispatcher := balancer.NewDispatcher(ctx, balancer.New(budget), balancer.DispatcherOptions{})
	pool := backend.NewPool(backend.MaxDialTimeout)
	return newSubscription(subscriptionOptions{
		settings: &bootstrap.Settings{Zone: "near", Bounds: bootstrap.Bounds{Drain: 4 * time.Second}}, seeds: seeds,
		dispatcher: dispatcher, handler: ingress.New(dispatcher, pool), pool: pool, loads: loads.New("p1"),
	})
}

func TestSubscription_PrefersCoordinatorsOfItsZone(t *testing.T) {
	s := newTestSubscription(t, "seed:1", "near:1")
	assert.Equal(t, []string{"seed:1", "near:1"}, s.Addresses(), "only the seeds while the members are unknown")
	s.SetMembers([]message.Member{
		{Address: "far:1", Zone: "far"}, {Address: "near:1", Zone: "near"}, {Address: "far:2", Zone: "far"},
	})
	addresses := s.Addresses()
	assert.Equal(t, "near:1", addresses[0])
	assert.ElementsMatch(t, []string{"far:1", "far:2"}, addresses[1:3])
	assert.Equal(t, []string{"seed:1"}, addresses[3:], "each address must be listed once")
}

func TestSubscription_ReadyWithConfigAndBackends(t *testing.T) {
	s := newTestSubscription(t)
	now := time.Now()
	config := &message.ConfigUpdate{Sequence: 7, Document: []byte(`{"version":3,"services":[],"routes":[]}`)}
	s.Apply(&message.PollResponse{Config: config}, now)
	assert.False(t, s.isReady.Load(), "no list of backends has been received")
	assert.Equal(t, uint64(7), s.PollRequest().ConfigSequence)

	update := &message.BackendUpdate{Digest: 5, Backends: []message.Backend{{ID: "b1", Service: "s"}}}
	s.Apply(&message.PollResponse{BackendsKnown: true, Backends: update}, now)
	assert.True(t, s.isReady.Load())
	assert.Equal(t, uint64(5), s.PollRequest().BackendDigest)
}

func TestSubscription_IgnoresOlderBackends(t *testing.T) {
	s := newTestSubscription(t)
	now := time.Now()
	newer := &message.BackendUpdate{Digest: 5, Backends: []message.Backend{{ID: "b1", Service: "s"}}}
	older := &message.BackendUpdate{Digest: 4}
	s.Apply(&message.PollResponse{BackendsKnown: true, Backends: newer}, now)
	s.Apply(&message.PollResponse{BackendsKnown: true, Backends: older, BackendsAgeMs: 1000}, now)
	assert.Equal(t, uint64(5), s.PollRequest().BackendDigest)
}

func TestSubscription_RequestsAllBackendsAfterMismatchedUpdate(t *testing.T) {
	s := newTestSubscription(t)
	now := time.Now()
	complete := &message.BackendUpdate{Digest: 5, Backends: []message.Backend{{ID: "b1", Service: "s"}}}
	mismatched := &message.BackendUpdate{Digest: 9, Base: 8}
	s.Apply(&message.PollResponse{BackendsKnown: true, Backends: complete}, now)
	s.Apply(&message.PollResponse{BackendsKnown: true, Backends: mismatched}, now.Add(time.Second))
	assert.Zero(t, s.PollRequest().BackendDigest)
	s.Apply(&message.PollResponse{BackendsKnown: true, Backends: complete}, now.Add(2*time.Second))
	assert.Equal(t, uint64(5), s.PollRequest().BackendDigest)
}

// Without a configuration nothing can be served, so the proxy must not call the platform for a list of backends.
func TestSubscription_NoFallbackBeforeConfiguration(t *testing.T) {
	s := newTestSubscription(t)
	isStale, _ := s.fallbackState()
	assert.False(t, isStale)
	config := &message.ConfigUpdate{Sequence: 7, Document: []byte(`{"version":3,"services":[],"routes":[]}`)}
	s.Apply(&message.PollResponse{Config: config}, time.Now())
	isStale, _ = s.fallbackState()
	assert.True(t, isStale, "there is a configuration but no list")
}

// Lists of the same lease holder are ordered by their revisions. Their ages include network delays, so a newer list
// can seem older than the current one.
func TestSubscription_RevisionOrdersBackendsOfSameLeaseHolder(t *testing.T) {
	s := newTestSubscription(t)
	now := time.Now()
	list := func(digest, number uint64, age int64) *message.PollResponse {
		return &message.PollResponse{
			BackendsKnown: true, BackendsAgeMs: age,
			Backends:         &message.BackendUpdate{Digest: digest, Backends: []message.Backend{{ID: "b1", Service: "s"}}},
			BackendsRevision: message.BackendsRevision{Token: 7, Number: number},
		}
	}
	s.Apply(list(5, 1, 100), now)
	s.Apply(list(6, 2, 103), now)
	assert.Equal(t, uint64(6), s.PollRequest().BackendDigest, "its age is higher, but its revision is newer")
	s.Apply(list(5, 1, 90), now)
	assert.Equal(t, uint64(6), s.PollRequest().BackendDigest, "its age is lower, but its revision is older")
}

// A proxy whose list is too old polls another coordinator.
func TestSubscription_OutcomeFollowsAgeOfList(t *testing.T) {
	s := newTestSubscription(t)
	now := time.Now()
	list := func(age time.Duration) *message.PollResponse {
		return &message.PollResponse{BackendsKnown: true, BackendsAgeMs: age.Milliseconds(),
			Backends: &message.BackendUpdate{Digest: 5, Backends: []message.Backend{{ID: "b1", Service: "s"}}}}
	}
	assert.Equal(t, distribution.OutcomeSame, s.Apply(&message.PollResponse{}, now), "there is no list yet")
	assert.Equal(t, distribution.OutcomeStale, s.Apply(list(2500*time.Millisecond), now))
	assert.Equal(t, distribution.OutcomeNewer, s.Apply(list(300*time.Millisecond), now))
	assert.Equal(t, distribution.OutcomeSame, s.Apply(list(400*time.Millisecond), now))
	config := &message.ConfigUpdate{Sequence: 7, Document: []byte(`{"version":3,"services":[],"routes":[]}`)}
	assert.Equal(t, distribution.OutcomeNewer, s.Apply(&message.PollResponse{Config: config}, now))
}

// A proxy reads the platform only when its list is older than coordinators that work let it become, and as a read takes
// a call for each page, less often for a longer list.
func TestSubscription_FallbackKeepsToRateOfCalls(t *testing.T) {
	s := newTestSubscription(t)
	s.settings.Platform.MaxCallsPerSecond = 1000
	config := &message.ConfigUpdate{Sequence: 7, Document: []byte(`{"version":3,"services":[],"routes":[]}`)}
	s.Apply(&message.PollResponse{Config: config, Proxies: 300}, time.Now())
	s.newestVersion.ObservedAt = time.Now().Add(-s.budget.FallbackAge + time.Second)
	isStale, onePage := s.fallbackState()
	assert.False(t, isStale)
	assert.InDelta(t, time.Second, s.timeUntilStale(), float64(100*time.Millisecond))
	s.newestVersion.ObservedAt = time.Now().Add(-s.budget.FallbackAge - time.Millisecond)
	s.listPages = 7
	isStale, sevenPages := s.fallbackState()
	assert.True(t, isStale)
	assert.InDelta(t, onePage/7, sevenPages, 1e-9)
	callsPerSecond := sevenPages * 7 * 300 / (1.5 * fallbackInterval.Seconds())
	assert.InDelta(t, 300, callsPerSecond, 1e-6, "the share of the rate for all proxies together")
}

// A coordinator that does not serve passes its list on, and nothing else of its response is used.
func TestSubscription_TakesOnlyListOfUnavailableCoordinator(t *testing.T) {
	s := newTestSubscription(t)
	now := time.Now()
	config := &message.ConfigUpdate{Sequence: 7, Document: []byte(`{"version":3,"services":[],"routes":[]}`)}
	update := &message.BackendUpdate{Digest: 5, Backends: []message.Backend{{ID: "b1", Service: "s"}}}
	s.Apply(&message.PollResponse{Unavailable: true, Config: config, BackendsKnown: true, Backends: update, Proxies: 9}, now)
	assert.Equal(t, uint64(5), s.PollRequest().BackendDigest)
	assert.Zero(t, s.PollRequest().ConfigSequence)
	assert.Equal(t, 1, s.proxyCount)
	assert.False(t, s.isReady.Load())
	s.Apply(&message.PollResponse{Config: config}, now)
	assert.True(t, s.isReady.Load())
}
