package discoverycache

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pumiceline/internal/standalone/discovery"
)

// SilenceTimeout is how long a source may say nothing: a watch brings a line every 2 s at least.
const (
	SilenceTimeout    = 3 * time.Second
	heartbeatInterval = 2 * time.Second
	maxLineBytes      = 8 << 20
)

// Options are what a mirror needs to know.
type Options struct {
	Discovery string // its address
	// Owner is where the owner of the work listens and its token, as far as is known, and whether that is this instance.
	Owner          func() (addr string, token uint64, here bool)
	FallbackSpread time.Duration // over which instances that lost their owner go to discovery by themselves
	Log            *slog.Logger
}

// Cache serves a copy of the roster:
//
//	GET /v1/endpoints  as discovery does, for proxies; 503 while the copy is not fresh
//	GET /v1/mirror     for other mirrors: a watch whose lines name discovery's version; 503 at who does not own the work
type Cache struct {
	opts Options

	mu        sync.Mutex
	list      *List
	lastHeard time.Time // when the source last said anything
	direct    bool      // that was discovery
	maxToken  uint64    // the highest that was followed
	changed   chan struct{}

	suspected                   source // an owner that was of no use just now, till when it is tried on, and when it was tried last
	suspectedUntil, lastFailure time.Time

	failed      source // an owner that was of no use, and until when it is not tried again
	failedUntil time.Time
}

// New returns a mirror that holds nothing. now is what its versions begin at, in microseconds: no earlier mirror at this place got so far.
func New(opts Options, now time.Time) *Cache {
	return &Cache{opts: opts, list: NewList(uint64(now.UnixMicro())), changed: make(chan struct{})}
}

// IsFresh says whether the copy's source is alive.
func (m *Cache) IsFresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, held := m.list.DiscoveryVersion()
	return held && time.Since(m.lastHeard) < SilenceTimeout
}

// FollowsDiscovery says whether discovery itself is heard here.
func (m *Cache) FollowsDiscovery() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.direct && time.Since(m.lastHeard) < SilenceTimeout
}

// source is whom a mirror follows.
type source struct {
	addr, path string
	token      uint64 // 0: discovery itself
}

// chooseSource says whom to follow now.
func (m *Cache) chooseSource() source {
	addr, token, here := m.opts.Owner()
	m.mu.Lock()
	defer m.mu.Unlock()
	owner := source{addr, "/v1/mirror", token}
	// An owner before the one that was followed last is none, nor is one that was of no use of late.
	if here || addr == "" || token < m.maxToken || owner == m.failed && time.Now().Before(m.failedUntil) {
		return source{m.opts.Discovery, "/v1/endpoints", 0}
	}
	return owner
}

// Run follows until ctx ends.
func (m *Cache) Run(ctx context.Context) {
	// Hundreds that start at once must not all ask discovery because nobody owns the work yet.
	for patience := time.Now().Add(m.opts.FallbackSpread + time.Duration(rand.Int64N(int64(2*m.opts.FallbackSpread)+1))); time.Now().Before(patience) && ctx.Err() == nil; {
		if addr, _, here := m.opts.Owner(); here || addr != "" {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	for ctx.Err() == nil {
		from := m.chooseSource()
		again := m.opts.FallbackSpread / 10
		switch err := m.follow(ctx, from); {
		case ctx.Err() != nil:
			return
		case err != nil && from.token == 0:
			m.opts.Log.Warn("discovery is not heard", "error", err)
			again = time.Duration(rand.Int64N(int64(m.opts.FallbackSpread) + 1))
		case err != nil:
			m.suspectOwner(from, time.Now(), err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.Int64N(int64(again) + 1))):
		}
	}
}

// suspectOwner notes that an owner is of no use at now. It may have just become one: it is tried on for a while, which is another at each mirror,
// so that of many that lose the same owner each goes to discovery at a time of its own. The copy is served meanwhile.
func (m *Cache) suspectOwner(owner source, now time.Time, why error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.suspected != owner || now.Sub(m.lastFailure) > m.opts.FallbackSpread {
		// Another owner is there about a lease later, which most wait for; by the time that the copy is no longer fresh all have given up.
		least := min(m.opts.FallbackSpread, SilenceTimeout/2)
		m.suspected, m.suspectedUntil = owner, now.Add(least+time.Duration(rand.Int64N(int64(SilenceTimeout-least))))
	}
	m.lastFailure = now
	if now.After(m.suspectedUntil) {
		m.failed, m.failedUntil = owner, now.Add(10*m.opts.FallbackSpread)
		m.opts.Log.Warn("an owner of the roster is given up", "owner", owner.addr, "token", owner.token, "error", why)
	}
}

// ownerUpdate is what a watch brings. Origin is a mirror's alone.
type ownerUpdate struct {
	discovery.Update
	DiscoveryVersion uint64 `json:"origin,omitempty"`
}

// follow follows a source until it is gone, falls silent, or another is to be followed; then there is no error.
func (m *Cache) follow(ctx context.Context, from source) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(SilenceTimeout, cancel)
	defer silent.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.addr+from.path+"?stream=1&index=0", nil)
	if err != nil {
		return fmt.Errorf("mirror: %w", err)
	}
	transport := &http.Transport{DisableKeepAlives: true} // a watch has its connection to itself
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("mirror: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("mirror: %s", resp.Status)
	}
	if at, _ := strconv.ParseUint(resp.Header.Get("X-Token"), 10, 64); at < from.token {
		return fmt.Errorf("mirror: the owner serves token %d, %d is wanted", at, from.token)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for first := true; lines.Scan(); {
		silent.Reset(SilenceTimeout)
		if text := bytes.TrimSpace(lines.Bytes()); len(text) > 0 {
			var l ownerUpdate
			if err := json.Unmarshal(text, &l); err != nil {
				return fmt.Errorf("mirror: a line is not understood: %w", err)
			}
			if from.token != 0 {
				l.Version = l.DiscoveryVersion
			}
			if err := m.apply(l.Update, from, first && from.token != 0); err != nil {
				return err
			}
			first = false
		} else {
			m.noteHeard(from)
		}
		if m.chooseSource() != from {
			return nil
		}
	}
	if lines.Err() == nil {
		return errors.New("mirror: the source ended the watch")
	}
	return fmt.Errorf("mirror: the source fell silent or broke off: %w", lines.Err())
}

