package coordinator

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/controlplane/placement/executor"
	"pumiceline/internal/controlplane/placement/planner"
	"pumiceline/internal/logkey"
	"pumiceline/internal/message"
)

const (
	controllerTick   = 100 * time.Millisecond
	eventQueueLength = 64

	// leaseHolderPollInterval is how often the lease holder polls discovery at most, see pollInterval.
	leaseHolderPollInterval = 400 * time.Millisecond
	// pollIntervalPerPage is the interval for each page of the list: its calls are priced, and share the platform's limit.
	pollIntervalPerPage = 150 * time.Millisecond
	// maxPollDrainShare bounds the interval by a share of Bounds.Drain, within which proxies have to know that a backend
	// leaves: the reading, and the way to the proxies, have to fit in beside it.
	maxPollDrainShare = 0.25
	// staleMargin is how long after the time for the lease holder's next backends another member polls discovery itself,
	// every memberPollInterval.
	staleMargin        = 900 * time.Millisecond
	memberPollInterval = 1 * time.Second

	// leaseHolderPollWait is how long the lease holder may keep a poll of another member open.
	leaseHolderPollWait = 400 * time.Millisecond
	// failedTaskBackoff is how long a backend whose task failed gets no other one.
	failedTaskBackoff = 1500 * time.Millisecond
)

// controller polls discovery and places models while this member holds the controller lease; else it gets both from the
// lease holder. One goroutine (run) owns its tables; polls and tasks run in goroutines of their own and report through
// the event queue.
type controller struct {
	loop     *replicaLoop
	settings *bootstrap.Settings
	events   chan func(now time.Time) // results of polls and tasks, run by the controller's goroutine

	leaseToken message.FencingToken // of the lease under which the tables were filled; 0: not held
	leaseStart time.Time

	reader   *discovery.Reader
	polling  bool // a poll of discovery is in progress
	lastPoll time.Time
	cadence  pollCadence
	listed   *discovery.BackendList               // as discovery listed it last; nil: never
	observed map[message.BackendID]observedModels // what tasks saw at backends since
	revision uint64                               // of the list that was published last under leaseToken

	config         *configuration.Config
	configSequence uint64
	residency      residencyHistory
	demand         *planner.DemandTable
	loadLimiters   map[string]*planner.LoadRateLimiter // by service

	client       *executor.BackendClient
	running      map[message.BackendID]*runningTask
	backoffUntil map[message.BackendID]time.Time // of backends whose task failed
}

func newController(loop *replicaLoop, settings *bootstrap.Settings) *controller {
	return &controller{
		loop: loop, settings: settings, events: make(chan func(time.Time), eventQueueLength),
		reader: discovery.NewReader(settings.Platform.Address), observed: map[message.BackendID]observedModels{},
		demand: planner.NewDemandTable(), loadLimiters: map[string]*planner.LoadRateLimiter{},
		client: executor.NewBackendClient(), running: map[message.BackendID]*runningTask{},
		backoffUntil: map[message.BackendID]time.Time{},
	}
}

// run works until ctx ends.
func (c *controller) run(ctx context.Context) {
	poller := distribution.NewPoller(c.loop.self.Identity, &leaseHolderSubscriber{loop: c.loop}, leaseHolderPollWait)
	go poller.Run(ctx)
	unmetDemand := make(chan struct{}, 1)
	c.loop.hub.SetOnUnmetDemand(func() {
		select {
		case unmetDemand <- struct{}{}:
		default:
		}
	})
	ticker := time.NewTicker(controllerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			event(time.Now())
		case <-unmetDemand: // the lease holder itself collects demand from its hub with every tick
			if _, holds := c.lease(time.Now()); !holds {
				go poller.PollNow(ctx)
			}
		case now := <-ticker.C:
			c.tick(ctx, now)
			c.loop.tasks.set(c.running)
		}
	}
}

// lease returns the membership snapshot, and whether this member holds the controller lease at now.
func (c *controller) lease(now time.Time) (snapshot *membershipSnapshot, holds bool) {
	s := c.loop.snapshot.Load()
	return s, s != nil && s.leaseToken != 0 && now.Before(s.leaseUntil)
}

