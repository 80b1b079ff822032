package replica

import (
	"time"

	"pumiceline/internal/message"
)

// leaseState is the member's part in the lease on the controller role: as grantor, as holder and as one that wants it.
type leaseState struct {
	length      time.Duration
	startedAt   time.Duration
	viewEntered time.Duration

	// as grantor
	holder      message.MemberID
	holderAt    string // address
	expires     time.Duration
	heardOf     time.Duration // when the holder last renewed
	renewalSeen time.Duration // when another member asked to renew; 0: never

	// as holder
	token      message.FencingToken
	validUntil time.Duration
	heldSince  time.Duration
	round      uint64
	asked      time.Duration // when the running round began
	grants     map[message.MemberID]bool
	wantToken  message.FencingToken
	everAsked  bool
	refusedFor message.FencingToken // highest token told in refusals
}

const (
	renewInterval = 400 * time.Millisecond
	tokenViewBits = 24 // tokens carry the view's number above so many bits, so that they rise from view to view
	leaseGuard    = 100 * time.Millisecond
)

func (l *leaseState) init(now, length time.Duration, incarnation uint64) {
	l.length, l.startedAt, l.viewEntered, l.round = length, now, now, incarnation
}

// Lease returns the fencing token of the lease, since when it is held without a gap and until when; ok is false where
// it is not held now.
func (r *Replica) Lease(now time.Duration) (token message.FencingToken, since, until time.Duration, ok bool) {
	if r.lease.token == 0 || now >= r.lease.validUntil {
		return 0, 0, 0, false
	}
	return r.lease.token, r.lease.heldSince, r.lease.validUntil, true
}

// LeaseHolder returns the address of the holder that this member knows of.
func (r *Replica) LeaseHolder() (address string, ok bool) {
	if _, _, _, held := r.Lease(r.now); held {
		return r.options.Self.Address, true
	}
	return r.lease.holderAt, r.lease.holder != "" && r.now < r.lease.expires && r.lease.holder != r.control.Identity
}

func (r *Replica) tickLease() {
	l := &r.lease
	if l.token != 0 && r.now >= l.validUntil {
		l.token = 0
	}
	if !r.IsMember() || !r.control.Complete || r.leaving || r.stalled || r.options.Volatile && !r.isDiskless() {
		r.releaseLease()
		return
	}
	if !r.link.synced {
		return
	}
	if l.token == 0 && !r.mayStandForLease() {
		return
	}
	if l.everAsked && r.now-l.asked < renewInterval {
		return
	}
	l.everAsked, l.asked = true, r.now
	l.round++
	l.grants = map[message.MemberID]bool{}
	l.wantToken = l.token
	if l.token == 0 {
		lowest := message.FencingToken(r.control.View.Number << tokenViewBits)
		l.wantToken = max(lowest, r.control.LeaseToken, l.refusedFor) + 1
	}
	request := &message.LeaseRequest{Token: l.wantToken, RequestID: l.round, Renewal: l.token != 0}
	for _, member := range everyone(r.control.View) { // who has no vote hears of the holder by it, and does not stand
		r.send(member, message.Message{LeaseRequest: request})
	}
}

// standDelay spreads the candidates: each waits so long for every one behind it in the chain.
const standDelay = 300 * time.Millisecond

// mayStandForLease reports whether the role has been vacant for long enough. The members stand in the order from the
// tail: the head has other work.
func (r *Replica) mayStandForLease() bool {
	l := &r.lease
	vacantSince := max(l.expires, max(l.startedAt, l.viewEntered)+l.length) // nobody grants anything new before
	if l.renewalSeen != 0 {
		vacantSince = max(vacantSince, l.renewalSeen+l.length)
	}
	behind := len(r.control.View.Members) - 1 - r.position()
	return r.now >= vacantSince+time.Duration(behind)*standDelay
}

// releaseLease gives the lease back, so that a successor need not wait for its end.
func (r *Replica) releaseLease() {
	if r.lease.token == 0 {
		return
	}
	release := &message.LeaseRelease{Token: r.lease.token}
	r.lease.token = 0
	r.lease.round++ // grants that are still on their way count for nothing
	for _, member := range everyone(r.control.View) {
		r.send(member, message.Message{LeaseRelease: release})
	}
}

// onLeaseRequest grants or refuses. Nothing is granted, nor renewed, once a next view is accepted: when that view is
// decided, a majority of this one's voters has accepted it, so no lease of this view is granted from then on; and the
// voters of the next view enter it later than that, and grant nothing new for the length of a lease. A lease counts
// from before it was asked for, so it has ended by then.
func (r *Replica) onLeaseRequest(m *message.Message) {
	if m.View != r.control.View.Number {
		return
	}
	l := &r.lease
	request := m.LeaseRequest
	if request.Renewal && m.From != r.control.Identity {
		l.renewalSeen = r.now // who was away, or has no vote, knows of the holder by this before it would stand itself
	}
	if !r.isVoter() || r.control.AcceptedView.Number != 0 {
		return
	}
	grant := &message.LeaseGrant{RequestID: request.RequestID}
	held := r.now < l.expires
	renewal := request.Renewal && held && l.holder == m.From && request.Token == r.control.LeaseToken
	// A holder that restarted has no lease any more, but only one process can have its identity.
	vacant := !held && r.now >= max(l.startedAt, l.viewEntered)+l.length || held && l.holder == m.From
	// A grantor that was away renews too, once it has granted nothing for a lease: the token shows that none of later
	// date was granted by a majority with it.
	returned := request.Renewal && vacant && request.Token >= r.control.LeaseToken
	if renewal || returned || !request.Renewal && vacant && request.Token > r.control.LeaseToken {
		grant.Granted = true
		l.holder, l.holderAt, l.expires, l.heardOf = m.From, m.FromAddress, r.now+l.length, r.now
	}
	if grant.Granted && request.Token > r.control.LeaseToken {
		r.control.LeaseToken = request.Token
		r.controlDirty = true
	}
	grant.Token = r.control.LeaseToken
	r.sendAfterSync(r.sender(m), message.Message{LeaseGrant: grant})
}

func (r *Replica) onLeaseGrant(m *message.Message) {
	l := &r.lease
	if m.View != r.control.View.Number || m.LeaseGrant.RequestID != l.round || !r.isVoterOf(m.From) {
		return
	}
	if !m.LeaseGrant.Granted {
		l.refusedFor = max(l.refusedFor, m.LeaseGrant.Token)
		return
	}
	l.grants[m.From] = true
	if len(l.grants) < r.majority() {
		return
	}
	if l.token == 0 {
		l.heldSince = r.now
	}
	l.token = l.wantToken
	l.validUntil = l.asked + l.length - leaseGuard
}

func (r *Replica) onLeaseRelease(m *message.Message) {
	if !r.isVoter() {
		r.lease.renewalSeen = 0
		return
	}
	if r.lease.holder == m.From && m.LeaseRelease.Token == r.control.LeaseToken {
		r.lease.expires, r.lease.renewalSeen = r.now, 0
	}
}
