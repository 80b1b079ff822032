// Package discoverycache keeps a copy of the endpoint list at each instance of a fleet, so that only one instance has
// to watch discovery. Proxies watch their cache as they would watch discovery. The cache at the holder of the fleet's
// discovery lease follows discovery, and the other caches follow the holder's cache. A cache that receives nothing from
// a holder follows discovery itself until it can follow a holder again.
package discoverycache

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"pumiceline/internal/standalone/discovery"
)

const (
	// HeartbeatTimeout is how long a source may be without sending anything before it counts as failed.
	HeartbeatTimeout = 3 * time.Second
	// heartbeatInterval is the longest time between two lines of a watch. Empty lines are sent while there are no
	// changes.
	heartbeatInterval = 2 * time.Second
	// holderPollInterval is how often a cache that starts checks whether the lease has a holder.
	holderPollInterval = 10 * time.Millisecond
	// failedHolderPenalty is how long a failed holder is not followed, as a multiple of Options.FallbackSpread.
	failedHolderPenalty = 10
)

var errSupersededHolder = errors.New("update of a superseded lease holder")

// Holder is the holder of the discovery lease as one instance sees it. It may be out of date.
type Holder struct {
	Address string // of its cache; empty: no holder is known
	Token   uint64 // fencing token of its lease
	IsLocal bool   // whether this instance is the holder
}

// Options configure a Cache.
type Options struct {
	Discovery string // address of discovery
	Holder    func() Holder
	// FallbackSpread scales the random waits of a cache before it falls back to discovery, at its start or after the
	// loss of its holder. It is also the longest wait after a failed watch of discovery. The waits are random so that
	// the caches of a fleet do not all call discovery at once.
	FallbackSpread time.Duration
	Log            *slog.Logger
}

// Cache keeps and serves a copy of the endpoint list; see ServeHTTP.
type Cache struct {
	opts Options

	mu               sync.Mutex
	list             *List
	changed          chan struct{} // closed and replaced at each change
	lastContact      time.Time     // when the followed source last sent an update or a heartbeat
	followsDiscovery bool          // whether that source was discovery
	maxToken         uint64        // highest token of the holders followed so far

	suspected      source    // the holder whose watch failed last
	suspectedUntil time.Time // suspected is retried until then
	lastFailure    time.Time // of suspected

	failed      source // the holder that is not followed until failedUntil
	failedUntil time.Time
}

// New returns an empty cache. Its versions start at now in microseconds, above any version of an earlier process at
// this address.
func New(opts Options, now time.Time) *Cache {
	return &Cache{opts: opts, list: NewList(uint64(now.UnixMicro())), changed: make(chan struct{})}
}

// IsFresh reports whether there is a list and its source has sent something within HeartbeatTimeout.
func (c *Cache) IsFresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, loaded := c.list.DiscoveryVersion()
	return loaded && time.Since(c.lastContact) < HeartbeatTimeout
}

// FollowsDiscovery reports whether this cache follows discovery itself, and discovery has sent something within
// HeartbeatTimeout.
func (c *Cache) FollowsDiscovery() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followsDiscovery && time.Since(c.lastContact) < HeartbeatTimeout
}

// Run keeps the copy up to date until ctx ends.
func (c *Cache) Run(ctx context.Context) {
	c.awaitHolder(ctx)
	for ctx.Err() == nil {
		from := c.chooseSource()
		maxDelay := c.opts.FallbackSpread / 10
		switch err := c.follow(ctx, from); {
		case ctx.Err() != nil:
			return
		case err != nil && from.isDiscovery():
			c.opts.Log.Warn("watch of discovery failed", "error", err)
			maxDelay = randomUpTo(c.opts.FallbackSpread)
		case err != nil:
			c.suspectHolder(from, time.Now(), err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(randomUpTo(maxDelay)):
		}
	}
}

// awaitHolder waits until the lease has a holder, but at most for a random time. Otherwise all instances that start
// together, before there is a holder, would watch discovery.
func (c *Cache) awaitHolder(ctx context.Context) {
	deadline := time.Now().Add(c.opts.FallbackSpread + randomUpTo(2*c.opts.FallbackSpread))
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if h := c.opts.Holder(); h.IsLocal || h.Address != "" {
			return
		}
		time.Sleep(holderPollInterval)
	}
}

