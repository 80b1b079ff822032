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
	// minDemandPollInterval is the shortest interval at which a member without the lease polls the lease holder because a
	// proxy reported unmet demand.
	minDemandPollInterval = 50 * time.Millisecond
	// planPauseFactor times the duration of a plan is the time from its end to the next plan. The planner and the reads
	// of the list share the process's only thread for Go code.
	planPauseFactor = 4

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
	budget   discovery.Budget
	listed   *discovery.BackendList               // the last list that was read from discovery; nil: none yet
	observed map[message.BackendID]observedModels // models that tasks have observed at backends since
	revision uint64                               // revision of the last list published under leaseToken

	demandPolledAt time.Time // when the lease holder was last polled because of unmet demand
	nextPlanAt     time.Time

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
	budget := discovery.NewBudget(settings.Bounds.Drain)
	return &controller{
		loop: loop, settings: settings, events: make(chan func(time.Time), eventQueueLength), budget: budget,
		reader: discovery.NewReader(settings.Platform.Address, budget.ReadTimeout), observed: map[message.BackendID]observedModels{},
		demand: planner.NewDemandTable(), loadLimiters: map[string]*planner.LoadRateLimiter{},
		client: executor.NewBackendClient(), running: map[message.BackendID]*runningTask{},
		backoffUntil: map[message.BackendID]time.Time{}, planBackoffUntil: map[string]time.Time{},
	}
}

// run runs the controller until ctx ends.
func (c *controller) run(ctx context.Context) {
	poller := distribution.NewPoller(c.loop.self.Identity, &leaseHolderSubscriber{loop: c.loop}, c.budget)
	go poller.Run(ctx)
	go distribution.NewPoller(c.loop.self.Identity+peerIdentitySuffix, &peerSubscriber{loop: c.loop, budget: c.budget}, c.budget).Run(ctx)
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
			c.reportUnmetDemand(ctx, poller)
		case now := <-ticker.C:
			c.tick(ctx, now)
			c.loop.tasks.set(c.running)
		}
	}
}

// reportUnmetDemand polls the lease holder at once, which reports the demand of this member's proxies. A report that
// comes shortly after another one is left to the next regular poll.
func (c *controller) reportUnmetDemand(ctx context.Context, poller *distribution.Poller) {
	now := time.Now()
	if _, holds := c.lease(now); holds || now.Sub(c.demandPolledAt) < minDemandPollInterval {
		return
	}
	c.demandPolledAt = now
	go poller.PollNow(ctx)
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
	c.adoptPeerList(list)
	c.pollBackends(ctx, now, c.pollInterval())
	c.loop.hub.UseOwnTotals(c.pendingModelLoads(now))
	if now.Sub(s.leaseStart) >= c.handoverDelay() && !now.Before(c.nextPlanAt) {
		c.placeModels(ctx, now)
		finished := time.Now()
		c.nextPlanAt = finished.Add(planPauseFactor * finished.Sub(now))
	}
}

// pollWithoutLease polls discovery if this member gets no fresh backends from the lease holder or another member. The
// members do so in an order, so that usually one of them does; the others get its list. A coordinator that is not a
// member of the view needs no backends, as proxies poll members only.
func (c *controller) pollWithoutLease(
	ctx context.Context, s *membershipSnapshot, list *discovery.BackendList, now time.Time,
) {
	if !s.isMember {
		return
	}
	standbyAge := c.budget.StandbyAge(standbyRank(s, c.loop.self.Address), c.settings.Tolerance)
	if !list.IsKnown() || now.Sub(list.ObservedAt) >= standbyAge {
		c.pollBackends(ctx, now, c.budget.ReadInterval)
	}
}

// pollInterval is the interval at which the lease holder polls discovery:
//
//	pollIntervalPerPage * pages, from leaseHolderPollInterval to Budget.ReadInterval
func (c *controller) pollInterval() time.Duration {
	if c.listed == nil {
		return leaseHolderPollInterval
	}
	return max(leaseHolderPollInterval, min(c.budget.ReadInterval, time.Duration(c.listed.Pages)*pollIntervalPerPage))
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
