package singleton

import (
	"maps"
	"slices"
)

// Holder is an instance's side: which leases it holds, and until when it may act on them.
type Holder struct {
	opts    HolderOptions
	leaving bool
	leases  map[string]*localLease // by role
}

// HolderOptions say who the instance is.
type HolderOptions struct {
	Settings    Settings
	Name        string
	Incarnation Incarnation // not used by any other process of this name
	Zone        string      // failure domain
	Build       uint64
}

// localLease is a lease as its holder knows it. All times are of the instance's clock.
type localLease struct {
	token       FencingToken
	confirmedAt Time // when the latest heartbeat was sent whose response renewed it
	expiresAt   Time
	steps       uint64 // completed
	serial      uint64 // of the latest effect
	releasing   bool   // to be released once no step is in progress
	inStep      bool   // a step is in progress
	released    bool   // given back or lost: nothing more is done with this token
}

// NewHolder returns the side of an instance that holds nothing.
func NewHolder(opts HolderOptions) *Holder {
	return &Holder{opts: opts, leases: map[string]*localLease{}}
}

// StartLeaving has the instance release each lease as soon as another instance is eligible for the role.
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

// HandleResponse takes in the response to the heartbeat that was sent at sent. Leases run from there, however late the
// response comes.
func (h *Holder) HandleResponse(sent Time, response HeartbeatResponse) {
	h.dropEndedLeases(sent, response.Leases)
	for _, renewal := range response.Leases {
		h.renew(sent, renewal)
	}
}

// dropEndedLeases ends the leases that a response does not list. A response to a heartbeat before the one that confirmed a
// lease may not know of it yet.
func (h *Holder) dropEndedLeases(sent Time, renewals []LeaseRenewal) {
	for role, l := range h.leases {
		isListed := slices.ContainsFunc(renewals, func(r LeaseRenewal) bool { return r.Role == role && r.Token == l.token })
		if sent <= l.confirmedAt || isListed {
			continue
		}
		if l.inStep {
			l.released = true // removed once its step has ended
		} else {
			delete(h.leases, role)
		}
	}
}

func (h *Holder) renew(sent Time, renewal LeaseRenewal) {
	l := h.leases[renewal.Role]
	if l == nil || renewal.Token > l.token && !l.inStep {
		l = &localLease{token: renewal.Token, confirmedAt: sent}
		h.leases[renewal.Role] = l
	}
	if l.token != renewal.Token || l.released {
		return
	}
	l.confirmedAt = max(l.confirmedAt, sent)
	l.expiresAt = max(l.expiresAt, sent+h.opts.Settings.HoldTime(renewal.Remaining))
	l.releasing = l.releasing || renewal.Release
	if l.releasing && !l.inStep {
		l.released = true
	}
}

// BeginStep begins a step of a role at now. It is false where the lease is not held, has expired or is to be released.
func (h *Holder) BeginStep(now Time, role string) bool {
	l := h.leases[role]
	if l == nil || l.released || l.inStep || l.releasing || now >= l.expiresAt {
		return false
	}
	l.inStep = true
	return true
}

// NextEffect is called before each effect of a step and returns its identity. It is false once the lease has expired: the
// step has to stop there.
func (h *Holder) NextEffect(now Time, role string) (Effect, bool) {
	l := h.leases[role]
	if l == nil || !l.inStep || l.released || now >= l.expiresAt {
		return Effect{}, false
	}
	l.serial++
	return Effect{role, l.token, l.serial}, true
}

// EndStep ends a step. Only one that was completed counts as progress.
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

// IsEmpty says whether there is no lease left that the lease manager may take for held by this instance.
func (h *Holder) IsEmpty() bool { return len(h.leases) == 0 }
