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

	// leaseHolderPollInterval is the shortest interval at which the lease holder polls discovery; see pollInterval.
	leaseHolderPollInterval = 400 * time.Millisecond
	// pollIntervalPerPage is the poll interval for each page of the list. Each page is one call, which is priced and
	// counts against the platform's rate limit, so longer lists are polled less often.
	pollIntervalPerPage = 150 * time.Millisecond
	// maxPollDrainShare bounds the poll interval by a share of Bounds.Drain. Proxies must get the information that a
	// backend is draining within Bounds.Drain, so the rest of it must suffice to read the list and to send it to the
	// proxies.
	maxPollDrainShare = 0.25
	// staleMargin is how overdue the lease holder's next list of backends must be before another member polls discovery
	// itself, every memberPollInterval.
	staleMargin        = 900 * time.Millisecond
	memberPollInterval = 1 * time.Second

	// leaseHolderPollWait is how long the lease holder may keep a poll of another member open.
	leaseHolderPollWait = 400 * time.Millisecond
	// failedTaskBackoff is how long a backend whose task failed gets no other task.
	failedTaskBackoff = 1500 * time.Millisecond
	// failedPlanBackoff is how long a service whose plan failed is not planned.
	failedPlanBackoff = 5 * time.Second
)

// controller polls discovery and places models while this member holds the controller lease. Without the lease it
// gets the backends from the lease holder, and places nothing. One goroutine (run) owns its tables. Polls and tasks
// run in goroutines of their own and report through the event queue.
type controller struct {
	loop     *replicaLoop
	settings *bootstrap.Settings
	events   chan func(now time.Time) // results of polls and tasks, run by the controller's goroutine

	leaseToken message.FencingToken // of the lease under which the tables were filled; 0: no lease is held
	leaseStart time.Time

	reader   *discovery.Reader
	polling  bool // a poll of discovery is in progress
	lastPoll time.Time
	cadence  pollCadence
	listed   *discovery.BackendList               // the last list that was read from discovery; nil: none yet
	observed map[message.BackendID]observedModels // models that tasks have observed at backends since
	revision uint64                               // revision of the last list published under leaseToken

	config         *configuration.Config
	configSequence uint64
	residency      residencyHistory
	demand         *planner.DemandTable
	loadLimiters   map[string]*planner.LoadRateLimiter // by service

	client           *executor.BackendClient
	running          map[message.BackendID]*runningTask
	backoffUntil     map[message.BackendID]time.Time // of backends whose task failed
	planBackoffUntil map[string]time.Time            // of services whose plan failed
}

func newController(loop *replicaLoop, settings *bootstrap.Settings) *controller {
	return &controller{
		loop: loop, settings: settings, events: make(chan func(time.Time), eventQueueLength),
		reader: discovery.NewReader(settings.Platform.Address), observed: map[message.BackendID]observedModels{},
		demand: planner.NewDemandTable(), loadLimiters: map[string]*planner.LoadRateLimiter{},
		client: executor.NewBackendClient(), running: map[message.BackendID]*runningTask{},
		backoffUntil: map[message.BackendID]time.Time{}, planBackoffUntil: map[string]time.Time{},
	}
}

// run runs the controller until ctx ends.
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
		case <-unmetDemand: // the lease holder needs no poll: it collects the demand from its own hub with every tick
			if _, holds := c.lease(time.Now()); !holds {
				go poller.PollNow(ctx)
			}
		case now := <-ticker.C:
			c.tick(ctx, now)
			c.loop.tasks.set(c.running)
		}
	}
}

// lease returns the membership snapshot, and whether this member holds the controller lease at the time now.
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

// pollWithoutLease polls discovery if this member gets no fresh backends from the lease holder. A coordinator that is
// not a member of the view needs no backends, as proxies poll members only.
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

// pollInterval is the interval at which the lease holder polls discovery:
//
//	pollIntervalPerPage * pages, from leaseHolderPollInterval to maxPollDrainShare * Drain
func (c *controller) pollInterval() time.Duration {
	if c.listed == nil {
		return leaseHolderPollInterval
	}
	longest := time.Duration(maxPollDrainShare * float64(c.settings.Bounds.Drain))
	return max(leaseHolderPollInterval, min(longest, time.Duration(c.listed.Pages)*pollIntervalPerPage))
}

// pollCadence is another member's estimate of the interval at which the lease holder polls discovery.
type pollCadence struct {
	newest time.Time     // when the newest list was read
	last   time.Duration // time between the last two lists
}

// observe takes the newest list that this member has; nil: none. When the same list is received again, its estimated
// read time differs by some milliseconds (see distribution.ObservedAt). Such a list does not count as a new one.
func (p *pollCadence) observe(list *discovery.BackendList) {
	if !list.IsKnown() || list.ObservedAt.Sub(p.newest) < leaseHolderPollInterval/2 {
		return
	}
	if !p.newest.IsZero() {
		p.last = list.ObservedAt.Sub(p.newest)
	}
	p.newest = list.ObservedAt
}

// interval is the time between the last two lists, at least leaseHolderPollInterval. A time beyond memberPollInterval
// is a gap in the polling, and counts as memberPollInterval.
func (p *pollCadence) interval() time.Duration {
	return max(leaseHolderPollInterval, min(p.last, memberPollInterval))
}

// handoverDelay is how long a new lease holder sends no placement commands. A predecessor sends none after its lease
// (see commandToken). But a process that is frozen while it sends a command may send it when it resumes, which the
// deployment tolerates for Bounds.Thaw. If backends check fencing tokens, the delay needs to cover only the
// predecessor's last command. Otherwise it covers Bounds.Lease: two lease holders must not both send commands within
// that time.
func (c *controller) handoverDelay() time.Duration {
	if c.settings.Bounds.ChecksFencingTokens {
		return executor.CommandTimeout + c.settings.Bounds.Thaw
	}
	return c.settings.Bounds.Lease + c.settings.Bounds.Thaw
}

// onLeaseLost cancels all tasks. Even without this they could send no more commands, as commandToken refuses the token.
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

// onLeaseAcquired clears the tables, as their contents are from an earlier lease. The new rate limiters assume that the
// predecessor started as many loads as it was allowed to.
func (c *controller) onLeaseAcquired(s *membershipSnapshot) {
	c.leaseToken, c.leaseStart, c.revision = s.leaseToken, s.leaseStart, 0
	c.demand = planner.NewDemandTable()
	clear(c.observed)
	clear(c.backoffUntil)
	clear(c.planBackoffUntil)
	clear(c.loadLimiters)
	logrus.WithField(logkey.Token, s.leaseToken).Info("controller lease acquired")
}

// commandToken returns a function that returns the fencing token for a placement command. The function refuses it
// unless the lease of that token lasts longer than the command's own timeout, so that no command is in progress after
// the lease.
func (c *controller) commandToken(token message.FencingToken) executor.TokenFunc {
	return func() (message.FencingToken, bool) {
		now := time.Now()
		s, holds := c.lease(now)
		return token, holds && s.leaseToken == token && s.leaseUntil.Sub(now) > executor.CommandTimeout
	}
}
