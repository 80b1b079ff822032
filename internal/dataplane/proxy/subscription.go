package proxy

import (
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

// subscription puts in force what the proxy receives from the coordinators: configuration, backends and loads. It is
// the subscriber of a distribution.Poller, and may be used by any goroutine. While the process runs, configuration and
// backends are never replaced by older ones.
type subscription struct {
	subscriptionOptions
	reader  *discovery.Reader
	isReady atomic.Bool // a configuration and a list of backends are known

	mutex      sync.Mutex
	addresses  []string // of the coordinators, the preferred first
	config     distribution.ConfigCopy
	loadTotals inflight.DeltaDecoder
	backends   *discovery.BackendList // nil: the next update must be complete
	newest     discovery.BackendList  // when the backends were read from the platform, and their revision, without themselves
	proxies    int                    // how many there are, at least 1
}

// subscriptionOptions are what a subscription updates.
type subscriptionOptions struct {
	settings   *bootstrap.Settings
	seeds      []string // addresses of coordinators to begin with
	dispatcher *balancer.Dispatcher
	handler    *ingress.Handler
	pool       *backend.Pool
	loads      *loads.Exchange
}

func newSubscription(options subscriptionOptions) *subscription {
	return &subscription{
		subscriptionOptions: options,
		reader:              discovery.NewReader(options.settings.Platform.Address), proxies: 1,
	}
}

// Addresses returns the coordinators: those of the membership view, of the proxy's own zone first, then the seeds.
func (s *subscription) Addresses() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := append([]string{}, s.addresses...)
	return lo.Uniq(append(all, s.seeds...))
}

// SetMembers takes the coordinators of a membership view. Proxies prefer those of their own zone; within a zone each
// prefers another one at random.
func (s *subscription) SetMembers(members []message.Member) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if isSameSet(s.addresses, addressesOf(members)) {
		return
	}
	shuffled := append([]message.Member{}, members...)
	mutable.Shuffle(shuffled)
	near, far := lo.FilterReject(shuffled, func(m message.Member, _ int) bool { return m.Zone == s.settings.Zone })
	s.loads.SetMembers(members)
	s.addresses = addressesOf(append(near, far...))
}

func addressesOf(members []message.Member) []string {
	return lo.Map(members, func(m message.Member, _ int) string { return m.Address })
}

func isSameSet(a, b []string) bool {
	return len(a) == len(b) && len(lo.Without(a, b...)) == 0
}

// PollRequest returns the versions that the proxy has, and its demand and loads.
func (s *subscription) PollRequest() message.PollRequest {
	demand, loads := s.dispatcher.Report()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return message.PollRequest{
		ConfigSequence: s.config.KnownSequence(), BackendDigest: s.digest(), LoadVersion: s.loadTotals.Version(),
		Demand: demand, Loads: loads, Proxies: 1,
	}
}

// Apply puts a response of a coordinator in force. sent is when its request was sent.
func (s *subscription) Apply(response *message.PollResponse, sent time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	update := balancer.Update{Config: s.applyConfig(response.Config), Response: response, OnRemoved: s.closeConnections}
	update.Backends, update.HasBackends = s.applyBackends(response, sent)
	update.TotalLoads = s.loadTotals.Apply(inflight.DeltaOf(response))
	s.proxies = max(1, response.Proxies)
	s.dispatcher.Update(update)
	if update.Config != nil {
		s.handler.SetConfig(update.Config)
	}
	s.handler.Confirm()
	if s.config.Sequence() > 0 && s.digest() != 0 {
		s.isReady.Store(true)
	}
}

// applyConfig returns the configuration of an update; nil: it is not newer, or invalid.
func (s *subscription) applyConfig(update *message.ConfigUpdate) *configuration.Config {
	document, isNewer := s.config.Apply(update)
	if !isNewer {
		return nil
	}
	config, err := configuration.Parse(document)
	if err != nil {
		logrus.WithError(err).Error("invalid configuration from a coordinator, the present one stays in force")
		return nil
	}
	logrus.WithField(logkey.Version, config.Version).Debug("configuration in force")
	return config
}

// applyBackends returns the backends of a response; isNewer is false where those that are known stay.
func (s *subscription) applyBackends(
	response *message.PollResponse, sent time.Time,
) (backends []message.Backend, isNewer bool) {
	if !response.BackendsKnown {
		return nil, false
	}
	received := discovery.BackendList{ObservedAt: distribution.ObservedAt(response, sent), Revision: response.BackendsRevision}
	if !received.IsNewerThan(&s.newest) {
		return nil, false
	}
	if response.Backends != nil {
		backends, isNewer = s.applyBackendUpdate(response.Backends)
	}
	if s.digest() != 0 {
		s.newest = received
	}
	return backends, isNewer
}

// applyBackendUpdate applies an update to the list. One that does not fit is dropped, and the next request asks for
// all backends.
func (s *subscription) applyBackendUpdate(update *message.BackendUpdate) (backends []message.Backend, ok bool) {
	list, ok := discovery.ApplyUpdate(s.backends, update)
	if !ok {
		s.backends = nil
		return nil, false
	}
	s.backends = list
	return list.Backends, true
}

// digest identifies the list of backends; 0: there is none.
func (s *subscription) digest() uint64 {
	if s.backends == nil {
		return 0
	}
	return s.backends.Digest
}

func (s *subscription) closeConnections(removed []*balancer.Backend) {
	for _, b := range removed {
		s.pool.Forget(b.ID)
	}
}
