// Package leaseclient runs singleton roles at an instance: it sends heartbeats to the members, keeps the leases that they
// grant, and runs the steps of the roles that this instance holds. It gives a singleton.Holder its clock and network.
//
// Goroutines: Run sends the heartbeats; one goroutine per role runs its steps. Run waits for them.
package leaseclient

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"pumiceline/internal/singleton"
)

// Perform carries out an effect of a step. If the lease is still held it calls do with the effect's identity, otherwise
// it returns ErrLeaseLost without calling do.
type Perform func(do func(singleton.Effect) error) error

// Step is one step of a role. It must return, and do nothing more, soon after ctx ends; ctx ends after a lease duration
// at the latest. A step that returns an error made no progress: after a lease duration without progress the role goes
// to another instance. A step that found nothing to do has made progress.
type Step func(ctx context.Context, perform Perform) error

// ErrLeaseLost is what Perform returns once the role is no longer held.
var ErrLeaseLost = errors.New("the lease is no longer held")

// Options are the configuration of a Client.
type Options struct {
	Fleet       string
	Name        string                // of this instance
	Incarnation singleton.Incarnation // unique among the processes with this name
	Addr        string                // for other instances; empty: they can't reach this one
	Zone        string                // failure domain
	Build       uint64                // a newer one is preferred
	Members     map[uint64]string     // addresses by ID
	Settings    singleton.Settings
	Steps       map[string]Step // by role that this instance can carry out
	Log         *slog.Logger
	ClockRate   float64 // speed of this instance's clock, for tests; 0: 1
}

// Times as fractions and multiples of the lease duration.
const (
	heartbeatsPerLease = 10 // of an instance that holds a lease
	// idleHeartbeatInterval is how many heartbeats a holder sends for each one that an instance without leases sends.
	// There may be hundreds of such instances, and the leader responds to all of them.
	idleHeartbeatInterval     = 2
	heartbeatTimeoutsPerLease = 4  // a heartbeat fails after a lease duration divided by this
	stepsPerLease             = 10 // of a role, at most
	drainLeases               = 3  // how many lease durations a stopping instance waits for others to take over
)

const (
	maxIdleConnsPerMember = 2
	idleConnTimeout       = 10 * time.Second // shorter than the member's
)

// Client holds an instance's leases. Create it with New and call Run once; the other methods are safe for concurrent use.
type Client struct {
	opts         Options
	startedAt    time.Time
	lease        time.Duration // Settings.LeaseDuration
	http         *http.Client
	heartbeatDue chan struct{} // requests a heartbeat at once

	mu              sync.Mutex
	holder          *singleton.Holder
	memberIDs       []uint64
	leaderIndex     int                                 // index in memberIDs of the member that is assumed to lead
	rejectionReason string                              // of the latest response; empty: this instance may be granted roles
	holders         map[string]singleton.HolderEndpoint // by role, as of the latest response
}

// New returns a client that holds no lease yet.
func New(opts Options) (*Client, error) {
	if err := opts.Settings.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(opts.Members) == 0 || opts.Name == "" {
		return nil, errors.New("members and a name of the instance must be given")
	}
	if opts.ClockRate == 0 {
		opts.ClockRate = 1
	}
	return &Client{
		opts:      opts,
		startedAt: time.Now(),
		lease:     time.Duration(opts.Settings.LeaseDuration) * time.Microsecond,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerMember,
			IdleConnTimeout: idleConnTimeout}},
		heartbeatDue: make(chan struct{}, 1),
		memberIDs:    slices.Sorted(maps.Keys(opts.Members)),
		holder: singleton.NewHolder(singleton.HolderOptions{Settings: opts.Settings, Name: opts.Name,
			Incarnation: opts.Incarnation, Zone: opts.Zone, Build: opts.Build}),
	}, nil
}

// now returns the time of the instance's clock. It is monotonic, and continues while the process is frozen.
func (c *Client) now() singleton.Time {
	return singleton.Time(float64(time.Since(c.startedAt).Microseconds()) * c.opts.ClockRate)
}

// ActiveLeases returns the tokens, by role, of the leases that may be acted on now.
func (c *Client) ActiveLeases() map[string]singleton.FencingToken {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.ActiveLeases(c.now())
}

// HolderLocation is the address and the token of a role's holder. It is zero if no holder is known.
type HolderLocation struct {
	Addr    string
	Token   singleton.FencingToken
	IsLocal bool // this instance is the holder and may act on the lease now
}

// LocateHolder returns where the holder of a role can be reached, as far as is known.
func (c *Client) LocateHolder(role string) HolderLocation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token, held := c.holder.ActiveLeases(c.now())[role]; held {
		return HolderLocation{Addr: c.opts.Addr, Token: token, IsLocal: true}
	}
	endpoint := c.holders[role]
	if endpoint.Addr == c.opts.Addr { // this instance's own lease, which has ended: no other holder is known yet
		return HolderLocation{}
	}
	return HolderLocation{Addr: endpoint.Addr, Token: endpoint.Token}
}

// Run sends heartbeats and runs steps until ctx ends. It then continues until other instances have taken over, for
// three lease durations at most.
func (c *Client) Run(ctx context.Context) {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx)) // outlives ctx by the time that the handover takes
	defer cancel()
	var roles sync.WaitGroup
	for role, step := range c.opts.Steps {
		roles.Go(func() { c.runRole(running, role, step) })
	}
	stopWatching := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		c.holder.StartLeaving()
		c.mu.Unlock()
		c.requestHeartbeat()
	})
	defer stopWatching()
	c.sendHeartbeats(ctx, running)
	c.opts.Log.Info("instance stopped", "instance", c.opts.Name, "held_roles", c.ActiveLeases())
	cancel()
	roles.Wait()
	c.http.CloseIdleConnections()
}

// holdsNoLease reports whether the members know that this instance holds no lease. It is not enough that its steps have
// stopped: until the members know, no other instance may start.
func (c *Client) holdsNoLease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.IsEmpty()
}
