package coordinator

import (
	"context"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/placement/planner"
	"pumiceline/internal/message"
)

// observedModels are the models that a backend itself reported to a placement task. They are newer than the models that
// discovery lists, which lag by up to Platform.MaxLag. They take precedence until discovery has certainly caught up.
type observedModels struct {
	models []message.LoadedModel
	at     time.Time
}

// pollBackends reads the backends from discovery in the background, at most once per interval.
func (c *controller) pollBackends(ctx context.Context, now time.Time, interval time.Duration) {
	if c.polling || now.Sub(c.lastPoll) < interval {
		return
	}
	c.polling, c.lastPoll = true, now
	go func() {
		list, err := c.reader.Read(ctx)
		c.events <- func(time.Time) { c.onBackendsRead(list, err) }
	}()
}

func (c *controller) onBackendsRead(list *discovery.BackendList, err error) {
	c.polling = false
	c.loop.hub.Monitor().CountRead(err)
	if err != nil {
		logrus.WithError(err).Debug("discovery poll failed")
		return
	}
	c.listed = list
	c.publishBackends()
}

// adoptPeerList takes the hub's list if another member has read it later than this lease holder has read its own, so
// that a holder that cannot read the platform places models by a list that is not older than its proxies' lists.
func (c *controller) adoptPeerList(list *discovery.BackendList) {
	if !list.IsKnown() || list.Revision.Token == c.leaseToken {
		return
	}
	if c.listed != nil && !list.ObservedAt.After(c.listed.ObservedAt) {
		return
	}
	adopted := *list
	if c.listed != nil {
		adopted.Pages = c.listed.Pages // a list from another process has none, and the poll interval depends on them
	}
	c.listed = &adopted
}

// publishBackends passes the backends to the hub as discovery listed them, with the models that were observed since.
func (c *controller) publishBackends() {
	if c.listed == nil {
		return
	}
	discoveryLag := c.settings.Platform.MaxLag + c.pollInterval()
	merged := &discovery.BackendList{ObservedAt: c.listed.ObservedAt, Revision: c.nextRevision()}
	for _, backend := range c.listed.Backends {
		seen, ok := c.observed[backend.ID]
		_, busy := c.running[backend.ID]
		switch {
		case ok && !busy && c.listed.ObservedAt.Sub(seen.at) > discoveryLag:
			delete(c.observed, backend.ID)
		case ok:
			backend.Models = seen.models
		}
		merged.Backends = append(merged.Backends, backend)
	}
	merged.SetDigest()
	c.loop.hub.SetBackends(merged)
}

// nextRevision returns the revision of the next list. A member without the lease publishes lists without a revision:
// they are ordered by when they were read.
func (c *controller) nextRevision() message.BackendsRevision {
	if c.leaseToken == 0 {
		return message.BackendsRevision{}
	}
	c.revision++
	return message.BackendsRevision{Token: c.leaseToken, Number: c.revision}
}

// onModelsObserved takes the models that a backend reported to a task. It ignores them if this member has lost the
// lease.
func (c *controller) onModelsObserved(backend message.BackendID, models []message.LoadedModel, now time.Time) {
	if c.leaseToken == 0 {
		return
	}
	before := c.observed[backend]
	c.observed[backend] = observedModels{models: models, at: now}
	if c.isAwaited(backend, before.models, models) {
		c.publishBackends()
	}
}

// isAwaited reports whether a backend now has a model that requests wait for. Only such a change is published at
// once; others wait for the next poll of discovery, which comes soon. The reason is that each published list answers
// the pending polls of all proxies and coordinators, which then poll again with their demand and loads. Therefore
// proxies may receive an unload only after its command. The backend then rejects their requests for that model
// (Not-Run), and they send them elsewhere.
func (c *controller) isAwaited(id message.BackendID, before, after []message.LoadedModel) bool {
	if c.listed == nil {
		return false
	}
	entry, ok := lo.Find(c.listed.Backends, func(b message.Backend) bool { return b.ID == id })
	if !ok {
		return false
	}
	earlier := message.Backend{Models: before}
	return lo.ContainsBy(after, func(m message.LoadedModel) bool {
		demand := c.demand.Of(entry.Service, m.Name)
		return !earlier.Holds(m.Name) && !entry.Holds(m.Name) && demand.Waiting > 0
	})
}

// placementBackends returns the backends as input for the planner.
func (c *controller) placementBackends(now time.Time) []planner.Backend {
	backends := make([]planner.Backend, 0, len(c.listed.Backends))
	for _, entry := range c.listed.Backends {
		if seen, ok := c.observed[entry.ID]; ok {
			entry.Models = seen.models
		}
		_, busy := c.running[entry.ID]
		backends = append(backends, planner.Backend{
			Backend: entry, Busy: busy || now.Before(c.backoffUntil[entry.ID]), Cached: c.residency.modelsOf(entry),
		})
	}
	return backends
}