func (c *controller) tick(ctx context.Context, now time.Time) {
	s, holds := c.lease(now)
	if s == nil {
		return
	}
	list := c.loop.hub.Backends()
	c.residency.record(list)
	if !holds {
		c.onLeaseLost()
		c.pollWithoutLease(ctx, s, list, now)
		return
	}
	if c.leaseToken != s.leaseToken {
		c.onLeaseAcquired(s)
	}
	c.pollBackends(ctx, now, c.pollInterval())
	c.loop.hub.UseOwnTotals(c.pendingModelLoads(now))
	if now.Sub(s.leaseStart) >= c.handoverDelay() {
		c.placeModels(ctx, now)
	}
}

// pollWithoutLease polls discovery at a member that gets no fresh backends from the lease holder. Proxies poll members
// only, so others need none.
func (c *controller) pollWithoutLease(
	ctx context.Context, s *membershipSnapshot, list *discovery.BackendList, now time.Time,
) {
	if !s.isMember {
		return
	}
	if c.cadence.observe(list); !list.IsKnown() || now.Sub(list.ObservedAt) >= c.cadence.interval()+staleMargin {
		c.pollBackends(ctx, now, memberPollInterval)
	}
}

// pollInterval is how often the lease holder polls discovery:
//
//	pollIntervalPerPage * pages, from leaseHolderPollInterval to maxPollDrainShare * Drain
func (c *controller) pollInterval() time.Duration {
	if c.listed == nil {
		return leaseHolderPollInterval
	}
	longest := time.Duration(maxPollDrainShare * float64(c.settings.Bounds.Drain))
	return max(leaseHolderPollInterval, min(longest, time.Duration(c.listed.Pages)*pollIntervalPerPage))
}

// pollCadence is how often the lease holder has polled discovery of late, as another member sees it.
type pollCadence struct {
	newest time.Time // when the newest list was read
	last   time.Duration
}

// observe takes the newest list that is known here; nil: none is. The same reading, received again, seems to be some
// milliseconds younger or older (see distribution.ObservedAt): it is not another one.
func (p *pollCadence) observe(list *discovery.BackendList) {
	if !list.IsKnown() || list.ObservedAt.Sub(p.newest) < leaseHolderPollInterval/2 {
		return
	}
	if !p.newest.IsZero() {
		p.last = list.ObservedAt.Sub(p.newest)
	}
	p.newest = list.ObservedAt
}

// interval is the time between the last two lists, from leaseHolderPollInterval to memberPollInterval: a longer one is a gap.
func (p *pollCadence) interval() time.Duration {
	return max(leaseHolderPollInterval, min(p.last, memberPollInterval))
}

// handoverDelay is how long a new lease holder sends no placement commands. A predecessor sends none after its lease (see
// commandToken), but a process that is frozen while it sends one may send it when it resumes; the deployment tolerates
// that for Bounds.Thaw. Where backends check fencing tokens, only the predecessor's last command has to end before.
// Elsewhere two lease holders must not both send commands within Bounds.Lease.
func (c *controller) handoverDelay() time.Duration {
	if c.settings.Bounds.ChecksFencingTokens {
		return executor.CommandTimeout + c.settings.Bounds.Thaw
	}
	return c.settings.Bounds.Lease + c.settings.Bounds.Thaw
}

// onLeaseLost cancels all tasks: commandToken would stop their next commands anyhow.
func (c *controller) onLeaseLost() {
	if c.leaseToken == 0 {
		return
	}
	c.leaseToken = 0
	for _, task := range c.running {
		task.cancel()
	}
	clear(c.observed)
	logrus.Info("controller lease lost")
}

// onLeaseAcquired empties the tables, as they are from an earlier lease. The new rate limiters assume that the predecessor
// started as many loads as it was allowed.
func (c *controller) onLeaseAcquired(s *membershipSnapshot) {
	c.leaseToken, c.leaseStart, c.revision = s.leaseToken, s.leaseStart, 0
	c.demand = planner.NewDemandTable()
	clear(c.observed)
	clear(c.backoffUntil)
	clear(c.loadLimiters)
	logrus.WithField(logkey.Token, s.leaseToken).Info("controller lease acquired")
}

// commandToken returns a function that gives the fencing token to a placement command. It refuses as soon as the lease
// of that token does not last beyond the command's own timeout, so that no command outlives the lease.
func (c *controller) commandToken(token message.FencingToken) executor.TokenFunc {
	return func() (message.FencingToken, bool) {
		now := time.Now()
		s, holds := c.lease(now)
		return token, holds && s.leaseToken == token && s.leaseUntil.Sub(now) > executor.CommandTimeout
	}
}
