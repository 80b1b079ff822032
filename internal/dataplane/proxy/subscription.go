package proxy

import (
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/samber/lo/mutable"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/controlplane/distribution/inflight"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
	"pumiceline/internal/dataplane/ingress"
	"pumiceline/internal/dataplane/loads"
	"pumiceline/internal/logkey"
	"pumiceline/internal/message"
)

// subscription applies what the proxy receives from the coordinators: configuration, backends and loads. It is the
// subscriber of a distribution.Poller. Its methods may be called from any goroutine. While the process runs, it never
// replaces the configuration or the backends by older ones.
type subscription struct {
	subscriptionOptions
	budget  discovery.Budget
	reader  *discovery.Reader
	monitor *discovery.AgeMonitor
	isReady atomic.Bool // a configuration and a list of backends have been received

	mutex      sync.Mutex
	addresses  []string // of the coordinators, the preferred first
	config     distribution.ConfigCopy
	inForce    atomic.Pointer[ConfigStatus] // nil: no configuration has been applied
	loadTotals inflight.DeltaDecoder
	backends   *discovery.BackendList // nil: the next update must be complete
	// newestVersion holds when the newest backends were read from the platform, and their revision, but not the
	// backends.
	newestVersion discovery.BackendList
	proxyCount    int // number of proxies, at least 1
	listPages     int // of the platform's list when this proxy last read it; 0: it has not
}

// subscriptionOptions holds the settings of a subscription and the components that it updates.
type subscriptionOptions struct {
	settings   *bootstrap.Settings
	seeds      []string // addresses of coordinators; used alone while the members are unknown, else last
	dispatcher *balancer.Dispatcher
	handler    *ingress.Handler
	pool       *backend.Pool
	loads      *loads.Exchange
}

func newSubscription(options subscriptionOptions) *subscription {
	budget := discovery.NewBudget(options.settings.Bounds.Drain)
	return &subscription{
		subscriptionOptions: options, budget: budget, proxyCount: 1,
		reader:  discovery.NewReader(options.settings.Platform.Address, budget.ReadTimeout),
		monitor: discovery.NewAgeMonitor(options.settings.Bounds.Drain),
	}
}

// Addresses returns the addresses of the coordinators: first the members in the proxy's own zone, then the other
// members, then the seeds.
func (s *subscription) Addresses() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := append([]string{}, s.addresses...)
	return lo.Uniq(append(all, s.seeds...))
}

// SetMembers sets the coordinators of a membership view. A proxy prefers those of its own zone. Their order within
// the own zone and within the other zones is random, so that the proxies spread over them.
func (s *subscription) SetMembers(members []message.Member) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if isSameSet(s.addresses, addressesOf(members)) {
		return
	}
	shuffled := append([]message.Member{}, members...)
	mutable.Shuffle(shuffled)
	sameZone, otherZones := lo.FilterReject(shuffled, func(m message.Member, _ int) bool {
		return m.Zone == s.settings.Zone
	})
	s.loads.SetMembers(members)
	s.addresses = addressesOf(append(sameZone, otherZones...))
}

func addressesOf(members []message.Member) []string {
	return lo.Map(members, func(m message.Member, _ int) string { return m.Address })
}

func isSameSet(a, b []string) bool {
	return len(a) == len(b) && len(lo.Without(a, b...)) == 0
}

// PollRequest returns the next poll request: the versions of what the proxy has, its demand and its loads.
func (s *subscription) PollRequest() message.PollRequest {
	report := s.dispatcher.Report()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return message.PollRequest{
		BackendsVersion: s.backendsVersion(time.Now()),
		ConfigSequence:  s.config.KnownSequence(), BackendDigest: s.digest(), LoadVersion: s.loadTotals.Version(),
		Demand: report.Demand, Loads: report.Loads, Retries: report.Retries, Proxies: 1,
	}
}

// backendsVersion returns the version of the current list of backends; nil: there is none.
func (s *subscription) backendsVersion(now time.Time) *message.BackendsVersion {
	if !s.newestVersion.IsKnown() || s.digest() == 0 {
		return nil
	}
	return &message.BackendsVersion{
		AgeMs: now.Sub(s.newestVersion.ObservedAt).Milliseconds(), OldestMs: s.monitor.Status(now).OldestMs,
		Revision: s.newestVersion.Revision,
	}
}

