// Package withadmission puts the door in front of the decision module within the laboratory, as the front does on sockets.
package withadmission

import (
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/admission"
	"pumiceline/internal/standalone/policy"
)

// tickTag is the door's own timer; the module's tags are small numbers and request ids.
const tickTag = 1<<64 - 1

const tickEvery = 10_000

// request is one that has come and is not over.
type request struct {
	ticket   admission.Ticket
	arrival  policy.Event
	deadline model.Time
	inside   bool
}

// node is a module behind a door.
type node struct {
	module  model.Node
	door    *admission.Controller
	open    map[uint64]*request
	ids     map[admission.Ticket]uint64
	said    []admission.Action
	inner   []policy.Action
	ticking bool
	comes   bool // refusals name a time to come back
}

// Settings are the door's for a deployment as a decider is told of it.
func Settings(set policy.Settings, seed uint64) admission.Settings {
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

// Maker makes nodes of make behind a door each. comeBack says whether the door's refusals name a time.
func Maker(make model.Maker, comeBack bool) model.Maker {
	return func(set policy.Settings, seed uint64, truth *model.Truth) (model.Node, error) {
		module, err := make(set, seed, truth)
		if err != nil {
			return nil, err
		}
		d, err := admission.New(Settings(set, seed))
		if err != nil {
			return nil, err
		}
		return &node{module: module, door: d, open: map[uint64]*request{}, ids: map[admission.Ticket]uint64{}, comes: comeBack}, nil
	}
}

// Handle is model.Node's.
func (n *node) Handle(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	switch {
	case ev.Kind == policy.RequestArrived:
		r := &request{arrival: *ev, deadline: now + ev.ClientTimeout}
		n.open[ev.ID] = r
		r.ticket, n.said = n.door.Submit(now, admission.Request{Tenant: int(ev.Tenant), Class: int(ev.Class), Client: ev.AffinityKey, Work: ev.Work,
			Deadline: r.deadline, IsRetry: ev.ClientRetry}, n.said[:0])
		n.ids[r.ticket] = ev.ID
	case ev.Kind == policy.TimerFired && ev.ID == tickTag:
		n.ticking = false
		n.said = n.door.Tick(now, n.said[:0])
	default:
		n.said = n.said[:0]
		if ev.Kind == policy.RequestAbandoned {
			if r := n.open[ev.ID]; r != nil && !r.inside {
				n.said = n.door.Cancel(now, r.ticket, n.said)
				n.forget(ev.ID, r)
				return n.follow(now, out)
			}
		}
		out = n.hand(now, ev, out)
		if ev.Kind == policy.RequestAbandoned || ev.Kind == policy.AttemptEnded && ev.Final {
			out = n.ended(now, ev.ID, ev.Kind == policy.AttemptEnded && ev.Outcome == policy.OK, out)
		}
		return out
	}
	return n.follow(now, out)
}

// hand gives the module an event; its own final answers are ends to the door.
func (n *node) hand(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	from := len(out)
	out = n.module.Handle(now, ev, out)
	to := len(out)
	for i := from; i < to; i++ {
		if k := out[i].Kind; k == policy.RejectRequest || k == policy.FailRequest {
			out = n.ended(now, out[i].ID, false, out)
		}
	}
	return out
}

// ended tells the door that a request has left, and carries out what follows.
func (n *node) ended(now model.Time, id uint64, served bool, out []policy.Action) []policy.Action {
	r := n.open[id]
	if r == nil || !r.inside {
		return out
	}
	n.forget(id, r)
	n.said = n.door.Finish(now, r.ticket, served, n.said[:0])
	return n.follow(now, out)
}

func (n *node) forget(id uint64, r *request) {
	delete(n.open, id)
	delete(n.ids, r.ticket)
}

// follow carries out what the door said.
func (n *node) follow(now model.Time, out []policy.Action) []policy.Action {
	said := append([]admission.Action(nil), n.said...)
	for _, a := range said {
		id := n.ids[a.Ticket]
		r := n.open[id]
		if r == nil {
			continue
		}
		if a.Kind == admission.Reject {
			n.forget(id, r)
			after := a.RetryAfter
			if !n.comes {
				after = 0
			}
			out = append(out, policy.Action{Kind: policy.RejectRequest, ID: id, After: after})
			continue
		}
		r.inside = true
		ev := r.arrival
		ev.ClientTimeout = max(1, r.deadline-now)
		out = n.hand(now, &ev, out)
	}
	if n.door.State().Queued > 0 && !n.ticking {
		n.ticking = true
		out = append(out, policy.Action{Kind: policy.SetTimer, ID: tickTag, After: tickEvery})
	}
	return out
}
