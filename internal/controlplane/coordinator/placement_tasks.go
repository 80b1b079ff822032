package coordinator

import (
	"context"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/placement/executor"
	"pumiceline/internal/controlplane/placement/planner"
	"pumiceline/internal/logkey"
	"pumiceline/internal/message"
)

// runningTask is a placement task that an executor carries out at a backend. A backend has at most one.
type runningTask struct {
	task         planner.Task
	expectedDone time.Time // when its model load should be complete
	cancel       context.CancelFunc
	loadStarted  bool // the backend has accepted the load command, or may have
}

// hasLoaded reports whether the task's model was observed at the backend.
func (t *runningTask) hasLoaded(seen observedModels) bool {
	return lo.ContainsBy(seen.models, func(m message.LoadedModel) bool { return m.Name == t.task.Load })
}

// placeModels runs the planner and starts the tasks that it returns.
func (c *controller) placeModels(ctx context.Context, now time.Time) {
	reported := c.loop.hub.CollectDemand()
	c.demand.Update(now, reported.Models)
	if c.listed == nil || !c.refreshConfig() {
		return
	}
	input := &planner.Input{
		Now: now, Services: c.plannedServices(now), Backends: c.placementBackends(now), Demand: c.demand,
		InFlight: lo.SliceToMap(reported.Loads, func(l message.BackendLoad) (message.BackendID, int) {
			return l.Backend, l.InFlight
		}),
		Loading: c.loadingReplicas(), ModelLoadsAllowed: c.modelLoadsAllowed(now),
	}
	tasks, failures := planner.Plan(input)
	for _, failure := range failures {
		c.onPlanFailure(failure, now)
	}
	for _, task := range tasks {
		c.startTask(ctx, task, now)
	}
}

// plannedServices returns the configured services without those whose last plan failed less than failedPlanBackoff ago.
func (c *controller) plannedServices(now time.Time) map[string]*configuration.Service {
	return lo.OmitBy(c.config.Services, func(name string, _ *configuration.Service) bool {
		return now.Before(c.planBackoffUntil[name])
	})
}

// onPlanFailure leaves a service out of the plans for a while. The lease stays: the next holder would fail alike, and
// the other services and the list of backends need a holder.
func (c *controller) onPlanFailure(failure *planner.ServiceFailure, now time.Time) {
	c.planBackoffUntil[failure.Service] = now.Add(failedPlanBackoff)
	logrus.WithError(failure).WithFields(logrus.Fields{
		logkey.Service: failure.Service, logkey.Stack: failure.Stack,
	}).Error("planning a service failed; its models stay where they are")
}

// refreshConfig parses the newest acknowledged configuration if it has changed. It reports whether a configuration is
// known.
func (c *controller) refreshConfig() bool {
	update := c.loop.hub.Config()
	if update == nil {
		return false
	}
	if c.config != nil && update.Sequence == c.configSequence {
		return true
	}
	config, err := configuration.Parse(update.Document)
	if err != nil {
		logrus.WithError(err).Error("parsing the configuration failed; the previous one stays in force")
		return c.config != nil
	}
	c.config, c.configSequence = config, update.Sequence
	return true
}

// loadingReplicas counts the model loads in progress, by service and model.
func (c *controller) loadingReplicas() map[string]map[message.ModelName]int {
	counts := map[string]map[message.ModelName]int{}
	for _, running := range c.running {
		task := running.task
		if task.Load == "" || running.hasLoaded(c.observed[task.Backend.ID]) {
			continue
		}
		if counts[task.Service] == nil {
			counts[task.Service] = map[message.ModelName]int{}
		}
		counts[task.Service][task.Load]++
	}
	return counts
}

// modelLoadsAllowed returns how many model loads from the weight store may start now, by service.
func (c *controller) modelLoadsAllowed(now time.Time) map[string]int {
	allowed := map[string]int{}
	for name, service := range c.config.Services {
		if service.Runtime == nil {
			continue
		}
		pending := lo.CountBy(lo.Values(c.running), func(t *runningTask) bool {
			return t.task.Service == name && t.task.Load != "" && !t.task.FromCache && !t.loadStarted
		})
		limit := planner.LoadRateLimit{
			PerSecond:    service.Runtime.LoadsPerSecond,
			ExcessFactor: c.settings.Bounds.LoadExcess,
			Window:       c.settings.Bounds.LoadWindow,
		}
		allowed[name] = c.loadLimiter(name).Available(now, limit, pending)
	}
	return allowed
}

func (c *controller) loadLimiter(service string) *planner.LoadRateLimiter {
	if c.loadLimiters[service] == nil {
		c.loadLimiters[service] = planner.NewLoadRateLimiter(c.leaseStart)
	}
	return c.loadLimiters[service]
}

// startTask starts a task in the background. The task ends when it is done, when ctx ends, or when the lease is lost.
func (c *controller) startTask(ctx context.Context, task planner.Task, now time.Time) {
	id := task.Backend.ID
	taskCtx, cancel := context.WithCancel(ctx)
	c.running[id] = &runningTask{task: task, expectedDone: now.Add(task.LoadTime), cancel: cancel}
	runner := &executor.Executor{
		Client: c.client, Owner: string(c.loop.self.Identity), LeaseToken: c.commandToken(c.leaseToken),
		OnModelsChanged: func(backend message.BackendID, models []message.LoadedModel) {
			c.events <- func(now time.Time) { c.onModelsObserved(backend, models, now) }
		},
		OnLoadStarted: func(backend message.BackendID) {
			c.events <- func(now time.Time) { c.onLoadStarted(backend, now) }
		},
	}
	logrus.WithFields(logrus.Fields{
		logkey.Backend: id, logkey.Load: task.Load, logkey.Unload: task.Unload,
		logkey.Adapters: task.LoadAdapters, logkey.DropAdapters: task.UnloadAdapters, logkey.Reason: task.Reason,
	}).Debug("placement task started")
	go func() {
		models, err := runner.Run(taskCtx, &task)
		cancel()
		c.events <- func(now time.Time) { c.onTaskDone(id, models, err, now) }
	}()
}

// onLoadStarted counts a load against the service's rate limit. Loads from the backend's own disk do not count.
func (c *controller) onLoadStarted(backend message.BackendID, now time.Time) {
	running := c.running[backend]
	if running == nil {
		return
	}
	running.loadStarted = true
	running.expectedDone = now.Add(running.task.LoadTime)
	if !running.task.FromCache {
		c.loadLimiter(running.task.Service).RecordStart(now)
	}
}

func (c *controller) onTaskDone(id message.BackendID, models []message.LoadedModel, err error, now time.Time) {
	delete(c.running, id)
	if err != nil {
		logrus.WithError(err).WithField(logkey.Backend, id).Info("placement task failed")
		c.backoffUntil[id] = now.Add(failedTaskBackoff)
		return
	}
	c.onModelsObserved(id, models, now)
}

// pendingModelLoads returns the model loads in progress, for proxies that have requests waiting for them.
func (c *controller) pendingModelLoads(now time.Time) []message.PendingModelLoad {
	var loads []message.PendingModelLoad
	for id, running := range c.running {
		if running.task.Load == "" {
			continue
		}
		loads = append(loads, message.PendingModelLoad{
			Service: running.task.Service, Model: running.task.Load, Backend: id,
			ReadyInMs: max(0, running.expectedDone.Sub(now).Milliseconds()),
		})
	}
	return loads
}