// Apply applies the response of a coordinator to a poll. sent is when the poll request was sent. The outcome is stale if
// the list in use is so old that another coordinator should be polled.
func (s *subscription) Apply(response *message.PollResponse, sent time.Time) distribution.Outcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	observedBefore := s.newestVersion.ObservedAt
	update := balancer.Update{OnRemoved: s.closeConnections}
	update.Backends, update.HasBackends = s.applyBackends(response, sent)
	if !response.Unavailable {
		s.applyState(response, &update)
	}
	s.dispatcher.Update(update)
	if update.Config != nil {
		s.handler.SetConfig(update.Config)
	}
	if !response.Unavailable {
		s.handler.Confirm()
	}
	if s.config.Sequence() > 0 && s.digest() != 0 {
		s.isReady.Store(true)
	}
	switch {
	case s.newestVersion.IsKnown() && time.Since(s.newestVersion.ObservedAt) >= s.budget.FailoverAge:
		return distribution.OutcomeStale
	case update.Config != nil || s.newestVersion.ObservedAt.After(observedBefore):
		return distribution.OutcomeNewer
	}
	return distribution.OutcomeSame
}

// applyState applies what only a coordinator that serves may send: the configuration and the loads.
func (s *subscription) applyState(response *message.PollResponse, update *balancer.Update) {
	update.Config, update.Response = s.applyConfig(response.Config), response
	update.TotalLoads = s.loadTotals.Apply(inflight.DeltaOf(response))
	s.proxyCount = max(1, response.Proxies)
}

// applyConfig returns the configuration of an update, or nil if it is not newer than the current one or is invalid.
func (s *subscription) applyConfig(update *message.ConfigUpdate) *configuration.Config {
	document, isNewer := s.config.Apply(update)
	if !isNewer {
		return nil
	}
	config, err := configuration.Parse(document)
	if err != nil {
		logrus.WithError(err).Error("invalid configuration from a coordinator; the current one stays in use")
		return nil
	}
	s.inForce.Store(&ConfigStatus{Version: config.Version, Digest: hex.EncodeToString(message.DocumentDigest(document))})
	logrus.WithField(logkey.Version, config.Version).Debug("new configuration applied")
	return config
}

// applyBackends returns the backends of a response. isNewer is false if the current list stays in use.
func (s *subscription) applyBackends(
	response *message.PollResponse, sent time.Time,
) (backends []message.Backend, isNewer bool) {
	if !response.BackendsKnown {
		s.monitor.CountPoll(false)
		return nil, false
	}
	received := discovery.BackendList{ObservedAt: distribution.ObservedAt(response, sent), Revision: response.BackendsRevision}
	isNewerReading := received.IsNewerThan(&s.newestVersion)
	s.monitor.CountPoll(response.Backends != nil && !isNewerReading)
	if !isNewerReading {
		return nil, false
	}
	if response.Backends != nil {
		backends, isNewer = s.applyBackendUpdate(response.Backends)
	}
	if s.digest() != 0 {
		s.newestVersion = received
		s.monitor.Use(received.ObservedAt, time.Now())
	}
	return backends, isNewer
}

// applyBackendUpdate applies an update to the list of backends. An update that is based on another list is dropped,
// and so is one whose result has another digest. The next poll then requests all backends.
func (s *subscription) applyBackendUpdate(update *message.BackendUpdate) (backends []message.Backend, ok bool) {
	list, ok := discovery.ApplyUpdate(s.backends, update)
	if !ok {
		s.backends = nil
		return nil, false
	}
	s.backends = list
	return list.Backends, true
}

// digest identifies the current list of backends; 0: there is none.
func (s *subscription) digest() uint64 {
	if s.backends == nil {
		return 0
	}
	return s.backends.Digest
}

func (s *subscription) closeConnections(removed []*balancer.Backend) {
	for _, b := range removed {
		s.pool.CloseIdle(b.ID)
	}
}
