package coordinator

import (
	"context"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/controlplane/placement"
	"pumiceline/internal/message"
)

// Times of the controller.
const (
	readInterval   = 400 * time.Millisecond  // of the list, by the lease holder
	staleAfter     = 1300 * time.Millisecond // then every coordinator reads by itself
	ownInterval    = 1 * time.Second
	holderHold     = 400 * time.Millisecond
	controllerTick = 100 * time.Millisecond
	failedPause    = 1500 * time.Millisecond // a backend whose task failed is left alone so long
	resultQueue    = 64
)

// controller reads the list of backends and places models while this member holds the lease; else it pulls both from
// the holder. One goroutine owns its tables; tasks and reads report through a queue.
type controller struct {
	owner    *owner
	settings *bootstrap.Settings
	reader   *discovery.Reader
	caller   *placement.Caller
	events   chan func(now time.Time)
	reading  bool
	lastRead time.Time

	table      *discovery.Table
	overlays   map[message.BackendID]overlay
	running    map[message.BackendID]*runningTask
	resting    map[message.BackendID]time.Time // backends that are left alone until then
	demand     *placement.DemandTable
	allowances map[string]*placement.LoadAllowance // by service
	warm       warmHistory
	began      time.Time // of the lease
	token      uint64    // of the lease under which the tables were filled
	config     *configuration.Config
	sequence   uint64
}

// overlay is what is known of a backend beyond the list, which lags.
type overlay struct {
	models []message.LoadedModel
	at     time.Time
}

type runningTask struct {
	task     placement.Task
	expected time.Time
	cancel   context.CancelFunc
	started  bool // its load has begun
}

func newController(o *owner, settings *bootstrap.Settings) *controller {
	return &controller{
		owner: o, settings: settings, reader: discovery.NewReader(settings.Platform.Address),
		caller: placement.NewCaller(), events: make(chan func(time.Time), resultQueue),
		overlays: map[message.BackendID]overlay{}, running: map[message.BackendID]*runningTask{}, resting: map[message.BackendID]time.Time{},
		demand: placement.NewDemandTable(), allowances: map[string]*placement.LoadAllowance{},
	}
}

