package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/hotrestart"
	"pumiceline/internal/standalone/maintenance"
	"pumiceline/internal/standalone/policy"
)

// silenceTimeout is how long discovery may say nothing whole: a watch brings a message or an empty line every 2 s at least. A machine
// that was cut off leaves its connections open, so a longer silence is the only sign of it. What a silent watch misses counts as
// told 6 s after its last byte: this, the module's wait and a further call have to fit in there, hence no longer.
const silenceTimeout = 2600 * time.Millisecond

// dialTimeout leaves of that time what one lost SYN takes to be sent again.
const dialTimeout = 1500 * time.Millisecond

// Policy is told what the list says.
type Policy interface {
	UpdateMembers(kind policy.EventKind, members []policy.Member)
}

// Backends is told where destinations are and which may get work.
type Backends interface {
	SetBackend(id uint32, addr string, ready bool)
}

// Watcher keeps the pool config and asks discovery for it when the module wants it asked.
type Watcher struct {
	addr              string
	dial              backend.Dial
	decoder           *Decoder
	policy            Policy
	backends          Backends
	log               *slog.Logger
	restart           chan struct{}
	sourceChanged     chan struct{}
	nextSource        atomic.Pointer[source] // what Move said last
	hasEndpoints      atomic.Bool
	hasSynced         atomic.Bool              // from discovery, since the start
	sourceUnconfirmed atomic.Bool              // discovery has moved, and no watch there has brought anything or ended by itself yet
	endpointCount     atomic.Int64             // hosts listed
	version           uint64                   // the version held, of the discovery at addr; 0: none of it
	folder            *hotrestart.SharedFolder // nil: what operators say is kept in memory alone

	mu                 sync.Mutex // guards the table's names and what follows
	endpoints          map[uint32]listedEndpoint
	maintenance        maintenance.State
	maintenanceVersion hotrestart.FileVersion
}

// NewWatcher returns a watcher of discovery at addr, which it reaches over TCP.
func NewWatcher(addr string, table *Decoder, fleet Backends, log *slog.Logger) *Watcher {
	dial := backend.DialTCP
	return &Watcher{addr: addr, dial: dial, decoder: table, backends: fleet, log: log, restart: make(chan struct{}, 1),
		sourceChanged: make(chan struct{}, 1), endpoints: map[uint32]listedEndpoint{}}
}

// SetDial has the watcher reach discovery by dial. It is to be called before Run.
func (w *Watcher) SetDial(dial backend.Dial) { w.dial = dial }

// Len is how many hosts are kept: as listed, by name, and taken out by hand.
func (w *Watcher) TableSizes() (listed, names, out int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.endpoints), len(w.decoder.ids), w.maintenance.Len()
}

// HasEndpoints says whether there is a pool config to work with.
func (w *Watcher) HasEndpoints() bool { return w.hasEndpoints.Load() }

// HasSynced says whether discovery has told of the list since the start.
func (w *Watcher) HasSynced() bool { return w.hasSynced.Load() }

// EndpointCount is how many hosts the pool config lists.
func (w *Watcher) EndpointCount() int { return int(w.endpointCount.Load()) }

// listedEndpoint is a listed host, and what it was last told to the module as.
type listedEndpoint struct {
	Endpoint
	published policy.Member
}

type source struct {
	addr                 string
	zones, instanceTypes []string
}

// RestartWatch has Run begin a watch, in place of one that is going on. It returns at once.
func (w *Watcher) RestartWatch() {
	select {
	case w.restart <- struct{}{}:
	default:
	}
}

// SetSource has Run watch discovery at another address from now on, without waiting for the module to ask: the module counts
// on a watch that is going on, and the old discovery may fall silent. It returns at once.
//
// Where the names of zones or kinds differ from before, the whole list is asked for again: what is known of hosts' zones
// does not hold.
func (w *Watcher) SetSource(addr string, zones, kinds []string) {
	w.nextSource.Store(&source{addr, zones, kinds})
	select {
	case w.sourceChanged <- struct{}{}:
	default:
	}
}

// Start tells module of the pool config that this proxy had last, and keeps module for what comes. It is to be called
// once, before Run.
func (w *Watcher) Start(module Policy, known []byte) {
	w.policy = module
	if len(known) == 0 {
		w.policy.UpdateMembers(policy.MembershipCached, nil)
		return
	}
	if err := w.apply(known, true); err != nil {
		w.log.Error("the known pool config is not usable", "error", err)
		w.policy.UpdateMembers(policy.MembershipCached, nil)
	}
}

