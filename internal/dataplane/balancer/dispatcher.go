package balancer

import (
	"context"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

const (
	// commandQueueSize is how many commands may wait for the owner before callers wait.
	commandQueueSize = 256
	// tickInterval is how often queued requests are reconsidered where nothing else happens.
	tickInterval = 50 * time.Millisecond
)

// Dispatcher owns a balancer: one goroutine carries out commands in order. Its methods may be called from any
// goroutine.
type Dispatcher struct {
	commands      chan func(*Balancer)
	onUnmetDemand func()
	peerLoads     PeerLoads
}

// PeerLoads exchanges with the other proxies what each has in flight.
type PeerLoads interface {
	// Query returns what the other proxies have in flight at the backends that have loaded a model; ok is false where
	// that is not known.
	Query(ctx context.Context, service string, model message.ModelName) (loads []message.BackendLoad, ok bool)
	// Publish takes this proxy's loads at backends where they have changed. It does not wait.
	Publish(loads []message.BackendLoad)
}

// DispatcherOptions connect a dispatcher with its proxy. Each may be nil.
type DispatcherOptions struct {
	// OnUnmetDemand is called when a request waits for a model, again and again until the next Report; it must not wait.
	OnUnmetDemand func()
	// PeerLoads is queried before each pick; nil: the loads are those that were polled.
	PeerLoads PeerLoads
}

// NewDispatcher starts the owner of a balancer, which ends with ctx. No method may be called after that: nothing would
// carry out its command.
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

// refreshQueued queries the peers' loads anew for the first request that waits for capacity, which a peer's request
// that ended may have freed. Its goroutine ends when the query has been answered or has timed out.
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

// Pick waits until a backend is picked for the request or the request is rejected. An error means that ctx ended first.
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

// cancel takes a request out of the queue. Where the request was answered before the command was carried out, its
// result is returned without an error: a picked backend counts the attempt as in flight until Finish.
func (d *Dispatcher) cancel(ctx context.Context, request *Request) (PickResult, error) {
	canceled := make(chan bool, 1)
	d.commands <- func(b *Balancer) { canceled <- b.Cancel(request) }
	if <-canceled {
		return PickResult{}, ctx.Err()
	}
	return <-request.result, nil
}

// StartDraining rejects what the process could not serve before it ends.
func (d *Dispatcher) StartDraining() { d.commands <- func(b *Balancer) { b.StartDraining(time.Now()) } }

// ObserveLoad takes the load that a backend reported with a response.
func (d *Dispatcher) ObserveLoad(backend *Backend, running, waiting int) {
	d.commands <- func(b *Balancer) { b.ObserveLoad(backend, running, waiting, time.Now()) }
}

// FirstEvent notes that the first event of an attempt came, elapsed after it was sent.
func (d *Dispatcher) FirstEvent(request *Request, backend *Backend, elapsed time.Duration) {
	d.commands <- func(b *Balancer) { b.FirstEvent(request, backend, elapsed) }
}

// Finish takes the outcome of an attempt, which took elapsed. It must be called once for each picked backend.
func (d *Dispatcher) Finish(request *Request, backend *Backend, outcome Outcome, elapsed time.Duration) {
	d.commands <- func(b *Balancer) { b.Finish(request, backend, outcome, elapsed, time.Now()) }
}

// Update is an update from the coordinators; what is nil stays as it is.
type Update struct {
	Config      *configuration.Config
	Backends    []message.Backend // the complete list, taken where HasBackends is set
	HasBackends bool
	Response    *message.PollResponse // number of proxies and pending loads
	TotalLoads  []message.BackendLoad // of all proxies, taken with Response
	// OnRemoved receives the backends that the list no longer has. It is called by the balancer's owner and must not
	// wait. It may be nil.
	OnRemoved func([]*Backend)
}

// Update puts an update in force. It does not wait for that.
func (d *Dispatcher) Update(update Update) {
	d.commands <- func(b *Balancer) { update.apply(b, time.Now()) }
}

func (u *Update) apply(b *Balancer, now time.Time) {
	if u.Config != nil {
		b.SetConfig(u.Config, now)
	}
	if u.Response != nil {
		b.SetProxies(u.Response.Proxies, now)
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

// Report returns the demand since the last report and the present loads, for the coordinators.
func (d *Dispatcher) Report() (demand []message.ModelDemand, loads []message.BackendLoad) {
	done := make(chan struct{})
	d.commands <- func(b *Balancer) {
		demand, loads = b.Report()
		close(done)
	}
	<-done
	return demand, loads
}
