package balancer

import (
	"context"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

const (
	// commandQueueSize is how many commands may be queued for the owner before callers block.
	commandQueueSize = 256
	// tickInterval is how often queued requests are re-evaluated without another event.
	tickInterval = 50 * time.Millisecond
)

// Dispatcher owns a balancer: one goroutine executes commands in order. Its methods may be called from any goroutine.
type Dispatcher struct {
	commands      chan func(*Balancer)
	onUnmetDemand func()
	peerLoads     PeerLoads
}

// PeerLoads shares the loads in flight between this proxy and its peers, the other proxies.
type PeerLoads interface {
	// Query returns what the other proxies have in flight at the backends that have loaded a model. ok is false if that
	// is unknown.
	Query(ctx context.Context, service string, model message.ModelName) (loads []message.BackendLoad, ok bool)
	// Publish reports this proxy's loads at backends where they have changed. It does not wait until the
	// report is sent.
	Publish(loads []message.BackendLoad)
}

// DispatcherOptions connects a dispatcher with its proxy. Each field may be nil.
type DispatcherOptions struct {
	// OnUnmetDemand is called when a request waits for a model. It is called repeatedly until the next Report, and must
	// not block.
	OnUnmetDemand func()
	// PeerLoads is queried before each pick. Without it the balancer uses the loads that backends report and the polled
	// totals.
	PeerLoads PeerLoads
}

// NewDispatcher starts the goroutine that owns a balancer. It runs until ctx ends. No method may be called afterwards:
// nothing would execute its command, so callers could block forever.
func NewDispatcher(ctx context.Context, b *Balancer, options DispatcherOptions) *Dispatcher {
	d := &Dispatcher{
		commands:      make(chan func(*Balancer), commandQueueSize),
		onUnmetDemand: options.OnUnmetDemand, peerLoads: options.PeerLoads,
	}
	go d.run(ctx, b)
	return d
}

func (d *Dispatcher) run(ctx context.Context, b *Balancer) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-d.commands:
			command(b)
			if b.hasUnmetDemand && d.onUnmetDemand != nil {
				d.onUnmetDemand()
			}
		case now := <-ticker.C:
			b.Tick(now)
			d.refreshQueued(ctx, b)
		}
		if changed := b.TakeChangedLoads(); d.peerLoads != nil && len(changed) > 0 {
			d.peerLoads.Publish(changed)
		}
	}
}

// refreshQueued queries the peers' loads again for the first request that waits for capacity: a request of a peer may
// have ended and freed capacity. The goroutine that it starts ends when the query gets a response or times out.
func (d *Dispatcher) refreshQueued(ctx context.Context, b *Balancer) {
	key, ok := b.FirstQueuedForCapacity()
	if !ok || d.peerLoads == nil {
		return
	}
	go func() {
		if loads, ok := d.peerLoads.Query(ctx, key.Service, key.Model); ok {
			d.commands <- func(b *Balancer) { b.SetPeerLoads(key.Service, key.Model, loads, time.Now()) }
		}
	}()
}

// Pick waits until a backend is picked for the request or the request is rejected. It returns an error only if ctx ends
// first.
func (d *Dispatcher) Pick(ctx context.Context, request *Request) (PickResult, error) {
	if request.result == nil {
		request.result = make(chan PickResult, 1)
	}
	var loads []message.BackendLoad
	isFresh := false
	if request.Model != "" && d.peerLoads != nil {
		loads, isFresh = d.peerLoads.Query(ctx, request.Service, request.Model)
	}
	d.commands <- func(b *Balancer) {
		now := time.Now()
		if isFresh {
			b.SetPeerLoads(request.Service, request.Model, loads, now)
		}
		b.Submit(request, now)
	}
	select {
	case result := <-request.result:
		return result, nil
	case <-ctx.Done():
		return d.cancel(ctx, request)
	}
}

// cancel removes a request from the queue. If the request was answered before that, cancel returns its result without
// an error. The caller must see a picked backend, because the attempt counts as in flight until Finish.
func (d *Dispatcher) cancel(ctx context.Context, request *Request) (PickResult, error) {
	canceled := make(chan bool, 1)
	d.commands <- func(b *Balancer) { canceled <- b.Cancel(request) }
	if <-canceled {
		return PickResult{}, ctx.Err()
	}
	return <-request.result, nil
}

// StartDraining rejects the requests that wait for a model; see Balancer.StartDraining.
func (d *Dispatcher) StartDraining() { d.commands <- func(b *Balancer) { b.StartDraining(time.Now()) } }

// ObserveLoad records the load that a backend reported with a response.
func (d *Dispatcher) ObserveLoad(backend *Backend, running, waiting int) {
	d.commands <- func(b *Balancer) { b.ObserveLoad(backend, running, waiting, time.Now()) }
}

// FirstEvent records that the first event of an attempt arrived, elapsed after it was sent.
func (d *Dispatcher) FirstEvent(request *Request, backend *Backend, elapsed time.Duration) {
	d.commands <- func(b *Balancer) { b.FirstEvent(request, backend, elapsed) }
}

// Finish records the outcome of an attempt, elapsed after it was sent. It must be called exactly once for each picked
// backend.
func (d *Dispatcher) Finish(request *Request, backend *Backend, outcome Outcome, elapsed time.Duration) {
	d.commands <- func(b *Balancer) { b.Finish(request, backend, outcome, elapsed, time.Now()) }
}

// Update is an update from the coordinators. A nil Config or Response leaves the current state unchanged.
type Update struct {
	Config      *configuration.Config
	Backends    []message.Backend // the complete list; used only if HasBackends is set
	HasBackends bool
	Response    *message.PollResponse // for the number of proxies, their retries and the pending loads of models
	TotalLoads  []message.BackendLoad // of all proxies; used only if Response is set
	// OnRemoved receives the backends that are not in the new list. The balancer's owner calls it, so it must not
	// block. It may be nil.
	OnRemoved func([]*Backend)
}

// Update queues an update. It does not wait until the update is applied.
func (d *Dispatcher) Update(update Update) {
	d.commands <- func(b *Balancer) { update.apply(b, time.Now()) }
}

func (u *Update) apply(b *Balancer, now time.Time) {
	if u.Config != nil {
		b.SetConfig(u.Config, now)
	}
	if u.Response != nil {
		b.SetProxies(u.Response.Proxies, now)
		b.budget.SetTotals(u.Response.Retries, u.Response.Proxies, now)
	}
	if u.HasBackends {
		if removed := b.SetBackends(u.Backends, now); len(removed) > 0 && u.OnRemoved != nil {
			u.OnRemoved(removed)
		}
	}
	if u.Response != nil {
		b.SetTotalLoads(u.TotalLoads, u.Response.PendingModelLoads, now)
	}
}

// Report returns what the proxy reports to the coordinators; see Balancer.Report.
func (d *Dispatcher) Report() Report {
	report := make(chan Report, 1)
	d.commands <- func(b *Balancer) { report <- b.Report(time.Now()) }
	return <-report
}