// randomUpTo returns a random time from 0 to limit.
func randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(limit) + 1))
}

// source identifies what a cache follows: discovery or the cache of a lease holder.
type source struct {
	address, path string
	token         uint64 // of the holder; 0: discovery itself
}

func (s source) isDiscovery() bool { return s.token == 0 }

// chooseSource returns the source to follow now: the cache of the lease holder, or discovery if this instance is the
// holder or if the holder is unknown, superseded or failed.
func (c *Cache) chooseSource() source {
	holder := c.opts.Holder()
	c.mu.Lock()
	defer c.mu.Unlock()
	from := source{holder.Address, holderPath, holder.Token}
	isSuperseded := holder.Token < c.maxToken
	hasFailed := from == c.failed && time.Now().Before(c.failedUntil)
	if holder.IsLocal || holder.Address == "" || isSuperseded || hasFailed {
		return source{c.opts.Discovery, endpointsPath, 0}
	}
	return from
}

// suspectHolder records that the watch of a holder failed at now. The holder may just have acquired the lease, so it is
// retried for a random time before the cache falls back to discovery. Each cache that loses the same holder draws its
// own time, so that they do not all fall back at once. The copy is served meanwhile.
func (c *Cache) suspectHolder(holder source, now time.Time, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspected != holder || now.Sub(c.lastFailure) > c.opts.FallbackSpread {
		// minWait is long enough for the next holder to acquire the lease, in most cases. The wait stays below
		// HeartbeatTimeout, the time for which the copy is fresh after the last contact.
		minWait := min(c.opts.FallbackSpread, HeartbeatTimeout/2)
		wait := minWait + time.Duration(rand.Int64N(int64(HeartbeatTimeout-minWait)))
		c.suspected, c.suspectedUntil = holder, now.Add(wait)
	}
	c.lastFailure = now
	if now.After(c.suspectedUntil) {
		c.failed, c.failedUntil = holder, now.Add(failedHolderPenalty*c.opts.FallbackSpread)
		c.opts.Log.Warn("lease holder failed and is not followed for a time", "holder", holder.address,
			"token", holder.token, "error", cause)
	}
}

// recordContact records that a source has sent an update or a heartbeat.
func (c *Cache) recordContact(from source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact, c.maxToken, c.followsDiscovery = time.Now(), max(c.maxToken, from.token), from.isDiscovery()
}

// apply applies an update of a source, notifies the watches of this cache, and records the contact.
func (c *Cache) apply(u discovery.Update, from source, mayBeStale bool) error {
	if err := c.applyToList(u, from, mayBeStale); err != nil {
		return err
	}
	c.recordContact(from)
	return nil
}

// applyToList applies an update to the list and notifies the watches of this cache of a change. It returns
// errSupersededHolder if the source is a holder that has been superseded.
func (c *Cache) applyToList(u discovery.Update, from source, mayBeStale bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from.token < c.maxToken && !from.isDiscovery() {
		return fmt.Errorf("%w: token %d after %d", errSupersededHolder, from.token, c.maxToken)
	}
	changed, err := c.list.Apply(u, mayBeStale)
	if changed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return err
}

// snapshot holds the changes after a version, or the complete list.
type snapshot struct {
	update           discovery.Update
	discoveryVersion uint64
	changed          <-chan struct{} // closed at the next change
}

// since returns the changes after a version; see List.Since.
func (c *Cache) since(version uint64) snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	discoveryVersion, _ := c.list.DiscoveryVersion()
	return snapshot{update: c.list.Since(version), discoveryVersion: discoveryVersion, changed: c.changed}
}
