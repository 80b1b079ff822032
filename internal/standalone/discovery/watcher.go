// Package discovery keeps the endpoint list: it watches discovery for changes, gives each backend the ID by which the policy
// knows it, and applies to the list what operators have disabled.
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

// Policy is notified of the membership, and of watches that failed.
type Policy interface {
	UpdateMembers(kind policy.EventKind, members []policy.Member)
}

// Backends is notified of the addresses of backends and of which of them may get new requests.
type Backends interface {
	SetBackend(id policy.ServerID, addr string, ready bool)
}

// Source is a discovery service, and the names of the settings by which its list is decoded.
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

// Watcher keeps the endpoint list and watches discovery when the policy asks for it. Its methods are safe for concurrent use
// once Run is called.
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
	sourceUnconfirmed atomic.Bool // no watch of a new source has brought a message, or ended by itself, since SetSource
	endpointCount     atomic.Int64

	// The following two are written by Run, between watches, and by the one watch that is running.
	source  Source
	version uint64 // of the list from source; 0: none

	mu                 sync.Mutex // guards what follows
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

// Start publishes the configuration's own endpoint list, in the form of discovery, and sets the policy that is notified of
// updates. Call it once, before Run. cached may be empty.
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

// RestartWatch has Run start a watch in place of the present one. It returns at once.
func (w *Watcher) RestartWatch() { notify(w.restart) }

// SetSource has Run watch another source from now on. It does not wait until the policy asks for a watch: the policy relies on
// the present one, and the old source may send nothing more. It returns at once.
//
// Where names of zones or instance types differ from before, the complete list is asked for again, since known backends were
// decoded by the old names.
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

// HasEndpoints reports whether there is an endpoint list: an empty one counts only if it came from discovery.
func (w *Watcher) HasEndpoints() bool { return w.hasEndpoints.Load() }

// HasSynced reports whether discovery has confirmed or sent the list since the start.
func (w *Watcher) HasSynced() bool { return w.hasSynced.Load() }

// EndpointCount returns the number of listed backends.
func (w *Watcher) EndpointCount() int { return int(w.endpointCount.Load()) }

// TableSizes are the numbers of entries in a Watcher's tables, for the admin API.
type TableSizes struct {
	Endpoints   int // listed backends
	IDs         int // names of backends that have an ID
	Maintenance int // backends that the maintenance state remembers
}

// TableSizes returns how many entries the tables hold now.
func (w *Watcher) TableSizes() TableSizes {
	w.mu.Lock()
	defer w.mu.Unlock()
	return TableSizes{Endpoints: len(w.endpoints), IDs: len(w.decoder.ids), Maintenance: w.maintenance.Len()}
}

// Run watches whenever it is asked to, until ctx ends.
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
		stopWatch() // one watch at a time, since it writes the list
		if next != nil {
			w.useSource(next)
		}
		stopWatch = w.startWatch(ctx)
	}
}

// useSource replaces the source. The list stays in use until the new source has sent its own. Versions of two sources are
// independent, so that the new one is asked for its complete list, and not for changes since a version of the old one.
func (w *Watcher) useSource(s *Source) {
	w.log.Info("discovery moved", "from", w.source.Address, "to", s.Address)
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

// reportWatchEnd notifies the policy that a watch ended by itself. A watch that timed out may have missed updates, and so may
// one of a new source that has brought nothing yet: with DiscoveryTimedOut the policy asks again sooner.
func (w *Watcher) reportWatchEnd(err error) {
	w.log.Warn("discovery watch ended", "error", err)
	kind := policy.DiscoveryFailed
	if unconfirmed := w.sourceUnconfirmed.Swap(false); unconfirmed || errors.Is(err, os.ErrDeadlineExceeded) {
		kind = policy.DiscoveryTimedOut
	}
	w.policy.UpdateMembers(kind, nil)
}
