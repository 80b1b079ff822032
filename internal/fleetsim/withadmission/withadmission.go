// Package withadmission puts the door in front of the decision module within the laboratory, as the front does on sockets.
package withadmission

import (
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/admission"
	"pumiceline/internal/standalone/policy"
)

// tickTimerID is the door's own timer; the module's tags are small numbers and request ids.
const tickTimerID = 1<<64 - 1

const tickInterval = 10_000

// request is one that has come and is not over.
type request struct {
	ticket     admission.Ticket
	arrival    policy.Event
	deadline   model.Time
	isAdmitted bool
}

// node is a module behind a door.
type node struct {
	inner          model.Node
	controller     *admission.Controller
	requests       map[uint64]*request
	idByTicket     map[admission.Ticket]uint64
	admitted       []admission.Action
	unused         []policy.Action
	tickScheduled  bool
	sendRetryAfter bool // refusals name a time to come back
}

// controllerSettings are the door's for a deployment as a decider is told of it.
func controllerSettings(set policy.Settings, seed uint64) admission.Settings {
	s := admission.Defaults()
	s.Seed, s.OverQuotaFactor = seed, set.OverQuotaValue
	for _, t := range set.Tenants {
		s.Tenants = append(s.Tenants, admission.Tenant{Share: t.QuotaPerS, Rate: t.QuotaPerS / float64(max(1, set.GroupSize))})
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []admission.Tenant{{Share: 1}}
	}
	for _, c := range set.Classes {
		s.Classes = append(s.Classes, admission.Class{Value: c.Value, Work: 100_000, LatencyTarget: c.LatencyTarget})
	}
	s.MaxRetryAfter = max(100_000, set.Limits.MaxRetryAfter)
	return s
}

// NodeFactory makes nodes of make behind a door each. comeBack says whether the door's refusals name a time.
func NewFactory(make model.NodeFactory, comeBack bool) model.NodeFactory {
	return func(set policy.Settings, seed uint64, truth *model.Oracle) (model.Node, error) {
		module, err := make(set, seed, truth)
		if err != nil {
			return nil, err
		}
		d, err := admission.New(controllerSettings(set, seed))
		if err != nil {
			return nil, err
		}
		return &node{inner: module, controller: d, requests: map[uint64]*request{}, idByTicket: map[admission.Ticket]uint64{}, sendRetryAfter: comeBack}, nil
	}
}

// Handle is model.Node's.
func (n *node) Handle(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	switch {
	case ev.Kind == policy.RequestArrived:
		r := &request{arrival: *ev, deadline: now + ev.ClientTimeout}
		n.requests[ev.ID] = r
		r.ticket, n.admitted = n.controller.Submit(now, admission.Request{Tenant: int(ev.Tenant), Class: int(ev.Class), Client: ev.AffinityKey, Work: ev.Work,
			Deadline: r.deadline, IsRetry: ev.ClientRetry}, n.admitted[:0])
		n.idByTicket[r.ticket] = ev.ID
	case ev.Kind == policy.TimerFired && ev.ID == tickTimerID:
		n.tickScheduled = false
		n.admitted = n.controller.Tick(now, n.admitted[:0])
	default:
		n.admitted = n.admitted[:0]
		if ev.Kind == policy.RequestAbandoned {
			if r := n.requests[ev.ID]; r != nil && !r.isAdmitted {
				n.admitted = n.controller.Cancel(now, r.ticket, n.admitted)
				n.forget(ev.ID, r)
				return n.execute(now, out)
			}
		}
		out = n.forward(now, ev, out)
		if ev.Kind == policy.RequestAbandoned || ev.Kind == policy.AttemptEnded && ev.Final {
			out = n.finish(now, ev.ID, ev.Kind == policy.AttemptEnded && ev.Outcome == policy.OK, out)
		}
		return out
	}
	return n.execute(now, out)
}

// forward gives the module an event; its own final answers are ends to the door.
func (n *node) forward(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	from := len(out)
	out = n.inner.Handle(now, ev, out)
	to := len(out)
	for i := from; i < to; i++ {
		if k := out[i].Kind; k == policy.RejectRequest || k == policy.FailRequest {
			out = n.finish(now, out[i].ID, false, out)
		}
	}
	return out
}

// finish tells the door that a request has left, and carries out what follows.
func (n *node) finish(now model.Time, id uint64, served bool, out []policy.Action) []policy.Action {
	r := n.requests[id]
	if r == nil || !r.isAdmitted {
		return out
	}
	n.forget(id, r)
	n.admitted = n.controller.Finish(now, r.ticket, served, n.admitted[:0])
	return n.execute(now, out)
}

func (n *node) forget(id uint64, r *request) {
	delete(n.requests, id)
	delete(n.idByTicket, r.ticket)
}

// execute carries out what the door said.
func (n *node) execute(now model.Time, out []policy.Action) []policy.Action {
	said := append([]admission.Action(nil), n.admitted...)
	for _, a := range said {
		id := n.idByTicket[a.Ticket]
		r := n.requests[id]
		if r == nil {
			continue
		}
		if a.Kind == admission.Reject {
			n.forget(id, r)
			after := a.RetryAfter
			if !n.sendRetryAfter {
				after = 0
			}
			out = append(out, policy.Action{Kind: policy.RejectRequest, ID: id, After: after})
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
