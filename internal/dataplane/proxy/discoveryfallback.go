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
	// fallbackInterval is the minimum time between two checks of a stale list. A random time of up to the same length is
	// added.
	fallbackInterval = 100 * time.Millisecond
	// fallbackRateShare is the share of the platform's rate limit that all proxies together may use for these reads.
	fallbackRateShare = 0.3
	// assumedPageLength is the number of backends on a page of the platform's list.
	assumedPageLength = 50
)

// runDiscoveryFallback reads the list of backends from the platform while the coordinators send no fresh one. It
// returns when ctx ends.
func (s *subscription) runDiscoveryFallback(ctx context.Context) {
	for ctxtime.Sleep(ctx, max(fallbackInterval, s.timeUntilStale())+rand.N(fallbackInterval)) == nil {
		s.readIfStale(ctx)
	}
}

// timeUntilStale is the time until the present list will be stale if nothing replaces it. Without a list it is 0.
func (s *subscription) timeUntilStale() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(0, s.budget.FallbackAge-time.Since(s.newestVersion.ObservedAt))
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
	s.listPages = list.Pages
	s.newestVersion, s.backends = discovery.BackendList{ObservedAt: list.ObservedAt}, list
	s.monitor.Use(list.ObservedAt, time.Now())
	s.dispatcher.Update(balancer.Update{Backends: list.Backends, HasBackends: true, OnRemoved: s.closeConnections})
}

// fallbackState reports whether the list is stale, and the probability with which to read it then: the number of reads
// that all proxies together may make between two checks, divided by the number of proxies. A read takes a call for each
// page. The probability can be above 1.
func (s *subscription) fallbackState() (isStale bool, probability float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isStale = s.config.Sequence() > 0 && time.Since(s.newestVersion.ObservedAt) > s.budget.FallbackAge
	callsPerSecond := s.settings.Platform.MaxCallsPerSecond * fallbackRateShare // of all proxies together
	readsPerSecond := callsPerSecond / float64(s.pages())
	meanInterval := fallbackInterval * 3 / 2
	probability = readsPerSecond * meanInterval.Seconds() / float64(s.proxyCount)
	return isStale, probability
}

// pages is the number of pages of the platform's list when this proxy last read it, or an estimate before that.
func (s *subscription) pages() int {
	if s.listPages > 0 {
		return s.listPages
	}
	if s.backends == nil {
		return 1
	}
	return 1 + len(s.backends.Backends)/assumedPageLength
}
