// Package distribution sends the committed configuration, the list of backends and the total loads to every proxy by
// long polling. A subscriber (a proxy, or a coordinator that polls the lease holder) sends the versions that it has
// together with its own demand and loads. The response has what is newer; the server delays it while there is nothing
// newer.
//
// Hub is the server and Poller the client. Loads that must be fresher than a poll are sent separately, as load
// reports and load queries (Hub.HandleLoadReport). Package inflight holds the pure part: the table of loads and its
// deltas.
package distribution

import (
	"context"
	"sync/atomic"
	"time"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution/inflight"
	"pumiceline/internal/message"
)

const (
	commandQueueLength = 256
	// pollCheckInterval is how often pending polls are checked for the end of their wait.
	pollCheckInterval = 50 * time.Millisecond
)

// Status is the part of its coordinator's membership that a hub needs.
type Status struct {
	// ServingUntil is when the member stops serving, unless a majority of the voters confirms its view again before
	// then. The hub compares it with the time of each response, so that a process that was paused sends nothing
	// outdated.
	ServingUntil time.Time
	Members      []message.Member
}

// Hub is the long-poll server of a coordinator. One goroutine, Run, owns its state and executes a queue of commands.
// All methods are safe for concurrent use. Once Run has ended, commands are dropped, and methods that return a value
// return the zero value.
type Hub struct {
	commands      chan func(*state)
	ended         chan struct{} // closed when Run ends
	status        atomic.Pointer[Status]
	config        atomic.Pointer[message.ConfigUpdate]
	onUnmetDemand atomic.Pointer[func()]
	monitor       *discovery.AgeMonitor
	refreshLag    time.Duration // see discovery.Budget
}

// state is owned by the goroutine that runs Hub.Run.
type state struct {
	config          configHistory
	backends        backendHistory
	subscriptions   *subscriptionTable
	pending         []pendingPoll
	totals          clusterTotals
	inFlight        *inflight.Table
	backendsByModel modelIndex
}

// NewHub makes a hub; Run must be called once. drain is Bounds.Drain.
func NewHub(drain time.Duration) *Hub {
	h := &Hub{
		commands: make(chan func(*state), commandQueueLength), ended: make(chan struct{}),
		monitor: discovery.NewAgeMonitor(drain), refreshLag: discovery.NewBudget(drain).RefreshLag,
	}
	h.status.Store(&Status{})
	return h
}

// Run executes the commands and answers pending polls until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	defer close(h.ended)
	s := &state{subscriptions: newSubscriptionTable(), inFlight: inflight.NewTable()}
	ticker := time.NewTicker(pollCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-h.commands:
			command(s)
		case now := <-ticker.C:
			h.answerPending(s, now)
		}
	}
}

// SetStatus sets until when the member serves, and the members of its view.
func (h *Hub) SetStatus(status Status) { h.status.Store(&status) }

// SetOnUnmetDemand sets the function to call when a poll reports requests that wait for a model or were rejected for
// lack of it. The hub's goroutine calls it, so it must not block.
func (h *Hub) SetOnUnmetDemand(notify func()) { h.onUnmetDemand.Store(&notify) }

// Config returns the newest committed configuration, or nil if none is known.
func (h *Hub) Config() *message.ConfigUpdate { return h.config.Load() }

// SetConfig sets the newest committed configuration. Pending polls get it at once.
func (h *Hub) SetConfig(update message.ConfigUpdate) {
	h.config.Store(&update)
	h.send(func(s *state) {
		if s.config.add(update) {
			h.answerPending(s, time.Now())
		}
	})
}

// SetBackends sets the list of backends. A list that is not newer than the present one is ignored. A pending poll gets
// other backends at once, and so it does if the same backends were read much later.
func (h *Hub) SetBackends(list *discovery.BackendList) {
	h.send(func(s *state) {
		if s.backends.set(list) {
			h.monitor.Use(list.ObservedAt, time.Now())
			h.answerPending(s, time.Now())
		}
	})
}

// SetTotals sets the totals over all proxies, as received from the lease holder.
func (h *Hub) SetTotals(totals Totals) {
	h.send(func(s *state) { s.totals = clusterTotals{Totals: totals, receivedAt: time.Now()} })
}

// UseOwnTotals is called in place of SetTotals at the lease holder. There the totals are the sums over the hub's own
// subscribers, as all other coordinators are among these. pendingModelLoads are the loads that its controller has
// started.
func (h *Hub) UseOwnTotals(pendingModelLoads []message.PendingModelLoad) {
	h.send(func(s *state) {
		now := time.Now()
		totals := Totals{PendingModelLoads: pendingModelLoads, Retries: s.subscriptions.sumRetries(now)}
		s.totals = clusterTotals{Totals: totals, receivedAt: now}
	})
}

// Backends returns the newest list of backends, or nil before the first.
func (h *Hub) Backends() *discovery.BackendList {
	return readState(h, func(s *state) *discovery.BackendList { return s.backends.newest })
}

// Proxies returns the number of proxies: the larger of the lease holder's count and the hub's own.
func (h *Hub) Proxies() int {
	return readState(h, func(s *state) int { return s.countProxies(time.Now()) })
}

// Monitor returns the monitor of the hub's list of backends.
func (h *Hub) Monitor() *discovery.AgeMonitor { return h.monitor }

// OldestListAge returns the age of the oldest list of backends that the hub or one of its subscribers has used within
// the last seconds; see discovery.AgeMonitor.
func (h *Hub) OldestListAge() time.Duration {
	own := time.Duration(h.monitor.Status(time.Now()).OldestMs) * time.Millisecond
	return max(own, readState(h, func(s *state) time.Duration { return s.subscriptions.oldestListAge(time.Now()) }))
}

// CollectDemand returns what the subscribers reported. Arrivals and rejections are counted since the last call.
func (h *Hub) CollectDemand() ReportedDemand {
	return readState(h, func(s *state) ReportedDemand {
		now := time.Now()
		return ReportedDemand{
			Models: s.subscriptions.drainDemand(now), Loads: s.subscriptions.sumLoads(now),
			Retries: s.subscriptions.sumRetries(now), Proxies: s.subscriptions.countProxies(now),
		}
	})
}

// readState runs read in the hub's goroutine and returns its result.
func readState[T any](h *Hub, read func(*state) T) T {
	result := make(chan T, 1)
	h.send(func(s *state) { result <- read(s) })
	select {
	case value := <-result:
		return value
	case <-h.ended:
		var zero T
		return zero
	}
}

// send queues a command for Run, or drops it once Run has ended.
func (h *Hub) send(command func(*state)) {
	select {
	case h.commands <- command:
	case <-h.ended:
	}
}
