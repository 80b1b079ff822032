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
	// staleAfter is the age above which a proxy replaces its list of backends by one that it reads from the platform
	// itself.
	staleAfter = 2 * time.Second
	// fallbackInterval is the minimum time between two such reads. A random time of up to the same length is added.
	fallbackInterval = 500 * time.Millisecond
	// fallbackRateShare is the share of the platform's rate limit that all proxies together may use for these reads.
	fallbackRateShare = 0.3
)

// runDiscoveryFallback reads the list of backends from the platform while the coordinators send no fresh one. It
// returns when ctx ends.
func (s *subscription) runDiscoveryFallback(ctx context.Context) {
	for ctxtime.Sleep(ctx, fallbackInterval+rand.N(fallbackInterval)) == nil {
		s.readIfStale(ctx)
	}
}

// readIfStale reads the list from the platform if it is stale. It does not read before a configuration is known:
// nothing can be served without one, and the coordinators send a list together with it. So the proxies make no calls
// to the platform when all start at once. Each proxy reads with a probability that keeps all proxies together within
// their share of the platform's rate limit. A failed read is ignored, since the next one follows soon.
func (s *subscription) readIfStale(ctx context.Context) {
	isStale, probability := s.fallbackState()
	if !isStale || rand.Float64() > probability {
		return
	}
	list, err := s.reader.Read(ctx)
	s.monitor.CountRead(err)
	if err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !list.IsNewerThan(&s.newestVersion) {
		return
	}
	s.newestVersion, s.backends = discovery.BackendList{ObservedAt: list.ObservedAt}, list
	s.monitor.Use(list.ObservedAt, time.Now())
	s.dispatcher.Update(balancer.Update{Backends: list.Backends, HasBackends: true, OnRemoved: s.closeConnections})
}

// fallbackState reports whether the list is stale, and the probability with which to read it then: the number of calls
// that all proxies together may make in fallbackInterval, divided by the number of proxies. It can be above 1.
func (s *subscription) fallbackState() (isStale bool, probability float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isStale = s.config.Sequence() > 0 && time.Since(s.newestVersion.ObservedAt) > staleAfter
	callsPerSecond := s.settings.Platform.MaxCallsPerSecond * fallbackRateShare // of all proxies together
	probability = callsPerSecond * fallbackInterval.Seconds() / float64(s.proxyCount)
	return isStale, probability
}
