package singleton

import (
	"maps"
	"slices"
)

// Holder keeps track, at an instance, of the leases that the instance holds and until when it may act on them.
type Holder struct {
	opts    HolderOptions
	leaving bool
	leases  map[string]*localLease // by role
}

// HolderOptions are the configuration of a Holder.
type HolderOptions struct {
	Settings    Settings
	Name        string
	Incarnation Incarnation // unique among the processes with this name
	Zone        string      // failure domain
	Build       uint64      // a newer one is preferred
}

// localLease is a lease as its holder sees it. All times are of the instance's clock.
type localLease struct {
	token       FencingToken
	confirmedAt Time // when the latest heartbeat whose response renewed the lease was sent
	expiresAt   Time
	steps       uint64 // completed
	serial      uint64 // of the latest effect
	releasing   bool   // to be released once no step is in progress
	inStep      bool   // a step is in progress
	released    bool   // released or lost: the instance no longer acts with this token
}

// NewHolder returns the Holder of an instance that holds no lease yet.
func NewHolder(opts HolderOptions) *Holder {
	return &Holder{opts: opts, leases: map[string]*localLease{}}
}

// StartLeaving makes the instance release each lease as soon as another instance is eligible for the role.
func (h *Holder) StartLeaving() { h.leaving = true }

// Heartbeat returns the heartbeat to send now.
func (h *Holder) Heartbeat() Heartbeat {
	b := Heartbeat{Name: h.opts.Name, Incarnation: h.opts.Incarnation, Zone: h.opts.Zone, Build: h.opts.Build,
		Leaving: h.leaving}
	for _, role := range slices.Sorted(maps.Keys(h.leases)) {
		l := h.leases[role]
		b.Leases = append(b.Leases, LeaseReport{Role: role, Token: l.token, Steps: l.steps, Released: l.released})
	}
	return b
}

// HandleResponse processes the response to the heartbeat that was sent at sentAt. Leases run from sentAt, however late
// the response arrives: the lease manager counts from when it received that heartbeat, which is no earlier.
func (h *Holder) HandleResponse(sentAt Time, response HeartbeatResponse) {
	h.dropEndedLeases(sentAt, response.Leases)
	for _, renewal := range response.Leases {
		h.renew(sentAt, renewal)
	}
}

// dropEndedLeases ends the leases that a response does not list. Responses may arrive out of order: a lease that was
// confirmed by a heartbeat sent at sentAt or later is kept, because this response says nothing about it.
func (h *Holder) dropEndedLeases(sentAt Time, renewals []LeaseRenewal) {
	for role, l := range h.leases {
		isListed := slices.ContainsFunc(renewals, func(r LeaseRenewal) bool { return r.Role == role && r.Token == l.token })
		if sentAt <= l.confirmedAt || isListed {
			continue
		}
		if l.inStep {
			l.released = true // a later response removes the lease, once its step has ended
		} else {
			delete(h.leases, role)
		}
	}
}

// renew processes one lease of a response. A lease with a newer token replaces the known one, but not while a step is
// in progress: the end of that step, which began under the older token, would count as progress of the newer lease.
func (h *Holder) renew(sentAt Time, renewal LeaseRenewal) {
	l := h.leases[renewal.Role]
	if l == nil || renewal.Token > l.token && !l.inStep {
		l = &localLease{token: renewal.Token, confirmedAt: sentAt}
		h.leases[renewal.Role] = l
	}
	if l.token != renewal.Token || l.released {
		return
	}
	l.confirmedAt = max(l.confirmedAt, sentAt)
	l.expiresAt = max(l.expiresAt, sentAt+h.opts.Settings.HoldTime(renewal.Remaining))
	l.releasing = l.releasing || renewal.Release
	if l.releasing && !l.inStep {
		l.released = true
	}
}

// BeginStep begins a step of a role at now. It returns false if the lease is not held, has expired or is to be
// released, or if a step of the role is in progress.
func (h *Holder) BeginStep(now Time, role string) bool {
	l := h.leases[role]
	if l == nil || l.released || l.inStep || l.releasing || now >= l.expiresAt {
		return false
	}
	l.inStep = true
	return true
}

// NextEffect returns the identity of a step's next effect; call it right before that effect is sent. It returns false
// once the lease has expired or is lost: the step has to stop there.
func (h *Holder) NextEffect(now Time, role string) (Effect, bool) {
	l := h.leases[role]
	if l == nil || !l.inStep || l.released || now >= l.expiresAt {
		return Effect{}, false
	}
	l.serial++
	return Effect{role, l.token, l.serial}, true
}

// EndStep ends a step. Only a completed step counts as progress.
func (h *Holder) EndStep(role string, completed bool) {
	l := h.leases[role]
	if l == nil {
		return
	}
	l.inStep = false
	if completed {
		l.steps++
	}
	if l.releasing {
		l.released = true
	}
}

// ActiveLeases returns the tokens, by role, of the leases that may be acted on at now.
func (h *Holder) ActiveLeases(now Time) map[string]FencingToken {
	active := map[string]FencingToken{}
	for role, l := range h.leases {
		if !l.released && now < l.expiresAt {
			active[role] = l.token
		}
	}
	return active
}

// IsEmpty reports whether the instance has no lease left. As long as it has one, the lease manager may still count the
// role as held: a released lease stays until a response shows that its release is committed.
func (h *Holder) IsEmpty() bool { return len(h.leases) == 0 }