func (m *Cache) noteHeard(from source) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHeard, m.maxToken, m.direct = time.Now(), max(m.maxToken, from.token), from.token == 0
}

func (m *Cache) apply(u discovery.Update, from source, first bool) error {
	m.mu.Lock()
	if from.token < m.maxToken && from.token != 0 {
		m.mu.Unlock()
		return fmt.Errorf("mirror: an owner with token %d speaks after one with token %d", from.token, m.maxToken)
	}
	changed, err := m.list.Apply(u, first)
	if changed {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	m.mu.Unlock()
	if err == nil {
		m.noteHeard(from)
	}
	return err
}

// since is what changed after a version, discovery's version of that, and a channel that closes at the next change.
func (m *Cache) since(version uint64) (u discovery.Update, origin uint64, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	origin, _ = m.list.DiscoveryVersion()
	return m.list.Since(version), origin, m.changed
}

// ServeHTTP implements http.Handler.
func (m *Cache) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	token, goes := uint64(0), m.IsFresh
	switch req.URL.Path {
	case "/v1/endpoints":
	case "/v1/mirror":
		goes = func() bool { // an owner whose lease is over says nothing more
			_, now, here := m.opts.Owner()
			if token == 0 {
				token = now
			}
			return here && now == token && m.IsFresh()
		}
	default:
		http.NotFound(w, req)
		return
	}
	if !goes() {
		http.Error(w, "the copy of the roster is not fresh, or this is not its owner", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if token != 0 {
		w.Header().Set("X-Token", strconv.FormatUint(token, 10))
	}
	query := req.URL.Query()
	version, _ := strconv.ParseUint(query.Get("index"), 10, 64) // what is no number gets the whole list
	write := func(u discovery.Update, origin uint64) error {
		if token != 0 {
			return json.NewEncoder(w).Encode(ownerUpdate{u, origin})
		}
		return json.NewEncoder(w).Encode(u)
	}
	if query.Get("stream") != "1" {
		u, origin, _ := m.since(0)
		_ = write(u, origin) // a caller that has gone needs no answer
		return
	}
	u, origin, changed := m.since(version)
	lines, beat := http.NewResponseController(w), time.NewTicker(heartbeatInterval/2)
	defer beat.Stop()
	for first := true; ; first = false {
		if first || len(u.Entries) > 0 {
			if write(u, origin) != nil {
				return
			}
		} else if _, err := fmt.Fprintln(w); err != nil {
			return
		}
		if lines.Flush() != nil {
			return
		}
		version = u.Version
		select {
		case <-req.Context().Done():
			return
		case <-changed:
		case <-beat.C:
		}
		if !goes() { // ended, not silent: whoever watches must look elsewhere at once
			return
		}
		u, origin, changed = m.since(version)
	}
}
