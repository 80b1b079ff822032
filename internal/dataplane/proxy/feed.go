package proxy

import (
	"context"
	"math/rand/v2"
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
	"pumiceline/internal/message"
)

// Times of reading the list without the coordinators.
const (
	tableStale   = 2 * time.Second
	watchEvery   = 500 * time.Millisecond
	ownReadShare = 0.3 // of the platform's rate that proxies use for this, all together
)

// feed takes what the proxy pulls: configuration, backends and loads.
type feed struct {
	settings   *bootstrap.Settings
	dispatcher *balancer.Dispatcher
	handler    *ingress.Handler
	pool       *backend.Pool
	exchange   *loads.Exchange
	reader     *discovery.Reader
	seeds      []string

	mutex    sync.Mutex
	members  []string
	config   distribution.ConfigCopy
	digest   uint64
	totals   inflight.DeltaDecoder
	table    *discovery.Table // as pulled last
	observed time.Time
	proxies  int
	ready    atomic.Bool
}

func newFeed(settings *bootstrap.Settings, dispatcher *balancer.Dispatcher, handler *ingress.Handler, pool *backend.Pool, exchange *loads.Exchange, seeds []string) *feed {
	return &feed{
		settings: settings, dispatcher: dispatcher, handler: handler, pool: pool, exchange: exchange, seeds: seeds,
		reader: discovery.NewReader(settings.Platform.Address), proxies: 1,
	}
}

// isReady reports whether a configuration and a list of backends are known.
func (f *feed) isReady() bool { return f.ready.Load() }

// Addresses returns the coordinators: those known from the view, of the own zone first, then the seeds.
func (f *feed) Addresses() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	all := append([]string{}, f.members...)
	return lo.Uniq(append(all, f.seeds...))
}

// SetMembers takes the coordinators. Proxies prefer those of their own zone, else they spread over all.
func (f *feed) SetMembers(members []message.Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	addresses := lo.Map(members, func(m message.Member, _ int) string { return m.Address })
	if sameSet(f.members, addresses) {
		return
	}
	shuffled := append([]message.Member{}, members...)
	mutable.Shuffle(shuffled)
	near, far := lo.FilterReject(shuffled, func(m message.Member, _ int) bool { return m.Zone == f.settings.Zone })
	f.exchange.SetMembers(members)
	f.members = lo.Map(append(near, far...), func(m message.Member, _ int) string { return m.Address })
}

func sameSet(a, b []string) bool {
	return len(a) == len(b) && len(lo.Without(a, b...)) == 0
}

// PollRequest tells what the proxy has, and its demand and loads.
func (f *feed) PollRequest() message.PollRequest {
	demand, loads := f.dispatcher.Report()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return message.PollRequest{ConfigSequence: f.config.KnownSequence(), BackendDigest: f.digest, Demand: demand, Loads: loads, Proxies: 1, LoadVersion: f.totals.Version()}
}

// Apply takes an answer of a coordinator. Nothing ever goes backward within the life of the process.
func (f *feed) Apply(reply *message.PollResponse, sent time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	config := f.newConfig(reply.Config)
	var backends []message.Backend
	newer := false
	if reply.BackendsKnown {
		observed := sent.Add(time.Duration(reply.WaitedMs-reply.BackendsAgeMs) * time.Millisecond)
		if observed.After(f.observed) {
			if reply.Backends != nil {
				backends, newer = f.takeTable(reply.Backends)
			}
			if f.digest != 0 {
				f.observed = observed
			}
		}
	}
	f.proxies = max(1, reply.Proxies)
	f.dispatcher.Update(balancer.Update{
		Config: config, Backends: backends, HasBackends: newer, Response: reply, OnRemoved: f.forget,
		TotalLoads: f.totals.Apply(inflight.DeltaOf(reply)),
	})
	if config != nil {
		f.handler.SetConfig(config)
	}
	f.handler.Confirm()
	if f.config.Sequence() > 0 && f.digest != 0 {
		f.ready.Store(true)
	}
}

// takeTable takes an update of the list; one that does not fit is passed over, and the whole list asked for next.
func (f *feed) takeTable(update *message.BackendUpdate) ([]message.Backend, bool) {
	table, ok := discovery.Apply(f.table, update)
	if !ok {
		f.table, f.digest = nil, 0
		return nil, false
	}
	f.table, f.digest = table, table.Digest
	return table.Backends, true
}

func (f *feed) newConfig(update *message.ConfigUpdate) *configuration.Config {
	document, newer := f.config.Apply(update)
	if !newer {
		return nil
	}
	config, err := configuration.Parse(document)
	if err != nil {
		logrus.WithError(err).Error("a configuration from the coordinators cannot be read; the old one stays")
		return nil
	}
	logrus.WithField("version", config.Version).Debug("configuration in force")
	return config
}

func (f *feed) forget(gone []*balancer.Backend) {
	for _, b := range gone {
		f.pool.Forget(b.ID)
	}
}

// watch reads the list itself while no coordinator has brought a fresh one.
func (f *feed) watch(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(watchEvery + rand.N(watchEvery))
		select {
		case <-ctx.Done():
		case <-timer.C:
			f.readWhereStale(ctx)
		}
		timer.Stop()
	}
}

func (f *feed) readWhereStale(ctx context.Context) {
	f.mutex.Lock()
	stale := time.Since(f.observed) > tableStale
	share := f.settings.Platform.RatePerS * ownReadShare * watchEvery.Seconds() / float64(f.proxies)
	f.mutex.Unlock()
	if !stale || rand.Float64() > share {
		return
	}
	table, err := f.reader.Read(ctx)
	if err != nil {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !table.Observed.After(f.observed) {
		return
	}
	f.observed, f.digest, f.table = table.Observed, table.Digest, table
	f.dispatcher.Update(balancer.Update{Backends: table.Backends, HasBackends: true, OnRemoved: f.forget})
}