func (c *controller) run(ctx context.Context) {
	puller := distribution.NewPuller(c.owner.self.Identity, &holderSubscriber{owner: c.owner}, holderHold)
	go puller.Run(ctx)
	urgent := make(chan struct{}, 1)
	c.owner.hub.SetOnUrgent(func() {
		select {
		case urgent <- struct{}{}:
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
		case <-urgent:
			if _, holds := c.lease(time.Now()); !holds {
				go puller.Report(ctx)
			}
		case now := <-ticker.C:
			c.tick(ctx, now)
			c.owner.tasks.set(c.running)
		}
	}
}

// lease returns the standing under which this member may act now.
func (c *controller) lease(now time.Time) (*standing, bool) {
	s := c.owner.standing.Load()
	return s, s != nil && s.token != 0 && now.Before(s.leaseUntil)
}

func (c *controller) tick(ctx context.Context, now time.Time) {
	s, holds := c.lease(now)
	if s == nil {
		return
	}
	table := c.owner.hub.Table()
	c.warm.note(table)
	if !holds {
		c.resign()
		if !s.member {
			return // proxies ask members only
		}
		if !table.IsKnown() || now.Sub(table.Observed) >= staleAfter {
			c.read(ctx, now, ownInterval)
		}
		return
	}
	if c.token != s.token {
		c.takeOffice(s)
	}
	c.read(ctx, now, readInterval)
	c.owner.hub.SetHolder(c.loadOrders(now))
	if now.Sub(s.leaseSince) < c.handoverPause() {
		return
	}
	c.place(ctx, now)
}

// handoverPause is how long a new holder gives no order. All orders of its predecessor have ended when its lease began.
// Where backends check fencing tokens nothing of it can count any more, once what was thawed has been given its time; else
// holders must not take turns within the span that the rule names.
func (c *controller) handoverPause() time.Duration {
	if c.settings.Bounds.ChecksFence {
		return placement.OrderTimeout + c.settings.Bounds.Thaw
	}
	return c.settings.Bounds.Lease + c.settings.Bounds.Thaw
}

// resign ends all tasks: their orders would be fenced.
func (c *controller) resign() {
	if c.token == 0 {
		return
	}
	c.token = 0
	for _, task := range c.running {
		task.cancel()
	}
	clear(c.overlays)
	logrus.Info("the controller lease is over")
}

// takeOffice starts with empty tables; the predecessor is taken to have begun all loads that it might.
func (c *controller) takeOffice(s *standing) {
	c.token = s.token
	c.demand = placement.NewDemandTable()
	clear(c.overlays)
	clear(c.resting)
	clear(c.allowances)
	c.began = s.leaseSince
	logrus.WithField("token", s.token).Info("holding the controller lease")
}

// read asks for the list in the background.
func (c *controller) read(ctx context.Context, now time.Time, interval time.Duration) {
	if c.reading || now.Sub(c.lastRead) < interval {
		return
	}
	c.reading, c.lastRead = true, now
	go func() {
		table, err := c.reader.Read(ctx)
		c.events <- func(now time.Time) {
			c.reading = false
			if err != nil {
				logrus.WithError(err).Debug("the list cannot be read")
				return
			}
			c.table = table
			c.publish(now)
		}
	}()
}

// publish gives the hub the list with what is known beyond it.
func (c *controller) publish(now time.Time) {
	if c.table == nil {
		return
	}
	settled := c.settings.Platform.MaxLag + readInterval
	merged := &discovery.Table{Observed: c.table.Observed}
	for _, backend := range c.table.Backends {
		known, ok := c.overlays[backend.ID]
		_, busy := c.running[backend.ID]
		switch {
		case ok && !busy && c.table.Observed.Sub(known.at) > settled:
			delete(c.overlays, backend.ID)
		case ok:
			backend.Models = known.models
		}
		merged.Backends = append(merged.Backends, backend)
	}
	merged.SetDigest()
	c.owner.hub.SetTable(merged)
}

// place begins the tasks that the planner wants now.
func (c *controller) place(ctx context.Context, now time.Time) {
	demand, loads, _ := c.owner.hub.TakeDemand()
	c.demand.Update(now, demand)
	if c.table == nil || !c.loadConfig() {
		return
	}
	input := &placement.Input{
		Now: now, Services: c.config.Services, Backends: c.present(now), Demand: c.demand,
		Running: lo.SliceToMap(loads, func(l message.BackendLoad) (message.BackendID, int) { return l.Backend, l.Running }),
		Loading: c.loading(), LoadsLeft: c.loadsLeft(now),
	}
	for _, task := range placement.Plan(input) {
		c.begin(ctx, task, now)
	}
}

func (c *controller) loadConfig() bool {
	update := c.owner.hub.Config()
	if update == nil {
		return false
	}
	if c.config != nil && update.Sequence == c.sequence {
		return true
	}
	config, err := configuration.Parse(update.Document)
	if err != nil {
		logrus.WithError(err).Error("the configuration cannot be read")
		return c.config != nil
	}
	c.config, c.sequence = config, update.Sequence
	return true
}

// present is what the backends hold as far as is known here.
func (c *controller) present(now time.Time) []placement.Backend {
	backends := make([]placement.Backend, 0, len(c.table.Backends))
	for _, entry := range c.table.Backends {
		if known, ok := c.overlays[entry.ID]; ok {
			entry.Models = known.models
		}
		_, busy := c.running[entry.ID]
		backends = append(backends, placement.Backend{
			Backend: entry, Busy: busy || now.Before(c.resting[entry.ID]), Warm: c.warm.of(entry),
		})
	}
	return backends
}

func (c *controller) loading() map[string]map[message.ModelName]int {
	out := map[string]map[message.ModelName]int{}
	for _, running := range c.running {
		task := running.task
		if task.Load == "" || running.holdsLoad(c.overlays[task.Backend.ID]) {
			continue
		}
		if out[task.Service] == nil {
			out[task.Service] = map[message.ModelName]int{}
		}
		out[task.Service][task.Load]++
	}
	return out
}

func (t *runningTask) holdsLoad(known overlay) bool {
	return lo.ContainsBy(known.models, func(m message.LoadedModel) bool { return m.Name == t.task.Load })
}

// loadsLeft says how many loads from the weight store may begin now, by service.
func (c *controller) loadsLeft(now time.Time) map[string]int {
	left := map[string]int{}
	for name, service := range c.config.Services {
		if service.Runtime == nil {
			continue
		}
		pending := lo.CountBy(lo.Values(c.running), func(t *runningTask) bool {
			return t.task.Service == name && t.task.Load != "" && !t.task.Warm && !t.started
		})
		bounds := c.settings.Bounds
		left[name] = c.allowance(name).Left(now, service.Runtime.LoadsPerS, bounds.CapExcess, bounds.CapWindow, pending)
	}
	return left
}

func (c *controller) allowance(service string) *placement.LoadAllowance {
	if c.allowances[service] == nil {
		c.allowances[service] = placement.NewLoadAllowance(c.began)
	}
	return c.allowances[service]
}

func (c *controller) begin(ctx context.Context, task placement.Task, now time.Time) {
	id := task.Backend.ID
	running, cancel := context.WithCancel(ctx)
	c.running[id] = &runningTask{task: task, expected: now.Add(task.LoadTime), cancel: cancel}
	executor := &placement.Executor{
		Caller: c.caller, Owner: c.owner.self.Identity, Fence: c.fence(c.token),
		Publish: func(backend message.BackendID, models []message.LoadedModel) {
			c.events <- func(now time.Time) { c.note(backend, models, now) }
		},
		Started: func(backend message.BackendID) { c.events <- func(now time.Time) { c.noteStart(backend, now) } },
	}
	logrus.WithFields(logrus.Fields{
		"backend": id, "load": task.Load, "unload": task.Unload, "adapters": task.Adapters, "drop": task.Drop, "reason": task.Reason,
	}).Debug("task begins")
	go func() {
		models, known, err := executor.Run(running, &task)
		cancel()
		c.events <- func(now time.Time) { c.finish(id, models, known, err, now) }
	}()
}

// fence lets an order go only while the lease lasts beyond the order's own end.
func (c *controller) fence(token uint64) placement.Fence {
	return func() (uint64, bool) {
		now := time.Now()
		s, holds := c.lease(now)
		return token, holds && s.token == token && s.leaseUntil.Sub(now) > placement.OrderTimeout
	}
}

// noteStart counts a load that has begun.
func (c *controller) noteStart(backend message.BackendID, now time.Time) {
	running := c.running[backend]
	if running == nil {
		return
	}
	running.started = true
	running.expected = now.Add(running.task.LoadTime)
	if !running.task.Warm {
		c.allowance(running.task.Service).Start(now)
	}
}

func (c *controller) note(backend message.BackendID, models []message.LoadedModel, now time.Time) {
	if c.token == 0 {
		return
	}
	c.overlays[backend] = overlay{models: models, at: now}
	c.publish(now)
}

func (c *controller) finish(id message.BackendID, models []message.LoadedModel, known bool, err error, now time.Time) {
	delete(c.running, id)
	if err != nil {
		logrus.WithError(err).WithField("backend", id).Info("a task came to nothing")
		c.resting[id] = now.Add(failedPause)
	}
	if known {
		c.note(id, models, now)
	}
}

// loadOrders tells proxies which loads are under way.
func (c *controller) loadOrders(now time.Time) []message.PendingLoad {
	var orders []message.PendingLoad
	for id, running := range c.running {
		if running.task.Load == "" {
			continue
		}
		orders = append(orders, message.PendingLoad{
			Service: running.task.Service, Model: running.task.Load, Backend: id,
			ReadyInMs: max(0, running.expected.Sub(now).Milliseconds()),
		})
	}
	return orders
}
