package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/ctxtime"
	"pumiceline/internal/dataplane/balancer"
)

const (
	// staleAfter is the age of the list of backends from which a proxy reads it from the platform itself.
	staleAfter = 2 * time.Second
	// fallbackInterval is the least time between two such reads; up to as much is added at random.
	fallbackInterval = 500 * time.Millisecond
	// fallbackRateShare is the share of the platform's rate limit that all proxies together use for these reads.
	fallbackRateShare = 0.3
)

// runDiscoveryFallback reads the list of backends from the platform while no coordinator brings a fresh one, until ctx
// ends.
func (s *subscription) runDiscoveryFallback(ctx context.Context) {
	for ctxtime.Sleep(ctx, fallbackInterval+rand.N(fallbackInterval)) == nil {
		s.readIfStale(ctx)
	}
}

// readIfStale reads the list where it is stale. Before a configuration is known nothing can be served, and it comes with a
// list: after a start of all proxies none reads. To keep to the rate limit, each proxy reads with a probability by which
// all together stay below it. A failed read is ignored: another one follows.
func (s *subscription) readIfStale(ctx context.Context) {
	isStale, probability := s.fallbackState()
	if !isStale || rand.Float64() > probability {
		return
	}
	list, err := s.reader.Read(ctx)
	if err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !list.IsNewerThan(&s.newest) {
		return
	}
	s.newest, s.backends = discovery.BackendList{ObservedAt: list.ObservedAt}, list
	s.dispatcher.Update(balancer.Update{Backends: list.Backends, HasBackends: true, OnRemoved: s.closeConnections})
}

// fallbackState reports whether the list is stale, and with which probability to read it then: the number of calls that
// all proxies together may make in fallbackInterval, divided by the number of proxies.
func (s *subscription) fallbackState() (isStale bool, probability float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isStale = s.config.Sequence() > 0 && time.Since(s.newest.ObservedAt) > staleAfter
	callsPerSecond := s.settings.Platform.MaxCallsPerSecond * fallbackRateShare // of all proxies together
	probability = callsPerSecond * fallbackInterval.Seconds() / float64(s.proxies)
	return isStale, probability
}
