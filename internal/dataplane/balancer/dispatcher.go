package balancer

import (
	"context"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

const (
	dispatchQueue = 256
	dispatchTick  = 50 * time.Millisecond
)

// Dispatcher owns a balancer: one goroutine that works through a queue of commands.
type Dispatcher struct {
	commands chan func(*Balancer)
	onUrgent func()
	loads    LoadSource
}

// LoadSource knows what other proxies carry, and is told what this one does.
type LoadSource interface {
	// Ask returns what the other proxies carry at the holders of a model; ok is false where that is not known.
	Ask(ctx context.Context, service string, model message.ModelName) (loads []message.BackendLoad, ok bool)
	// Tell takes what this proxy carries now where that has changed. It does not wait.
	Tell(loads []message.BackendLoad)
}

// NewDispatcher starts the owner of a balancer; it ends with ctx. onUrgent is called when a model is missing, once
// until the next report; it must not wait. loads may be nil: then the choice goes by what is pulled.
func NewDispatcher(ctx context.Context, b *Balancer, onUrgent func(), loads LoadSource) *Dispatcher {
	d := &Dispatcher{commands: make(chan func(*Balancer), dispatchQueue), onUrgent: onUrgent, loads: loads}
	go d.run(ctx, b)
	return d
}

func (d *Dispatcher) run(ctx context.Context, b *Balancer) {
	ticker := time.NewTicker(dispatchTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-d.commands:
			command(b)
			if b.urgent {
				d.onUrgent()
			}
		case now := <-ticker.C:
			b.Tick(now)
			d.refreshForWaiting(ctx, b)
		}
		if changed := b.TakeChanged(); d.loads != nil && len(changed) > 0 {
			d.loads.Tell(changed)
		}
	}
}

// refreshForWaiting asks anew for the first request that waits for a place.
func (d *Dispatcher) refreshForWaiting(ctx context.Context, b *Balancer) {
	service, model, waits := b.FirstWaiting()
	if !waits || d.loads == nil {
		return
	}
	go func() {
		if loads, ok := d.loads.Ask(ctx, service, model); ok {
			d.commands <- func(b *Balancer) { b.Refresh(service, model, loads, time.Now()) }
		}
	}()
}

// Acquire asks for a backend and waits for the answer. An error means that ctx ended first.
func (d *Dispatcher) Acquire(ctx context.Context, request *Request) (Grant, error) {
	if request.grant == nil {
		request.grant = make(chan Grant, 1)
	}
	var loads []message.BackendLoad
	fresh := false
	if request.Model != "" && d.loads != nil {
		loads, fresh = d.loads.Ask(ctx, request.Service, request.Model)
	}
	d.commands <- func(b *Balancer) {
		now := time.Now()
		if fresh {
			b.Refresh(request.Service, request.Model, loads, now)
		}
		b.Arrive(request, now)
	}
	select {
	case grant := <-request.grant:
		return grant, nil
	case <-ctx.Done():
		return d.giveUp(ctx, request)
	}
}

// giveUp takes a request out; a grant that was made in the same moment is returned.
func (d *Dispatcher) giveUp(ctx context.Context, request *Request) (Grant, error) {
	left := make(chan bool, 1)
	d.commands <- func(b *Balancer) { left <- b.Leave(request) }
	if <-left {
		return Grant{}, ctx.Err()
	}
	return <-request.grant, nil
}

// SetLeaving says that the process was asked to stop.
func (d *Dispatcher) SetLeaving() { d.commands <- func(b *Balancer) { b.SetLeaving(time.Now()) } }

// Observe tells what a backend said of its load with an answer.
func (d *Dispatcher) Observe(backend *Backend, running, waiting int) {
	d.commands <- func(b *Balancer) { b.Observe(backend, running, waiting, time.Now()) }
}

// Began tells that a request's first event came after span.
func (d *Dispatcher) Began(request *Request, backend *Backend, span time.Duration) {
	d.commands <- func(b *Balancer) { b.Began(request, backend, span) }
}

// Finish tells the outcome of an attempt.
func (d *Dispatcher) Finish(request *Request, backend *Backend, outcome Outcome, span time.Duration) {
	d.commands <- func(b *Balancer) { b.Finish(request, backend, outcome, span, time.Now()) }
}

// Update takes what was pulled; nil parts are unchanged. Backends that are gone are given to onGone.
func (d *Dispatcher) Update(config *configuration.Config, backends []message.Backend, hasBackends bool, reply *message.PollResponse, loads []message.BackendLoad, onGone func([]*Backend)) {
	d.commands <- func(b *Balancer) {
		now := time.Now()
		if config != nil {
			b.SetConfig(config, now)
		}
		if reply != nil {
			b.SetProxies(reply.Proxies, now)
		}
		if hasBackends {
			if gone := b.SetBackends(backends, now); len(gone) > 0 && onGone != nil {
				onGone(gone)
			}
		}
		if reply != nil {
			b.SetTotals(loads, reply.PendingLoads, now)
		}
	}
}

// Report returns what the coordinators are told.
func (d *Dispatcher) Report() (demand []message.ModelDemand, loads []message.BackendLoad) {
	done := make(chan struct{})
	d.commands <- func(b *Balancer) {
		demand, loads = b.Report()
		close(done)
	}
	<-done
	return demand, loads
}
