// Package withadmission puts the standalone proxy's admission control in front of a policy in the simulator.
package withadmission

import (
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/admission"
	"pumiceline/internal/standalone/policy"
)

// tickTimerID is the ID of the controller's timer. The policy's own timers have small numbers and request IDs, so it
// does not clash with them.
const tickTimerID = 1<<64 - 1

// Times in microseconds.
const (
	tickInterval     = 10_000  // between ticks while requests are queued
	expectedWork     = 100_000 // assumed work of a request until the controller has measured it
	minMaxRetryAfter = 100_000 // lower limit of the controller's MaxRetryAfter
)

// Options configure the responses of admission control.
type Options struct {
	SendRetryAfter bool // rejections have a Retry-After time
}

// NewFactory returns a factory that puts admission control in front of each node of newNode.
func NewFactory(newNode model.NodeFactory, options Options) model.NodeFactory {
	return func(settings policy.Settings, seed uint64, oracle *model.Oracle) (model.Node, error) {
		inner, err := newNode(settings, seed, oracle)
		if err != nil {
			return nil, err
		}
		controller, err := admission.New(controllerSettings(settings, seed))
		if err != nil {
			return nil, err
		}
		return &node{inner: inner, controller: controller, options: options, requests: map[uint64]*request{},
			idByTicket: map[admission.Ticket]uint64{}}, nil
	}
}

// controllerSettings derives the admission controller's settings from a policy's settings.
func controllerSettings(settings policy.Settings, seed uint64) admission.Settings {
	s := admission.Defaults()
	s.Seed, s.OverQuotaFactor = seed, settings.OverQuotaValue
	for _, t := range settings.Tenants {
		s.Tenants = append(s.Tenants, admission.Tenant{Share: t.QuotaPerS,
			Rate: t.QuotaPerS / float64(max(1, settings.GroupSize))})
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []admission.Tenant{{Share: 1}}
	}
	for _, c := range settings.Classes {
		s.Classes = append(s.Classes, admission.Class{Value: c.Value, Work: expectedWork, LatencyTarget: c.LatencyTarget})
	}
	s.MaxRetryAfter = max(minMaxRetryAfter, settings.Limits.MaxRetryAfter)
	return s
}

// request is a request that has arrived and has not ended.
type request struct {
	ticket     admission.Ticket
	arrival    policy.Event
	deadline   model.Time
	isAdmitted bool // it was forwarded to the policy
}

// node is a policy behind an admission controller.
type node struct {
	inner      model.Node
	controller *admission.Controller
	options    Options
	requests   map[uint64]*request // by id
	idByTicket map[admission.Ticket]uint64
	decisions  []admission.Decision // of the controller's last call

	tickScheduled bool
}

// Handle implements model.Node.
func (n *node) Handle(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	switch {
	case ev.Kind == policy.RequestArrived:
		return n.submit(now, ev, out)
	case ev.Kind == policy.TimerFired && ev.ID == tickTimerID:
		n.tickScheduled = false
		n.decisions = n.controller.Tick(now, n.decisions[:0])
		return n.execute(now, out)
	case ev.Kind == policy.RequestAbandoned:
		if r := n.requests[ev.ID]; r != nil && !r.isAdmitted {
			n.decisions = n.controller.Cancel(now, r.ticket, n.decisions[:0])
			n.remove(ev.ID, r)
			return n.execute(now, out)
		}
		out = n.forward(now, ev, out)
		return n.finish(now, ev.ID, false, out)
	}
	out = n.forward(now, ev, out)
	if ev.Kind == policy.AttemptEnded && ev.Final {
		out = n.finish(now, ev.ID, ev.Outcome == policy.OK, out)
	}
	return out
}

// submit passes a new request to the controller.
func (n *node) submit(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	r := &request{arrival: *ev, deadline: now + ev.ClientTimeout}
	n.requests[ev.ID] = r
	r.ticket, n.decisions = n.controller.Submit(now, admission.Request{Tenant: int(ev.Tenant), Class: int(ev.Class),
		Client: ev.AffinityKey, Work: ev.Work, Deadline: r.deadline, IsRetry: ev.ClientRetry}, n.decisions[:0])
	n.idByTicket[r.ticket] = ev.ID
	return n.execute(now, out)
}

// forward passes an event to the policy. It finishes the requests that the policy rejects or fails in response.
func (n *node) forward(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	from := len(out)
	out = n.inner.Handle(now, ev, out)
	to := len(out) // finish appends further actions and handles the rejections and failures among them itself
	for i := from; i < to; i++ {
		if k := out[i].Kind; k == policy.RejectRequest || k == policy.FailRequest {
			out = n.finish(now, out[i].ID, false, out)
		}
	}
	return out
}

// finish notifies the controller of an admitted request's end, and executes the controller's decisions.
func (n *node) finish(now model.Time, id uint64, served bool, out []policy.Action) []policy.Action {
	r := n.requests[id]
	if r == nil || !r.isAdmitted {
		return out
	}
	n.remove(id, r)
	n.decisions = n.controller.Finish(now, r.ticket, served, n.decisions[:0])
	return n.execute(now, out)
}

func (n *node) remove(id uint64, r *request) {
	delete(n.requests, id)
	delete(n.idByTicket, r.ticket)
}

// execute executes the decisions of the controller's last call, and schedules a tick while requests are queued.
func (n *node) execute(now model.Time, out []policy.Action) []policy.Action {
	decisions := append([]admission.Decision(nil), n.decisions...) // copied, as forward may overwrite n.decisions
	for _, d := range decisions {
		id := n.idByTicket[d.Ticket]
		r := n.requests[id]
		if r == nil {
			continue
		}
		if d.Kind == admission.Reject {
			n.remove(id, r)
			out = append(out, policy.Action{Kind: policy.RejectRequest, ID: id, After: n.retryAfter(d)})
			continue
		}
		r.isAdmitted = true
		ev := r.arrival
		ev.ClientTimeout = max(1, r.deadline-now)
		out = n.forward(now, &ev, out)
	}
	if n.controller.State().Queued > 0 && !n.tickScheduled {
		n.tickScheduled = true
		out = append(out, policy.Action{Kind: policy.SetTimer, ID: tickTimerID, After: tickInterval})
	}
	return out
}

func (n *node) retryAfter(rejection admission.Decision) model.Time {
	if !n.options.SendRetryAfter {
		return 0
	}
	return rejection.RetryAfter
}
