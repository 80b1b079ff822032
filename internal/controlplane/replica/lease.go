package replica

import (
	"time"

	"pumiceline/internal/message"
)

// leaseState is the member's part in the lease on the controller role: as grantor, as holder and as one that wants it.
type leaseState struct {
	duration    time.Duration
	startedAt   time.Duration
	viewEntered time.Duration

	// as grantor
	holder         message.MemberID
	holderAddress  string // address
	grantExpiresAt time.Duration
	heardOf        time.Duration // when the holder last renewed
	renewalSeenAt  time.Duration // when another member asked to renew; 0: never

	// as holder
	token                message.FencingToken
	expiresAt            time.Duration
	heldSince            time.Duration
	requestID            uint64
	requestedAt          time.Duration // when the running round began
	grantedBy            map[message.MemberID]bool
	requestedToken       message.FencingToken
	hasRequested         bool
	highestRejectedToken message.FencingToken // highest token told in refusals
}

const (
	leaseRenewalInterval = 400 * time.Millisecond
	tokenViewShift       = 24 // tokens carry the view's number above so many bits, so that they rise from view to view
	leaseSafetyMargin    = 100 * time.Millisecond
)

func (l *leaseState) init(now, length time.Duration, incarnation uint64) {
	l.duration, l.startedAt, l.viewEntered, l.requestID = length, now, now, incarnation
}

// Lease is a lease that this member holds on the controller role.
type Lease struct {
	Token     message.FencingToken
	HeldSince time.Duration // held from then on without a gap, over all renewals
	ExpiresAt time.Duration
}

// Lease returns the lease that this member holds at now; ok is false where it holds none.
func (r *Replica) Lease(now time.Duration) (lease Lease, ok bool) {
	if r.lease.token == 0 || now >= r.lease.expiresAt {
		return Lease{}, false
	}
	return Lease{Token: r.lease.token, HeldSince: r.lease.heldSince, ExpiresAt: r.lease.expiresAt}, true
}

// LeaseHolderAddress returns the address of the holder that this member knows of.
func (r *Replica) LeaseHolderAddress() (address string, ok bool) {
	if _, held := r.Lease(r.now); held {
		return r.options.Self.Address, true
	}
	return r.lease.holderAddress, r.lease.holder != "" && r.now < r.lease.grantExpiresAt && r.lease.holder != r.control.Identity
}

func (r *Replica) tickLease() {
	l := &r.lease
	if l.token != 0 && r.now >= l.expiresAt {
		l.token = 0
	}
	if !r.IsMember() || !r.control.Complete || r.leaving || r.diskStalled || r.options.Diskless && !r.isDisklessSystem() {
		r.releaseLease()
		return
	}
	if !r.link.synced {
		return
	}
	if l.token == 0 && !r.canRequestLease() {
		return
	}
	if l.hasRequested && r.now-l.requestedAt < leaseRenewalInterval {
		return
	}
	l.hasRequested, l.requestedAt = true, r.now
	l.requestID++
	l.grantedBy = map[message.MemberID]bool{}
	l.requestedToken = l.token
	if l.token == 0 {
		lowest := message.FencingToken(r.control.View.Number << tokenViewShift)
		l.requestedToken = max(lowest, r.control.LeaseToken, l.highestRejectedToken) + 1
	}
	request := &message.LeaseRequest{Token: l.requestedToken, RequestID: l.requestID, Renewal: l.token != 0}
	for _, member := range membersAndVoters(r.control.View) { // who has no vote hears of the holder by it, and does not stand
		r.send(member, message.Message{LeaseRequest: request})
	}
}

// candidateDelay spreads the candidates: each waits so long for every one behind it in the chain.
const candidateDelay = 300 * time.Millisecond

// canRequestLease reports whether the role has been vacant for long enough. The members stand in the order from the
// tail: the head has other work.
func (r *Replica) canRequestLease() bool {
	l := &r.lease
	vacantSince := max(l.grantExpiresAt, max(l.startedAt, l.viewEntered)+l.duration) // nobody grants anything new before
	if l.renewalSeenAt != 0 {
		vacantSince = max(vacantSince, l.renewalSeenAt+l.duration)
	}
	behind := len(r.control.View.Members) - 1 - r.position()
	return r.now >= vacantSince+time.Duration(behind)*candidateDelay
}

// releaseLease gives the lease back, so that a successor need not wait for its end.
func (r *Replica) releaseLease() {
	if r.lease.token == 0 {
		return
	}
	release := &message.LeaseRelease{Token: r.lease.token}
	r.lease.token = 0
	r.lease.requestID++ // grants that are still on their way count for nothing
	for _, member := range membersAndVoters(r.control.View) {
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
		l.renewalSeenAt = r.now // who was away, or has no vote, knows of the holder by this before it would stand itself
	}
	if !r.isVoter() || r.control.AcceptedView.Number != 0 {
		return
	}
	grant := &message.LeaseGrant{RequestID: request.RequestID}
	held := r.now < l.grantExpiresAt
	renewal := request.Renewal && held && l.holder == m.From && request.Token == r.control.LeaseToken
	// A holder that restarted has no lease any more, but only one process can have its identity.
	vacant := !held && r.now >= max(l.startedAt, l.viewEntered)+l.duration || held && l.holder == m.From
	// A grantor that was away renews too, once it has granted nothing for a lease: the token shows that none of later
	// date was granted by a majority with it.
	returned := request.Renewal && vacant && request.Token >= r.control.LeaseToken
	if renewal || returned || !request.Renewal && vacant && request.Token > r.control.LeaseToken {
		grant.Granted = true
		l.holder, l.holderAddress, l.grantExpiresAt, l.heardOf = m.From, m.FromAddress, r.now+l.duration, r.now
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
	if m.View != r.control.View.Number || m.LeaseGrant.RequestID != l.requestID || !r.hasVote(m.From) {
		return
	}
	if !m.LeaseGrant.Granted {
		l.highestRejectedToken = max(l.highestRejectedToken, m.LeaseGrant.Token)
		return
	}
	l.grantedBy[m.From] = true
	if len(l.grantedBy) < r.quorumSize() {
		return
	}
	if l.token == 0 {
		l.heldSince = r.now
	}
	l.token = l.requestedToken
	l.expiresAt = l.requestedAt + l.duration - leaseSafetyMargin
}

func (r *Replica) onLeaseRelease(m *message.Message) {
	if !r.isVoter() {
		r.lease.renewalSeenAt = 0
		return
	}
	if r.lease.holder == m.From && m.LeaseRelease.Token == r.control.LeaseToken {
		r.lease.grantExpiresAt, r.lease.renewalSeenAt = r.now, 0
	}
}
