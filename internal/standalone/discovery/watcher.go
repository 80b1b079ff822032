// Package discovery maintains the endpoint list. It watches the discovery service for changes, assigns each backend the
// ID that the policy uses for it, and marks backends that operators have disabled as draining.
package discovery

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"slices"
	"sync"
	"sync/atomic"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/hotrestart"
	"pumiceline/internal/standalone/maintenance"
	"pumiceline/internal/standalone/policy"
)

// Policy is notified of membership changes, and of watches that failed.
type Policy interface {
	UpdateMembers(kind policy.EventKind, members []policy.Member)
}

// Backends is notified of the addresses of backends, and of whether each may get new requests.
type Backends interface {
	SetBackend(id policy.ServerID, addr string, ready bool)
}

// Source is a discovery service, with the zone and instance type names of the settings that decode its list.
type Source struct {
	Address       string
	Zones         []string
	InstanceTypes []string
}

func (s *Source) equal(other *Source) bool {
	return s.Address == other.Address && slices.Equal(s.Zones, other.Zones) && slices.Equal(s.InstanceTypes, other.InstanceTypes)
}

// Options are what a Watcher needs.
type Options struct {
	Source   Source
	Dial     backend.Dial // nil: TCP
	Backends Backends
	Log      *slog.Logger
}

// Watcher maintains the endpoint list, and watches discovery when the policy requests it. Its methods are safe for
// concurrent use once Run is called.
type Watcher struct {
	dial     backend.Dial
	policy   Policy // set by Start
	backends Backends
	folder   *hotrestart.SharedFolder // nil: disabled backends are kept in memory only
	log      *slog.Logger

	restart           chan struct{} // has a value when RestartWatch was called
	sourceChanged     chan struct{} // has a value when SetSource was called
	nextSource        atomic.Pointer[Source]
	hasEndpoints      atomic.Bool // see HasEndpoints
	hasSynced         atomic.Bool // see HasSynced
	sourceUnconfirmed atomic.Bool // since the source was changed, no watch has received a message or ended by itself
	endpointCount     atomic.Int64

	// source and version are written by Run, between watches, and version also by the running watch.
	source  Source
	version uint64 // of the list from source; 0: none

	mu                 sync.Mutex // guards the fields below
	decoder            *Decoder
	endpoints          map[policy.ServerID]listedEndpoint
	maintenance        maintenance.State
	maintenanceVersion hotrestart.FileVersion // of the file that was read last
}

// listedEndpoint is an endpoint as listed, and as it was last published to the policy.
type listedEndpoint struct {
	Endpoint
	published policy.Member
}

// NewWatcher returns a watcher without a list.
func NewWatcher(opts Options) *Watcher {
	dial := opts.Dial
	if dial == nil {
		dial = backend.DialTCP
	}
	return &Watcher{source: opts.Source, dial: dial, backends: opts.Backends, log: opts.Log,
		decoder: NewDecoder(opts.Source.Zones, opts.Source.InstanceTypes), endpoints: map[policy.ServerID]listedEndpoint{},
		restart: make(chan struct{}, 1), sourceChanged: make(chan struct{}, 1)}
}

// Start publishes cached, the endpoint list in the configuration, in the wire form of Update, and sets the policy that
// is notified of updates. Call it once, before Run. cached may be empty.
func (w *Watcher) Start(p Policy, cached []byte) {
	w.policy = p
	if len(cached) == 0 {
		p.UpdateMembers(policy.MembershipCached, nil)
		return
	}
	if err := w.apply(cached, true); err != nil {
		w.log.Error("cached endpoint list not usable", "error", err)
		p.UpdateMembers(policy.MembershipCached, nil)
	}
}

// RestartWatch makes Run stop the current watch and start a new one. It returns at once.
func (w *Watcher) RestartWatch() { notify(w.restart) }

// SetSource makes Run watch another source from now on. Run does not wait until the policy requests a watch: the policy
// relies on the current watch, and the old source may send nothing more. SetSource returns at once.
//
// If only the zone or instance type names differ, the complete list is requested again too, since the listed backends
// were decoded with the old names.
func (w *Watcher) SetSource(s Source) {
	w.nextSource.Store(&s)
	notify(w.sourceChanged)
}

// notify puts a value into a channel of capacity one, unless it has one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// HasEndpoints reports whether there is an endpoint list. An empty list counts only if discovery sent it.
func (w *Watcher) HasEndpoints() bool { return w.hasEndpoints.Load() }

// HasSynced reports whether discovery has confirmed or sent the list since the start.
func (w *Watcher) HasSynced() bool { return w.hasSynced.Load() }

// EndpointCount returns the number of listed backends.
func (w *Watcher) EndpointCount() int { return int(w.endpointCount.Load()) }

// TableSizes are the numbers of entries in a Watcher's tables, for the admin API.
type TableSizes struct {
	Endpoints   int // listed backends
	IDs         int // names of backends that have an ID
	Maintenance int // backends in the maintenance state
}

// TableSizes returns how many entries the tables hold now.
func (w *Watcher) TableSizes() TableSizes {
	w.mu.Lock()
	defer w.mu.Unlock()
	return TableSizes{Endpoints: len(w.endpoints), IDs: len(w.decoder.ids), Maintenance: w.maintenance.Len()}
}

// Run starts a watch after each RestartWatch, and after each SetSource with a different source, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	stopWatch := func() {}
	defer func() { stopWatch() }()
	for {
		var next *Source
		select {
		case <-ctx.Done():
			return
		case <-w.restart:
		case <-w.sourceChanged:
			if next = w.nextSource.Load(); next.equal(&w.source) {
				continue
			}
		}
		stopWatch() // only one watch may run at a time, since it writes the list
		if next != nil {
			w.useSource(next)
		}
		stopWatch = w.startWatch(ctx)
	}
}

// useSource replaces the source. The list stays in use until the new source has sent its complete list. The versions of
// two sources are unrelated, so version 0 requests the complete list, and not the changes since a version of the old
// source.
func (w *Watcher) useSource(s *Source) {
	w.log.Info("discovery source changed", "from", w.source.Address, "to", s.Address)
	w.source, w.version = *s, 0
	w.decoder.zones, w.decoder.instanceTypes = s.Zones, s.InstanceTypes
	w.sourceUnconfirmed.Store(true) // stays set if RestartWatch stops the first watch of the new source
}

// startWatch starts a watch. The returned function stops it and waits for its end.
func (w *Watcher) startWatch(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := w.watch(ctx); ctx.Err() == nil {
			w.reportWatchEnd(err)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// reportWatchEnd notifies the policy that a watch ended by itself. Updates may have been missed if the watch timed out,
// or if a new source has not sent a message yet: after DiscoveryTimedOut the policy requests the next watch sooner.
func (w *Watcher) reportWatchEnd(err error) {
	w.log.Warn("discovery watch ended", "error", err)
	kind := policy.DiscoveryFailed
	if unconfirmed := w.sourceUnconfirmed.Swap(false); unconfirmed || errors.Is(err, os.ErrDeadlineExceeded) {
		kind = policy.DiscoveryTimedOut
	}
	w.policy.UpdateMembers(kind, nil)
}