// Run watches whenever it is asked to, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	cancel, done := context.CancelFunc(func() {}), make(chan struct{})
	close(done)
	for {
		var to *source
		select {
		case <-ctx.Done():
			cancel()
			<-done
			return
		case <-w.restart:
		case <-w.sourceChanged:
			if to = w.nextSource.Load(); to.addr == w.addr && slices.Equal(to.zones, w.decoder.zones) && slices.Equal(to.instanceTypes, w.decoder.instanceTypes) {
				continue
			}
		}
		cancel()
		<-done // only one watch touches the list
		if to != nil {
			// The list stays in use until the new discovery has spoken. Its versions are its own: asked for changes
			// since a version of the old one, it could leave out what it has to tell.
			w.log.Info("discovery moved", "from", w.addr, "to", to.addr)
			w.addr, w.version, w.decoder.zones, w.decoder.instanceTypes = to.addr, 0, to.zones, to.instanceTypes
			w.sourceUnconfirmed.Store(true) // an Ask may cut the first watch there off before it has ended
		}
		var watch context.Context
		watch, cancel = context.WithCancel(ctx)
		done = make(chan struct{})
		go func(done chan struct{}) {
			defer close(done)
			err := w.watch(watch)
			if watch.Err() != nil {
				return
			}
			w.log.Warn("the watch of the pool config ended", "error", err)
			// Nobody knows what a watch missed that fell silent, and what a new discovery has to tell counts soon too.
			if fresh := w.sourceUnconfirmed.Swap(false); fresh || errors.Is(err, os.ErrDeadlineExceeded) {
				w.policy.UpdateMembers(policy.DiscoveryTimedOut, nil)
			} else {
				w.policy.UpdateMembers(policy.DiscoveryFailed, nil)
			}
		}(done)
	}
}

// watch calls discovery and takes in what it says. It returns why the watch ended, which it always does.
func (w *Watcher) watch(ctx context.Context) error {
	nc, err := w.dial(ctx, w.addr, time.Now().Add(dialTimeout))
	if err != nil {
		return fmt.Errorf("connecting to discovery: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()

	target := "http://" + w.addr + "/v1/endpoints?stream=1&index=" + strconv.FormatUint(w.version, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("asking discovery: %w", err)
	}
	if err := nc.SetDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return fmt.Errorf("asking discovery: %w", err)
	}
	if err := req.Write(nc); err != nil {
		return fmt.Errorf("asking discovery: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), req)
	if err != nil {
		return fmt.Errorf("discovery's answer: %w", err)
	}
	// The body is never closed: Close would read on to its end, which is to come only when discovery goes.
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	messages := newMessageReader(resp.Body)
	for first := true; ; first = false {
		// Until a whole message or an empty line: one that comes byte by byte, or half of one, is no news.
		if err := nc.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
			return fmt.Errorf("watching: %w", err)
		}
		text, err := messages.next()
		if err != nil {
			return fmt.Errorf("watching: %w", err)
		}
		if ctx.Err() != nil {
			return errors.New("watching: given up")
		}
		w.sourceUnconfirmed.Store(false)
		if len(text) == 0 {
			if first { // nothing has changed: the module still waits for an answer to its call
				w.policy.UpdateMembers(policy.MembershipDelta, nil)
				w.hasSynced.Store(true)
			}
			continue
		}
		if err := w.apply(text, false); err != nil {
			// What it told, a drain perhaps, would be missed for good, as the next message goes on from it: the watch ends, and
			// the next one brings the whole list.
			w.version = 0
			return fmt.Errorf("a message of the watch is not usable: %w", err)
		}
		w.hasSynced.Store(true)
	}
}

// apply takes in an update. The fleet learns of it first, so that a drain holds for steps on their way too.
func (w *Watcher) apply(text []byte, cached bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, hosts, bad, err := w.decoder.Decode(text)
	if err != nil {
		return err
	}
	for _, b := range bad {
		id, known := w.decoder.ids[b.Name]
		was, listed := w.endpoints[id]
		w.log.Warn("host not usable", "error", b, "known", known && listed)
		if !known || !listed {
			continue // left out: nothing is sent there
		}
		// What it is told to be now can't be read. It may be told as draining, so it gets nothing new until it can.
		was.Endpoint.Member.Mode = policy.ModeDraining
		hosts = append(hosts, was.Endpoint)
	}
	members := make([]policy.Member, len(hosts))
	now := make(map[uint32]bool, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		if h.Member.Mode != policy.ModeGone {
			w.maintenance.Observe(h.Name, h.Member.StartedAt)
		}
		m := w.maintenance.Apply(h.Name, h.Member)
		members[i] = m
		now[m.Server] = m.Mode != policy.ModeGone
		w.endpoints[m.Server] = listedEndpoint{*h, m}
		w.backends.SetBackend(m.Server, hosts[i].Address, m.Mode == policy.ModeReady)
		if m.Mode == policy.ModeGone {
			w.remove(m.Server)
		}
	}
	kind := policy.MembershipDelta
	if u.Complete {
		kind = policy.MembershipFull
		for id := range w.endpoints { // a whole list drops what it misses
			if !now[id] {
				w.backends.SetBackend(id, "", false)
				w.remove(id)
			}
		}
	}
	if cached {
		kind = policy.MembershipCached
	}
	w.version = u.Version
	w.endpointCount.Store(int64(len(w.endpoints)))
	w.policy.UpdateMembers(kind, members)
	if len(w.endpoints) > 0 || u.Complete && !cached {
		w.hasEndpoints.Store(true)
	}
	return nil
}

// remove drops a host that is gone. Each deploy brings new names, so keeping the old ones would fill the memory; one
// that comes back gets the same id again.
func (w *Watcher) remove(id uint32) {
	delete(w.endpoints, id)
	w.decoder.forget(id)
}
